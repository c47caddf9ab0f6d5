"""
papayaward.leased_node
~~~~~~~~~~~~~~~~~~~~~~

Base class of the entry and runner processes for leased tasks: links and configuration.
"""

import logging
import time
from dataclasses import dataclass

from . import clock
from .coordination.config_relay import ConfigRelay
from .coordination.config_sync import ConfigHolder
from .coordination.crashes.crash_relay import CrashRelay
from .coordination.domains_sync import DomainsHolder
from .protocol.gen.ttypes import Heartbeat, Hello
from .protocol.jobs import Routing
from .state import metrics
from .transport.link import PROTOCOL_VERSION, LinkStats

__all__ = ["LeasedNode", "NodeSettings"]

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class NodeSettings:
    """Settings of an entry or runner process.

    Attributes:
        member: Name of the process, unique in the fleet.
        role: `entry` or `runner`.
        region: Region of the VM.
        domain: Failure domain of the VM.
        service: Service of a runner's local upstream; empty for an entry.
        link_address: (host, port) for links from other processes.
        entries: (host, port) of the seed entries, known at start-up.
        drain_s: Maximum time from a stop request to the process exit, seconds.
        max_pending_links: Accepted connections without a handshake.
    """

    member: str
    role: str
    region: str
    domain: str
    service: str
    link_address: tuple
    entries: tuple
    drain_s: float
    max_pending_links: int = 64


class LeasedNode:
    """Implements the node interface of `Link`; subclasses handle peers and messages.

    Args:
        settings: `NodeSettings`.
        parse_routing: Function that parses a configuration text into a `Routing`.
        fetch_delay_s: As for `ConfigRelay`.
    """

    heartbeat_interval_s = 0.15
    heartbeat_misses = 3

    def __init__(self, settings, parse_routing, fetch_delay_s):
        self.settings = settings
        self.incarnation = int(time.time() * 1e6)
        self.stats = LinkStats()
        self.config = ConfigHolder(parse_routing, Routing())
        self._relay = ConfigRelay(self.config, fetch_delay_s)
        self.domains = DomainsHolder()
        self.crashes = CrashRelay()
        self.links = {}
        self.draining = False
        # (incarnation, link number) of the latest link to each member.
        self._latest_links = {}
        metrics.export_link_stats(self.stats)

    @property
    def queued(self):
        """Number of jobs that wait for capacity."""
        return 0

    def hello(self):
        """Returns the `Hello` of this process."""
        settings = self.settings
        host, port = settings.link_address
        return Hello(
            PROTOCOL_VERSION,
            settings.member,
            self.incarnation,
            settings.role,
            settings.region,
            settings.domain,
            settings.service,
            f"{host}:{port}",
            self._relay.version,
            self.draining,
            int(clock.now() * 1e6),
        )

    def heartbeat(self, link, now):
        """Returns the next heartbeat for a link."""
        return Heartbeat(
            int(now * 1e6),
            link.last_stamp_us,
            self._relay.version,
            -1,
            self.draining,
            not self.draining,
            self.queued,
            self.domains.revision,
        )

    def on_heartbeat(self, link, heartbeat, now):
        """Handles a heartbeat from a peer."""
        self._relay.on_peer_version(link, heartbeat.config_version, now)
        self.domains.on_peer_revision(link, heartbeat.domains_revision)

    def on_link_up(self, link, now):
        """Registers a new link, which replaces an older one to the same peer.

        Connections can arrive out of order. One that the peer opened before its
        latest connection is closed, because the state in its `Hello` is out of date.
        """
        peer = link.peer
        member = peer.member
        incarnation, number = self._latest_links.get(member, (None, 0))
        if peer.incarnation == incarnation and peer.link_number < number:
            link.close("a later connection from this peer was registered")
            return
        self._latest_links[member] = (peer.incarnation, peer.link_number)
        older = self.links.get(member)
        self.links[member] = link
        if older is not None:
            older.close("replaced by a newer link")
            self.on_peer_down(older, now)
        log.info(
            "link_up",
            extra={"peer": member, "incarnation": link.peer.incarnation},
        )
        self._relay.on_peer_version(link, link.peer.config_version, now)
        self.crashes.on_link_up(link, now)
        self.on_peer_up(link, now)

    def on_link_down(self, link, now):
        """Removes a closed link."""
        self.crashes.on_link_down(link)
        self._relay.on_link_down(link)
        if self.links.get(link.peer.member) is link:
            del self.links[link.peer.member]
            self.on_peer_down(link, now)

    def on_message(self, link, message, now):
        """Handles a message from a peer."""
        if self.links.get(link.peer.member) is not link:
            return
        if not (
            self.on_peer_message(link, message, now)
            or self.crashes.on_message(link, message, now)
            or self._relay.on_message(link, message, now)
            or self.domains.on_message(message, now)
        ):
            log.warning("message_ignored", extra={"type": type(message).__name__})

    def broadcast(self, message):
        """Sends a message on every link."""
        for link in list(self.links.values()):
            link.try_send(message)

    def now(self):
        """Returns the current time, seconds."""
        return clock.now()
