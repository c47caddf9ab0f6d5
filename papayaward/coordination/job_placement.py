"""
papayaward.coordination.job_placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Scheduling order of jobs and the choice of an executor for each task.
"""

import math
import random

from .job_state import DONE, SENT
from .placement_round import OVERHEAD_S, PlacementRound

__all__ = ["Placement"]

# A result that arrives after more than this many times the objective is useless.
_USEFUL_OBJECTIVES = 3.0
# Executors whose speeds differ by less than this factor rank as equally fast.
_SPEED_STEP = math.log(1.12)
# Smallest actual over declared run time on an average executor: callers' estimates are
# up to 40 percent too high.
_MIN_ESTIMATE_SHARE = 0.7
# Time after which the executors linked to an entry show what the fleet can run. While
# they connect, others with more capacity or another label may follow.
_SETTLED_S = 2.0


class Placement:
    """Chooses jobs and executors by the latency objective and learned speeds.

    Args:
        statistics: `RunStatistics`.
        is_domain_out: Function that returns whether a failure domain is out of
            service.
        lost: `LostTasks`, which tells the tasks that may start at one executor only.
    """

    def __init__(self, statistics, is_domain_out, lost):
        self._speeds = statistics.speeds
        self._ejection = statistics.ejection
        self._interference = statistics.interference
        self._is_domain_out = is_domain_out
        self._lost = lost

    def begin_round(self, views, now):
        """Returns a `PlacementRound` for the current state of the executors.

        Args:
            views: `LeasedView` of each connected executor.
            now: Time, seconds.
        """
        accepting = [view for view in views if view.accepting and not self.is_out(view)]
        return PlacementRound(self, accepting, now)

    def is_out(self, view):
        """Returns whether an executor's failure domain is out of service."""
        return self._is_domain_out(view.domain)

    def order(self, jobs, now):
        """Returns the jobs in the order in which capacity is allocated to them.

        Jobs that can no longer meet their objective come last. The others are sorted
        by the queue's priority, then those that have begun come first, so that what
        their tasks hold is freed, then by the latest start that meets the objective.
        """

        return sorted(jobs, key=lambda job: self.order_key(job, now))

    def order_key(self, job, now):
        """Returns the sort key of a job in `order`."""
        latest_start = job.objective_at - job.critical_path_s() - OVERHEAD_S
        return (
            self._lateness(job, latest_start, now),
            job.queue.priority,
            not job.started,
            latest_start,
        )

    def will_miss_deadline(self, job, now):
        """Returns whether a job cannot end before its deadline.

        Only waiting tasks are considered: a run in progress may end earlier than
        expected.
        """
        if now + job.critical_path_s() * self._min_ratio(job) <= job.deadline:
            return False
        return any(
            now + task.phase.expected_s * self._min_ratio(job) > job.deadline
            for number in job.ready_phases()
            for task in job.waiting_tasks(number)
        )

    def unservable_reason(self, job, views, now):
        """Returns why a job that has just arrived can never be served.

        It is then refused at once, so that its caller does not wait in vain.

        Args:
            job: `Job` without a started task.
            views: `LeasedView` of each connected executor.
            now: Time, seconds.

        Returns:
            str: `too_long` if it cannot end before its deadline even on an idle fleet,
                `too_large` if no linked executor of its service has the capacity or the
                label that a phase needs, else empty.
        """
        shortest_s = _MIN_ESTIMATE_SHARE * job.critical_path_s() * self._min_ratio(job)
        if now + shortest_s > job.deadline:
            return "too_long"
        service = job.queue.service
        for phase in job.request.phases:
            if any(view.service == service and view.suits(phase) for view in views):
                continue
            if any(
                view.service == service
                and view.capacity_known
                and now - view.linked_at > _SETTLED_S
                for view in views
            ):
                return "too_large"
        return ""

    def remaining_s(self, job, now):
        """Returns the expected time until a job ends, given its runs, seconds."""
        min_ratio = self._min_ratio(job)
        remaining_s = 0.0
        for number in job.ready_phases():
            expected_s = job.request.phases[number].expected_s
            phase_s = max(
                self._task_s(task, expected_s, min_ratio, now)
                for task in job.phases[number]
                if task.state is not DONE
            )
            remaining_s = max(
                remaining_s, phase_s + min_ratio * job.critical_path_after_s(number)
            )
        return remaining_s

    def _task_s(self, task, expected_s, min_ratio, now):
        if task.state is not SENT:
            return min_ratio * expected_s
        ends_at = task.sent_at + self.run_s(task.executor, task)
        return max(0.0, ends_at - now)

    def run_s(self, view, task):
        """Returns the time that a task is expected to take on an executor, seconds."""
        return self.ratio(view, task.job.queue) * task.phase.expected_s + OVERHEAD_S

    def ratio(self, view, queue):
        """Returns an executor's ratio of actual to declared run time for a queue."""
        return self._speeds.predicted_s(view.name, queue.name, 1.0)

    def is_pinned(self, task):
        """Returns whether a task may start at one executor only."""
        return self._lost.is_pinned(task.name)

    def fits(self, view, task, now):
        """Returns whether all but the free capacity permits a start.

        These are late starts elsewhere, labels, the limit per upstream and ejection.
        """
        if not self._lost.may_start_at(task.name, view):
            return False
        phase = task.phase
        if phase.label and phase.label not in view.labels:
            return False
        if phase.max_per_upstream:
            siblings = task.job.phases[task.phase_number]
            assigned = sum(other.may_run_on(view.name) for other in siblings)
            if assigned >= phase.max_per_upstream:
                return False
        allowed = self._ejection.allowed(view.name, now)
        return allowed is None or len(view.tasks) < allowed

    def rank(self, view, task):
        """Returns the sort key of an executor for a task; the lowest is preferred."""
        phase = task.phase
        other_rack = bool(phase.rack) and phase.rack not in view.labels
        queue = task.job.queue
        slowness = math.log(self.ratio(view, queue)) + self.slowdown(view, queue)
        step = round(slowness / _SPEED_STEP)
        return (other_rack, step, -view.free.cpu_millis, random.random())

    def slowdown(self, view, queue):
        """Returns the logarithm of the slowdown by and of what runs at an executor."""
        if not self._interference.is_known or not queue.sharing.interference:
            return 0.0
        return self._interference.slowdown(queue.name, view.shares)

    def _lateness(self, job, latest_start, now):
        """Returns 0 if a job can meet its objective, 1 if late, 2 if useless.

        A timeout shorter than the useful time means that the caller has submitted the
        job before and has already waited for it, so the job is late.
        """
        useful_s = _USEFUL_OBJECTIVES * job.objective_s
        if now > job.arrived_at + useful_s:
            return 2
        is_resubmission = job.request.timeout_s < useful_s
        return 1 if now > latest_start or is_resubmission else 0

    def _min_ratio(self, job):
        """Returns the ratio of actual to declared run time on the fastest executor."""
        average_ratio = self._speeds.predicted_s("", job.queue.name, 1.0)
        return average_ratio * self._speeds.min_slowness()
