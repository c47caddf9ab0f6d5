"""
tests.test_returned_entry
~~~~~~~~~~~~~~~~~~~~~~~~~

Runs that have to end before their caller submits the job again, while the upstream
does not answer the requests to stop them.
"""

from dataclasses import replace

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.upstream_requests import RunEnd
from papayaward.protocol.gen.ttypes import StartBatch, StopBatch
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, start_group, upstream_state

# Time after which a caller whose connection broke submits its job again.
_RETRY_DELAY_S = 1.3


class UnansweredStopTest(TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = LeasedUpstream()
        self.executor = LeasedExecutor(self.upstream, lambda domain: False)
        self.executor.on_upstream_report(upstream_state(), clock.now())
        self.wait_for(lambda: not self.executor.refusal_reason)
        # Another entry, whose heartbeats and run prolong the lease.
        other = self.connect("e2")
        self.start(other, "k.0.0.0")

    def wait_for(self, condition, seconds=3.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "the condition was not met in time")
            gevent.sleep(0.005)

    def connect(self, member="e1", incarnation=1):
        link = FakeLink(member, incarnation=incarnation)
        self.executor.on_link_up(link, clock.now())
        link.heartbeats = gevent.spawn(self.send_heartbeats, link)
        self.addCleanup(link.heartbeats.kill)
        return link

    def send_heartbeats(self, link):
        while True:
            link.mark_alive()
            self.executor.on_heartbeat(link, 0, clock.now())
            gevent.sleep(0.05)

    def start(self, link, task):
        batch = StartBatch(1, [start_group(task, work_ms=9000)])
        self.executor.on_message(link, batch, clock.now())
        gevent.sleep(0.3)

    def outcome(self, task):
        return next(r.outcome for r in self.upstream.records if r.task == task)

    def assert_ended_before_the_job_comes_again(self, task, since):
        self.wait_for(lambda: self.outcome(task))
        self.assertLess(clock.now() - since, _RETRY_DELAY_S)

    def test_runs_of_an_entry_that_returns_at_once_end_with_their_lease(self):
        """Guards against a lease that is renewed for runs of a killed entry."""
        link = self.connect()
        self.start(link, "j.0.0.0")
        self.upstream.fail_request("stop", times=100)
        killed_at = clock.now()
        link.heartbeats.kill()
        self.executor.on_link_down(link, killed_at)
        gevent.sleep(0.1)
        self.connect(incarnation=2)
        self.assert_ended_before_the_job_comes_again("j.0.0.0", killed_at)

    def test_run_of_a_job_whose_caller_left_ends_with_its_lease(self):
        """Guards against a lease that is renewed for a run that is to be stopped."""
        link = self.connect()
        self.start(link, "j.0.0.0")
        self.upstream.fail_request("stop", times=100)
        left_at = clock.now()
        self.executor.on_message(link, StopBatch(["j.0.0.0"]), left_at)
        self.assert_ended_before_the_job_comes_again("j.0.0.0", left_at)

    def test_tasks_start_again_after_the_lease_has_ended(self):
        """Guards against an executor that is blocked by a stop without a reply."""
        link = self.connect()
        self.start(link, "j.0.0.0")
        self.upstream.fail_request("stop", times=10_000)
        self.executor.on_message(link, StopBatch(["j.0.0.0"]), clock.now())
        self.wait_for(lambda: self.outcome("j.0.0.0"))
        gevent.sleep(0.3)
        self.start(link, "l.0.0.0")
        self.assertEqual("", self.outcome("l.0.0.0"))

    def test_unanswered_start_is_settled_when_it_has_expired(self):
        """Guards against an executor that is blocked by a start without a reply."""
        link = self.connect()
        self.upstream.fail_request("start", times=10)
        self.upstream.fail_request("stop", times=10_000)
        batch = StartBatch(1, [start_group("j.0.0.0", work_ms=9000)])
        self.executor.on_message(link, batch, clock.now())
        gevent.sleep(0.1)
        self.executor.on_message(link, StopBatch(["j.0.0.0"]), clock.now())
        self.wait_for(link.ends)
        gevent.sleep(0.3)
        self.upstream.faults.clear()
        self.start(link, "l.0.0.0")
        self.assertEqual("", self.outcome("l.0.0.0"))

    def test_start_with_a_number_whose_end_is_still_listed_is_not_forgotten(self):
        """Guards against a run that never began and uses capacity for good.

        The listed end is that of an earlier submission of the job.
        """
        link = self.connect()
        poll = self.upstream.poll
        self.upstream._end_count = 1

        def list_end(*args):
            reply = poll(*args)
            return replace(reply, ends=(RunEnd(1, "j.0.0.0", 1, "done"), *reply.ends))

        self.upstream.poll = list_end
        gevent.sleep(0.3)
        self.upstream.last_runs["j.0.0.0"] = 1
        self.upstream.fail_request("start")
        running = self.executor.running
        self.start(link, "j.0.0.0")
        self.wait_for(link.ends)
        # Under the next number, the next lifetime could execute both requests.
        self.assertEqual([("j.0.0.0", "not_run:late_start")], link.ends())
        self.assertEqual(running, self.executor.running)
        self.assertNotIn("j.0.0.0", [record.task for record in self.upstream.records])

    def test_stop_by_another_entry_leaves_a_run(self):
        """Guards against an entry that stops a task submitted again to another one."""
        link = self.connect()
        self.executor.on_message(link, StopBatch(["k.0.0.0"]), clock.now())
        gevent.sleep(0.2)
        self.assertEqual("", self.outcome("k.0.0.0"))
