"""
tests.test_withdrawn_starts
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts that were accepted, and that the upstream may not execute any more.
"""

from functools import partial

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.protocol.gen.ttypes import StartBatch
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, job_queue, start_group, upstream_state
from tests.leased_fleet import LeasedFleet, job
from tests.waiting import holds_within

_TASK = "j.0.0.0"
# Time in which a start that is repeated reaches an upstream that is healthy again.
_REPETITIONS_S = 0.6


class WithdrawnStartTest(TestCase):
    """An executor whose upstream refuses the starts that follow one without a reply."""

    def setUp(self):
        super().setUp()
        self.domains_out = set()
        self.upstream = LeasedUpstream(born_ms=1)
        self.is_refusing = True
        self.upstream.is_unhealthy = lambda name: (
            name == "start"
            and self.is_refusing
            and not any(fault.times for fault in self.upstream.faults)
        )
        self.executor = LeasedExecutor(self.upstream, self.domains_out.__contains__)
        self.sequence = 0
        self.report()
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.link = FakeLink("e1")
        self.executor.on_link_up(self.link, clock.now())
        heartbeats = gevent.spawn(self.send_heartbeats)
        self.addCleanup(heartbeats.kill)

    def wait_for(self, condition, seconds=2.0):
        met = holds_within(condition, seconds)
        self.assertTrue(met, "the condition was not met in time")

    def send_heartbeats(self):
        while True:
            self.send_heartbeat()
            gevent.sleep(0.05)

    def send_heartbeat(self):
        self.link.mark_alive()
        self.executor.on_heartbeat(self.link, 0, clock.now())

    def report(self, **changes):
        self.sequence += 1
        state = upstream_state(sequence=self.sequence, **changes)
        self.executor.on_upstream_report(state, clock.now())

    def send(self, *groups):
        self.send_heartbeat()
        self.executor.on_message(self.link, StartBatch(1, list(groups)), clock.now())

    def lose_starts(self, *groups):
        """Sends starts whose first requests are lost, and are refused from then on."""
        self.upstream.fail_request("start", times=len(groups))
        self.send(*groups)
        self.wait_for(lambda: not self.upstream.faults[-1].times)
        gevent.sleep(0.1)
        self.assertEqual([], self.link.ends())

    def evacuate(self):
        self.domains_out.add("a")
        self.executor.check_accepting()

    def deregister(self):
        self.executor.on_upstream_deregistered("i-1", clock.now())

    def check_not_started_after(self, change, ends):
        self.lose_starts(start_group())
        change()
        self.wait_for(self.link.ends, seconds=0.3)
        self.is_refusing = False
        gevent.sleep(_REPETITIONS_S)
        self.assertEqual([], self.upstream.records)
        self.assertEqual(ends, self.link.ends())

    # The lifetime has executed a stop and rejects the number of the lost request, which
    # the next one may execute.
    rejected = [(_TASK, "not_run:late_start")]

    def test_start_without_a_reply_is_not_repeated_at_a_draining_upstream(self):
        """Guards against a run that is lost when its upstream leaves (review/6)."""
        change = partial(self.report, draining=True)
        self.check_not_started_after(change, self.rejected)

    def test_start_without_a_reply_is_not_repeated_in_a_domain_out_of_service(self):
        """Guards against a run that begins long after an evacuation."""
        self.check_not_started_after(self.evacuate, self.rejected)

    def test_start_without_a_reply_is_not_repeated_beyond_a_shrunk_capacity(self):
        """Guards against an upstream that a start brings over its capacity."""
        change = partial(self.report, cores=0)
        self.check_not_started_after(change, self.rejected)

    def test_start_without_a_reply_is_not_repeated_after_a_deregistration(self):
        """Guards against a run at an upstream that is about to end."""
        self.check_not_started_after(self.deregister, self.rejected)

    def test_start_without_a_reply_is_not_repeated_if_its_job_is_crashing(self):
        """Guards against a job that crashes one more upstream."""
        records = self.executor._crashes.records
        change = partial(self.patch, records, "is_exhausted", lambda job_id: True)
        self.check_not_started_after(change, self.rejected)

    def test_start_without_a_reply_that_would_outlast_the_process_is_withdrawn(self):
        """Guards against a run that is stopped when its executor's process ends."""
        self.lose_starts(start_group(expected_ms=900))
        self.executor.close(clock.now() + 0.5)
        self.wait_for(self.link.ends, seconds=0.3)
        self.assertEqual(self.rejected, self.link.ends())

    def test_start_without_a_reply_goes_on_while_the_process_has_time_for_it(self):
        """Guards against a job that is given up although it can be served."""
        self.lose_starts(start_group(expected_ms=100))
        self.executor.close(clock.now() + 2.0)
        self.is_refusing = False
        self.wait_for(lambda: self.link.ends() == [(_TASK, "done")])

    def test_earlier_starts_are_repeated_up_to_a_shrunk_capacity(self):
        """Guards against starts that all give way for a capacity that most fit in."""
        tasks = [f"j.0.0.{i}" for i in range(3)]
        self.lose_starts(*[start_group(task, work_ms=900) for task in tasks])
        self.report(cores=2)
        self.wait_for(self.link.ends, seconds=0.3)
        self.is_refusing = False
        self.wait_for(lambda: len(self.upstream.running) == 2)
        gevent.sleep(0.2)
        self.assertEqual([("j.0.0.2", "not_run:late_start")], self.link.ends())
        self.assertEqual(2, len(self.upstream.records))

    def test_start_is_repeated_when_the_capacity_still_holds_it(self):
        """Guards against starts that give way for a change that leaves them room."""
        self.lose_starts(start_group())
        self.report(cores=1)
        self.is_refusing = False
        self.wait_for(lambda: self.link.ends() == [(_TASK, "done")])

    def test_first_request_is_not_sent_once_its_upstream_drains(self):
        """Guards against a start that waits for a connection beside the last check."""
        send = self.upstream.start

        def connect_and_send(*args):
            gevent.sleep(0.1)
            return send(*args)

        self.upstream.start = connect_and_send
        self.is_refusing = False
        self.send(start_group())
        gevent.sleep(0.02)
        self.report(draining=True)
        self.wait_for(self.link.ends, seconds=0.6)
        self.assertEqual([(_TASK, "not_run:draining")], self.link.ends())
        self.assertEqual([], self.upstream.records)

    def test_run_whose_reply_was_lost_goes_on_when_its_upstream_drains(self):
        """Guards against work that is thrown away since its reply was lost."""
        poll = self.upstream.poll

        def poll_slowly(*args):
            gevent.sleep(0.1)
            return poll(*args)

        self.upstream.poll = poll_slowly
        self.upstream.fail_request("start", delay_s=0.0)
        self.send(start_group(work_ms=400))
        self.wait_for(lambda: self.upstream.records)
        self.report(draining=True)
        self.wait_for(self.link.ends)
        self.assertEqual([(_TASK, "done")], self.link.ends())


