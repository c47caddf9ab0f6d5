"""
tests.test_reconnected_executor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An entry and an executor whose links break again before the executor has told its runs.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.protocol.gen.ttypes import (
    EndBatch,
    RunningTasks,
    StartBatch,
    StopBatch,
)
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import (
    FakeLink,
    job_queue,
    job_request,
    start_group,
    upstream_state,
)

_HEARTBEAT_S = 0.05
# Time of the task of the tests; longer than any of them.
_WORK_MS = 9000


class _Channel:
    """The two ends of a connection between an executor and the entry of a test.

    Args:
        case: `ReconnectedExecutorTest`.
        name: Name of the executor.
        number: Number of the connection.
        reaches_entry: Whether messages of the executor arrive, its heartbeats included.
        registers_at_entry: Whether the entry completes the handshake.
    """

    def __init__(self, case, name, number=1, reaches_entry=True, registers=True):
        self._scheduler, self._executor = case.scheduler, case.executors[name]
        self._reaches_entry, self._registers = reaches_entry, registers
        self.at_entry = FakeLink(name, "runner", link_number=number)
        self.at_executor = FakeLink("e1", link_number=number)
        self.at_entry.try_send = self._to_executor
        self.at_executor.try_send = self._to_entry
        if registers:
            self._scheduler.on_link_up(self.at_entry, clock.now())
        self._executor.on_link_up(self.at_executor, clock.now())
        self._heartbeats = gevent.spawn(self._send_heartbeats)
        case.addCleanup(self._heartbeats.kill)

    def close(self):
        self._heartbeats.kill()
        self._executor.on_link_down(self.at_executor, clock.now())
        if self._registers:
            self._scheduler.on_link_down(self.at_entry, clock.now())

    def _to_executor(self, message):
        self.at_entry.sent.append(message)
        if isinstance(message, (StartBatch, StopBatch)):
            self._executor.on_message(self.at_executor, message, clock.now())
        return True

    def _to_entry(self, message):
        if self._reaches_entry and isinstance(message, (EndBatch, RunningTasks)):
            self._scheduler.on_message(self.at_entry, message, clock.now())
        return True

    def _send_heartbeats(self):
        while self._reaches_entry and self._registers:
            self.at_executor.mark_alive()
            self._executor.on_heartbeat(self.at_executor, 0, clock.now())
            gevent.sleep(_HEARTBEAT_S)


class ReconnectedExecutorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.scheduler = JobScheduler(lambda domain: False)
        self.upstreams, self.executors = {}, {}
        for name in ("r1", "r2"):
            upstream = LeasedUpstream()
            executor = LeasedExecutor(upstream, lambda domain: False)
            executor.on_upstream_report(upstream_state(), clock.now())
            self.upstreams[name], self.executors[name] = upstream, executor
        self.wait_for(
            lambda: not any(e.refusal_reason for e in self.executors.values())
        )
        self.first = _Channel(self, "r1")
        self.start_task()
        _Channel(self, "r2")

    def wait_for(self, condition, seconds=3.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "the condition was not met in time")
            gevent.sleep(0.002)

    def start_task(self):
        request = job_request(timeout_s=60.0)
        request = type(request)(
            request.job_id, request.request_id, str(_WORK_MS), request.phases, 60.0
        )
        self.scheduler.submit(request, job_queue(slack_s=60.0), clock.now())
        self.wait_for(lambda: self.upstreams["r1"].running)
        gevent.sleep(0.2)

    def assert_never_two_runs(self):
        """Waits for the second run, and fails if the first one is still active then."""
        self.wait_for(lambda: self.upstreams["r2"].records)
        self.assertEqual({}, self.upstreams["r1"].running)

    def reconnect_often(self, **values):
        """Breaks and opens links until the entry would start the task elsewhere."""
        for number in range(2, 8):
            self.first.close()
            gevent.sleep(0.15)
            self.first = _Channel(self, "r1", number, **values)

    def test_links_that_are_silent_towards_the_entry(self):
        """Guards against a second run while an executor takes its entry for alive."""
        self.reconnect_often(reaches_entry=False)
        self.first.close()
        self.assert_never_two_runs()

    def test_runs_of_other_entries_go_on(self):
        """Guards against a lease that ends for all because one entry is half linked."""
        other = FakeLink("e2")
        executor = self.executors["r1"]
        executor.on_link_up(other, clock.now())

        def send_heartbeats():
            while True:
                other.mark_alive()
                executor.on_heartbeat(other, 0, clock.now())
                gevent.sleep(_HEARTBEAT_S)

        self.addCleanup(gevent.spawn(send_heartbeats).kill)
        gevent.sleep(_HEARTBEAT_S)
        group = start_group("other.0.0.0", work_ms=_WORK_MS)
        executor.on_message(other, StartBatch(1, [group]), clock.now())
        self.reconnect_often(reaches_entry=False)
        gevent.sleep(0.3)
        self.assertEqual([("other.0.0.0", 1)], list(self.upstreams["r1"].running))

    def test_handshakes_that_the_entry_does_not_complete(self):
        """Guards against a lease that is renewed for an entry that knows of no link."""
        self.reconnect_often(registers=False)
        self.assert_never_two_runs()
