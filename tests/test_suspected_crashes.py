"""
tests.test_suspected_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Crashes that are suspected until the upstream or another one in its place replies.
"""

import time
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
from papayaward.state.crash_records import CrashRecords
from papayaward.state.crashes import Crash, CrashedJob, Withdrawal
from tests.leased_case import FakeLink, job_queue, job_request
from tests.leased_fleet import LeasedFleet, job

JOB = "0123456789abcdef"


def _crash(upstream, at, *job_ids, noticed_ms=1):
    jobs = tuple(
        CrashedJob("q", (f"{job_id}.0.0.0",), 10.0, (f"{job_id}.0.0.0",))
        for job_id in job_ids
    )
    return Crash(upstream, "dispatch", at, jobs, noticed_ms=noticed_ms)


class SuspectedCrashRecordsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.records = CrashRecords()

    def suspect(self, *upstreams, job_id="a", noticed_ms=1):
        for number, upstream in enumerate(upstreams):
            crash = _crash(upstream, 10.0 + number, job_id, noticed_ms=noticed_ms)
            self.records.add(crash, 20.0)

    def withdraw(self, upstream, noticed_ms=1, at=20.0):
        return self.records.withdraw(Withdrawal(upstream, noticed_ms, at), at)

    def test_job_is_not_condemned_for_upstreams_that_may_run_on(self):
        """Guards against a job shown as failed because connections were refused."""
        self.suspect("u1", "u2", "u3")
        self.assertFalse(self.records.is_condemned("a"))
        self.assertTrue(self.records.is_condemned_if_known("a"))
        self.assertTrue(self.records.is_exhausted("a"))

    def test_crash_that_becomes_known_counts_for_the_jobs_recorded_before(self):
        """Guards against a task that is never condemned since its job is not new."""
        self.suspect("u1", "u2")
        for upstream in ("u1", "u2"):
            self.assertFalse(self.records.is_condemned("a"))
            known = replace(_crash(upstream, 10.0, "a"), is_known=True)
            self.assertTrue(self.records.add(known, 20.0))
            self.assertFalse(self.records.add(known, 20.0))
        self.assertTrue(self.records.is_condemned("a"))
        self.assertEqual(2, self.records.crashes_under("a"))

    def test_executor_tells_which_tasks_ran_after_an_entry_told_of_the_crash(self):
        """Guards against evidence dropped because another process told less before."""
        for upstream in ("u1", "u2"):
            jobs = (CrashedJob("q", ("a.0.0.0",), 10.0),)
            self.records.add(Crash(upstream, "dispatch", 10.0, jobs), 20.0)
            self.records.add(replace(_crash(upstream, 10.0, "a"), is_known=True), 20.0)
        self.assertTrue(self.records.is_condemned("a"))

    def test_withdrawn_crash_counts_for_nothing(self):
        """Guards against a job isolated or given up for an upstream that replies."""
        self.suspect("u1", "u2", "u3")
        for upstream in ("u1", "u2", "u3"):
            self.assertTrue(self.withdraw(upstream))
            self.assertFalse(self.withdraw(upstream))
        self.assertFalse(self.records.is_exhausted("a"))
        self.assertFalse(self.records.is_condemned_if_known("a"))
        self.assertEqual(0.0, self.records.probability("a"))
        self.assertEqual(set(), self.records.upstreams_of("a.0.0.0"))
        self.assertEqual((), self.records.all())

    def test_withdrawal_leaves_no_trace_in_other_crashes(self):
        """Guards against a job blamed because of a crash that did not happen."""
        expected = CrashRecords()
        for records in (expected, self.records):
            records.add(_crash("u2", 18.0, "a", "b"), 20.0)
        job = _crash("u1", 16.0, "a").jobs
        records = CrashRecords()
        records.add(Crash("u1", "dispatch", 16.0, job, noticed_ms=1), 20.0)
        records.add(_crash("u2", 18.0, "a", "b"), 20.0)
        self.assertGreater(records.probability("a"), expected.probability("a"))
        records.withdraw(Withdrawal("u1", 1, 20.0), 20.0)
        for job_id in ("a", "b"):
            self.assertAlmostEqual(
                expected.probability(job_id), records.probability(job_id)
            )

    def test_withdrawn_crash_is_no_sign_of_an_outage(self):
        """Guards against the cause of a crash cleared by upstreams that run on."""
        self.records.add(_crash("u1", 10.0, "a"), 20.0)
        alone = self.records.probability("a")
        self.records.add(_crash("u2", 10.0, "b"), 20.0)
        self.assertLess(self.records.probability("a"), alone)
        self.withdraw("u2")
        self.assertEqual(alone, self.records.probability("a"))

    def test_withdrawn_crash_does_not_make_its_queue_likelier(self):
        """Guards against new jobs isolated for a crash that did not happen."""
        self.suspect("u1", "u2")
        for upstream in ("u1", "u2"):
            self.withdraw(upstream)
        expected = CrashRecords()
        for records in (expected, self.records):
            records.add(_crash("u3", 20.0, "c"), 20.0)
        self.assertLess(self.records.probability("c"), 1.3 * expected.probability("c"))

    def test_withdrawal_that_precedes_the_notice_is_remembered(self):
        """Guards against a suspicion revived by a notice that comes another way."""
        self.assertTrue(self.withdraw("u1"))
        self.suspect("u1")
        self.assertEqual((), self.records.all())

    def test_later_suspicion_of_the_same_upstream_counts(self):
        """Guards against crashes that are ignored after an upstream replied once."""
        self.suspect("u1")
        self.withdraw("u1")
        self.suspect("u1", noticed_ms=2)
        self.assertEqual(1, self.records.crashes_under("a"))
        self.assertFalse(self.withdraw("u1"))
        self.assertEqual(1, self.records.crashes_under("a"))

    def test_known_crash_is_not_withdrawn(self):
        """Guards against a delayed withdrawal that clears the cause of a crash."""
        known = replace(_crash("u1", 10.0, "a"), is_known=True)
        self.records.add(known, 20.0)
        self.withdraw("u1")
        self.assertEqual(1, self.records.crashes_under("a"))
        self.withdraw("u2", noticed_ms=9)
        self.records.add(replace(_crash("u2", 10.0, "a"), is_known=True), 20.0)
        self.assertEqual(2, self.records.crashes_under("a"))

    def test_withdrawal_of_all_crashes_at_once_takes_little_time(self):
        """Guards against entries that stand still when all upstreams reply again."""
        for number in range(300):
            job_ids = [f"j{number}-{i}" for i in range(10)]
            self.records.add(_crash(f"u{number}", 10.0, *job_ids), 20.0)
        began = time.process_time()
        for number in range(300):
            self.withdraw(f"u{number}")
        self.assertLess(time.process_time() - began, 2.0)

    def test_number_of_withdrawals_is_bounded(self):
        """Guards against memory that grows with each path that refuses."""
        for number in range(2000):
            self.withdraw(f"u{number}")
        self.assertLessEqual(len(self.records.withdrawals()), 500)
        self.records.expire(90.0)
        self.assertEqual((), self.records.withdrawals())

    def test_withdrawn_crash_leaves_no_record_behind(self):
        """Guards against a record that cannot be removed any more."""
        self.records.add(_crash("u1", 10.0, "a", "b"), 20.0)
        self.records.add(_crash("u2", 11.0, "a", noticed_ms=0), 20.0)
        self.withdraw("u1")
        self.records.expire(90.0)
        self.assertEqual((), self.records.all())
        for job_id in ("a", "b"):
            self.assertEqual(0, self.records.crashes_under(job_id))


