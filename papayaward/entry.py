"""
papayaward.entry
~~~~~~~~~~~~~~~~

The entry role: serves callers and operators and forwards jobs to their coordinators.
"""

import logging

import gevent

from . import clock
from .caller_api import CallerApi
from .config_api import ConfigApi
from .coordination.config_writer import ConfigWriter
from .coordination.coordinator_client import CoordinatorClient, CoordinatorUnavailable
from .coordination.evidence import EntryEvidence, age_ms
from .coordination.membership import Membership, cell_of
from .loops import repeat
from .node import Node
from .operator_api import OperatorApi
from .protocol.codec import encode
from .protocol.gen.ttypes import ConfigPush, Heartbeat, Member, Members
from .protocol.options import get_address
from .protocol.store_errors import StoreError
from .state import invariants, metrics
from .transport.http_server import serve_http
from .transport.intake_limits import IntakeLimits, decoded_limit
from .transport.peers import serve_links
from .transport.store_client import StoreClient

__all__ = ["Entry"]

log = logging.getLogger(__name__)

_PREPARE_INTERVAL_S = 0.25

# Exceeds the lifetime of the job identifiers that a former coordinator issued.
_COORDINATOR_RETENTION_S = 1200.0


class Entry(Node):
    """One entry process.

    Args:
        settings: Validated settings of the role.
    """

    def __init__(self, settings):
        super().__init__(settings, service="")
        self.evidence = EntryEvidence()
        self.members = Membership()
        addresses = [get_address({"store": a}, "store") for a in settings.store]
        self.store = StoreClient(addresses)
        self.config_writer = ConfigWriter(self.store)
        self.coordinator_client = CoordinatorClient(self)
        # Time at which each coordinator in use was last the leader of its cell, by
        # (member, incarnation).
        self._coordinators = {}
        self._callers = CallerApi(self)
        self._server = None
        self._http = None
        # None before the first attempt to read.
        self._store_reachable = None

    def start(self):
        """Starts accepting links, polling the store and serving HTTP."""
        settings = self.settings
        self.config.on_change(self._push_config)
        self._server = serve_links(
            settings.listen,
            self,
            settings.max_pending_links,
            metrics.count_rejected_requests,
        )
        api = self.http_api(settings.max_body_bytes)
        self._callers.add_routes(api)
        OperatorApi(self).add_routes(api)
        ConfigApi(self, clock.now()).add_routes(api)
        tls = {}
        if settings.tls_certificate:
            tls = {"certfile": settings.tls_certificate, "keyfile": settings.tls_key}
        limits = IntakeLimits(
            max_connections=settings.max_connections,
            socket_buffer_bytes=settings.socket_buffer_bytes,
            max_head_bytes=settings.max_head_bytes,
            max_send_s=settings.response_timeout_s,
            crowded_send_s=min(
                IntakeLimits.crowded_send_s, settings.response_timeout_s
            ),
            max_handshake_s=settings.handshake_timeout_s,
            full_connection_s=settings.full_connection_s,
            budget_bytes=max(settings.max_request_bytes, settings.max_body_bytes),
            max_decoded_bytes=settings.max_decoded_bytes
            or decoded_limit(settings.max_body_bytes),
        )
        count = metrics.count_rejected_requests
        self._http = serve_http(settings.http, api, limits, count, **tls)
        gevent.spawn(repeat, self._read_store)
        gevent.spawn(repeat, self._prepare_leaders)
        log.info("entry_started", extra={"member": settings.member})

    def drain(self):
        """Finishes the open requests and stops the HTTP server."""
        self.draining = True
        log.info("drain_started", extra={"open": len(self._http.open_requests)})
        finished = self._http.drain(clock.now() + self.settings.drain_s)
        invariants.check(
            "planned_stop_cuts_nothing",
            finished,
            open_requests=len(self._http.open_requests),
        )
        log.info("drain_finished", extra={"open": len(self._http.open_requests)})

    @property
    def is_ready(self):
        """Whether the process serves new requests."""
        return not self.draining and self.config.version > 0

    def activate_coordinator(self, view):
        """Sends a coordinator its cell's members before it gets its first job."""
        key = (view.hello.member, view.hello.incarnation)
        if key not in self._coordinators:
            self._coordinators[key] = clock.now()
            self._send_members(view)

    # Node interface of `Link`.

    def heartbeat(self, link, now):
        """Returns the next heartbeat for a link."""
        return Heartbeat(
            int(now * 1e6),
            link.last_stamp_us,
            self.config.version,
            age_ms(self.evidence.latest(now), now),
            self.draining,
            False,
            0,
        )

    def on_heartbeat(self, link, heartbeat, now):
        """Handles a heartbeat from a runner."""
        view = self.members.get(link.peer.member)
        if view is None or view.link is not link:
            return
        self.members.on_heartbeat(view, heartbeat, now)
        self.config.on_peer_version(link, heartbeat.config_version)
        if heartbeat.draining:
            # A draining runner starts no more tasks, so it no longer counts towards
            # the majority.
            self.evidence.on_leave(link.peer.member)
        elif heartbeat.config_version <= self.config.version:
            self.evidence.on_echo(link.peer.member, heartbeat.echo_us, now)

    def on_link_up(self, link, now):
        """Registers a new link, which replaces an older one to the same runner."""
        older = self.members.on_link_up(link, now)
        if older is not None:
            older.close("replaced by a newer link")
        is_current = link.peer.config_version <= self.config.version
        self.evidence.on_member(link.peer.member, now, is_current)
        if self.config.version > link.peer.config_version:
            link.try_send(ConfigPush(self.config.version, self.config.text))
        self.config.on_peer_version(link, link.peer.config_version)
        self._on_membership_change(link)

    def on_link_down(self, link, now):
        """Removes a closed link and wakes the requests that wait for replies on it."""
        self.coordinator_client.on_link_down(link)
        if self.members.on_link_down(link):
            self.coordinator_client.drop_ids(link.peer)
            key = (link.peer.member, link.peer.incarnation)
            self._coordinators.pop(key, None)
            self._on_membership_change(link)

    def on_message(self, link, message, now):
        """Handles a message from a runner."""
        if not (
            self.coordinator_client.on_message(link, message)
            or self.config.on_message(link, message, now)
        ):
            log.warning("message_ignored", extra={"type": type(message).__name__})

    def _on_membership_change(self, link):
        service = self.config.config.services.get(link.peer.service_name)
        if service is None:
            return
        cell = cell_of(link.peer.member, service.cells)
        for view in self.members.in_cell(service.name, cell, service.cells):
            if (view.hello.member, view.hello.incarnation) in self._coordinators:
                self._send_members(view)

    def _send_members(self, view):
        service = self.config.config.services.get(view.hello.service_name)
        if service is None:
            return
        cell = cell_of(view.hello.member, service.cells)
        members = [
            Member(
                other.hello.member,
                other.hello.incarnation,
                other.hello.address,
                other.hello.domain,
                other.hello.service_name,
            )
            for other in self.members.in_cell(service.name, cell, service.cells)
        ]
        view.link.try_send(Members(members))

    def _push_config(self, now):
        push = ConfigPush(self.config.version, self.config.text)
        # Encoded once for all links: encoding a 200 KB text for each of 780 runners
        # would take seconds.
        frame = encode(push)
        for view in list(self.members):
            if view.config_version < push.version:
                view.link.try_send(push, frame)

    def _prepare_leaders(self):
        """Keeps the leader of each cell prepared for new jobs."""
        gevent.sleep(_PREPARE_INTERVAL_S)
        config = self.config.config
        for service in config.services.values():
            for cell in range(service.cells):
                leader = self.members.leader(config, service, cell)
                if leader is not None:
                    self._prepare(leader, clock.now())
        self._release_coordinators(clock.now())

    def _release_coordinators(self, now):
        """Lets former coordinators close the links to their cells.

        Otherwise each change of leader would leave one more runner linked to its
        whole cell.
        """
        for key, last_led in list(self._coordinators.items()):
            if now - last_led < _COORDINATOR_RETENTION_S:
                continue
            del self._coordinators[key]
            view = self.members.get(key[0])
            if view is not None and view.hello.incarnation == key[1]:
                view.link.try_send(Members([]))

    def _prepare(self, leader, now):
        try:
            self.coordinator_client.prepare(leader, now)
            self._coordinators[leader.hello.member, leader.hello.incarnation] = now
        except (CoordinatorUnavailable, TimeoutError) as error:
            log.info("coordinator_not_prepared", extra={"error": str(error)})

    # Store.

    def _read_store(self):
        sent_at = clock.now()
        try:
            envelope = self.config_writer.read_if_changed()
        except StoreError as error:
            if self._store_reachable is not False:
                log.warning("store_unreachable", extra={"error": str(error)})
            self._store_reachable = False
        else:
            now = clock.now()
            if envelope is not None:
                text = envelope.text.encode()
                self.config.offer(envelope.version, text, now)
            # The read is evidence only if the store's latest version is in force here.
            # It is not if, for example, another program wrote a text that fails
            # validation.
            if self.config.version >= self.config_writer.head_version:
                self.evidence.on_store_read(sent_at, now)
            if not self._store_reachable:
                log.info("store_reachable")
            self._store_reachable = True
        gevent.sleep(self.settings.store_poll_s)
