"""
papayaward.leased_entry
~~~~~~~~~~~~~~~~~~~~~~~

The entry process: takes jobs from callers and has runners run their tasks.
"""

import json
import logging

import gevent
from gevent.event import Event

from .coordination.config_relay import entry_fetch_delay_s
from .coordination.job_scheduler import JobScheduler
from .coordination.store_sync import Presence, watch_prefix
from .leased_node import LeasedNode
from .protocol.gen.ttypes import DomainsPush, Member, Members
from .transport.peers import serve_links

__all__ = ["ENTRIES_PREFIX", "LeasedEntry", "entry_addresses"]

log = logging.getLogger(__name__)

ENTRIES_PREFIX = "papayaward/entries/"

# Jobs of callers that are still connected have this long before the process ends.
_LAST_JOBS_S = 0.2
_DRAIN_POLL_S = 0.05


def entry_addresses(snapshot):
    """Returns (member, address) of each entry in a snapshot of their keys."""
    found = []
    for key, value in snapshot.values.items():
        try:
            found.append((key.removeprefix(ENTRIES_PREFIX), json.loads(value)["link"]))
        except (ValueError, KeyError, TypeError) as error:
            log.warning("entry_key_invalid", extra={"key": key, "error": str(error)})
    return sorted(found)


class LeasedEntry(LeasedNode):
    """Home of the jobs whose callers are connected to it.

    Args:
        settings: `NodeSettings`.
        parse_routing: As for `LeasedNode`.
        store: Client of the store (see `store_sync`).
        watch_operator_keys: Function that follows the operators' keys: takes the store
            and functions for a new configuration and for a new list of domains.
    """

    def __init__(self, settings, parse_routing, store, watch_operator_keys):
        super().__init__(settings, parse_routing, entry_fetch_delay_s)
        self._store = store
        self._watch_operator_keys = watch_operator_keys
        self._entries = ()
        self._presence = None
        self.scheduler = JobScheduler(self.domains.is_out)
        self._configured = Event()
        self.config.on_change(lambda now: self._configured.set())
        self.domains.on_change(self._on_domains)

    @property
    def ready(self):
        """Whether new connections of callers are welcome."""
        return not self.draining and self.config.version > 0 and bool(self.links)

    def wait_configured(self, timeout_s):
        """Waits for the first configuration and returns whether it is there."""
        return self._configured.wait(timeout_s)

    def start(self):
        """Starts to serve links and to follow the store."""
        host, port = self.settings.link_address
        serve_links((host, port), self)
        value = json.dumps({"link": f"{host}:{port}"}).encode()
        key = ENTRIES_PREFIX + self.settings.member
        self._presence = Presence(self._store, key, value)
        gevent.spawn(
            self._watch_operator_keys, self._store, self._offer, self._offer_domains
        )
        gevent.spawn(watch_prefix, self._store, ENTRIES_PREFIX, self._on_entries)

    def drain(self, until):
        """Waits until every job is answered.

        Args:
            until: Time at which the rest is given up, seconds.
        """
        self.draining = True
        self._presence.remove()
        self.scheduler.close_at(until - _LAST_JOBS_S)
        while self.scheduler.jobs and self.now() < until - _LAST_JOBS_S:
            gevent.sleep(_DRAIN_POLL_S)
        self.scheduler.close(self.now())

    # Interface for links.

    def on_peer_up(self, link, now):
        """Takes a link to a runner."""
        link.try_send(self._members())
        if link.peer.role == "runner":
            self.scheduler.on_link_up(link, now)

    def on_peer_down(self, link, now):
        """Forgets a link to a runner."""
        self.scheduler.on_link_down(link, now)

    def on_peer_message(self, link, message, now):
        """Handles a runner's message and returns whether it was one."""
        return self.scheduler.on_message(link, message, now)

    def _members(self):
        return Members(
            [Member(name, 0, address, "", "") for name, address in self._entries]
        )

    # The store.

    def _offer(self, version, text, now):
        self.config.offer(version, text, now)

    def _offer_domains(self, revision, domains, now):
        self.domains.offer(revision, domains, now)

    def _on_domains(self, now):
        self.broadcast(DomainsPush(self.domains.revision, sorted(self.domains.out)))

    def _on_entries(self, snapshot, now):
        entries = entry_addresses(snapshot)
        log.info("entries_changed", extra={"entries": [name for name, _ in entries]})
        if self.settings.member not in dict(entries) and not self.draining:
            self._presence.republish()
        if entries != self._entries:
            self._entries = entries
            self.broadcast(self._members())
