"""
tests.test_upstream_http
~~~~~~~~~~~~~~~~~~~~~~~~

Requests to an upstream: escaped header values, kept connections, and the check
before sending.
"""

import os
import resource

import gevent
from gevent import socket
from gevent.server import StreamServer
from testtools import TestCase

from papayaward.transport.upstream_http import NotSent, UpstreamClient

__all__ = []

# `select` accepts file descriptors below this number only.
_SELECT_LIMIT = 1024

_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class UpstreamHttpTest(TestCase):
    def setUp(self):
        super().setUp()
        self.received = []
        self.connections = []
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = UpstreamClient("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        self.connections.append(sock)
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

    def test_kept_connection_is_tested_immediately_before_the_request(self):
        """Guards against sending on a connection that was closed since its test.

        If other greenlets run between the test of a kept connection and the request,
        the upstream may close it meanwhile; the request then counts as one that may
        have run, although no upstream received it.
        """
        order = []
        with gevent.Timeout(5):
            self.client.post("/run", b"{}", {})
            other = gevent.spawn(order.append, "other greenlet")
            self.client.post("/run", b"{}", {}, lambda: order.append("sent"))
            other.join()
        self.assertEqual(["sent", "other greenlet"], order)

    def test_connection_closed_by_the_upstream_is_not_used_again(self):
        """Guards against a request on a connection that the upstream has closed."""
        with gevent.Timeout(5):
            self.client.post("/run", b"{}", {})
            self.connections.pop().shutdown(socket.SHUT_RDWR)
            gevent.sleep(0.05)
            self.assertEqual(200, self.client.post("/run", b"{}", {})[0])
        self.assertEqual(1, len(self.connections))

    def test_kept_connection_with_a_high_file_descriptor(self):
        """Guards against requests that are never sent in a process with many links."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = 2 * _SELECT_LIMIT
        if soft != resource.RLIM_INFINITY and soft < wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
            self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        null = os.open(os.devnull, os.O_RDONLY)
        self.addCleanup(os.close, null)
        for _ in range(_SELECT_LIMIT):
            self.addCleanup(os.close, os.dup(null))
        with gevent.Timeout(5):
            for _ in range(2):
                self.assertEqual(200, self.client.post("/run", b"{}", {})[0])
        self.assertEqual(1, len(self.connections))
