"""
papayaward.runner
~~~~~~~~~~~~~~~~~

The runner role: executor, coordinator and announcement endpoint of one upstream.
"""

import logging
from functools import partial

import gevent

from . import clock
from .coordination.coordinator import Coordinator
from .coordination.evidence import RunnerEvidence, age_ms
from .coordination.executor import Executor, Upstream
from .coordination.member_lists import read_members
from .loops import repeat
from .node import Node
from .protocol.gen.ttypes import Heartbeat, Members
from .protocol.options import (
    OptionError,
    get_address,
    get_bool,
    get_int,
    get_string,
    read_object,
)
from .rejection_log import RejectionLog
from .state import invariants, metrics
from .transport.http_api import json_response
from .transport.http_server import serve_http
from .transport.loopback import LoopbackLink
from .transport.peers import Dialler, serve_links

__all__ = ["Runner"]

log = logging.getLogger(__name__)

# The tick handles changes that no message signals: evidence and upstream announcements
# that expire, after 2 s or more.
_TICK_S = 0.25
_DRAIN_POLL_S = 0.05
# Largest body of an upstream's announcement.
_MAX_BODY_BYTES = 64 * 1024


class Runner(Node):
    """One runner process.

    Args:
        settings: Validated settings of the role.
    """

    def __init__(self, settings):
        super().__init__(settings, settings.service)
        self.domain = settings.domain
        self.evidence = RunnerEvidence()
        self.executor = Executor(self)
        self.coordinator = Coordinator(self)
        self._links = {}
        self._members_by_entry = {}
        self._rejections = RejectionLog(log, "member_invalid")
        # Names of the members that entries list, by address.
        self._listed = {}
        # (member, `Dialler`) by address.
        self._diallers = {}
        self._was_accepting = False
        self._http = None
        self._server = None

    def start(self):
        """Starts accepting links, dialling the entries and serving HTTP."""
        settings = self.settings
        self._server = serve_links(
            settings.listen,
            self,
            settings.max_pending_links,
            metrics.count_rejected_requests,
        )
        loopback = LoopbackLink(self)
        self.executor.on_link_up(loopback)
        self.coordinator.on_executor_up(loopback, clock.now())
        for index, _ in enumerate(settings.entries):
            address = get_address({"entry": settings.entries[index]}, "entry")
            Dialler(address, self)
        self.config.on_change(self._on_config)
        api = self.http_api(_MAX_BODY_BYTES)
        api.add("POST", "/announce", self._announce)
        self._http = serve_http(settings.http, api)
        gevent.spawn(repeat, self._tick)
        log.info("runner_started", extra={"member": settings.member})

    def drain(self):
        """Refuses new work, finishes what is in progress and delivers the answers."""
        self.draining = True
        log.info("drain_started", extra={"running": self.executor.running})
        self.executor.report_to_all()
        self._notify_entries()
        deadline = clock.now() + self.settings.drain_s
        while clock.now() < deadline:
            if not self.executor.running and not self.coordinator.open_jobs:
                break
            gevent.sleep(_TICK_S)
        invariants.check(
            "planned_stop_cuts_nothing",
            not self.executor.running and not self.coordinator.open_jobs,
            running=self.executor.running,
            open_jobs=self.coordinator.open_jobs,
        )
        # Gives the last answers time to be sent before the links close.
        gevent.sleep(2 * _DRAIN_POLL_S)
        log.info("drain_finished", extra={"running": self.executor.running})

    @property
    def is_ready(self):
        """Whether the process starts new tasks."""
        return self.executor.accepting and not self.draining

    # Node interface of `Link`.

    def heartbeat(self, link, now):
        """Returns the next heartbeat for a link."""
        return Heartbeat(
            int(now * 1e6),
            link.last_stamp_us,
            self.config.version,
            age_ms(self.evidence.latest, now),
            self.draining,
            self.executor.accepting,
            self.coordinator.queued,
        )

    def on_heartbeat(self, link, heartbeat, now):
        """Handles a heartbeat from a peer."""
        if link.peer.role == "entry":
            self.evidence.on_heartbeat(
                heartbeat.echo_us,
                heartbeat.evidence_age_ms,
                heartbeat.config_version,
                self.config.version,
            )
            self._check_accepting()
        self.config.on_peer_version(link, heartbeat.config_version)

    def on_link_up(self, link, now):
        """Registers a new link, which may replace an older one to the same peer."""
        member = link.peer.member
        older = self._links.get(member)
        if older is not None and not self._replaces(link, older):
            link.close("another link to this peer is in use")
            return
        self._links[member] = link
        if older is not None:
            older.close("replaced by a newer link")
        self.config.on_peer_version(link, link.peer.config_version)
        if link.peer.role == "runner":
            self.executor.on_link_up(link)
            self.coordinator.on_executor_up(link, now)

    def on_link_down(self, link, now):
        """Removes a closed link."""
        member = link.peer.member
        if link.peer.role == "runner":
            self.executor.on_link_down(link)
            self.coordinator.on_executor_down(link, now)
        if self._links.get(member) is link:
            del self._links[member]
            # If the link was replaced, the list received on the newer one stays in use.
            self._members_by_entry.pop(member, None)

    def on_message(self, link, message, now):
        """Handles a message from a peer."""
        if self._links.get(link.peer.member, link) is not link:
            # A replaced link may still deliver buffered messages. Everything
            # outstanding was sent again on the newer link.
            return
        if isinstance(message, Members):
            self._on_members(link, message)
        elif not (
            self.executor.on_message(link, message, now)
            or self.coordinator.on_message(link, message, now)
            or self.config.on_message(link, message, now)
        ):
            log.warning("message_ignored", extra={"type": type(message).__name__})

    def _replaces(self, link, older):
        if link.peer.incarnation != older.peer.incarnation or older.closed:
            return True
        if link.dialled == older.dialled:
            return True
        # Both sides dialled at once: the link dialled by the member with the lower
        # name is kept.
        return link.dialled == (self.settings.member < link.peer.member)

    def _on_members(self, link, message):
        self._members_by_entry[link.peer.member] = message.members or ()
        members = {
            member.member: member
            for known in self._members_by_entry.values()
            for member in known
        }
        self.coordinator.on_members(list(members.values()))
        self._listed = {
            address: member.member
            for member, address in read_members(members.values(), self._rejections)
            if member.member != self.settings.member
        }
        self._stop_diallers()
        for address, member in self._listed.items():
            if address not in self._diallers:
                is_linked = partial(self._links.__contains__, member)
                dialler = Dialler(address, self, is_linked)
                self._diallers[address] = (member, dialler)

    def _stop_diallers(self):
        """Stops dialling unlisted members that run no tasks of this coordinator."""
        for address in set(self._diallers) - set(self._listed):
            member, dialler = self._diallers[address]
            # The entries may have lost their links to a runner that still runs tasks
            # of this coordinator.
            if not self.coordinator.has_tasks_on(member):
                del self._diallers[address]
                dialler.stop()

    def _on_config(self, now):
        # Confirms the version at once instead of with the next heartbeat.
        self._notify_entries()
        self._check_accepting()
        self.coordinator.on_config()

    def _notify_entries(self):
        now = clock.now()
        for link in list(self._links.values()):
            if link.peer.role == "entry":
                link.try_send(self.heartbeat(link, now))

    def _tick(self):
        gevent.sleep(_TICK_S)
        now = clock.now()
        self.executor.tick(now)
        self._stop_diallers()
        self._check_accepting()
        if self.evidence.latest is not None:
            metrics.EVIDENCE_AGE.set(now - self.evidence.latest)

    def _check_accepting(self):
        accepting = self.executor.accepting
        if accepting != self._was_accepting:
            self._was_accepting = accepting
            log.info("accepting_changed", extra={"accepting": accepting})
            self.executor.report_to_all()
            self._notify_entries()

    # HTTP.

    def _announce(self, request):
        try:
            document = read_object(request.body)
            service = get_string(document, "service")
            if service != self.settings.service:
                raise OptionError("service", service, self.settings.service)
            host, port = get_address(document, "address")
            upstream = Upstream(
                host,
                port,
                get_int(document, "slots", low=1, high=10_000),
                get_bool(document, "leaving", False),
                get_string(document, "instance", ""),
            )
        except OptionError as error:
            return json_response(400, {"detail": str(error)})
        self.executor.announce(upstream, clock.now())
        self._check_accepting()
        return json_response(200, {"slots": self.executor.slots})
