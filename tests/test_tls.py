"""
tests.test_tls
~~~~~~~~~~~~~~

Callers that connect to an entry over TLS.
"""

import json
from pathlib import Path

from gevent import socket
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

    def test_unfinished_handshakes_free_their_connections(self):
        """Guards against callers who wait for good beside clients that say nothing."""
        fleet = self.start_fleet(entries=1)
        port = free_port()
        fleet.start_extra_entry(
            "etls",
            http=f"127.0.0.1:{port}",
            tls_certificate=str(_DATA / "entry-cert.pem"),
            tls_key=str(_DATA / "entry-key.pem"),
            max_connections=16,
        )

        def is_listening():
            with socket.socket() as probe:
                return probe.connect_ex(("127.0.0.1", port)) == 0

        fleet.wait_until(is_listening)
        for number in range(40):
            sock = socket.create_connection(("127.0.0.1", port))
            self.addCleanup(sock.close)
            if number % 2:
                # The header of a record whose content does not follow.
                sock.sendall(b"\x16\x03\x01\x02\x00")
        client = HTTPClient(
            "127.0.0.1",
            port,
            ssl=True,
            ssl_context_factory=_context,
            connection_timeout=60.0,
            network_timeout=60.0,
        )
        self.addCleanup(client.close)
        self.assertEqual(200, client.get("/admin/status").status_code)
