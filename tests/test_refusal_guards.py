"""
tests.test_refusal_guards
~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that refuse connections while the lease of their runs goes on.
"""

from dataclasses import replace

import gevent
from testtools import TestCase
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from papayaward import clock
from papayaward.coordination.crashes.crash_relay import CrashRelay
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.protocol import codec
from papayaward.protocol.gen import ttypes
from papayaward.state.crashes import Crash, CrashedJob
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request
from tests.leased_fleet import LeasedFleet, job

JOB = "0123456789abcdef"
OTHER_JOB = "f" * 16


def _refusal(upstream, job_id=JOB, queue="q", noticed_ms=1):
    task = f"{job_id}.0.0.0"
    jobs = (CrashedJob(queue, (task,), 10.0, (task,)),)
    return Crash(upstream, "dispatch", clock.now(), jobs, noticed_ms=noticed_ms)


class RefusalRelayTest(TestCase):
    def setUp(self):
        super().setUp()
        self.sender, self.receiver = CrashRelay(), CrashRelay()
        self.link = FakeLink("e1")
        self.sender.on_link_up(self.link, clock.now())

    def refuse(self, *upstreams):
        refusals = [_refusal(upstream) for upstream in upstreams]
        for refusal in refusals:
            self.sender.publish_refusal(refusal, clock.now())
        return refusals

    def deliver(self, *messages):
        """Sends messages to the receiver in their binary form."""
        for message in messages or self.link.sent:
            body = codec.encode(message)[codec.HEADER.size :]
            received = codec.decode(codec.MESSAGE_CODES["CrashNotices"], body)
            self.receiver.on_message(FakeLink("r1"), received, clock.now())

    def refused(self, relay):
        return [crash.upstream for crash in relay.records_with_refusals.all()]

    def test_refusals_bound_no_starts(self):
        """Guards against a job given up while its upstreams run on."""
        self.refuse("u1", "u2", "u3", "u4")
        self.deliver()
        for relay in (self.sender, self.receiver):
            self.assertEqual(["u1", "u2", "u3", "u4"], self.refused(relay))
            self.assertEqual((), relay.records.all())
            self.assertFalse(relay.records.is_exhausted(JOB))
            self.assertFalse(relay.records.is_condemned_if_known(JOB))

    def test_withdrawal_reaches_the_other_processes(self):
        """Guards against a queue that stays guarded after its upstream has replied."""
        (refusal,) = self.refuse("u1")
        self.deliver()
        self.sender.withdraw(refusal, clock.now())
        self.deliver()
        self.assertEqual([], self.refused(self.receiver))

    def test_withdrawal_that_overtakes_the_refusal_reaches_the_other_processes(self):
        """Guards against a refusal that remains since its notice came last."""
        (refusal,) = self.refuse("u1")
        self.sender.withdraw(refusal, clock.now())
        self.deliver(*reversed(self.link.sent))
        self.assertEqual([], self.refused(self.receiver))

    def test_new_peer_hears_of_a_refusal_as_such(self):
        """Guards against an entry that takes a refusal for a crash as it starts."""
        self.refuse("u1")
        link = FakeLink("e2")
        self.sender.on_link_up(link, clock.now())
        self.deliver(*link.sent)
        self.assertEqual(["u1"], self.refused(self.receiver))
        self.assertEqual((), self.receiver.records.all())

    def test_refusal_is_forwarded_once(self):
        """Guards against refusals that circulate between the processes."""
        self.refuse("u1")
        onward = FakeLink("e2")
        self.receiver.on_link_up(onward, clock.now())
        self.deliver()
        self.deliver()
        self.assertEqual(1, len(onward.sent))

    def test_crash_replaces_the_refusal(self):
        """Guards against a suspicion that is lost since its refusal was known."""
        (refusal,) = self.refuse("u1")
        self.sender.publish(refusal, clock.now())
        self.deliver()
        for relay in (self.sender, self.receiver):
            self.assertEqual(1, relay.records.crashes_under(JOB))
            self.assertEqual(["u1"], self.refused(relay))

    def test_process_without_refusals_reads_none_as_a_crash(self):
        """Guards against jobs given up by a process that is not updated yet."""
        self.refuse("u1")
        body = codec.encode(self.link.sent[0])[codec.HEADER.size :]
        old = _OldNotices()
        old.read(TBinaryProtocolAccelerated(TMemoryBuffer(body)))
        self.assertEqual([], old.notices)

    def test_refusal_that_cannot_be_read_is_skipped(self):
        """Guards against a refusal that closes each link on which it is sent."""
        good = ttypes.CrashNotice("u2", 0, [], "dispatch", 0, False, 1)
        bad = [ttypes.CrashNotice(), ttypes.CrashNotice("u1", -1, [], "dispatch", 0)]
        self.deliver(ttypes.CrashNotices([], None, [*bad, good]))
        self.assertEqual(["u2"], self.refused(self.receiver))


