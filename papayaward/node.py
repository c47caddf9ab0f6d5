"""
papayaward.node
~~~~~~~~~~~~~~~

What the processes of both roles of the own interface have in common.
"""

import secrets

from .coordination.config_sync import ConfigHolder
from .protocol.gen.ttypes import Hello
from .state import metrics
from .transport.http_api import HttpApi, Response, json_response
from .transport.link import PROTOCOL_VERSION, LinkStats

__all__ = ["Node"]


class Node:
    """Identity, configuration and link settings of one process.

    Attributes:
        settings: Validated settings of the role.
        incarnation: Number of this process; another process of the member has another.
        draining: Whether the process is stopping.
        stats: `LinkStats`.
        config: `ConfigHolder`.

    Args:
        settings: Validated settings of the role.
        service: Service of the upstream, empty if the role has none.
    """

    def __init__(self, settings, service):
        self.settings = settings
        self.incarnation = secrets.randbits(44) | 1
        self.draining = False
        self.heartbeat_interval_s = settings.heartbeat_interval_s
        self.heartbeat_misses = settings.heartbeat_misses
        self.stats = LinkStats()
        metrics.export_link_stats(self.stats)
        self.config = ConfigHolder()
        self._service = service

    @property
    def is_ready(self):
        """Whether the process serves new work."""
        raise NotImplementedError

    def hello(self):
        """Returns the `Hello` of this process."""
        settings = self.settings
        host, port = settings.listen
        return Hello(
            PROTOCOL_VERSION,
            settings.member,
            self.incarnation,
            settings.role,
            settings.region,
            settings.domain,
            self._service,
            settings.advertise or f"{host}:{port}",
            self.config.version,
            self.draining,
        )

    def http_api(self, max_body_bytes):
        """Returns an `HttpApi` with the routes for health, readiness and metrics.

        Args:
            max_body_bytes: Largest body of a request.
        """
        api = HttpApi(max_body_bytes)
        api.add("GET", "/healthz", lambda request: Response(200, b"ok\n"))
        api.add("GET", "/readyz", self._ready)
        api.add("GET", "/metrics", lambda request: Response(200, metrics.export()))
        return api

    def _ready(self, request):
        ready = self.is_ready
        return json_response(200 if ready else 503, {"ready": ready})
