"""
papayaward.coordination.config_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Transfers configurations to entries that cannot read them from the store.

Entries read the store themselves, so a configuration is sent over a link only on
request: a push to all runners at once would saturate the network interface of a small
VM that runs an entry. Runners keep a copy for entries that start during an outage of
the store, and fetch it after a random delay.
"""

import logging
import random

from ..protocol.gen.ttypes import ConfigPull, ConfigPush

__all__ = ["ConfigRelay", "entry_fetch_delay_s", "runner_fetch_delay_s"]

log = logging.getLogger(__name__)

# Time within which an entry normally reads a version from the store that a peer has.
_ENTRY_FETCH_DELAY_S = 0.4
# The random delay spreads the fetches of runners, which only keep a copy.
_RUNNER_FETCH_DELAY_S = (2.0, 10.0)
_RETRY_DELAY_S = 0.4


def entry_fetch_delay_s():
    """Returns how long an entry waits for the store before it asks a peer, seconds."""
    return _ENTRY_FETCH_DELAY_S


def runner_fetch_delay_s():
    """Returns how long a runner waits before it fetches its copy, seconds."""
    return random.uniform(*_RUNNER_FETCH_DELAY_S)


class ConfigRelay:
    """Fetches versions from peers, for this process or on behalf of another peer.

    Args:
        holder: `ConfigHolder` of this process.
        fetch_delay_s: Function that returns the delay before a newer version is
            fetched from a peer that has it, seconds.
    """

    def __init__(self, holder, fetch_delay_s):
        self._holder = holder
        self._fetch_delay_s = fetch_delay_s
        self._peer_versions = {}
        self._max_peer_version = 0
        self._fetch_at = None
        self._requested_at = None
        # Links to peers that requested a newer version and wait for it.
        self._waiting_links = set()

    @property
    def version(self):
        """Highest version that this process has or can fetch."""
        return max(self._holder.version, self._max_peer_version)

    def on_peer_version(self, link, version, now):
        """Records a peer's version; fetches it if it is still newer after the delay."""
        self._peer_versions[link] = version
        self._max_peer_version = max(self._max_peer_version, version)
        if self.version <= self._holder.version:
            self._fetch_at = None
        elif version > self._holder.version:
            if self._fetch_at is None:
                self._fetch_at = now + self._fetch_delay_s()
            if now >= self._fetch_at:
                self._fetch(link, now)

    def on_link_down(self, link):
        """Removes a peer."""
        self._peer_versions.pop(link, None)
        self._max_peer_version = max(self._peer_versions.values(), default=0)
        self._waiting_links.discard(link)

    def on_message(self, link, message, now):
        """Handles `ConfigPull` and `ConfigPush`; returns False for other messages."""
        if isinstance(message, ConfigPull):
            self._on_pull(link, message.have_version, now)
            return True
        if isinstance(message, ConfigPush):
            self._holder.offer(message.version, message.text, now)
            self._requested_at = None
            waiting, self._waiting_links = self._waiting_links, set()
            for peer in waiting:
                self._push(peer)
            return True
        return False

    def _on_pull(self, link, have_version, now):
        if self._holder.version > have_version:
            self._push(link)
            return
        source = max(self._peer_versions, key=self._peer_versions.get, default=None)
        if source is None or self._peer_versions[source] <= have_version:
            return
        self._waiting_links.add(link)
        self._fetch(source, now)

    def _push(self, link):
        link.try_send(ConfigPush(self._holder.version, self._holder.text))

    def _fetch(self, link, now):
        if self._requested_at is not None and now - self._requested_at < _RETRY_DELAY_S:
            return
        self._requested_at = now
        log.info(
            "config_fetched",
            extra={"peer": link.peer.member, "version": self._peer_versions[link]},
        )
        link.try_send(ConfigPull(self._holder.version))
