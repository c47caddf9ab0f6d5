"""
papayaward.leased_node
~~~~~~~~~~~~~~~~~~~~~~

What an entry and a runner of leased tasks share: links, configuration, members.
"""

import logging
import time
from dataclasses import dataclass

from . import clock
from .coordination.config_relay import ConfigRelay
from .coordination.config_sync import ConfigHolder
from .coordination.domains_sync import DomainsHolder
from .protocol.gen.ttypes import Heartbeat, Hello
from .protocol.jobs import Routing
from .state import metrics
from .transport.link import PROTOCOL_VERSION, LinkStats

__all__ = ["LeasedNode", "NodeSettings"]

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class NodeSettings:
    """Settings of a process.

    Attributes:
        member: Name of the process, unique in the fleet.
        role: `entry` or `runner`.
        region: Region of the VM.
        domain: Failure domain of the VM.
        service: Service of the upstream beside a runner; empty at an entry.
        link_address: (host, port) for links from other processes.
        entries: (host, port) of entries that are known from the start.
        drain_s: Longest time from a stop request to the end of the process, seconds.
    """

    member: str
    role: str
    region: str
    domain: str
    service: str
    link_address: tuple
    entries: tuple
    drain_s: float


class LeasedNode:
    """Interface for links, as `Link` needs it.

    Args:
        settings: `NodeSettings`.
        parse_routing: Function that returns the `Routing` of a configuration text.
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
        self.links = {}
        self.draining = False
        # Incarnation and number of the latest link by member.
        self._latest_links = {}
        metrics.export_link_stats(self.stats)

    def hello(self):
        """Returns the greeting of this process."""
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
            0,
            self.domains.revision,
        )

    def on_heartbeat(self, link, heartbeat, now):
        """Takes a peer's heartbeat."""
        self._relay.on_peer_version(link, heartbeat.config_version, now)
        self.domains.on_peer_revision(link, heartbeat.domains_revision)

    def on_link_up(self, link, now):
        """Takes a new link, which replaces an older one to the same peer.

        Connections can overtake each other: one that the peer made before the latest
        is closed, since what it says of the peer is out of date.
        """
        peer = link.peer
        member = peer.member
        incarnation, number = self._latest_links.get(member, (None, 0))
        if peer.incarnation == incarnation and peer.link_number < number:
            link.close("an earlier connection than the one in use")
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
        self.on_peer_up(link, now)

    def on_link_down(self, link, now):
        """Forgets a closed link."""
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
            or self._relay.on_message(link, message, now)
            or self.domains.on_message(message, now)
        ):
            log.warning("message_ignored", extra={"type": type(message).__name__})

    def broadcast(self, message):
        """Sends a message on every link."""
        for link in list(self.links.values()):
            link.try_send(message)

    def now(self):
        """Returns the present time, seconds."""
        return clock.now()