class SuspectedCrashRelayTest(TestCase):
    def setUp(self):
        super().setUp()
        self.sender, self.receiver = CrashRelay(), CrashRelay()
        self.link = FakeLink("e1")
        self.sender.on_link_up(self.link, clock.now())

    def suspect(self, upstream="u1", job_id="a"):
        crash = _crash(upstream, clock.now(), job_id)
        self.sender.publish(crash, clock.now())
        return crash

    def deliver(self, *messages):
        """Sends messages to the receiver in their binary form."""
        for message in messages or self.link.sent:
            frame = codec.encode(message)
            body = frame[codec.HEADER.size :]
            received = codec.decode(codec.MESSAGE_CODES["CrashNotices"], body)
            self.receiver.on_message(FakeLink("r1"), received, clock.now())

    def test_withdrawal_reaches_the_other_processes(self):
        """Guards against a job that one entry still holds for the cause of a crash."""
        crash = self.suspect()
        self.deliver()
        self.assertEqual(1, self.receiver.records.crashes_under("a"))
        self.sender.withdraw(crash, clock.now())
        self.deliver()
        self.assertEqual((), self.receiver.records.all())

    def test_withdrawal_that_overtakes_the_notice_reaches_the_other_processes(self):
        """Guards against a suspicion that remains since its notice came last."""
        crash = self.suspect()
        self.sender.withdraw(crash, clock.now())
        self.deliver(*reversed(self.link.sent))
        self.assertEqual((), self.receiver.records.all())

    def test_known_crash_reaches_the_other_processes(self):
        """Guards against a task condemned only beside the upstreams it crashed."""
        for upstream in ("u1", "u2"):
            crash = self.suspect(upstream)
            self.deliver()
            self.assertFalse(self.receiver.records.is_condemned("a"))
            self.sender.publish(replace(crash, is_known=True), clock.now())
        self.deliver()
        self.assertTrue(self.receiver.records.is_condemned("a"))

    def test_new_peer_hears_of_a_withdrawal(self):
        """Guards against a suspicion that outlives a broken link for a minute."""
        crash = self.suspect()
        self.deliver()
        self.sender.on_link_down(self.link)
        self.sender.withdraw(crash, clock.now())
        link = FakeLink("e1")
        self.sender.on_link_up(link, clock.now())
        self.deliver(*link.sent)
        self.assertEqual((), self.receiver.records.all())

    def test_withdrawal_is_forwarded_once(self):
        """Guards against withdrawals that circulate between the processes."""
        crash = self.suspect()
        self.sender.withdraw(crash, clock.now())
        onward = FakeLink("e2")
        self.receiver.on_link_up(onward, clock.now())
        self.deliver()
        self.deliver()
        withdrawals = [m for m in onward.sent if m.withdrawals]
        self.assertEqual(1, len(withdrawals))

    def test_process_without_the_new_fields_reads_the_notices(self):
        """Guards against links that break while processes are updated."""
        crash = self.suspect()
        self.sender.withdraw(crash, clock.now())
        suspected, withdrawn = self.link.sent
        for message, upstreams in ((suspected, ["u1"]), (withdrawn, [])):
            body = codec.encode(message)[codec.HEADER.size :]
            old = _OldNotices()
            old.read(TBinaryProtocolAccelerated(TMemoryBuffer(body)))
            self.assertEqual(upstreams, [notice.upstream for notice in old.notices])

    def test_notice_of_a_process_without_the_new_fields_is_a_suspicion(self):
        """Guards against a job shown as failed on the word of an older process."""
        for upstream in ("u1", "u2"):
            jobs = [ttypes.CrashedJob("q", ["a.0.0.0"], 10.0, ["a.0.0.0"])]
            notice = ttypes.CrashNotice(upstream, 0, jobs, "dispatch", 0)
            self.deliver(ttypes.CrashNotices([notice]))
        self.assertFalse(self.receiver.records.is_condemned("a"))
        self.assertTrue(self.receiver.records.is_condemned_if_known("a"))

    def test_withdrawal_that_cannot_be_read_is_skipped(self):
        """Guards against a withdrawal that closes each link on which it is sent."""
        odd = [
            ttypes.CrashWithdrawal(),
            ttypes.CrashWithdrawal("u1", 1),
            ttypes.CrashWithdrawal("u1", None, 0),
            ttypes.CrashWithdrawal("u1", 1, -1),
        ]
        crash = self.suspect()
        self.deliver()
        self.deliver(ttypes.CrashNotices([], odd))
        self.assertEqual(1, len(self.receiver.records.all()))
        good = ttypes.CrashWithdrawal("u1", crash.noticed_ms, 0)
        self.deliver(ttypes.CrashNotices([], [*odd, good]))
        self.assertEqual((), self.receiver.records.all())