class RefusalGuardTest(TestCase):
    def setUp(self):
        super().setUp()
        self.relay = CrashRelay()
        self.entry = JobScheduler(lambda domain: False, self.relay)
        self.refusals = [_refusal(f"u{number}") for number in range(2)]

    def submit(self, job_id=OTHER_JOB):
        return self.entry.submit(job_request(job_id), job_queue(), clock.now())

    def refuse(self):
        for refusal in self.refusals:
            self.relay.publish_refusal(refusal, clock.now())

    def is_guarded(self, job):
        return self.entry._isolation.is_guarded(job, clock.now())

    def test_refusals_guard_the_queue_and_end_no_job(self):
        """Guards against a queue that reaches every upstream within a lease."""
        running = self.submit(JOB)
        self.refuse()
        self.assertTrue(self.is_guarded(running))
        self.assertIsNone(running.outcome)
        self.assertFalse(self.entry._isolation.is_suspect(running))

    def test_guard_ends_when_the_upstreams_reply(self):
        """Guards against a queue that is held back while its upstreams are sound."""
        job = self.submit()
        self.refuse()
        for refusal in self.refusals:
            self.relay.withdraw(refusal, clock.now())
        self.assertFalse(self.is_guarded(job))

    def test_guard_of_refusals_gives_up_no_likely_cause_of_a_crash(self):
        """Guards against a job answered unknown because connections were refused."""
        self.refuse()
        crash = replace(_refusal("u2", OTHER_JOB), noticed_ms=2)
        crash = replace(crash, jobs=(replace(crash.jobs[0], weight=1e5),))
        running = self.submit()
        self.relay.publish(crash, clock.now())
        self.assertTrue(self.relay.records.is_likely(OTHER_JOB))
        self.assertTrue(self.is_guarded(running))
        views = [_DownView()]
        verdict = self.entry._isolation.verdict(running, views, clock.now())
        self.assertEqual("START", verdict.name)


