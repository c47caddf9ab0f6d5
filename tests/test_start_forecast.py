"""
tests.test_start_forecast
~~~~~~~~~~~~~~~~~~~~~~~~~

Refusals of jobs on arrival while others wait for capacity.
"""

import logging
from dataclasses import replace
from types import SimpleNamespace

from testtools import TestCase

from benchmarks.shortage_model import LOADS, play
from papayaward.coordination.job_state import Job
from papayaward.coordination.start_forecast import StartForecast
from papayaward.protocol.jobs import LeasedJobRequest, Phase, Resources, SharingPolicy
from tests.leased_case import job_queue

__all__ = []

_CORE = 1000
# Longest mean time that a caller waits for a refusal, as part of the wait without a
# forecast, and the part of the jobs that a false forecast may cost.
_MAX_HELD_SHARE = 0.8
_MAX_LOST_SHARE = 0.02
# A play has too few refusals for a mean.
_SEEDS = 6


def _job(name, tasks=1, priority=0, at=0.0, run_s=1.0):
    phase = Phase(tasks, Resources(_CORE, 64, 0), run_s)
    request = LeasedJobRequest(name * 16, name, "", (phase,), 10.0)
    queue = replace(job_queue(), priority=priority, stretch=1.6, slack_s=0.0)
    return Job(request, queue, at)


def _view(job, has_room):
    return SimpleNamespace(
        accepting=True,
        service=job.queue.service,
        has_capacity_for=lambda task: has_room,
    )


class StartForecastTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pinned = set()
        placement = SimpleNamespace(
            order_key=lambda job, now: (job.queue.priority, job.arrived_at),
            is_pinned=self.pinned.__contains__,
        )
        self.forecast = StartForecast(placement)

    def start(self, job, times):
        for at in times:
            self.forecast.on_start(job.tasks[0], at)

    def is_late(self, job, now, has_room=False):
        return self.forecast.will_start_late(job, [_view(job, has_room)], now)

    def shortage(self, *others, priority=1):
        """Lets 20 cores of jobs wait for 0.9 s in which ten cores a second start."""
        jobs = [_job("a", tasks=20, priority=priority), *others]
        self.forecast.on_round(jobs, 0.0)
        self.start(_job("b", priority=priority), [i / 10 for i in range(10)])
        self.forecast.on_round(jobs, 0.9)
        return jobs

    def test_job_behind_too_much_work_is_refused_on_arrival(self):
        """Guards against a caller that waits although its job can't be in time."""
        self.shortage()
        late = _job("c", priority=1, at=0.9)
        self.assertTrue(self.is_late(late, 0.9))
        self.assertEqual(2.0, self.forecast.retry_after_s(late, 0.9))
        patient = _job("c", priority=1, at=0.9, run_s=4.0)
        self.assertFalse(self.is_late(patient, 0.9))

    def test_wide_job_is_not_refused_for_its_own_tasks(self):
        """Guards against the largest jobs of a queue being served less often."""
        self.shortage()
        for tasks in (1, 99):
            patient = _job("c", tasks, priority=1, at=0.9, run_s=4.0)
            self.assertFalse(self.is_late(patient, 0.9))

    def test_more_urgent_job_is_not_refused_for_what_waits_behind_it(self):
        """Guards against urgent callers who are refused for a less urgent backlog."""
        self.shortage(_job("d", priority=0))
        self.assertFalse(self.is_late(_job("c", tasks=30, priority=0, at=0.9), 0.9))

    def test_less_urgent_job_gets_only_what_the_urgent_ones_leave(self):
        """Guards against a forecast by capacity that others take."""
        self.shortage(_job("d", priority=2))
        late = _job("c", priority=2, at=0.9, run_s=4.0)
        self.assertFalse(self.is_late(late, 0.9))
        self.start(_job("e", priority=2), [0.9])
        self.assertTrue(self.is_late(late, 0.9))

    def test_tasks_that_wait_for_one_executor_are_no_shortage(self):
        """Guards against refusals while lost starts keep tasks waiting for seconds."""
        job = _job("a", tasks=20, priority=1)
        self.pinned.update(job.tasks)
        for at in (0.0, 0.9):
            self.forecast.on_round([job], at)
        self.start(_job("b", priority=1), [0.5])
        self.assertFalse(self.is_late(_job("c", priority=1, at=0.9), 0.9))

    def test_capacity_that_has_come_free_is_no_shortage(self):
        """Guards against refusals when upstreams return after an outage."""
        self.shortage()
        late = _job("c", priority=1, at=0.9)
        self.assertFalse(self.is_late(late, 0.9, has_room=True))

    def test_short_waits_and_no_starts_tell_nothing(self):
        """Guards against refusals by what is not known."""
        late = _job("c", priority=1, at=0.1)
        self.assertFalse(self.is_late(late, 0.1))
        jobs = [_job("a", tasks=99, priority=1)]
        self.forecast.on_round(jobs, 0.0)
        self.assertFalse(self.is_late(_job("c", priority=1, at=5.0), 5.0))
        self.start(_job("b", priority=1), [0.1])
        self.assertFalse(self.is_late(late, 0.1))
        self.assertEqual(1.0, self.forecast.retry_after_s(late, 0.1))

    def test_backlog_that_was_served_counts_no_more(self):
        """Guards against a shortage that is remembered for good."""
        jobs = self.shortage()
        self.forecast.on_round([], 1.0)
        self.forecast.on_round(jobs, 1.1)
        self.assertFalse(self.is_late(_job("c", priority=1, at=1.1), 1.1))

    def test_service_without_forecasts_refuses_later(self):
        """Guards against a switch that does nothing."""
        self.shortage()
        late = _job("c", priority=1, at=0.9)
        off = SharingPolicy(start_forecast=False)
        late.queue = replace(late.queue, sharing=off)
        self.assertFalse(self.is_late(late, 0.9))
        self.assertEqual(1.0, self.forecast.retry_after_s(late, 0.9))

    def test_ended_jobs_are_not_waited_for(self):
        """Guards against a forecast by jobs that were refused since the last round."""
        jobs = self.shortage()
        jobs[0].outcome = "refused"
        self.assertFalse(self.is_late(_job("c", priority=1, at=0.9), 0.9))


class OverloadTest(TestCase):
    def results(self, **changes):
        """Returns the part of the long jobs in time, and the mean wait for refusals."""
        load = replace(LOADS["overload"], **changes)
        plays = [play(replace(load, seed=seed))["long"] for seed in range(_SEEDS)]
        refused = [result.jobs * result.refused for result in plays]
        held_s = sum(
            result.held_s * number
            for result, number in zip(plays, refused, strict=True)
        )
        in_time = sum(result.in_time for result in plays) / _SEEDS
        return in_time, held_s / sum(refused)

    def test_callers_of_an_overloaded_fleet_are_refused_sooner(self):
        """Guards against refusals that come late, and against false ones."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        in_time, held_s = self.results()
        in_time_without, held_without_s = self.results(forecast=False)
        self.assertLess(held_s, _MAX_HELD_SHARE * held_without_s)
        self.assertGreater(in_time, in_time_without - _MAX_LOST_SHARE)