class SuspectedCrashVerdictTest(TestCase):
    def setUp(self):
        super().setUp()
        self.relay = CrashRelay()
        self.entry = JobScheduler(lambda domain: False, self.relay)
        self.crashes = [_crash(f"u{i}", clock.now() - i, JOB) for i in range(2)]

    def submit(self):
        return self.entry.submit(job_request(JOB), job_queue(), clock.now())

    def publish(self, **changes):
        for crash in self.crashes:
            self.relay.publish(replace(crash, **changes), clock.now())

    def outcome(self):
        job = self.submit()
        return None if job.outcome is None else job.outcome.kind

    def test_job_under_suspected_crashes_is_given_up_but_not_shown_as_failed(self):
        """Guards against a third upstream risked, and against a false failure."""
        job = self.submit()
        self.publish()
        self.assertEqual("unknown", job.outcome.kind)
        self.assertEqual("unknown", self.outcome())

    def test_job_under_known_crashes_is_shown_as_failed(self):
        """Guards against a job that is answered unknown for as long as it is sent."""
        self.publish()
        self.publish(is_known=True)
        self.assertEqual("failed", self.outcome())

    def test_running_job_is_ended_when_its_crashes_become_known(self):
        """Guards against further starts of a task that has crashed upstreams."""
        self.relay.publish(self.crashes[0], clock.now())
        job = self.submit()
        self.relay.publish(replace(self.crashes[1], is_known=True), clock.now())
        self.relay.publish(replace(self.crashes[0], is_known=True), clock.now())
        self.assertIsNotNone(job.outcome)

    def test_job_is_accepted_again_when_the_upstreams_reply(self):
        """Guards against a job refused for crashes that did not happen."""
        self.publish()
        for crash in self.crashes:
            self.relay.withdraw(crash, clock.now())
        self.assertNotIn(self.outcome(), ("failed", "unknown"))
        other = self.entry.submit(job_request("f" * 16), job_queue(), clock.now())
        self.assertFalse(self.entry._isolation.is_guarded(other, clock.now()))

    def test_queue_stays_guarded_for_a_known_crash_beside_a_withdrawn_one(self):
        """Guards against a guard lifted by an upstream that replies again."""
        self.publish()
        third = _crash("u2", clock.now() - 2.0, JOB)
        self.relay.publish(third, clock.now())
        self.relay.withdraw(third, clock.now())
        job = self.entry.submit(job_request("f" * 16), job_queue(), clock.now())
        self.assertTrue(self.entry._isolation.is_guarded(job, clock.now()))


