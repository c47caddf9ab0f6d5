"""
tests.test_path_faults
~~~~~~~~~~~~~~~~~~~~~~

Runs of the soak whose paths between runners and upstreams refuse connections or are
silent, and the proxy that refuses them.
"""

import errno

from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer
from testtools import TestCase

from benchmarks.platform_soak import run_soak
from standins.fleet import free_port
from standins.platform_fleet import HOST
from standins.proxy import TcpProxy

__all__ = []

_SECONDS = 10.0
_TIMEOUT_S = 5.0


class RefusedConnectionsTest(TestCase):
    def test_refused_connection_does_not_end_runs(self):
        """Guards against a second run after a path refused beside an active upstream.

        A path that refused connections stood for the end of all runs behind it.
        """
        findings, events, answers = run_soak(
            7102, _SECONDS, runners=4, only="path_refuse"
        )
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], 0, answers)

    def test_late_start_at_the_next_lifetime_runs_no_task_twice(self):
        """Guards against a second run beside a start that the next lifetime executes.

        An end that the lifetime before had shown released the task for other upstreams.
        """
        findings, events, answers = run_soak(
            8302, _SECONDS, runners=4, only="path_late"
        )
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], 0, answers)


class ProxyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.server_errors = Queue()
        server = StreamServer((HOST, 0), self._echo)
        server.start()
        self.addCleanup(server.stop)
        target = HOST, server.server_port
        self.proxy = TcpProxy(target, listen=(HOST, free_port()))
        self.addCleanup(self.proxy.close)

    def test_closed_listener_refuses_until_all_have_opened_it(self):
        """Guards against a refusal that is a closed connection, or ends too early."""
        address = self.proxy.address
        self.proxy.close_listener("first")
        self.proxy.close_listener("second")
        self.proxy.open_listener("first")
        error = self.assertRaises(ConnectionRefusedError, self._connect)
        self.assertEqual(errno.ECONNREFUSED, error.errno)
        self.proxy.open_listener("second")
        self.assertEqual(address, self.proxy.address)
        self._check_echo(self._connect())

    def test_closed_listener_keeps_open_connections(self):
        """Guards against a refusal that breaks the requests under way."""
        client = self._connect()
        self._check_echo(client)
        self.proxy.close_listener("fault")
        self._check_echo(client)

    def test_reset_sends_rst(self):
        """Guards against a reset that looks to one side like an end of the stream."""
        client = self._connect()
        self._check_echo(client)
        self.proxy.reset()
        error = self.assertRaises(OSError, client.recv, 1)
        self.assertEqual(errno.ECONNRESET, error.errno)
        error = self.server_errors.get(timeout=_TIMEOUT_S)
        self.assertEqual(errno.ECONNRESET, error.errno)

    def _connect(self):
        client = socket.create_connection(self.proxy.address, _TIMEOUT_S)
        self.addCleanup(client.close)
        return client

    def _check_echo(self, client):
        client.sendall(b"x")
        self.assertEqual(b"x", client.recv(1))

    def _echo(self, sock, address):
        try:
            while data := sock.recv(1024):
                sock.sendall(data)
        except OSError as error:
            self.server_errors.put(error)
