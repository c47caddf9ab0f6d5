"""
tests.test_crash_evidence
~~~~~~~~~~~~~~~~~~~~~~~~~

What is known of the crash of an upstream, and what is only assumed.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.upstream_requests import (
    ConnectionBroken,
    Delivery,
    UpstreamReply,
)
from papayaward.coordination.upstream_session import UpstreamSession
from papayaward.protocol.gen import ttypes
from papayaward.state.crash_records import CrashRecords
from papayaward.state.crashes import Crash, CrashedJob
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, job_queue, start_group, upstream_state
from tests.leased_fleet import LeasedFleet, LocalUpstream, job

DEADLY = "d" * 16


def _crash(upstream, at, *job_ids, uncertainty_s=0.0):
    jobs = tuple(
        CrashedJob("q", (f"{job_id}.0.0.0",), 5.0, (f"{job_id}.0.0.0",))
        for job_id in job_ids
    )
    return Crash(upstream, "dispatch", at, jobs, uncertainty_s, is_known=True)


class CrashRecordsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.records = CrashRecords()
        self.now = clock.now()

    def add(self, crash):
        self.records.add(crash, self.now)

    def test_crashes_of_idle_upstreams_do_not_displace_those_under_jobs(self):
        """Guards against a count of starts that begins anew after a large outage."""
        for number in range(3):
            self.add(_crash(f"a{number}", self.now, "a"))
        for number in range(500):
            self.add(_crash(f"idle{number}", self.now))
        self.assertTrue(self.records.is_exhausted("a"))

    def test_crash_whose_time_is_uncertain_may_belong_to_an_outage(self):
        """Guards against a job blamed for an outage that was noticed late."""
        exact, late = CrashRecords(), CrashRecords()
        for records, at, uncertainty_s in (
            (exact, self.now - 1.0, 0.0),
            (late, self.now, 1.0),
        ):
            for number in range(4):
                outage = _crash(f"u{number}", self.now - 1.0, f"o{number}")
                records.add(outage, self.now)
            crash = _crash("a", at, "a", uncertainty_s=uncertainty_s)
            records.add(crash, self.now)
        self.assertAlmostEqual(exact.probability("a"), late.probability("a"))

    def test_old_crash_that_is_told_late_does_not_hide_a_recent_one(self):
        """Guards against jobs placed beside suspects after a peer has connected."""
        self.add(_crash("recent", self.now - 1.0, "a"))
        self.add(_crash("old", self.now - 30.0, "b"))
        self.assertTrue(self.records.has_recent(self.now))


class ExecutorEvidenceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = LocalUpstream("r1", restart_s=9.0)
        self.executor = self.upstream.executor
        self.link = FakeLink("e1")
        self.executor.on_link_up(self.link, clock.now())
        gevent.sleep(0.05)

    def send(self, group):
        self.link.mark_alive()
        self.executor.on_heartbeat(self.link, 0, clock.now())
        batch = ttypes.StartBatch(1, [group])
        self.executor.on_message(self.link, batch, clock.now())

    def test_start_that_reached_no_upstream_is_reported_as_not_run(self):
        """Guards against a caller told that a job may have run that never started."""
        self.upstream.crash()
        group = start_group("a.0.0.0", work_ms=500)
        group.starts += [ttypes.TaskStart(f"a.0.0.{i}", 1) for i in range(1, 4)]
        self.send(group)
        gevent.sleep(0.05)
        self.assertEqual(4, len(self.link.ends()))
        outcomes = {outcome.partition(":")[0] for _, outcome in self.link.ends()}
        self.assertEqual({"not_run"}, outcomes)

    def test_replacement_of_a_draining_upstream_is_no_crash(self):
        """Guards against jobs blamed for the planned restart of an upstream."""
        self.send(start_group("a.0.0.0", work_ms=9000))
        gevent.sleep(0.05)
        draining = upstream_state("r1-1", 8, born_ms=1, sequence=2, draining=True)
        self.executor.on_upstream_report(draining, clock.now())
        self.executor.on_upstream_report(
            upstream_state("r1-2", 8, born_ms=2), clock.now()
        )
        self.assertEqual((), self.upstream.crash_relay.records.all())


class SessionEvidenceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.losses = []
        self.upstream = LeasedUpstream()
        self.session = UpstreamSession(
            self.upstream,
            upstream_state(),
            lambda now: now + 0.95,
            lambda: True,
            lambda ends, born_ms, now: None,
            lambda running, born_ms, now: None,
            lambda: None,
            self.losses.append,
        )
        self.addCleanup(self.session.close)
        while not self.session.ready:
            gevent.sleep(0.01)

    def test_start_that_a_later_instance_accepts_was_not_started_by_this_one(self):
        """Guards against a crash counted under a run that began after it."""
        deliveries = []

        def reply_as_restarted(instance, request, timeout_s, may_send):
            may_send()
            return UpstreamReply("ok", self.upstream.clock_ms, born_ms=2)

        self.upstream.start = reply_as_restarted
        self.session.start("j.0.0.0", 1, "50", lambda: True, deliveries.append)
        self.assertNotIn(Delivery.STARTED, deliveries)

    def test_upstream_whose_connections_were_reset_may_have_crashed_later(self):
        """Guards against the first reset of a connection taken for the crash."""
        poll = self.upstream.poll

        def reset(*args):
            if self.upstream.crashed:
                return poll(*args)
            raise ConnectionBroken("connection reset")

        self.upstream.poll = reset
        gevent.sleep(1.5)
        self.assertEqual([], self.losses)
        crashed_at = clock.now()
        self.upstream.crash()
        gevent.sleep(1.5)
        (loss,) = self.losses
        self.assertLess(loss.at - loss.uncertainty_s, crashed_at + 0.01)
        self.assertGreaterEqual(loss.at, crashed_at)


class LostExecutorsTest(TestCase):
    def test_task_that_takes_its_vm_along_is_not_started_on_every_one(self):
        """Guards against a task that is started until the first lost VM returns."""
        fleet = LeasedFleet(executors=8)
        self.addCleanup(fleet.close)
        gevent.sleep(0.1)
        request = job(DEADLY, "9000", expected_s=9.0, timeout_s=30.0)
        one = fleet.entries[0].submit(request, job_queue(), clock.now())
        until, starts = clock.now() + 8.0, 0
        while clock.now() < until and one.outcome is None:
            for upstream in fleet.running(request.job_id + ".0.0.0"):
                starts += 1
                fleet.lose(upstream)
            gevent.sleep(0.01)
        # Three crashes, and at most two further starts.
        self.assertLessEqual(starts, 5)