class WithdrawnJobTest(TestCase):
    """An entry whose executor withdraws a start."""

    def setUp(self):
        super().setUp()
        self.fleet = LeasedFleet(executors=1, keeps_instance=True)
        self.addCleanup(self.fleet.close)
        self.upstream = self.fleet.upstreams[0]
        self.wait_for(lambda: not self.upstream.executor.refusal_reason)

    def wait_for(self, condition, seconds=2.0):
        met = holds_within(condition, seconds)
        self.assertTrue(met, "the condition was not met in time")

    def drain(self):
        state = upstream_state(
            self.upstream.instance, 8, born_ms=1, sequence=2, draining=True
        )
        self.upstream.executor.on_upstream_report(state, clock.now())

    def submit(self):
        request = job("0123456789abcdef", "200", timeout_s=4.0)
        queue = job_queue(slack_s=4.0)
        return self.fleet.entries[0].submit(request, queue, clock.now())

    def check_is_answered_as_unknown(self, submitted):
        self.drain()
        self.wait_for(submitted.finished.is_set, seconds=0.6)
        self.assertEqual("unknown", submitted.outcome.kind)
        self.assertEqual([], self.upstream.records)

    def test_job_with_a_withdrawn_start_is_answered_at_once(self):
        """Guards against a caller that waits for a task that may start nowhere.

        The answer can't be that the job has not run: the next lifetime of the upstream
        may execute the lost request.
        """
        lifetime = self.upstream.lifetime
        lifetime.fail_request("start")
        lifetime.is_unhealthy = lambda name: (
            name == "start" and not any(fault.times for fault in lifetime.faults)
        )
        submitted = self.submit()
        self.wait_for(lambda: not lifetime.faults[0].times)
        gevent.sleep(0.1)
        self.check_is_answered_as_unknown(submitted)

    def test_job_whose_start_was_settled_without_a_stop_is_answered_at_once(self):
        """Guards against a caller that waits for an upstream that takes no starts.

        It refuses stops as well, so that it might still execute the number.
        """
        lifetime = self.upstream.lifetime
        lifetime.fail_request("start")
        lifetime.is_unhealthy = lambda name: (
            name != "poll" and not any(fault.times for fault in lifetime.faults)
        )
        submitted = self.submit()
        self.wait_for(lambda: not lifetime.faults[0].times)
        gevent.sleep(0.1)
        self.drain()
        # The lease in the request has to end on the upstream's clock.
        self.wait_for(submitted.finished.is_set, seconds=1.5)
        self.assertEqual("unknown", submitted.outcome.kind)
        self.assertEqual([], self.upstream.records)

    def test_job_with_a_start_that_was_not_sent_is_started_elsewhere(self):
        """Guards against a job that is given up although nothing of it can run."""
        send = self.upstream.lifetime.start

        def connect_and_send(*args):
            gevent.sleep(0.1)
            return send(*args)

        self.upstream.lifetime.start = connect_and_send
        submitted = self.submit()
        gevent.sleep(0.05)
        self.fleet.add_executor()
        self.drain()
        self.wait_for(submitted.finished.is_set)
        self.assertEqual("completed", submitted.outcome.kind)
        self.assertEqual([], self.upstream.records)