class SuspectedUpstreamTest(TestCase):
    """Upstreams that cannot be reached until the lease of their runs has ended."""

    def fleet(self, **options):
        fleet = LeasedFleet(**options)
        self.addCleanup(fleet.close)
        gevent.sleep(0.1)
        return fleet

    def submit(self, fleet, spec="9000", number=0, **options):
        """Submits a job with one task to an entry."""
        options = {"expected_s": 9.0, "timeout_s": 30.0, **options}
        request = job(JOB, spec, **options)
        return fleet.entries[number].submit(request, job_queue(), clock.now())

    def wait_for(self, condition, seconds=2.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "condition not met in time")
            gevent.sleep(0.005)

    def refuse_path_of_run(self, fleet, last=None):
        """Makes the path to the upstream refuse that runs the job, once it does."""

        def others():
            return [u for u in fleet.running(f"{JOB}.0.0.0") if u is not last]

        self.wait_for(others)
        gevent.sleep(0.1)
        (upstream,) = others()
        upstream.refuse()
        return upstream

    def suspicions(self, fleet, upstream):
        """Returns whether each process has recorded a crash of an upstream."""
        processes = [*fleet.relays, *(other.crash_relay for other in fleet.upstreams)]
        key = f"{upstream.name}-{upstream.number}@{upstream.number}"
        return [relay.records.find(key) is not None for relay in processes]

    def test_job_is_not_shown_as_failed_for_paths_that_refuse_connections(self):
        """Guards against a job shown as failed while its upstreams run on."""
        fleet = self.fleet(entries=2, executors=4)
        one = self.submit(fleet)
        first = self.refuse_path_of_run(fleet)
        second = self.refuse_path_of_run(fleet, last=first)
        self.assertTrue(one.finished.wait(2.0))
        self.assertEqual("unknown", one.outcome.kind)
        for upstream in (first, second):
            upstream.restore()
        self.wait_for(lambda: not any(self.suspicions(fleet, second)), 0.5)
        for number in range(2):
            again = self.submit(fleet, spec="50", number=number, expected_s=0.05)
            self.assertTrue(again.finished.wait(1.0))
            self.assertEqual("completed", again.outcome.kind)

    def test_suspicion_begins_with_the_end_of_the_lease_and_ends_with_a_reply(self):
        """Guards against processes that hold on to a crash that did not happen."""
        fleet = self.fleet(entries=2, executors=3)
        self.submit(fleet)
        upstream = self.refuse_path_of_run(fleet)
        refused_at = clock.now()
        self.wait_for(lambda: upstream.executor.refusal_reason, 0.1)
        gevent.sleep(0.4)
        self.assertFalse(any(self.suspicions(fleet, upstream)))
        self.wait_for(lambda: fleet.relays[0].records.all())
        gevent.sleep(0.01)
        self.assertTrue(all(self.suspicions(fleet, upstream)))
        (crash,) = fleet.relays[0].records.all()
        self.assertLess(abs(crash.at - refused_at), 0.02)
        self.assertEqual((f"{JOB}.0.0.0",), crash.jobs[0].started)
        self.assertFalse(crash.is_known)
        late = fleet.relays.index(self.add_entry(fleet))
        self.assertEqual(1, len(fleet.relays[late].records.all()))
        upstream.restore()
        self.wait_for(lambda: not fleet.relays[0].records.all(), 0.5)
        gevent.sleep(0.01)
        self.assertFalse(any(self.suspicions(fleet, upstream)))
        self.wait_for(lambda: not upstream.executor.refusal_reason, 0.5)

    def add_entry(self, fleet):
        """Adds an entry and returns its `CrashRelay`."""
        fleet.add_entry()
        gevent.sleep(0.05)
        return fleet.relays[-1]

    def test_upstream_that_crashes_after_its_suspicion_was_withdrawn_is_suspected(self):
        """Guards against crashes that are ignored after a path has refused once."""
        fleet = self.fleet(executors=2, restart_s=9.0)
        self.submit(fleet)
        upstream = self.refuse_path_of_run(fleet)
        self.wait_for(lambda: fleet.relays[0].records.all())
        upstream.restore()
        self.wait_for(lambda: not fleet.relays[0].records.all())
        gevent.sleep(0.05)
        upstream.crash_from_outside()
        self.wait_for(lambda: fleet.relays[0].records.all(), 3.0)

    def test_task_that_crashes_upstreams_is_given_up_before_any_is_back(self):
        """Guards against a task that takes upstreams until the first one returns."""
        fleet = self.fleet(entries=2, executors=8, restart_s=4.5)
        one = self.submit(fleet, spec="deadly:30:0")
        self.assertTrue(one.finished.wait(4.0))
        self.assertEqual("unknown", one.outcome.kind)
        self.assertEqual(2, fleet.crashes)
        for number in range(2):
            again = self.submit(fleet, spec="deadly:30:0", number=number)
            self.assertEqual("unknown", again.outcome.kind)
        gevent.sleep(5.0)
        for number in range(2):
            again = self.submit(fleet, spec="deadly:30:0", number=number)
            self.assertEqual("failed", again.outcome.kind)
        self.assertEqual(2, fleet.crashes)

    def test_report_of_another_lifetime_alone_makes_no_crash_known(self):
        """Guards against a job shown as failed on the word of a stale report."""
        fleet = self.fleet(executors=3)
        self.submit(fleet)
        upstream = self.refuse_path_of_run(fleet)
        state = replace(upstream.executor.state, born_ms=7)
        upstream.executor.on_upstream_report(state, clock.now())
        self.wait_for(lambda: all(self.suspicions(fleet, upstream)))
        # The lifetime that has only reported is lost as well.
        gevent.sleep(1.0)
        crashes = fleet.relays[0].records.all()
        self.assertEqual([False] * len(crashes), [one.is_known for one in crashes])
        upstream.restore()
        self.wait_for(lambda: not fleet.relays[0].records.all(), 1.0)

    def test_run_that_is_to_be_stopped_after_the_crash_was_running_at_it(self):
        """Guards against a cause that is not counted because its caller has left."""
        fleet = self.fleet(executors=2)
        one = self.submit(fleet)
        upstream = self.refuse_path_of_run(fleet)
        gevent.sleep(0.2)
        fleet.entries[0].remove_caller(one, clock.now())
        self.wait_for(lambda: fleet.relays[0].records.all())
        (crash,) = fleet.relays[0].records.all()
        self.assertEqual((f"{JOB}.0.0.0",), crash.jobs[0].started)
        self.assertTrue(all(self.suspicions(fleet, upstream)))


class _OldNotice(ttypes.CrashNotice):
    """`CrashNotice` of a process that does not know the later fields."""

    thrift_spec = ttypes.CrashNotice.thrift_spec[:6]


class _OldNotices(ttypes.CrashNotices):
    """`CrashNotices` of a process that does not know the later fields."""

    thrift_spec = (
        None,
        (
            1,
            TType.LIST,
            "notices",
            (TType.STRUCT, [_OldNotice, _OldNotice.thrift_spec], False),
            None,
        ),
    )
