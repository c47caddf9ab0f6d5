"""
papayaward.leased_runner
~~~~~~~~~~~~~~~~~~~~~~~~

The process beside an upstream: starts the tasks that the entries send.
"""

import logging

import gevent

from .coordination.config_relay import runner_fetch_delay_s
from .coordination.leased_executor import LeasedExecutor
from .coordination.upstream_state_store import UpstreamStateStore
from .leased_entry import ENTRIES_PREFIX, entry_addresses
from .leased_node import LeasedNode
from .protocol.gen.ttypes import Members
from .protocol.options import get_address
from .protocol.store_errors import StoreError
from .transport.peers import Dialler

__all__ = ["LeasedRunner"]

log = logging.getLogger(__name__)

_LOOKUP_INTERVAL_S = 1.0
_DRAIN_POLL_S = 0.05
# Time before the end of the process in which what still runs is stopped.
_STOP_S = 0.5


class LeasedRunner(LeasedNode):
    """Dials every entry and runs its executor.

    Args:
        settings: `NodeSettings`.
        store: Client of the store, for the addresses of the entries.
        upstream: Object that carries orders (see `upstream_requests`).
    """

    def __init__(self, settings, store, upstream):
        super().__init__(settings, bytes, runner_fetch_delay_s)
        self._store = store
        self._diallers = {}
        self._by_entry = {}
        self._looked_up = ()
        self._state_store = UpstreamStateStore(store, settings.member)
        self.executor = LeasedExecutor(upstream, self.domains.is_out)
        self.domains.on_change(lambda now: self.executor.check_accepting())

    def start(self):
        """Starts to dial the entries."""
        self._update_diallers()
        gevent.spawn(self._look_up)
        gevent.spawn(self._recall)

    def on_upstream_report(self, state, now):
        """Takes a report of the upstream."""
        self.executor.on_upstream_report(state, now)
        self._state_store.save(self.executor.state)

    def on_upstream_deregistered(self, instance, now):
        """Takes the upstream's word that it ends."""
        self.executor.on_upstream_deregistered(instance, now)

    def add_entries(self, addresses):
        """Dials further entries, (host, port) each."""
        self._looked_up = tuple({*self._looked_up, *addresses})
        self._update_diallers()

    def drain(self, until):
        """Waits until nothing runs any more.

        Args:
            until: Time at which the rest is stopped, seconds.
        """
        self.draining = True
        self.executor.close(until - _STOP_S)
        while self.executor.running and self.now() < until - _STOP_S:
            gevent.sleep(_DRAIN_POLL_S)
        self.executor.stop_all("the process ends")
        while self.executor.running and self.now() < until:
            gevent.sleep(_DRAIN_POLL_S)
        # Lets the last reports out.
        gevent.sleep(_DRAIN_POLL_S)

    # Interface for links.

    def on_peer_up(self, link, now):
        """Takes a link to an entry."""
        self.executor.on_link_up(link, now)

    def on_peer_down(self, link, now):
        """Forgets a link to an entry."""
        self.executor.on_link_down(link, now)
        self._by_entry.pop(link.peer.member, None)

    def on_heartbeat(self, link, heartbeat, now):
        """Takes an entry's heartbeat."""
        super().on_heartbeat(link, heartbeat, now)
        self.executor.on_heartbeat(link, now)

    def on_peer_message(self, link, message, now):
        """Handles an entry's message and returns whether it was one."""
        if isinstance(message, Members):
            self._by_entry[link.peer.member] = [m.address for m in message.members]
            self._update_diallers()
            return True
        return self.executor.on_message(link, message, now)

    def _wanted(self):
        wanted = set(self.settings.entries) | set(self._looked_up)
        for addresses in self._by_entry.values():
            for address in addresses:
                wanted.add(get_address({"address": address}, "address"))
        return wanted

    def _update_diallers(self):
        wanted = self._wanted()
        for address in wanted - set(self._diallers):
            self._diallers[address] = Dialler(address, self)
        linked = {
            get_address({"address": link.peer.address}, "address")
            for link in self.links.values()
        }
        for address in set(self._diallers) - wanted - linked:
            self._diallers.pop(address).stop()

    def _recall(self):
        state = self._state_store.load()
        if state is not None and self.executor.state is None:
            log.info("upstream_recalled", extra={"upstream": state.instance})
            self.executor.on_upstream_report(state, self.now())

    def _look_up(self):
        """Asks the store for the entries while none is linked."""
        while True:
            if not self.links:
                try:
                    found = entry_addresses(self._store.read(ENTRIES_PREFIX))
                    self._looked_up = tuple(
                        get_address({"address": address}, "address")
                        for _, address in found
                    )
                    self._update_diallers()
                except StoreError as error:
                    log.info("entries_not_found", extra={"error": str(error)})
            gevent.sleep(_LOOKUP_INTERVAL_S)
