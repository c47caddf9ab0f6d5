"""
papayaward.coordination.job_placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which job comes next, and which executor runs a task.
"""

import math
import random
from heapq import heapify, heappop, heappush

from .job_state import DONE, SENT

__all__ = ["Placement", "Round"]

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

    def begin_round(self, views, now):
        """Returns a `Round` over the executors as they are now.

        Args:
            views: `LeasedView` of each executor in reach.
            now: Time, seconds.
        """
        open_views = [
            view
            for view in views
            if view.accepting and not self._is_domain_out(view.domain)
        ]
        return Round(self, open_views, now)

    def order(self, jobs, now):
        """Returns the jobs in the order in which they get room.

        Jobs that can no longer meet their objective come after all others; among
        the rest the queue's priority decides, then the latest time to start.
        """

        def key(job):
            latest = job.objective_at - job.left_s() - _OVERHEAD_S
            return (self._lateness(job, latest, now), job.queue.priority, latest)

        return sorted(jobs, key=key)

    def is_hopeless(self, job, now):
        """Returns whether a job cannot end before its caller leaves.

        Only what waits counts: a run that is on its way may end earlier than expected.
        """
        if now + job.left_s() * self._least_ratio(job) <= job.give_up_at:
            return False
        return any(
            now + task.phase.expected_s * self._least_ratio(job) > job.give_up_at
            for number in job.open_phases()
            for task in job.waiting(number)
        )

    def remaining_s(self, job, now):
        """Returns how long a job still takes as far as its runs tell, seconds."""
        least = self._least_ratio(job)
        left_s = 0.0
        for number in job.open_phases():
            expected_s = job.request.phases[number].expected_s
            own_s = max(
                self._task_s(task, expected_s, least, now)
                for task in job.phases[number]
                if task.state is not DONE
            )
            left_s = max(left_s, own_s + least * job.chain_after_s(number))
        return left_s

    def _task_s(self, task, expected_s, least, now):
        if task.state is not SENT:
            return least * expected_s
        ends_at = task.sent_at + self.run_s(task.executor, task)
        return max(0.0, ends_at - now)

    def run_s(self, view, task):
        """Returns the time that a task is expected to take on an executor, seconds."""
        return self.ratio(view, task.job.queue) * task.phase.expected_s + _OVERHEAD_S

    def ratio(self, view, queue):
        """Returns an executor's run time over the stated time for a queue's tasks."""
        return self._speeds.predicted_s(view.name, queue.name, 1.0)

    def fits(self, view, task, now):
        """Returns whether an executor with room may run a task."""
        phase = task.phase
        if phase.label and phase.label not in view.labels:
            return False
        if phase.max_per_upstream:
            alike = task.job.phases[task.phase_number]
            mine = sum(other.runs_at(view.name) for other in alike)
            if mine >= phase.max_per_upstream:
                return False
        slots = max(1, view.capacity.cpu_millis // max(1, phase.need.cpu_millis))
        return self._ejection.limit(view.name, slots, now) > len(view.tasks)

    def rank(self, view, task):
        """Returns the place of an executor in the order of preference, a tuple."""
        phase = task.phase
        far = bool(phase.rack) and phase.rack not in view.labels
        step = round(math.log(self.ratio(view, task.job.queue)) / _SPEED_STEP)
        return (far, step, -view.free.cpu_millis, random.random())

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

    def _least_ratio(self, job):
        """Returns the run time over the stated time on the fastest executor."""
        usual = self._speeds.predicted_s("", job.queue.name, 1.0)
        return usual * self._speeds.least_slowness()


class Round:
    """One look at the executors, for the placement of many tasks.

    What holds for all tasks is worked out once: with many jobs waiting for room, a
    round must not look at every executor for each of them.

    Args:
        placement: `Placement`.
        views: `LeasedView` of each executor that accepts tasks.
        now: Time, seconds.
    """

    def __init__(self, placement, views, now):
        self._placement = placement
        self._now = now
        self._usable = {}
        self._with_room = {}
        self._most_cpu = {}
        self._least_ratios = {}
        # (service, need) for which no executor has room.
        self._full = set()
        for view in views:
            self._usable.setdefault(view.service, []).append(view)
        for service, usable in self._usable.items():
            brisk = [view for view in usable if now >= view.slow_until]
            self._usable[service] = usable = brisk or usable
            self._with_room[service] = [view for view in usable if view.has_room]
            self._most_cpu[service] = max(view.free.cpu_millis for view in usable)

    def serves(self, service):
        """Returns whether any executor accepts tasks of a service."""
        return service in self._usable

    def may_place(self, job):
        """Returns whether an executor has the processor time for a task of a job."""
        most = self._most_cpu.get(job.queue.service, 0)
        return any(
            job.request.phases[number].need.cpu_millis <= most
            for number in job.open_phases()
        )

    def place(self, job, number):
        """Yields (task, view) for the tasks of a phase that get an executor.

        The caller takes the room of each before it asks for the next.
        """
        heap = None
        for task in job.waiting(number):
            if task.avoid or task.phase.max_per_upstream:
                view = self.choose(task)
            else:
                if heap is None:
                    heap = self._heap(task)
                view = heappop(heap)[1] if heap else None
            if view is None or not self._is_worth_it(view, task):
                return
            yield task, view
            if heap is not None and self._may_run(view, task):
                heappush(heap, (self._placement.rank(view, task), view))

    def choose(self, task):
        """Returns the executor that should start a task now, or None to wait."""
        free = self._free(task)
        if not free:
            return None
        preferred = [view for view in free if view.name not in task.avoid] or free
        best = min(preferred, key=lambda view: self._placement.rank(view, task))
        return best if self._is_worth_it(best, task) else None

    def can_be_useful(self, job):
        """Returns whether a job that has not begun may still be served in time."""
        latest = job.objective_at - job.left_s() - _OVERHEAD_S
        return self._now <= latest and self.serves(job.queue.service)

    def _heap(self, task):
        phase = task.phase
        kind = (task.job.queue.service, phase.need)
        if kind in self._full:
            return []
        heap = [(self._placement.rank(view, task), view) for view in self._free(task)]
        heapify(heap)
        if not heap and not phase.label:
            self._full.add(kind)
        return heap

    def _free(self, task):
        views = self._with_room.get(task.job.queue.service, ())
        return [view for view in views if self._may_run(view, task)]

    def _may_run(self, view, task):
        return view.free.covers(task.phase.need) and self._placement.fits(
            view, task, self._now
        )

    def _is_worth_it(self, view, task):
        """Returns whether a start on an executor is better than to wait."""
        job = task.job
        after_s = job.chain_after_s(task.phase_number)
        finish = self._now + self._placement.run_s(view, task) + after_s
        if finish <= job.objective_at:
            return True
        fastest_s = self._least_ratio(job.queue) * task.phase.expected_s + _OVERHEAD_S
        if self._now + fastest_s + after_s < job.objective_at:
            # A faster executor can still make it if it becomes free in time.
            return False
        return finish <= job.give_up_at

    def _least_ratio(self, queue):
        ratio = self._least_ratios.get(queue.name)
        if ratio is None:
            views = self._usable.get(queue.service, ())
            ratio = min(self._placement.ratio(view, queue) for view in views)
            self._least_ratios[queue.name] = ratio
        return ratio
