"""
tests.test_run_facts
~~~~~~~~~~~~~~~~~~~~

What an executor may conclude of the number of a run while a request may be late.

docs/notes/run-facts.md lists the facts and the tests that guard them.
"""

import time
from itertools import combinations
from unittest import mock

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.upstream_requests import RunEnd, StartRequest
from papayaward.protocol.gen import ttypes
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import (
    FakeLink,
    capacity_report,
    job_queue,
    job_request,
    upstream_state,
)
from tests.leased_fleet import LeasedFleet, job
from tests.replaced_upstream_case import ReplacedUpstreamCase

_BORN_MS = 1_700_000_000_000
# The time of day may jump by seconds and back again.
_STEP_MS = 5000
_SET_BACK_BORN_MS = _BORN_MS - 60_000
_JOB = "0123456789abcdef"
_TASK = "j.0.0.0"
# Time within which a start that nothing keeps from being accepted has begun.
_START_S = 3.0
_RETRY_S = 0.2
# Time in which an executor follows the clock of an upstream that was set forward.
_CLOCK_CHANGE_S = 1.2
# Delay of the requests that the next lifetime executes, in the order of their tokens.
_LATE_S = 2.0
_SHORTEST_OVERLAP_S = 0.001


class LateNumberCase(ReplacedUpstreamCase):
    # The ends of leases on this clock are far ahead on that of the next lifetime.
    first_clock_ms = 480_000

    def lose_the_reply_to_a_start(self, delay_s=None):
        """Sends a start without a reply, whose repetitions the upstream refuses.

        Args:
            delay_s: Time after which it is executed, seconds; None for never.
        """
        self.first.fail_request("start", delay_s)
        fault = self.first.faults[-1]
        self.first.is_unhealthy = lambda name: name == "start" and not fault.times
        self.send_start()
        self.wait_for(lambda: not fault.times)

    def replace_lifetime(self):
        self.first.next_lifetime = self.second
        self.first.crash()
        self.address.lifetime = self.second

    def starts_within(self, upstream, seconds=_START_S):
        """Sends a start again and again; returns whether a run begins there."""
        before = len(upstream.records)
        until = clock.now() + seconds
        while clock.now() < until:
            if len(upstream.records) > before:
                return True
            if not self.executor.running and not self.executor.refusal_reason:
                self.send_start()
            gevent.sleep(_RETRY_S)
        return False


class RaisedNumberTest(LateNumberCase):
    """A task whose first number the upstream rejects, as an earlier process used it."""

    def lose_the_reply_to_the_next_number(self):
        gevent.sleep(0.3)
        self.first.last_runs[_TASK] = 1
        self.send_start()
        self.wait_for(self.link.ends)
        self.assertEqual([(_TASK, "not_run:old_run")], self.link.ends())
        self.lose_the_reply_to_a_start()

    def test_start_at_the_next_lifetime_has_the_number_that_was_raised(self):
        """Guards against requests under two numbers after a restart of the process."""
        self.lose_the_reply_to_the_next_number()
        self.replace_lifetime()
        self.report_second_lifetime()
        self.wait_for(lambda: len(self.link.ends()) > 1)
        self.assertTrue(self.starts_within(self.second))
        self.assertEqual([2], [record.run for record in self.second.records])

    def test_end_of_the_number_that_was_rejected_ends_no_run(self):
        """Guards against a start that counts as executed and over while it is open.

        A later session lists the end of the earlier process's run once more.
        """
        self.lose_the_reply_to_the_next_number()
        self.first.ends.append(RunEnd(1, _TASK, 1, "stopped"))
        gevent.sleep(0.4)
        self.assertEqual([(_TASK, "not_run:old_run")], self.link.ends())


class SameLifetimeTest(LateNumberCase):
    def test_task_starts_at_the_lifetime_that_was_silent(self):
        """Guards against tasks that wait for 15 s after each loss of an upstream.

        It has neither executed the request nor stopped the run, so that it accepts the
        number, and the request that is open has the same.
        """
        gevent.sleep(0.3)
        self.first.fail_request("start", times=9)
        self.send_start()
        gevent.sleep(0.05)
        self.address.lifetime = None
        self.wait_for(lambda: self.executor.refusal_reason == "not_reported")
        self.first.faults.clear()
        self.address.lifetime = self.first
        self.wait_for(self.link.ends)
        self.assertTrue(self.starts_within(self.first))


