"""
tests.test_headroom
~~~~~~~~~~~~~~~~~~~

Capacity kept for more urgent queues.
"""

import logging
from types import SimpleNamespace

from testtools import TestCase

from benchmarks.shortage_model import LOADS, play
from papayaward import clock
from papayaward.coordination.headroom import Headroom, kept_cpu
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.leased_views import LeasedView
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import Resources, SharingPolicy
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

__all__ = []

_CAPACITY = Resources(64_000, 1 << 20, 0)
_NEED = Resources(6000, 64, 0)
# Part of the urgent jobs that has to meet the objective although all work exceeds the
# capacity for seconds.
_MIN_URGENT_IN_TIME = 0.95


def _group(priority, may_use_kept=False):
    return ttypes.StartGroup(priority=priority, may_use_kept=may_use_kept)


def _refuses(headroom, group, free_millis, now=1.0, need=_NEED):
    free = Resources(free_millis, 1 << 20, 0)
    return headroom.refuses(group, need, free, _CAPACITY, now)


class HeadroomTest(TestCase):
    def setUp(self):
        super().setUp()
        self.headroom = Headroom()

    def record(self, *starts, now=1.0):
        for priority, cpu_millis in starts:
            self.headroom.record(priority, cpu_millis, now)

    def test_less_urgent_start_leaves_room_for_each_more_urgent_queue(self):
        """Guards against long tasks that fill an executor before urgent ones come."""
        self.record((0, 6000), (1, 5000), (2, 6000))
        self.assertEqual({0: 6000, 1: 5000}, self.headroom.kept(_CAPACITY, 1.0))
        self.assertFalse(_refuses(self.headroom, _group(2), 17_000))
        self.assertTrue(_refuses(self.headroom, _group(2), 16_999))
        self.assertTrue(_refuses(self.headroom, _group(1), 11_999))
        self.assertFalse(_refuses(self.headroom, _group(1), 12_000))
        self.assertFalse(_refuses(self.headroom, _group(0), 6000))

    def test_begun_job_may_use_it(self):
        """Guards against jobs that hold capacity and wait for the rest."""
        self.record((0, 6000), (2, 6000))
        self.assertTrue(_refuses(self.headroom, _group(2), 6000))
        self.assertFalse(_refuses(self.headroom, _group(2, True), 6000))

    def test_queues_of_one_priority_keep_nothing(self):
        """Guards against capacity kept where no configuration asks for it."""
        self.record((3, 6000), (3, 9000))
        self.assertEqual({}, self.headroom.kept(_CAPACITY, 1.0))
        self.assertFalse(_refuses(self.headroom, _group(3), 6000))
        self.assertIsNone(self.headroom.to_wire(_CAPACITY, 1.0))

    def test_start_of_another_version_is_taken_as_before(self):
        """Guards against refusals to an entry that does not tell priorities."""
        self.record((0, 6000), (2, 6000), (None, 6000))
        self.assertFalse(_refuses(self.headroom, _group(None), 6000))

    def test_nothing_is_kept_for_a_queue_that_sends_no_more(self):
        """Guards against capacity kept for an entry that is gone or idle."""
        self.record((0, 6000), (2, 6000))
        self.record((2, 6000), now=6.0)
        self.assertTrue(_refuses(self.headroom, _group(2), 6000, now=6.0))
        self.record((2, 6000), now=6.1)
        self.assertFalse(_refuses(self.headroom, _group(2), 6000, now=6.1))

    def test_large_urgent_tasks_leave_most_of_the_capacity(self):
        """Guards against a few large tasks that exclude the other queues."""
        self.record((0, 60_000), (1, 60_000), (2, 6000))
        self.assertEqual({0: 16_000, 1: 0}, self.headroom.kept(_CAPACITY, 1.0))
        shrunk = Resources(8000, 1 << 20, 0)
        self.assertEqual(2000, kept_cpu(self.headroom.kept(shrunk, 1.0), 2))

    def test_size_follows_the_larger_recent_tasks(self):
        """Guards against one large task that decides for good."""
        self.record((0, 9000), *[(0, 6000)] * 100, (2, 6000))
        kept = self.headroom.kept(_CAPACITY, 1.0)[0]
        self.assertTrue(6000 <= kept < 6100, kept)

    def test_entry_places_by_the_latest_report(self):
        """Guards against starts that the executor refuses, and a lasting old value."""
        link = FakeLink("r1", "runner")
        view = LeasedView(link, 0.0)
        task = _task(priority=2)
        report = capacity_report(cores=8).room
        for report.kept, free_cores, fits in (
            ([ttypes.KeptCpu(0, 3000)], 8, False),
            ([ttypes.KeptCpu(0, 2000)], 8, True),
            ([ttypes.KeptCpu(2, 3000)], 8, True),
            (None, 6, True),
            (None, 5, False),
        ):
            report.free.cpu_millis = free_cores * 1000
            view.on_capacity_report(report)
            self.assertEqual(
                fits, view.has_capacity_for(task), (report.kept, free_cores)
            )


def _task(priority):
    queue = SimpleNamespace(priority=priority)
    job = SimpleNamespace(queue=queue, started=False)
    return SimpleNamespace(job=job, phase=SimpleNamespace(need=_NEED))


class SwitchTest(TestCase):
    def test_service_without_headroom_sends_no_priority(self):
        """Guards against a switch that does nothing at the executors."""
        for headroom in (True, False):
            sharing = SharingPolicy(headroom=headroom)
            queue = job_queue(priority=2, sharing=sharing)
            scheduler = JobScheduler(lambda domain: False)
            link = FakeLink("r1", "runner")
            scheduler.on_link_up(link, clock.now())
            scheduler.on_message(link, capacity_report(), clock.now())
            scheduler.submit(job_request(), queue, clock.now())
            scheduler.schedule(clock.now())
            (batch,) = link.of_type(ttypes.StartBatch)
            priority = 2 if headroom else None
            self.assertEqual(priority, batch.groups[0].priority)


class ShortageTest(TestCase):
    """Long, small and urgent jobs at several entries, more than there is capacity."""

    def setUp(self):
        super().setUp()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_urgent_jobs_are_served_first_at_every_entry(self):
        """Guards against urgent callers who wait behind other entries' long tasks."""
        for name in ("long surge", "both", "uneven"):
            results = play(LOADS[name])
            urgent, others = results["urgent"], (results["long"], results["small"])
            self.assertGreaterEqual(urgent.in_time, _MIN_URGENT_IN_TIME, name)
            self.assertGreaterEqual(
                urgent.in_time, max(other.in_time for other in others), name
            )

    def test_calm_load_is_served_in_time(self):
        """Guards against jobs refused for headroom while there is capacity."""
        for queue, result in play(LOADS["calm"]).items():
            self.assertEqual(0.0, result.refused, queue)
