"""
tests.test_link
~~~~~~~~~~~~~~~

Messages that a process cannot handle, on one link.
"""

from types import SimpleNamespace

import gevent
from gevent import socket
from testtools import TestCase

from papayaward import clock
from papayaward.protocol.codec import encode
from papayaward.protocol.gen import ttypes
from papayaward.transport.link import PROTOCOL_VERSION, Link, LinkClosed, LinkStats
from papayaward.transport.peers import Dialler


class _Node:
    heartbeat_interval_s = 0.05
    heartbeat_misses = 3

    def __init__(self):
        self.stats = LinkStats()
        self.links = 0

    def hello(self):
        return _hello()

    def heartbeat(self, link, now):
        return ttypes.Heartbeat(1, 1, 0, -1, False, True, 0, 0)

    def on_heartbeat(self, link, heartbeat, now):
        return heartbeat.config_version + 1

    def on_link_up(self, link, now):
        self.links += 1

    def on_link_down(self, link, now):
        pass

    def on_message(self, link, message, now):
        return SimpleNamespace()


def _hello():
    return ttypes.Hello(PROTOCOL_VERSION, "x", 1, "runner", "r", "a", "s", "h:1", 0, 0)


def _tcp_pair():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    ours = socket.create_connection(listener.getsockname())
    peer, _ = listener.accept()
    listener.close()
    return ours, peer


class _CountingNode(_Node):
    def on_heartbeat(self, link, heartbeat, now):
        self.echoed_us = link.echoed_us


class OddMessagesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.node = _CountingNode()
        ours, self.peer = _tcp_pair()
        self.addCleanup(self.peer.close)
        self.link = Link(ours, self.node, dialled=False)

    def test_hello_without_a_field_is_refused(self):
        """Guards against a traceback for each connection of an odd peer."""
        hello = _hello()
        hello.config_version = None
        self.peer.sendall(encode(hello))
        self.assertRaises(LinkClosed, self.link.run)
        self.assertEqual(0, self.node.links)

    def test_echo_from_the_future_is_ignored(self):
        """Guards against runs that go on for years after their entry is gone."""
        beats = [ttypes.Heartbeat(1, 2**62, 0, -1, False, True, 0, 0)]
        self.peer.sendall(encode(_hello()) + b"".join(map(encode, beats)))
        task = gevent.spawn(self.link.run)
        gevent.sleep(0.02)
        self.link.close("the test ends")
        task.join(1.0)
        self.assertTrue(self.node.echoed_us <= clock.now() * 1e6)


class LinkTest(TestCase):
    def test_heartbeat_that_cannot_be_handled_does_not_end_the_dialling(self):
        """Guards against a message that cuts a process off from a peer for good."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)
        accepted = []

        def accept():
            while True:
                sock, _ = listener.accept()
                accepted.append(sock)
                sock.sendall(encode(_hello()) + encode(ttypes.Heartbeat()))

        server = gevent.spawn(accept)
        self.addCleanup(server.kill)
        node = _Node()
        dialler = Dialler(listener.getsockname(), node)
        self.addCleanup(dialler.stop)
        gevent.sleep(1.0)
        self.assertGreater(node.links, 1)
