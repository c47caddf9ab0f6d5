"""
papayaward.leased_entry
~~~~~~~~~~~~~~~~~~~~~~~

The entry process: accepts jobs from callers and dispatches their tasks to runners.
"""

import json
import logging

import gevent
from gevent.event import Event

from .coordination.config_relay import entry_fetch_delay_s
from .coordination.entry_selection import MAX_LINKED_ENTRIES, EntryAddress
from .coordination.job_scheduler import JobScheduler
from .coordination.store_sync import Presence, watch_prefix
from .leased_node import LeasedNode
from .protocol.gen.ttypes import DomainsPush, Member, Members
from .protocol.options import (
    OptionError,
    get_peer_address,
    get_string,
    read_object,
)
from .rejection_log import RejectionLog
from .state import metrics
from .transport.peers import serve_links

__all__ = ["ENTRIES_PREFIX", "LeasedEntry", "entry_addresses", "entry_rejections"]

log = logging.getLogger(__name__)

ENTRIES_PREFIX = "papayaward/entries/"

# Jobs without an outcome are ended this long before the drain deadline, so that their
# answers still reach the callers.
_FINAL_ANSWERS_S = 0.2
_DRAIN_POLL_S = 0.05
# Minimum interval between two readings of the entries' keys. When a large fleet starts,
# every entry would otherwise read all keys once for each entry.
_ENTRIES_INTERVAL_S = 0.5


def entry_rejections():
    """Returns a `RejectionLog` for `entry_addresses`."""
    return RejectionLog(log, "entry_key_invalid")


def entry_addresses(snapshot, rejections):
    """Returns the `EntryAddress` of each entry registered in a store snapshot.

    Args:
        snapshot: `Snapshot`.
        rejections: `RejectionLog` for keys that do not name an entry.
    """
    found = []
    for key, value in snapshot.values.items():
        try:
            found.append(_read_entry(key, value))
            rejections.accept(key)
        except OptionError as error:
            rejections.reject(key, error)
    return sorted(found)


def _read_entry(key, value):
    document = read_object(value)
    return EntryAddress(
        get_string({"member": key.removeprefix(ENTRIES_PREFIX)}, "member"),
        get_peer_address(document, "link"),
        get_string(document, "domain"),
    )


class LeasedEntry(LeasedNode):
    """Entry that owns the jobs of the callers connected to it.

    Args:
        settings: `NodeSettings`.
        parse_routing: As for `LeasedNode`.
        store: Client of the store (see `store_sync`).
        watch_operator_keys: Function that watches the operators' keys. Takes the
            store and callbacks for a new configuration and for a new list of failure
            domains out of service.
    """

    def __init__(self, settings, parse_routing, store, watch_operator_keys):
        super().__init__(settings, parse_routing, entry_fetch_delay_s)
        self._store = store
        self._watch_operator_keys = watch_operator_keys
        self._entries = ()
        self._rejections = entry_rejections()
        self._presence = None
        self.scheduler = JobScheduler(
            self.domains.is_out,
            self.crashes,
            lambda: len(self._entries) > MAX_LINKED_ENTRIES,
        )
        self._configured = Event()
        self.config.on_change(lambda now: self._configured.set())
        self.domains.on_change(self._on_domains_change)

    @property
    def _own_address(self):
        """`EntryAddress` under which this entry is registered."""
        settings = self.settings
        return EntryAddress(settings.member, settings.link_address, settings.domain)

    @property
    def ready(self):
        """Whether the load balancer may send callers to this entry."""
        return not self.draining and self.config.version > 0 and bool(self.links)

    @property
    def queued(self):
        """Number of jobs that wait for capacity."""
        return self.scheduler.waiting

    def wait_configured(self, timeout_s):
        """Waits for the first configuration and returns whether one is in force."""
        return self._configured.wait(timeout_s)

    def start(self):
        """Starts accepting links and watching the store."""
        host, port = self.settings.link_address
        serve_links(
            (host, port),
            self,
            self.settings.max_pending_links,
            metrics.count_rejected_requests,
        )
        document = {"link": f"{host}:{port}", "domain": self.settings.domain}
        value = json.dumps(document).encode()
        key = ENTRIES_PREFIX + self.settings.member
        self._presence = Presence(self._store, key, value)
        gevent.spawn(
            self._watch_operator_keys,
            self._store,
            self._on_config,
            self._on_domain_list,
        )
        gevent.spawn(
            watch_prefix,
            self._store,
            ENTRIES_PREFIX,
            self._on_entries,
            _ENTRIES_INTERVAL_S,
        )

    def drain(self, until):
        """Waits until every job is answered.

        Args:
            until: Time by which the remaining jobs are ended, seconds.
        """
        self.draining = True
        self._presence.remove()
        self.scheduler.close_at(until - _FINAL_ANSWERS_S)
        while self.scheduler.jobs and self.now() < until - _FINAL_ANSWERS_S:
            gevent.sleep(_DRAIN_POLL_S)
        self.scheduler.close(self.now())

    # Callbacks of `LeasedNode`.

    def on_peer_up(self, link, now):
        """Registers a link to a runner."""
        link.try_send(self._members())
        if link.peer.role == "runner":
            self.scheduler.on_link_up(link, now)

    def on_peer_down(self, link, now):
        """Removes a link to a runner."""
        self.scheduler.on_link_down(link, now)

    def on_peer_message(self, link, message, now):
        """Handles a message from a runner; returns whether its type is supported."""
        return self.scheduler.on_message(link, message, now)

    def _members(self):
        return Members(
            [
                Member(entry.member, 0, "%s:%d" % entry.address, entry.domain, "")
                for entry in self._entries
            ]
        )

    # Store callbacks.

    def _on_config(self, version, text, now):
        self.config.offer(version, text, now)

    def _on_domain_list(self, revision, domains, now):
        self.domains.offer(revision, domains, now)

    def _on_domains_change(self, now):
        self.broadcast(DomainsPush(self.domains.revision, sorted(self.domains.out)))

    def _on_entries(self, snapshot, now):
        entries = entry_addresses(snapshot, self._rejections)
        names = [entry.member for entry in entries]
        log.info("entries_changed", extra={"entries": names})
        if self._own_address not in entries and not self.draining:
            # The key has vanished, or another program has written it.
            self._presence.republish()
        if entries != self._entries:
            self._entries = entries
            self.broadcast(self._members())
