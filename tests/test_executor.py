"""
tests.test_executor
~~~~~~~~~~~~~~~~~~~

The executor of one upstream, without the other processes.
"""

from types import SimpleNamespace

import gevent
import gevent.event
from gevent.server import StreamServer
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.executor import Executor, Upstream
from papayaward.protocol.gen import ttypes
from papayaward.protocol.outcomes import Reason, TaskStatus
from papayaward.transport.upstream_http import NotSent

__all__ = []

_REFUSED = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
_SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
_ANNOUNCED_SLOTS = 16
_ACTUAL_SLOTS = 2


def _executor():
    """Returns an executor whose start gate is open."""
    config = SimpleNamespace(domains_out=())
    node = SimpleNamespace(
        incarnation=1,
        domain="a",
        config=SimpleNamespace(config=config),
        evidence=SimpleNamespace(latest=clock.now()),
        draining=False,
        settings=SimpleNamespace(evidence_max_age_s=60.0, announce_ttl_s=60.0),
    )
    return Executor(node)


def _upstream(port, instance="i1"):
    return Upstream("127.0.0.1", port, _ANNOUNCED_SLOTS, instance=instance)


class _Coordinator:
    """Link to a coordinator that collects the results of its grants."""

    def __init__(self, executor):
        self._executor = executor
        self._granted = 0
        self.peer = SimpleNamespace(member="coordinator")
        self.results = []
        executor.on_link_up(self)

    def try_send(self, message):
        if isinstance(message, ttypes.ResultBatch):
            self.results += message.results
        return True

    def grant(self, deadline_ms=60_000):
        """Grants one task."""
        self._granted += 1
        grant = ttypes.Grant("j", self._granted, 1, b"{}", deadline_ms, "t1", "c1")
        self._executor.on_message(self, ttypes.RunBatch(1, [grant]), clock.now())

    def run(self, deadline_ms=60_000):
        """Grants one task and returns its status and reason."""
        self.grant(deadline_ms)
        with gevent.Timeout(5):
            while len(self.results) < self._granted:
                gevent.sleep(0.01)
        return self.results[-1].status, self.results[-1].reason


class RefusalsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.open_requests = []
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        self.addCleanup(server.stop)
        self.executor = _executor()
        self.executor.announce(_upstream(server.server_port), clock.now())

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


class DeadlineTest(TestCase):
    """The deadline passes before the upstream answers."""

    def setUp(self):
        super().setUp()
        self.executor = _executor()
        self.executor.announce(_upstream(1), clock.now())
        self.coordinator = _Coordinator(self.executor)

    def test_deadline_before_the_request_is_sent(self):
        """Guards against `failed` for a task that was never sent to the upstream.

        It would also count against the executor's health and use a retry.
        """
        self.executor._client = SimpleNamespace(post=_connect_forever)
        refused = (TaskStatus.REJECTED, Reason.DEADLINE)
        self.assertEqual(refused, self.coordinator.run(deadline_ms=20))

    def test_deadline_after_the_request_was_sent(self):
        """Guards against `failed` for a task of which the upstream says nothing."""
        self.executor._client = SimpleNamespace(post=_never_answer)
        lost = (TaskStatus.LOST, Reason.DEADLINE)
        self.assertEqual(lost, self.coordinator.run(deadline_ms=20))


class ReplacedUpstreamTest(TestCase):
    """An upstream is replaced while requests to the earlier one are in progress."""

    def setUp(self):
        super().setUp()
        self.connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.executor = _executor()
        self.coordinator = _Coordinator(self.executor)

    def _serve(self, sock, _):
        self.connections += 1
        while sock.recv(65536):
            sock.sendall(_SERVED)

    def _announce(self, port, instance):
        self.executor.announce(_upstream(port, instance), clock.now())

    def test_connections_of_the_earlier_instance_are_not_used(self):
        """Guards against runs that are lost on connections to a stopped process.

        A replaced VM closes no connection; the new one resets those it does not know,
        after the request was sent.
        """
        self._announce(self.server.server_port, "i1")
        self.assertEqual(TaskStatus.OK, self.coordinator.run()[0])
        self._announce(self.server.server_port, "i2")
        self.assertEqual(TaskStatus.OK, self.coordinator.run()[0])
        self.assertEqual(2, self.connections)

    def test_connections_are_not_used_after_one_was_lost(self):
        """Guards against losing one run for each kept connection of a dead upstream."""
        self._announce(self.server.server_port, "i1")
        for _ in range(2):
            self.coordinator.grant()
        with gevent.Timeout(5):
            while len(self.coordinator.results) < 2:
                gevent.sleep(0.01)
        self.assertEqual(2, self.connections)
        idle = self.executor._client._idle
        idle.append(_DeadConnection(idle.pop()))
        self.assertEqual(TaskStatus.LOST, self.coordinator.run()[0])
        self.assertEqual(TaskStatus.OK, self.coordinator.run()[0])
        self.assertEqual(3, self.connections)

    def test_refused_connection_to_the_earlier_address(self):
        """Guards against taking a new upstream for unreachable."""
        refused = gevent.event.Event()

        def fail_when_set(path, body, headers, check):
            refused.wait()
            raise NotSent("connection refused")

        self._announce(1, "i1")
        self.executor._client = SimpleNamespace(post=fail_when_set)
        self.coordinator.grant()
        gevent.sleep(0)
        self._announce(self.server.server_port, "i2")
        refused.set()
        with gevent.Timeout(5):
            while not self.coordinator.results:
                gevent.sleep(0.01)
        gone = (TaskStatus.REJECTED, Reason.UPSTREAM_GONE)
        result = self.coordinator.results[0]
        self.assertEqual(gone, (result.status, result.reason))
        self.assertTrue(self.executor.accepting)
        self.executor.tick(clock.now())
        self.assertEqual(_ANNOUNCED_SLOTS, self.executor.slots)
        self.assertEqual(TaskStatus.OK, self.coordinator.run()[0])

    def test_late_refusal_of_the_earlier_instance(self):
        """Guards against applying the limit of a stopped process to a new one."""
        late = gevent.event.Event()

        def refuse_when_set(path, body, headers, check):
            check()
            late.wait()
            return 429, b""

        self._announce(1, "i1")
        self.executor._client = SimpleNamespace(post=refuse_when_set)
        self.coordinator.grant()
        gevent.sleep(0)
        self._announce(self.server.server_port, "i2")
        late.set()
        with gevent.Timeout(5):
            while not self.coordinator.results:
                gevent.sleep(0.01)
        self.executor.tick(clock.now())
        self.assertEqual(_ANNOUNCED_SLOTS, self.executor.slots)


class _DeadConnection:
    """Connection whose peer is gone without having closed it."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        raise ConnectionResetError("reset by the new VM")


def _connect_forever(path, body, headers, check):
    gevent.sleep(60)


def _never_answer(path, body, headers, check):
    check()
    gevent.sleep(60)
