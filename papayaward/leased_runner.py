"""
papayaward.leased_runner
~~~~~~~~~~~~~~~~~~~~~~~~

The runner process: runs tasks from the entries on the upstream of the same VM.
"""

import logging

import gevent

from .coordination.config_relay import runner_fetch_delay_s
from .coordination.entry_links import STORE, EntryLinks
from .coordination.entry_selection import EntryAddress
from .coordination.leased_executor import LeasedExecutor
from .coordination.member_lists import read_members
from .coordination.upstream_state_store import UpstreamStateStore
from .leased_entry import ENTRIES_PREFIX, entry_addresses, entry_rejections
from .leased_node import LeasedNode
from .loops import repeat
from .protocol.gen.ttypes import Members
from .protocol.store_errors import StoreError
from .rejection_log import RejectionLog
from .transport.peers import Dialler

__all__ = ["LeasedRunner"]

log = logging.getLogger(__name__)

_DISCOVERY_INTERVAL_S = 1.0
_LINKS_INTERVAL_S = 0.25
_DRAIN_POLL_S = 0.05
# Time reserved before the drain deadline for stopping the remaining runs.
_STOP_TIMEOUT_S = 0.5


class LeasedRunner(LeasedNode):
    """Runner that connects to entries and runs the tasks that they send.

    Args:
        settings: `NodeSettings`.
        store: Client of the store, for the addresses of the entries and the upstream's
            latest report.
        upstream: Client of the upstream (see `upstream_requests`).
    """

    def __init__(self, settings, store, upstream):
        super().__init__(settings, bytes, runner_fetch_delay_s)
        self._store = store
        self._rejected_entries = entry_rejections()
        self._rejected_members = RejectionLog(log, "member_invalid")
        self._state_store = UpstreamStateStore(store, settings.member)
        self.executor = LeasedExecutor(upstream, self.domains.is_out, self.crashes)
        self.domains.on_change(lambda now: self.executor.check_accepting())
        self._entry_links = EntryLinks(
            settings.member,
            settings.domain,
            lambda address: Dialler(address, self),
            self.executor.release_entry,
            self.executor.is_idle_for,
            settings.entries,
        )

    def start(self):
        """Starts dialling the entries."""
        gevent.spawn(repeat, self._update_links)
        gevent.spawn(repeat, self._discover_entries)
        gevent.spawn(self._restore_upstream)

    def on_upstream_report(self, state, now):
        """Handles a state report from the upstream."""
        self.executor.on_upstream_report(state, now)
        self._state_store.save(self.executor.state)

    def on_upstream_deregistered(self, instance, now):
        """Handles the deregistration of an upstream instance."""
        if self.executor.state is None:
            # The stored report may tell which upstream has runs of a predecessor.
            return
        self.executor.on_upstream_deregistered(instance, now)
        # None without runs; else a draining report, so that a successor stops them.
        self._state_store.save(self.executor.state)

    def add_entries(self, addresses):
        """Adds seed entries, given as (host, port)."""
        self._entry_links.add_seeds(addresses)

    def drain(self, until):
        """Waits until no task is running.

        Args:
            until: Time by which the remaining runs are stopped, seconds.
        """
        self.draining = True
        self.executor.close(until - _STOP_TIMEOUT_S)
        while self.executor.running and self.now() < until - _STOP_TIMEOUT_S:
            gevent.sleep(_DRAIN_POLL_S)
        self.executor.stop_all("the runner is shutting down", self.now())
        while self.executor.running and self.now() < until:
            gevent.sleep(_DRAIN_POLL_S)
        # Allows the last reports to be sent before the links are closed.
        gevent.sleep(_DRAIN_POLL_S)

    # Callbacks of `LeasedNode`.

    def on_peer_up(self, link, now):
        """Registers a link to an entry."""
        self.executor.on_link_up(link, now)

    def on_peer_down(self, link, now):
        """Removes a link to an entry."""
        self.executor.on_link_down(link, now)
        self._entry_links.remove_list(link.peer.member)

    def on_heartbeat(self, link, heartbeat, now):
        """Handles a heartbeat from an entry."""
        super().on_heartbeat(link, heartbeat, now)
        self.executor.on_heartbeat(link, heartbeat.queued or 0, now)

    def on_peer_message(self, link, message, now):
        """Handles a message from an entry; returns whether its type is supported."""
        if isinstance(message, Members):
            entries = [
                EntryAddress(listed.member, address, listed.domain or "")
                for listed, address in read_members(
                    message.members, self._rejected_members
                )
            ]
            self._entry_links.set_list(link.peer.member, entries)
            self._entry_links.update(now)
            return True
        return self.executor.on_message(link, message, now)

    def _update_links(self):
        self._entry_links.update(self.now())
        gevent.sleep(_LINKS_INTERVAL_S)

    def _restore_upstream(self):
        state = self._state_store.load()
        if state is None or self.executor.state is not None:
            return
        if state.service == self.settings.service:
            log.info("upstream_recalled", extra={"upstream": state.instance})
            self.executor.recall_upstream(state)
        else:
            extra = {"upstream": state.instance, "service": state.service}
            log.warning("stored_report_ignored", extra=extra)

    def _discover_entries(self):
        """Reads the entries' addresses from the store while no entry is linked."""
        if not self.links:
            try:
                snapshot = self._store.read(ENTRIES_PREFIX)
                found = entry_addresses(snapshot, self._rejected_entries)
                self._entry_links.set_list(STORE, found)
                self._entry_links.update(self.now())
            except StoreError as error:
                log.info("entries_not_found", extra={"error": str(error)})
        gevent.sleep(_DISCOVERY_INTERVAL_S)