class NextLifetimeTest(LateNumberCase):
    def lose_a_start_that_is_settled(self, delay_s=None):
        """Ends a run at the first lifetime while a request to start it is open."""
        gevent.sleep(0.3)
        self.lose_the_reply_to_a_start(delay_s)
        self.stop_task()
        self.wait_for(self.link.ends)

    def test_task_starts_at_the_next_lifetime_after_a_refusal(self):
        """Guards against tasks that wait for 15 s for one refusal (503).

        The next lifetime has seen no run of the task, and accepts the number.
        """
        self.lose_a_start_that_is_settled()
        self.second.is_unhealthy = lambda name: name == "start"
        self.replace_lifetime()
        self.report_second_lifetime()
        self.wait_for(lambda: not self.executor.refusal_reason)
        ends = len(self.link.ends())
        self.send_start()
        self.wait_for(lambda: len(self.link.ends()) > ends)
        self.second.is_unhealthy = lambda name: False
        self.assertTrue(self.starts_within(self.second))

    def test_run_that_ended_before_the_take_over_was_the_only_request(self):
        """Guards against tasks that wait for a request that has been executed.

        The next lifetime has executed it and lists its end.
        """
        self.lose_a_start_that_is_settled(delay_s=0.3)
        self.address.refuses = True
        self.replace_lifetime()
        self.wait_for(lambda: self.second.records)
        self.second.end_run(_TASK, "failed")
        self.address.refuses = False
        self.report_second_lifetime()
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.assertTrue(self.starts_within(self.second))

    def test_end_of_a_confirmed_run_at_the_next_lifetime_was_its_open_request(self):
        """Guards against the same for a run that the first lifetime has confirmed."""
        gevent.sleep(0.3)
        self.first.fail_request("start", delay_s=0.5)
        self.send_start()
        self.wait_for(lambda: self.first.records)
        gevent.sleep(0.1)
        self.address.refuses = True
        self.replace_lifetime()
        self.wait_for(lambda: self.second.records)
        self.second.end_run(_TASK, "failed")
        self.address.refuses = False
        self.wait_for(self.link.ends)
        self.assertEqual([(_TASK, "failed")], self.link.ends())
        self.report_second_lifetime()
        self.assertTrue(self.starts_within(self.second))


class RestartedProcessTest(TestCase):
    """A fleet whose executor's process restarts while a start has no reply."""

    def setUp(self):
        super().setUp()
        self.fleet = LeasedFleet(2, 1, keeps_instance=True, restart_s=0.1)
        self.addCleanup(self.fleet.close)
        self.first = self.fleet.upstreams[0]
        # The ends of leases on this clock are far ahead on that of the next lifetime.
        self.first.lifetime.first_clock_ms = 480_000
        gevent.sleep(_CLOCK_CHANGE_S)

    def wait_for(self, condition, seconds=4.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "the condition was not met in time")
            gevent.sleep(0.005)

    def delay_the_next_start(self, seconds):
        """Has the next start executed late; its repetitions are refused."""
        lifetime = self.first.lifetime
        lifetime.fail_request("start", delay_s=seconds)
        fault = lifetime.faults[-1]
        lifetime.is_unhealthy = lambda name: name == "start" and not fault.times
        return fault

    def submit(self, entry):
        request = job(_JOB, "2000", expected_s=0.5, timeout_s=12.0)
        return entry.submit(request, job_queue(slack_s=12.0), clock.now())

    def crash_before_the_late_starts(self):
        """Has the next lifetime execute the late starts before it is taken over."""
        gevent.sleep(0.6)
        self.first.refuse()
        self.first.crash_from_outside()
        gevent.sleep(1.8)
        self.first.restore()
        gevent.sleep(1.0)

    def test_next_process_starts_no_task_under_another_number(self):
        """Guards against two late starts of one task at the same upstream.

        The entry counts on when the next process has taken the upstream over, and that
        knows of no request of the process before.
        """
        fault = self.delay_the_next_start(_LATE_S)
        self.submit(self.fleet.entries[0])
        self.wait_for(lambda: not fault.times)
        gevent.sleep(0.1)
        self.delay_the_next_start(_LATE_S)
        self.fleet.restart_process(self.first)
        self.crash_before_the_late_starts()
        self.check_no_overlap()

    def test_next_process_starts_no_task_of_another_entry_under_a_lower_number(self):
        """Guards against the same when the job is submitted to another entry.

        That counts from 1. The request that is open has a higher number.
        """
        entry, other = self.fleet.entries
        lifetime, refused = self.first.lifetime, []
        lifetime.is_unhealthy = lambda name: name == "start" and not refused.append(1)
        submitted = self.submit(entry)
        self.wait_for(lambda: refused)
        fault = self.delay_the_next_start(_LATE_S)
        self.wait_for(lambda: not fault.times)
        # The other entry is told of the start.
        gevent.sleep(0.4)
        self.delay_the_next_start(_LATE_S)
        self.fleet.restart_process(self.first)
        entry.end(submitted, "unknown", "the caller left", clock.now())
        self.submit(other)
        self.crash_before_the_late_starts()
        self.check_no_overlap()

    def test_entry_that_links_with_the_next_process_starts_the_task_nowhere_else(self):
        """Guards against a late start beside a run on another upstream.

        The caller submits the job to an entry that has just started. An earlier entry
        knows of the start, and is still linked.
        """
        fault = self.delay_the_next_start(_LATE_S)
        entry = self.fleet.entries[0]
        submitted = self.submit(entry)
        self.wait_for(lambda: not fault.times)
        gevent.sleep(0.1)
        self.fleet.restart_process(self.first)
        entry.end(submitted, "unknown", "the caller left", clock.now())
        self.fleet.add_executor()
        self.submit(self.fleet.add_entry())
        self.crash_before_the_late_starts()
        self.check_no_overlap()

    def check_no_overlap(self):
        records = [r for upstream in self.fleet.upstreams for r in upstream.records]
        for one, other in combinations(records, 2):
            ends_at = min(_end(one), _end(other))
            overlap_s = ends_at - max(one.started_at, other.started_at)
            self.assertLess(overlap_s, _SHORTEST_OVERLAP_S, records)


