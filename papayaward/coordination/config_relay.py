"""
papayaward.coordination.config_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Brings configurations to entries that cannot read them from the store.

Entries read the store themselves, so a text crosses a link only on request: a push
to every runner at once would fill the narrow link of a small entry's VM. Runners keep
a copy for entries that start while the store is away, and fetch it at leisure.
"""

import logging
import random

from ..protocol.gen.ttypes import ConfigPull, ConfigPush

__all__ = ["ConfigRelay", "entry_fetch_delay_s", "runner_fetch_delay_s"]

log = logging.getLogger(__name__)

# Time for the store to deliver a version that a peer has already.
_ENTRY_FETCH_DELAY_S = 0.4
# Processes that only keep a copy fetch it at different times.
_RUNNER_FETCH_DELAY_S = (2.0, 10.0)
_RETRY_S = 0.4


def entry_fetch_delay_s():
    """Returns how long an entry waits for the store, seconds."""
    return _ENTRY_FETCH_DELAY_S


def runner_fetch_delay_s():
    """Returns how long a runner waits before it fetches its copy, seconds."""
    return random.uniform(*_RUNNER_FETCH_DELAY_S)


class ConfigRelay:
    """Fetches versions from peers, for this process or for another peer.

    Args:
        holder: `ConfigHolder` of this process.
        fetch_delay_s: Function that returns how long a version that a peer has may be
            missing here before it is fetched, seconds.
    """

    def __init__(self, holder, fetch_delay_s):
        self._holder = holder
        self._fetch_delay_s = fetch_delay_s
        self._versions = {}
        self._fetch_at = None
        self._asked_at = None
        # Links whose peers wait for a later version than they have.
        self._asking = set()

    @property
    def version(self):
        """Highest version that this process has or can fetch."""
        return max(self._holder.version, *self._versions.values(), 0)

    def on_peer_version(self, link, version, now):
        """Notes a peer's version and fetches it if it does not come in time."""
        self._versions[link] = version
        if self.version <= self._holder.version:
            self._fetch_at = None
        elif version > self._holder.version:
            if self._fetch_at is None:
                self._fetch_at = now + self._fetch_delay_s()
            if now >= self._fetch_at:
                self._fetch(link, now)

    def on_link_down(self, link):
        """Forgets a peer."""
        self._versions.pop(link, None)
        self._asking.discard(link)

    def on_message(self, link, message, now):
        """Handles a pull or a push and returns whether it was one."""
        if isinstance(message, ConfigPull):
            self._on_pull(link, message.have_version, now)
            return True
        if isinstance(message, ConfigPush):
            self._holder.offer(message.version, message.text, now)
            self._asked_at = None
            asking, self._asking = self._asking, set()
            for peer in asking:
                self._push(peer)
            return True
        return False

    def _on_pull(self, link, have_version, now):
        if self._holder.version > have_version:
            self._push(link)
            return
        source = max(self._versions, key=self._versions.get, default=None)
        if source is None or self._versions[source] <= have_version:
            return
        self._asking.add(link)
        self._fetch(source, now)

    def _push(self, link):
        link.try_send(ConfigPush(self._holder.version, self._holder.text))

    def _fetch(self, link, now):
        if self._asked_at is not None and now - self._asked_at < _RETRY_S:
            return
        self._asked_at = now
        log.info(
            "config_fetched",
            extra={"peer": link.peer.member, "version": self._versions[link]},
        )
        link.try_send(ConfigPull(self._holder.version))
