"""
tests.test_executor
~~~~~~~~~~~~~~~~~~~

The executor of one upstream, without the other processes.
"""

from types import SimpleNamespace

import gevent
from gevent.server import StreamServer
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.executor import Executor
from papayaward.protocol.gen import ttypes

__all__ = []

_REFUSED = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
_ANNOUNCED_SLOTS = 16
_ACTUAL_SLOTS = 2


class RefusalsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.open_requests = []
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        self.addCleanup(server.stop)
        config = SimpleNamespace(domains_out=())
        node = SimpleNamespace(
            incarnation=1,
            domain="a",
            config=SimpleNamespace(config=config),
            evidence=SimpleNamespace(latest=clock.now()),
            draining=False,
            settings=SimpleNamespace(evidence_max_age_s=60.0, announce_ttl_s=60.0),
        )
        self.executor = Executor(node)
        upstream = SimpleNamespace(
            host="127.0.0.1",
            port=server.server_port,
            slots=_ANNOUNCED_SLOTS,
            leaving=False,
            instance="i1",
        )
        self.executor.announce(upstream, clock.now())

    def _serve(self, sock, _):
        sock.recv(65536)
        self.open_requests.append(sock)
        gevent.sleep(60)

    def _run(self, tasks):
        grants = [
            ttypes.Grant("j", index, 1, b"{}", 60_000, "t1", "c1")
            for index in range(tasks)
        ]
        link = SimpleNamespace(
            peer=SimpleNamespace(member="coordinator"), try_send=lambda message: True
        )
        self.executor.on_message(link, ttypes.RunBatch(1, grants), clock.now())
        with gevent.Timeout(5):
            while len(self.open_requests) < tasks:
                gevent.sleep(0.01)

    def test_refusals_that_arrive_together(self):
        """Guards against a limit that counts refused tasks as running."""
        self._run(_ANNOUNCED_SLOTS)
        for sock in self.open_requests[_ACTUAL_SLOTS:]:
            sock.sendall(_REFUSED)
        with gevent.Timeout(5):
            while self.executor.running > _ACTUAL_SLOTS:
                gevent.sleep(0.01)
        self.assertEqual(_ACTUAL_SLOTS, self.executor.slots)
