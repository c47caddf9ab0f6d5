"""
tests.test_next_lifetime
~~~~~~~~~~~~~~~~~~~~~~~~

What an executor concludes from the take-over of the next lifetime of an upstream.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.upstream_requests import StartRequest
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import upstream_state
from tests.replaced_upstream_case import ReplacedUpstreamCase

_TASK = "j.0.0.0"
_BORN_MS = 1_700_000_000_000


class UnreportedLifetimeTest(ReplacedUpstreamCase):
    def lose_with_a_start_without_a_reply(self):
        self.crash_with_a_start_without_a_reply()
        self.wait_for(lambda: self.executor.refusal_reason == "not_reported")

    def test_late_report_does_not_stand_for_that_of_the_next_lifetime(self):
        """Guards against starts that exceed the capacity of a smaller lifetime.

        A report of the lifetime before may arrive after the loss. The next lifetime is
        taken over as soon as it replies, and has not told its capacity by then.
        """
        self.lose_with_a_start_without_a_reply()
        late = upstream_state(born_ms=1, sequence=2)
        self.executor.on_upstream_report(late, clock.now())
        self.address.lifetime = self.second
        self.wait_for(self.link.ends)
        self.assertEqual("not_reported", self.executor.refusal_reason)


class EarlierProcessTest(TestCase):
    def test_take_over_by_the_next_process_rejects_late_starts(self):
        """Guards against a second run of a task that its entry has started elsewhere.

        The executor's process and its upstream restart together. The clock of the next
        lifetime starts anew, so that its readings are below the earlier token.
        """
        first = LeasedUpstream(born_ms=_BORN_MS, first_clock_ms=480_000)
        executor = LeasedExecutor(first, lambda domain: False)
        executor.on_upstream_report(upstream_state(born_ms=_BORN_MS), clock.now())
        gevent.sleep(0.2)
        self.assertEqual("", executor.refusal_reason)
        late = StartRequest(_TASK, 1, "5000", first.clock_ms + 950, first.token)
        first.crash()
        born_ms = _BORN_MS + first.clock_ms
        second = LeasedUpstream(born_ms=born_ms)
        successor = LeasedExecutor(second, lambda domain: False)
        successor.on_upstream_report(upstream_state(born_ms=born_ms), clock.now())
        gevent.sleep(0.2)
        self.assertTrue(successor._capacity().taken_over)
        self.assertEqual("fenced", second.start("i-1", late).outcome)


class LifetimeInListsOnlyTest(TestCase):
    def test_report_without_a_start_time_is_used_after_a_loss(self):
        """Guards against an upstream that is never used again after a crash.

        Its lists of runs tell the start of its lifetime, but its reports do not.
        """
        upstream = LeasedUpstream(born_ms=2)
        executor = LeasedExecutor(upstream, lambda domain: False)
        executor.on_upstream_report(upstream_state(born_ms=0), clock.now())
        gevent.sleep(0.2)
        self.assertEqual("", executor.refusal_reason)
        upstream.crashed = True
        gevent.sleep(0.2)
        self.assertNotEqual("", executor.refusal_reason)
        upstream.crashed = False
        report = upstream_state(born_ms=0, sequence=2)
        executor.on_upstream_report(report, clock.now())
        gevent.sleep(0.2)
        self.assertEqual("", executor.refusal_reason)


class LateStartAfterTakeOverTest(ReplacedUpstreamCase):
    first_clock_ms = 480_000

    def test_late_start_is_rejected_once_the_run_is_reported_as_lost(self):
        """Guards against a take-over whose token is below that of the session before.

        The clock of the next lifetime starts anew.
        """
        gevent.sleep(0.3)
        self.first.fail_request("start", times=9)
        self.send_start()
        gevent.sleep(0.05)
        late = StartRequest(_TASK, 1, "5000", 481_000, self.first.token)
        self.first.crash()
        self.wait_for(lambda: self.executor.refusal_reason == "not_reported")
        self.address.lifetime = self.second
        self.wait_for(self.link.ends)
        self.assertEqual([(_TASK, "lost")], self.link.ends())
        self.assertEqual("fenced", self.second.start("i-1", late).outcome)


class RepeatedCrashTest(ReplacedUpstreamCase):
    def is_start_pending(self):
        run = self.executor._runs.get(_TASK)
        return run is not None and not run.running

    def test_undecided_run_is_no_witness_of_the_next_crash(self):
        """Guards against a job that is condemned for a crash that it was not part of.

        Its run was confirmed by the lifetime that crashed first, and an earlier request
        for it had no reply. The second lifetime has not listed it.
        """
        crashes = []
        self.executor._crashes.on_crash(lambda crash, now: crashes.append(crash))
        gevent.sleep(0.3)
        self.first.fail_request("start")
        self.send_start()
        self.wait_for(lambda: not self.is_start_pending())
        self.first.crash()
        self.wait_for(lambda: crashes)
        # The second lifetime crashes right after its first reply.
        poll = self.second.poll

        def poll_once(*args):
            reply = poll(*args)
            self.second.crash()
            return reply

        self.second.poll = poll_once
        self.address.lifetime = self.second
        self.wait_for(lambda: len(crashes) == 2)
        (job,) = crashes[0].jobs
        self.assertEqual((_TASK,), job.started)
        self.assertEqual([], [task for job in crashes[1].jobs for task in job.started])


class UnknownRunTest(ReplacedUpstreamCase):
    def test_run_that_nobody_sent_is_stopped(self):
        """Guards against a second run that lasts as long as other runs renew the lease.

        A late start of an earlier process may carry a higher token than this one.
        """
        self.send_start()
        self.wait_for(lambda: self.first.records)
        lease_ms = self.first.clock_ms + 1000
        late = StartRequest("late.0.0.0", 1, "5000", lease_ms, self.first.token + 500)
        self.assertEqual("ok", self.first.start("i-1", late).outcome)
        gevent.sleep(2.0)
        self.assertEqual("", self.first.records[0].outcome)
        self.assertEqual("stopped", self.first.records[1].outcome)


class SettledStartTest(ReplacedUpstreamCase):
    # The ends of leases on this clock are far ahead on that of the next lifetime.
    first_clock_ms = 480_000

    def test_settled_start_does_not_run_at_the_next_lifetime(self):
        """Guards against a second run of a task that was reported as not run.

        The stop that settles a start holds for the lifetime that answered it. The next
        one is not polled before its report if no run is undecided.
        """
        gevent.sleep(0.3)
        self.first.next_lifetime = self.second
        self.first.fail_request("start", delay_s=0.8)
        self.first.is_unhealthy = lambda name: (
            name == "start" and not any(fault.times for fault in self.first.faults)
        )
        self.send_start()
        self.wait_for(lambda: not self.first.faults[0].times)
        self.stop_task()
        self.wait_for(self.link.ends)
        self.assertEqual([(_TASK, "not_run:cancelled")], self.link.ends())
        self.first.crash()
        self.address.lifetime = self.second
        self.wait_for(lambda: self.second.delayed_outcomes)
        gevent.sleep(0.3)
        outcomes = [record.outcome for record in self.second.records]
        self.assertNotIn("", outcomes)