class CauseStopTest(TestCase):
    """A job with a task on each of three upstreams, two of which refuse connections."""

    def setUp(self):
        super().setUp()
        self.relay = CrashRelay()
        self.entry = JobScheduler(lambda domain: False, self.relay)
        self.links = [FakeLink(f"r{number}", "runner") for number in range(3)]
        for link in self.links:
            self.entry.on_link_up(link, clock.now())
            self.entry.on_message(link, ttypes.RunningTasks([]), clock.now())
            self.report(link)

    def report(self, link, unsettled=()):
        report = capacity_report(len(link.of_type(ttypes.StartBatch)), cores=1)
        report.room.upstream = f"{link.peer.member}@1"
        report.room.unsettled = unsettled
        self.entry.on_message(link, report, clock.now())

    def start(self):
        request = job_request(JOB, tasks=3)
        self.job = self.entry.submit(request, job_queue(), clock.now())
        gevent.sleep(0.01)
        for link in self.links:
            self.assertEqual(1, len(link.starts()))

    def refuse(self, weight, *others):
        """Has two of the upstreams refuse connections.

        Args:
            weight: Weight of the job there.
            others: `CrashedJob` of each other job.
        """
        for link in self.links[:2]:
            task = link.starts()[0].task
            jobs = (CrashedJob("q", (task,), weight, (task,)), *others)
            upstream = f"{link.peer.member}@1"
            refusal = Crash(upstream, "dispatch", clock.now(), jobs, noticed_ms=1)
            self.relay.publish_refusal(refusal, clock.now())

    def stopped(self):
        """Returns the names of the stopped tasks by executor."""
        return {
            link.peer.member: stop.tasks
            for link in self.links
            for stop in link.of_type(ttypes.StopBatch)
        }

    def test_run_of_a_likely_cause_on_one_more_upstream_is_stopped(self):
        """Guards against a job that takes the upstream of each of its tasks.

        A stop at an upstream that refuses connections would have no effect.
        """
        self.start()
        self.refuse(1e5)
        self.assertEqual({"r2": [self.links[2].starts()[0].task]}, self.stopped())
        self.assertIsNone(self.job.outcome)

    def stop_third_run(self):
        """Has the upstreams of the other two runs refuse connections."""
        self.start()
        self.refuse(1e5)
        start = self.links[2].starts()[0]
        end = ttypes.TaskEnd(start.task, start.run, "stopped", 1000)
        self.entry.on_message(self.links[2], ttypes.EndBatch([end], None), clock.now())
        self.report(self.links[2])
        gevent.sleep(0.01)

    def test_stopped_task_waits_for_the_end_of_the_leases(self):
        """Guards against an upstream lost to a job that is about to be given up."""
        self.stop_third_run()
        self.assertEqual(1, len(self.links[2].starts()))
        self.entry.schedule(clock.now() + 1.1)
        self.assertEqual(2, len(self.links[2].starts()))

    def test_stopped_task_starts_when_the_upstreams_reply(self):
        """Guards against a job that is held back though it has crashed nothing."""
        self.stop_third_run()
        for refusal in self.relay.records_with_refusals.all():
            self.relay.withdraw(refusal, clock.now())
        self.entry.schedule(clock.now())
        self.assertEqual(2, len(self.links[2].starts()))

    def test_runs_of_a_bystander_go_on(self):
        """Guards against work thrown away because it ran beside the cause."""
        self.start()
        task = f"{OTHER_JOB}.0.0.0"
        self.refuse(0.1, CrashedJob("q", (task,), 1e5, (task,)))
        self.assertTrue(self.entry._isolation.is_guarded(self.job, clock.now()))
        self.assertEqual({}, self.stopped())

    def test_run_whose_start_may_be_executed_late_is_not_stopped(self):
        """Guards against a late start beside the run that has taken its place."""
        self.start()
        link = self.links[2]
        self.report(link, unsettled=[link.starts()[0].task])
        self.refuse(1e5)
        self.assertEqual({}, self.stopped())


