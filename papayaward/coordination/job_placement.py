"""
papayaward.coordination.job_placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which job comes next, and which executor runs a task.
"""

import math
import random

__all__ = ["Placement"]

# Time that a start and the report of an end take beside the work, seconds.
_OVERHEAD_S = 0.012
# A job that is done later than this many times its objective is of no use.
_USEFUL_OBJECTIVES = 3.0
# Executors whose speeds differ by less than this factor count as equally fast.
_SPEED_STEP = math.log(1.12)


class Placement:
    """Chooses jobs and executors by the latency objective and learned speeds.

    Args:
        speeds: `SpeedEstimates` of run time over stated time, by executor and queue.
        ejection: `Ejection` of executors that fail.
        is_domain_out: Function that returns whether a failure domain is out of
            service.
    """

    def __init__(self, speeds, ejection, is_domain_out):
        self._speeds = speeds
        self._ejection = ejection
        self._is_domain_out = is_domain_out

    def order(self, jobs, now):
        """Returns the jobs in the order in which they get room.

        Jobs that can no longer meet their objective come after all others; among
        the rest the queue's priority decides, then the latest time to start.
        """

        def key(job):
            latest = job.objective_at - job.left_s() - _OVERHEAD_S
            return (self._lateness(job, latest, now), job.queue.priority, latest)

        return sorted(jobs, key=key)

    def _lateness(self, job, latest, now):
        """Returns 0 for a job that can be on time, 1 for a late one, 2 for a useless.

        A caller that has less time left than a late answer may take has waited for an
        answer before: its job is late already.
        """
        useful_s = _USEFUL_OBJECTIVES * job.objective_s
        if now > job.arrived_at + useful_s:
            return 2
        waited_before = job.request.timeout_s < useful_s
        return 1 if now > latest or waited_before else 0

    def choose(self, task, views, now):
        """Returns the executor that should start a task now, or None to wait.

        Args:
            task: `Task` that waits.
            views: `LeasedView` of each executor in reach.
            now: Time, seconds.
        """
        job = task.job
        usable = [view for view in views if self._is_usable(view, task, now)]
        usable = [view for view in usable if now >= view.slow_until] or usable
        free = [view for view in usable if view.free.covers(task.phase.need)]
        if not free:
            return None
        preferred = [view for view in free if view.name not in task.avoid] or free
        best = min(preferred, key=lambda view: self._rank(view, task))
        after_s = job.chain_after_s(task.phase_number)
        finish = now + self.run_s(best, task) + after_s
        if finish <= job.objective_at:
            return best
        fastest_s = min(self.run_s(view, task) for view in usable)
        if now + fastest_s + after_s < job.objective_at:
            # A faster executor can still make it if it becomes free in time.
            return None
        return best if finish <= job.give_up_at else None

    def is_hopeless(self, job, now):
        """Returns whether a job cannot end before its caller leaves.

        Only what waits counts: a run that is on its way may end earlier than expected.
        """
        return any(
            now + task.phase.expected_s * self._least_ratio(job) > job.give_up_at
            for number in job.open_phases()
            for task in job.waiting(number)
        )

    def can_be_useful(self, job, views, now):
        """Returns whether a job that has not begun may still be served in time."""
        first = job.phases[0][0]
        if not any(self._is_usable(view, first, now) for view in views):
            return False
        return now + job.left_s() + _OVERHEAD_S <= job.objective_at

    def _is_usable(self, view, task, now):
        phase = task.phase
        if not view.accepting or view.service != task.job.queue.service:
            return False
        if self._is_domain_out(view.domain):
            return False
        if phase.label and phase.label not in view.labels:
            return False
        if not view.capacity.covers(phase.need):
            return False
        if phase.max_per_upstream:
            alike = task.job.phases[task.phase_number]
            mine = sum(other.runs_at(view.name) for other in alike)
            if mine >= phase.max_per_upstream:
                return False
        slots = max(1, view.capacity.cpu_millis // max(1, phase.need.cpu_millis))
        return self._ejection.limit(view.name, slots, now) > len(view.tasks)

    def run_s(self, view, task):
        """Returns the time that a task is expected to take on an executor, seconds."""
        return self._ratio(view, task) * task.phase.expected_s + _OVERHEAD_S

    def _least_ratio(self, job):
        """Returns the run time over the stated time on the fastest executor."""
        usual = self._speeds.predicted_s("", job.queue.name, 1.0)
        return usual * self._speeds.least_slowness()

    def _ratio(self, view, task):
        """Returns an executor's run time over the stated time."""
        return self._speeds.predicted_s(view.name, task.job.queue.name, 1.0)

    def _rank(self, view, task):
        far = bool(task.phase.rack) and task.phase.rack not in view.labels
        step = round(math.log(self._ratio(view, task)) / _SPEED_STEP)
        return (far, step, -view.free.cpu_millis, random.random())
