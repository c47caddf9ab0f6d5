"""
tests.test_tls
~~~~~~~~~~~~~~

Callers that connect to an entry over TLS.
"""

import json
from pathlib import Path

from gevent.ssl import PROTOCOL_TLS_CLIENT, SSLContext
from geventhttpclient import HTTPClient

from standins.fleet import free_port

from .fleet_case import FleetCase

__all__ = []

_DATA = Path(__file__).resolve().parent / "data"


def _context():
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(str(_DATA / "entry-cert.pem"))
    return context


class TlsTest(FleetCase):
    def test_entry_serves_callers_over_tls(self):
        """Guards against an entry that ignores its certificate or fails with it."""
        fleet = self.start_fleet(entries=1)
        port = free_port()
        fleet.start_extra_entry(
            "etls",
            http=f"127.0.0.1:{port}",
            tls_certificate=str(_DATA / "entry-cert.pem"),
            tls_key=str(_DATA / "entry-key.pem"),
        )
        client = HTTPClient("127.0.0.1", port, ssl=True, ssl_context_factory=_context)
        self.addCleanup(client.close)

        def version_in_force():
            status = json.loads(client.get("/admin/status").read())
            return status["config_version"] == 1

        fleet.wait_until(version_in_force)