class RefusingUpstreamTest(TestCase):
    """Upstreams that refuse connections, seen by the processes of a fleet."""

    def setUp(self):
        super().setUp()
        self.fleet = LeasedFleet(entries=2, executors=3)
        self.addCleanup(self.fleet.close)
        gevent.sleep(0.1)

    def wait_for(self, condition, seconds=2.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "condition not met in time")
            gevent.sleep(0.005)

    def start(self):
        """Starts a long run and returns its upstream."""
        request = job(JOB, "9000", expected_s=9.0, timeout_s=30.0)
        self.fleet.entries[0].submit(request, job_queue(), clock.now())
        self.wait_for(lambda: self.fleet.running(f"{JOB}.0.0.0"))
        gevent.sleep(0.1)
        return self.fleet.running(f"{JOB}.0.0.0")[0]

    def refusals(self):
        """Returns the number of refusals and crashes that each entry knows."""
        relays = self.fleet.relays
        return {
            (len(one.records_with_refusals.all()), len(one.records.all()))
            for one in relays
        }

    def test_refusal_is_known_at_once_and_withdrawn_with_a_reply(self):
        """Guards against a queue that is recognised only when leases have ended."""
        upstream = self.start()
        upstream.refuse()
        self.wait_for(lambda: self.refusals() == {(1, 0)}, 0.1)
        (refusal,) = self.fleet.relays[0].records_with_refusals.all()
        self.assertEqual((f"{JOB}.0.0.0",), refusal.jobs[0].started)
        upstream.restore()
        self.wait_for(lambda: self.refusals() == {(0, 0)}, 0.5)

    def test_refusal_becomes_a_suspicion_when_the_lease_has_ended(self):
        """Guards against a refusal that stays beside its crash, or is withdrawn."""
        upstream = self.start()
        upstream.refuse()
        self.wait_for(lambda: self.refusals() == {(1, 1)})
        upstream.restore()
        self.wait_for(lambda: self.refusals() == {(0, 0)}, 0.5)

    def test_reply_withdraws_the_refusal_if_another_lifetime_has_reported(self):
        """Guards against a guard that outlives a report that was a mistake."""
        upstream = self.start()
        upstream.refuse()
        self.wait_for(lambda: self.refusals() == {(1, 0)}, 0.1)
        state = replace(upstream.executor.state, born_ms=7)
        upstream.executor.on_upstream_report(state, clock.now())
        gevent.sleep(0.2)
        self.assertEqual({(1, 0)}, self.refusals())
        relay = self.fleet.relays[0]
        (refusal,) = relay.records_with_refusals.all()
        upstream.restore()
        key = refusal.upstream
        self.wait_for(lambda: relay.records_with_refusals.find(key) is None, 1.0)
        self.assertIsNone(relay.records.find(key))

    def test_likely_cause_runs_on_no_further_upstream_until_one_replies(self):
        """Guards against a job that takes the upstreams of all its tasks."""
        fleet = LeasedFleet(entries=1, executors=4, cores=2)
        self.addCleanup(fleet.close)
        gevent.sleep(0.1)
        request = job(JOB, "9000", tasks=8, timeout_s=9.0)
        running = fleet.entries[0].submit(request, job_queue(), clock.now())
        names = [f"{JOB}.0.0.{number}" for number in range(8)]
        self.wait_for(lambda: all(fleet.running(name) for name in names))
        *refusing, last = fleet.upstreams
        for upstream in refusing:
            upstream.refuse()
        self.wait_for(lambda: not any(last.runs(name) for name in names), 0.5)
        starts = sum(fleet.starts(name) for name in names)
        gevent.sleep(0.2)
        self.assertEqual(starts, sum(fleet.starts(name) for name in names))
        for upstream in refusing:
            upstream.restore()
        self.wait_for(lambda: all(fleet.running(name) for name in names))
        self.assertIsNone(running.outcome)

    def test_upstream_that_leaves_is_not_told_as_refusing(self):
        """Guards against queues guarded while upstreams are shut down as planned."""
        upstream = self.start()
        state = replace(upstream.executor.state, draining=True, sequence=1)
        upstream.executor.on_upstream_report(state, clock.now())
        upstream.refuse()
        gevent.sleep(0.2)
        self.assertEqual({(0, 0)}, self.refusals())

    def test_refusal_is_withdrawn_when_the_upstream_turns_out_to_leave(self):
        """Guards against a guard for an upstream whose farewell came late."""
        upstream = self.start()
        upstream.refuse()
        self.wait_for(lambda: self.refusals() == {(1, 0)}, 0.1)
        state = replace(upstream.executor.state, draining=True, sequence=1)
        upstream.executor.on_upstream_report(state, clock.now())
        self.wait_for(lambda: self.refusals() == {(0, 0)}, 0.2)


class _DownView:
    """View of an executor that accepts no work."""

    name = "r1"
    service = "dispatch"
    capacity_known = True
    accepting = False


class _OldNotices(ttypes.CrashNotices):
    """`CrashNotices` of a process that does not know of refusals."""

    thrift_spec = (
        None,
        (
            1,
            TType.LIST,
            "notices",
            (TType.STRUCT, [ttypes.CrashNotice, ttypes.CrashNotice.thrift_spec], False),
            None,
        ),
        (
            2,
            TType.LIST,
            "withdrawals",
            (
                TType.STRUCT,
                [ttypes.CrashWithdrawal, ttypes.CrashWithdrawal.thrift_spec],
                False,
            ),
            None,
        ),
    )
