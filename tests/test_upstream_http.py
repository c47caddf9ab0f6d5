"""
tests.test_upstream_http
~~~~~~~~~~~~~~~~~~~~~~~~

Requests to an upstream: escaped header values, and the check before sending.
"""

import gevent
from gevent.server import StreamServer
from testtools import TestCase

from papayaward.transport.upstream_http import NotSent, UpstreamClient

__all__ = []

_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class UpstreamHttpTest(TestCase):
    def setUp(self):
        super().setUp()
        self.received = []
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = UpstreamClient("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        while True:
            data = sock.recv(65536)
            if not data:
                return
            self.received.append(data)
            sock.sendall(_REPLY)

    def test_header_values_cannot_inject_a_request(self):
        """Guards against a tenant's name that injects a second request."""
        name = "t\r\nContent-Length: 0\r\n\r\nPOST /run HTTP/1.1\r\n\u2603"
        with gevent.Timeout(5):
            status, body = self.client.post("/run", b"{}", {"Papayaward-Tenant": name})
        self.assertEqual((200, b"{}"), (status, body))
        data = b"".join(self.received)
        self.assertEqual(1, data.count(b"\r\n\r\n"), data)
        self.assertEqual(1, data.count(b"\r\nContent-Length"), data)
        self.assertEqual(1, data.count(b"\n\r\n") + data.count(b"\n\n"), data)

    def test_request_is_not_sent_if_the_last_check_fails(self):
        """Guards against a start after a pause between check and sending."""

        def refuse():
            raise NotSent("too late")

        with gevent.Timeout(5):
            self.assertRaises(NotSent, self.client.post, "/run", b"{}", {}, refuse)
            gevent.sleep(0.05)
            self.assertEqual([], self.received)
            self.assertEqual(200, self.client.post("/run", b"{}", {})[0])
