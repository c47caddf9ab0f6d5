"""
tests.replaced_upstream_case
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An executor whose upstream crashes silently and starts again under its identifier.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.upstream_requests import NoReply, Unreachable
from papayaward.protocol.gen.ttypes import EndBatch, StartBatch, StopBatch
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, start_group, upstream_state
from tests.waiting import holds_within

__all__ = ["ReplacedUpstreamCase"]

_REFUSAL_DELAY_S = 0.001


class _Address:
    """Client of whichever lifetime is reachable at the address of an upstream.

    Attributes:
        lifetime: The reachable `LeasedUpstream`, or None.
        reached_by_starts_only: Whether other requests get no reply yet.
        refuses: Whether connections are refused, whatever the lifetime does.
        next_lifetime: `LeasedUpstream` that replaces the lifetime, which crashes, right
            after it has answered the poll that follows a start without a reply.
    """

    def __init__(self, lifetime):
        self.lifetime = lifetime
        self.reached_by_starts_only = False
        self.refuses = False
        self.next_lifetime = None
        self._is_asked_next = False

    def start(self, instance, request, timeout_s, may_send=lambda: True):
        self._connect()
        if self.lifetime is None and not may_send():
            raise NoReply("not sent")
        self._wait(timeout_s)
        try:
            return self.lifetime.start(instance, request, timeout_s, may_send)
        except NoReply:
            self._is_asked_next = True
            raise

    def stop(self, instance, task, run, fencing_token, timeout_s):
        self._connect()
        self._wait(timeout_s, self.reached_by_starts_only)
        return self.lifetime.stop(instance, task, run, fencing_token, timeout_s)

    def poll(self, instance, request, timeout_s, may_send=lambda: True):
        self._connect()
        self._wait(timeout_s, self.reached_by_starts_only)
        is_replaced_next = self._is_asked_next and self.next_lifetime is not None
        reply = self.lifetime.poll(instance, request, timeout_s, may_send)
        if is_replaced_next:
            self._replace_lifetime()
        return reply

    def _replace_lifetime(self):
        self.lifetime.crash()
        self.lifetime, self.next_lifetime = self.next_lifetime, None
        # The reply to another request would end the session before the start arrives.
        self.reached_by_starts_only = True

    def _connect(self):
        if self.refuses:
            gevent.sleep(_REFUSAL_DELAY_S)
            raise Unreachable("connection refused")

    def _wait(self, timeout_s, is_unreachable=False):
        if self.lifetime is None or is_unreachable:
            gevent.sleep(timeout_s)
            raise NoReply("no reply")


class ReplacedUpstreamCase(TestCase):
    """An executor whose upstream has two lifetimes."""

    # Clock of the first lifetime when the executor is started.
    first_clock_ms = 1000

    def setUp(self):
        super().setUp()
        self.first = LeasedUpstream(born_ms=1, first_clock_ms=self.first_clock_ms)
        # The clock of a lifetime starts anew.
        self.second = LeasedUpstream(born_ms=2, first_clock_ms=0)
        self.address = _Address(self.first)
        self.executor = self.open_executor()
        self.link = FakeLink("e1")
        self.executor.on_link_up(self.link, clock.now())
        heartbeats = gevent.spawn(self.send_heartbeats)
        self.addCleanup(heartbeats.kill)

    def open_executor(self, born_ms=1):
        executor = LeasedExecutor(self.address, lambda domain: False)
        executor.on_upstream_report(upstream_state(born_ms=born_ms), clock.now())
        self.wait_for(lambda: not executor.refusal_reason)
        return executor

    def send_heartbeats(self):
        while True:
            self.send_heartbeat()
            gevent.sleep(0.05)

    def send_heartbeat(self):
        self.link.mark_alive()
        self.executor.on_heartbeat(self.link, 0, clock.now())

    def wait_for(self, condition, seconds=2.0):
        met = holds_within(condition, seconds)
        self.assertTrue(met, "the condition was not met in time")

    def send_start(self, work_ms=5000):
        """Sends the executor a start of the task `j.0.0.0`, under the next number.

        The entry is known to be alive then, also if this process was stopped before.
        """
        self.send_heartbeat()
        ends = [end for batch in self.link.of_type(EndBatch) for end in batch.ends]
        number = max((end.run for end in ends), default=0) + 1
        batch = StartBatch(1, [start_group("j.0.0.0", number, work_ms)])
        self.executor.on_message(self.link, batch, clock.now())

    def stop_task(self):
        """Tells the executor that the task is not wanted any more."""
        self.executor.on_message(self.link, StopBatch(["j.0.0.0"]), clock.now())

    def crash_with_a_start_without_a_reply(self):
        """Crashes the first lifetime while no start has a reply."""
        gevent.sleep(0.3)
        self.first.fail_request("start", times=9)
        self.send_start()
        gevent.sleep(0.05)
        self.first.crash()

    def start_at_the_second_lifetime(self, reached_by_starts_only=False):
        """Sends a start without a reply twice; the second lifetime executes the second.

        Args:
            reached_by_starts_only: Whether other requests don't reach it afterwards.
        """
        gevent.sleep(0.3)
        self.first.fail_request("start")
        self.address.next_lifetime = self.second
        self.send_start()
        self.wait_for(lambda: self.second.records)
        self.address.reached_by_starts_only = reached_by_starts_only

    def report_second_lifetime(self):
        self.executor.on_upstream_report(upstream_state(born_ms=2), clock.now())
