"""
tests.test_admission
~~~~~~~~~~~~~~~~~~~~

Acceptance and refusal of jobs, shares of tenants and usable slots of upstreams.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.admission import (
    Demand,
    Load,
    check_admission,
    fair_share,
)
from papayaward.coordination.fair_queue import BUCKET_S
from papayaward.coordination.usable_slots import UsableSlots
from papayaward.protocol.outcomes import Reason

__all__ = []

_SETTINGS = SimpleNamespace(max_queued_tasks=1000, max_queued_bytes=20_000)
_NOW = 1000.0


def _check(
    tasks=10,
    deadline_s=2.0,
    waiting=(),
    task_s=0.1,
    fastest_s=0.05,
    size=100,
    priority=10,
    **load,
):
    values = {
        "queued_tasks": 0,
        "queued_bytes": 0,
        "account_tasks": 0,
        "account_bytes": 0,
        "slots": 10,
        "all_slots": 10,
        "share_slots": 10.0,
        "queued_work_us": {
            (prio, int((_NOW + due) / BUCKET_S)): work_s * 1e6
            for prio, due, work_s in waiting
        },
        **load,
    }
    demand = Demand(tasks, size, task_s, task_s, fastest_s, priority, _NOW + deadline_s)
    return check_admission(Load(**values), _SETTINGS, demand, _NOW)


class AdmissionTest(TestCase):
    def _assert_reason(self, reason, refusal):
        self.assertEqual(reason, refusal.reason, refusal.detail)

    def test_job_that_fits_is_accepted(self):
        """Guards against refusing jobs in an idle fleet."""
        self._assert_reason(Reason.NONE, _check())

    def test_wait_beyond_the_deadline_is_refused(self):
        """Guards against jobs that are accepted only to miss their deadline."""
        refusal = _check(waiting=[(10, 2.0, 30.0)])
        self._assert_reason(Reason.OVERLOADED, refusal)
        # 30 s of work on 10 slots exceed 2 s by more than one second.
        self.assertTrue(1000 <= refusal.retry_after_ms <= 4000, refusal)

    def test_wait_is_estimated_from_the_share_of_the_tenant(self):
        """Guards against refusing a tenant because another one fills the queue."""
        self._assert_reason(Reason.NONE, _check(queued_tasks=500, share_slots=5.0))
        waiting = [(10, 2.0, 5.0)]
        self._assert_reason(Reason.NONE, _check(waiting=waiting, tasks=1))
        refused = _check(waiting=waiting, tasks=1, share_slots=2.0)
        self._assert_reason(Reason.OVERLOADED, refused)

    def test_urgent_job_passes_work_that_is_due_later(self):
        """Guards against refusing urgent jobs because of work with later deadlines."""
        self._assert_reason(Reason.NONE, _check(waiting=[(10, 60.0, 100.0)]))

    def test_urgent_job_does_not_delay_accepted_work_past_its_deadline(self):
        """Guards against accepted jobs that miss their deadline due to a new one."""
        # 22 s of work are due in 3 s on 10 slots. Admission plans with 80 % of that
        # time: 2.4 s on each slot, 24 s in total.
        waiting = [(10, 3.0, 22.0)]
        self._assert_reason(Reason.NONE, _check(tasks=1, waiting=waiting, priority=1))
        refused = _check(tasks=60, waiting=waiting, priority=1)
        self._assert_reason(Reason.OVERLOADED, refused)

    def test_impossible_jobs_are_refused_at_once(self):
        """Guards against callers that resubmit a job that can never be accepted."""
        # 300 tasks of 0.1 s on 10 slots take 3 s.
        self._assert_reason(Reason.IMPOSSIBLE, _check(tasks=300))
        self._assert_reason(Reason.IMPOSSIBLE, _check(fastest_s=3.0))
        self._assert_reason(Reason.IMPOSSIBLE, _check(tasks=1001, deadline_s=600.0))
        self._assert_reason(Reason.IMPOSSIBLE, _check(size=10_001))

    def test_class_without_measurements_is_accepted(self):
        """Guards against a class that is never measured because it is refused."""
        self._assert_reason(Reason.NONE, _check(tasks=900, task_s=0.0, fastest_s=0.0))

    def test_queue_limits_leave_capacity_to_other_tenants(self):
        """Guards against one tenant that uses up the limits of the queue."""
        flood = {"queued_tasks": 500, "account_tasks": 500}
        self._assert_reason(Reason.OVERLOADED, _check(deadline_s=600.0, **flood))
        self._assert_reason(Reason.NONE, _check(queued_tasks=500))
        flood = {"queued_bytes": 5000, "account_bytes": 5000}
        self._assert_reason(Reason.OVERLOADED, _check(deadline_s=600.0, **flood))
        self._assert_reason(Reason.NONE, _check(queued_bytes=5000))

    def test_passed_deadline(self):
        """Guards against accepting a job that no caller waits for any more."""
        self._assert_reason(Reason.DEADLINE, _check(deadline_s=0.0))


class ShareTest(TestCase):
    def _share(self, quota, weight, *others):
        demands = [(f"o{n}", *other) for n, other in enumerate(others)]
        return fair_share(100, "a", quota, weight, demands)

    def test_shares(self):
        """Guards against estimated shares that differ from those of the queue."""
        for expected, found in (
            (100.0, self._share(0.0, 1.0)),
            (50.0, self._share(0.0, 1.0, (1000, 0.0, 1.0))),
            (75.0, self._share(0.0, 3.0, (1000, 0.0, 1.0))),
            (90.0, self._share(0.0, 1.0, (10, 0.0, 1.0))),
            (40.0, self._share(40.0, 1.0, (1000, 0.0, 99.0))),
            (70.0, self._share(0.0, 1.0, (1000, 30.0, 0.01))),
        ):
            self.assertTrue(abs(expected - found) < 0.5, (expected, found))


class UsableSlotsTest(TestCase):
    def _slots(self, announced):
        slots = UsableSlots()
        slots.announce(announced)
        return slots

    def test_refusals_lower_the_limit_to_the_running_tasks(self):
        """Guards against grants to slots that an upstream announced but lacks."""
        slots = self._slots(16)
        for running in range(15, 3, -1):
            slots.on_refused(running, 1.0)
        self.assertEqual(4, slots.usable(4, 1.5))

    def test_limit_is_raised_at_doubling_intervals(self):
        """Guards against one refused task per second indefinitely."""
        slots = self._slots(16)
        slots.on_refused(4, 0.0)
        refusals = 0
        for step in range(1, 6000):
            now = step * 0.1
            if slots.usable(4, now) > 4:
                slots.on_refused(4, now)
                refusals += 1
        # The doubled interval reaches one minute after six refusals.
        self.assertTrue(6 <= refusals <= 16, refusals)

    def test_upstream_that_grew_is_used_again(self):
        """Guards against a limit that stays low permanently."""
        slots = self._slots(8)
        slots.on_refused(4, 0.0)
        usable = 4
        for now in range(1, 10):
            usable = slots.usable(usable, now)
        self.assertEqual(8, usable)

    def test_unused_slots_are_not_added(self):
        """Guards against a limit that rises although no task tests it."""
        slots = self._slots(16)
        slots.on_refused(4, 0.0)
        self.assertEqual(4, max(slots.usable(3, now) for now in range(1, 100)))

    def test_upstream_that_refuses_everything_is_paused(self):
        """Guards against a busy loop of grants and refusals."""
        slots = self._slots(8)
        slots.on_refused(0, 0.0)
        probes = 0
        for step in range(1, 600):
            now = step * 0.1
            if slots.usable(0, now):
                self.assertEqual(1, slots.usable(0, now))
                slots.on_refused(0, now)
                probes += 1
        self.assertTrue(10 <= probes <= 20, probes)
        slots.on_served()
        self.assertTrue(slots.usable(0, 100.0) >= 1)