def _end(record):
    return time.monotonic() if record.ended_at is None else record.ended_at


class ClockSetBackTest(ReplacedUpstreamCase):
    def test_lifetime_that_seems_to_be_earlier_is_used(self):
        """Guards against an upstream that is never used again after a crash.

        The time of day was set back, and its replies tell the same start.
        """
        gevent.sleep(0.3)
        self.first.crash()
        self.address.lifetime = LeasedUpstream(born_ms=_SET_BACK_BORN_MS)
        self.wait_for(lambda: self.executor.refusal_reason == "not_reported")
        report = upstream_state(born_ms=_SET_BACK_BORN_MS)
        until = clock.now() + _START_S
        while self.executor.refusal_reason and clock.now() < until:
            self.executor.on_upstream_report(report, clock.now())
            gevent.sleep(_RETRY_S)
        self.assertEqual("", self.executor.refusal_reason)

    def open_executor(self):
        self.first.born_ms = _BORN_MS
        return super().open_executor(_BORN_MS)


class StaleListTest(LateNumberCase):
    def test_end_at_the_lifetime_before_ends_no_run_of_the_next(self):
        """Guards against a run that is reported as over by a reply that came late.

        The list was sent before the lifetime crashed, and has the same number.
        """
        # The first request starts the run, and its reply is lost.
        self.first.order_loss = lambda: None if self.first.records else 0.0
        self.first.is_unhealthy = lambda name: name == "start" and self.first.records
        poll = self.first.poll

        def poll_slowly(instance, request, timeout_s, may_send):
            reply = poll(instance, request, timeout_s, may_send)
            if reply.ends:
                self.held = not request.wait_ms and request.lease_ms is None
                gevent.sleep(0.15)
            return reply

        self.held = False
        self.first.poll = poll_slowly
        # The poll that is under way ends.
        gevent.sleep(1.2)
        self.send_start(work_ms=5)
        self.wait_for(lambda: self.held)
        self.replace_lifetime()
        self.report_second_lifetime()
        self.wait_for(self.link.ends)
        self.assertTrue(self.starts_within(self.second))
        gevent.sleep(0.3)
        self.assertEqual([(_TASK, "lost")], self.link.ends())


class SteppedClockTest(TestCase):
    def test_next_process_and_lifetime_reject_a_start_from_before_the_step(self):
        """Guards against a late start that is accepted after the take-over.

        The time of day was ahead when it was sent. The executor's process and its
        upstream have restarted together, so that neither knows of its token.
        """
        with mock.patch.object(clock, "unix_ms", lambda: _BORN_MS + _STEP_MS):
            first = LeasedUpstream(born_ms=_BORN_MS)
            self.open_executor(first)
        late = StartRequest(_TASK, 1, "5000", 480_000, first.token)
        first.crash()
        with mock.patch.object(clock, "unix_ms", lambda: _BORN_MS + 1000):
            second = LeasedUpstream(born_ms=_BORN_MS + 500)
            self.open_executor(second)
        self.assertEqual("fenced", second.start("i-1", late).outcome)

    def open_executor(self, upstream):
        executor = LeasedExecutor(upstream, lambda domain: False)
        state = upstream_state(born_ms=upstream.born_ms)
        executor.on_upstream_report(state, clock.now())
        gevent.sleep(0.3)
        self.assertEqual("", executor.refusal_reason)


class ToldPinTest(TestCase):
    def test_end_and_pin_of_one_report(self):
        """Guards against a task that starts elsewhere before it counts as pinned."""
        now = clock.now()
        scheduler = JobScheduler(lambda domain: False)
        first, other = (FakeLink(name, "runner") for name in ("r1", "r2"))
        scheduler.on_link_up(first, now)
        scheduler.on_message(first, capacity_report(), now)
        queue = job_queue(slack_s=60.0)
        scheduler.submit(job_request(_JOB, timeout_s=60.0), queue, now)
        scheduler.schedule(now)
        (start,) = first.starts()
        scheduler.on_link_up(other, now)
        scheduler.on_message(other, capacity_report(), now)
        report = capacity_report(last_batch=1, accepting=False)
        report.ends.append(ttypes.TaskEnd(start.task, start.run, "lost", 0))
        report.room.late_starts = [ttypes.LateStart(start.task, "i-1", 10_000)]
        scheduler.on_message(first, report, now)
        scheduler.schedule(now)
        self.assertEqual([], other.starts())
