"""
tests.test_http_server
~~~~~~~~~~~~~~~~~~~~~~

An HTTP server that stops while all of its connections are in use.
"""

import gevent
from gevent import socket
from testtools import TestCase

from papayaward import clock
from papayaward.transport.http_server import serve_http
from papayaward.transport.intake_limits import IntakeLimits

__all__ = []

_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def _respond(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


class FullServerTest(TestCase):
    def connect(self, server):
        sock = socket.create_connection(("127.0.0.1", server.server_port), 2.0)
        self.addCleanup(sock.close)
        return sock

    def test_stopping_server_accepts_no_more(self):
        """Guards against requests that are accepted last and then cut off."""
        limits = IntakeLimits(max_connections=2)
        server = serve_http(("127.0.0.1", 0), _respond, limits)
        self.addCleanup(server.stop)
        first, second = self.connect(server), self.connect(server)
        for sock in (first, second):
            sock.sendall(_REQUEST)
            self.assertIn(b"200 OK", sock.recv(1000))
        waiting = self.connect(server)
        waiting.sendall(_REQUEST)
        stopping = gevent.spawn(server.drain, clock.now() + 1.0)
        gevent.sleep(0.1)
        # The base class accepts again when a connection ends.
        first.close()
        gevent.sleep(0.05)
        try:
            self.assertEqual(b"", waiting.recv(1000))
        except ConnectionResetError:
            # Never accepted, so that the kernel has reset it.
            pass
        stopping.join()
