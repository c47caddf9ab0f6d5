"""
papayaward.coordination.job_placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Scheduling order of jobs and the choice of an executor for each task.
"""

import math
import random
from heapq import heapify, heappop, heappush

from .job_state import DONE, SENT

__all__ = ["Placement", "PlacementRound"]

# Time that the start request and the report of the end add to a task's run time,
# seconds.
_OVERHEAD_S = 0.012
# A result that arrives after more than this many times the objective is useless.
_USEFUL_OBJECTIVES = 3.0
# Executors whose speeds differ by less than this factor rank as equally fast.
_SPEED_STEP = math.log(1.12)
# Number of tasks of a phase that go to one executor before the next executor is used.
# Together they cost one message with one specification, and the job depends on fewer
# executors; all of them on one would leave a wide job to a single one that may fail.
_MAX_TOGETHER = 4
# Smallest actual over declared run time on an average executor: callers' estimates are
# up to 40 percent too high.
_MIN_ESTIMATE_SHARE = 0.7
# Time after which the executors linked to an entry show what the fleet can run. While
# they connect, others with more capacity or another label may follow.
_SETTLED_S = 2.0
# Headroom is kept while the free capacity of all executors is less than this many times
# the headroom of all.
_AMPLE_RATIO = 2.0


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
        latest_start = job.objective_at - job.critical_path_s() - _OVERHEAD_S
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
        return self.ratio(view, task.job.queue) * task.phase.expected_s + _OVERHEAD_S

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
        if not self._interference.is_known:
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


class PlacementRound:
    """Snapshot of the executors for the placement of many tasks.

    Values that do not depend on the task are computed once, so that a round does not
    examine every executor for each of many waiting jobs.

    Args:
        placement: `Placement`.
        views: `LeasedView` of each executor that accepts tasks.
        now: Time, seconds.
    """

    def __init__(self, placement, views, now):
        self._placement = placement
        self._now = now
        self._usable = {}
        self._with_free_capacity = {}
        self._max_free_cpu = {}
        self._min_ratios = {}
        # Whether headroom is kept, by service and priority.
        self._keeps_headroom = {}
        # (service, need, priority, whether the job has begun) for which no executor has
        # enough free capacity.
        self._exhausted = set()
        for view in views:
            self._usable.setdefault(view.service, []).append(view)
        for service, usable in self._usable.items():
            not_slow = [view for view in usable if now >= view.slow_until]
            self._usable[service] = usable = not_slow or usable
            self._with_free_capacity[service] = [
                view for view in usable if view.has_free_capacity
            ]
            self._max_free_cpu[service] = max(view.free.cpu_millis for view in usable)

    def serves(self, service):
        """Returns whether any executor accepts tasks of a service."""
        return service in self._usable

    def may_place(self, job):
        """Returns whether an executor has enough free CPU for a task of a job."""
        max_free_cpu = self._max_free_cpu.get(job.queue.service, 0)
        return any(
            job.request.phases[number].need.cpu_millis <= max_free_cpu
            for number in job.ready_phases()
        )

    def place(self, job, number):
        """Yields (task, view) for the tasks of a phase that an executor can start.

        The caller must reserve the capacity for each pair before it requests the next.
        """
        heap = None
        latest, together = None, 0
        for task in job.waiting_tasks(number):
            if self._placement.is_pinned(task):
                view = self.choose(task)
                if view is None:
                    # It must not hold up the tasks that may start elsewhere.
                    continue
            elif task.avoided_executors or task.phase.max_per_upstream:
                view = self.choose(task)
            elif together < _MAX_TOGETHER and latest and self.may_run(latest, task):
                view = latest
            else:
                if heap is None:
                    heap = self._heap(task)
                elif latest and self.may_run(latest, task):
                    heappush(heap, (self._placement.rank(latest, task), latest))
                view = heappop(heap)[1] if heap else None
                latest, together = view, 0
            if view is None or not self.should_start(view, task):
                return
            together += 1
            yield task, view

    def choose(self, task):
        """Returns the best executor for a task, or None if the task should wait."""
        candidates = self.free_views(task)
        if not candidates:
            return None
        preferred = [
            view for view in candidates if view.name not in task.avoided_executors
        ] or candidates
        best = min(preferred, key=lambda view: self._placement.rank(view, task))
        return best if self.should_start(best, task) else None

    def can_meet_objective(self, job):
        """Returns whether a job without a start can still meet its objective."""
        latest_start = job.objective_at - job.critical_path_s() - _OVERHEAD_S
        return self._now <= latest_start and self.serves(job.queue.service)

    def can_be_on_time(self, job, number):
        """Returns whether a task of a phase that starts now can meet the objective."""
        if not self.serves(job.queue.service):
            return False
        expected_s = job.request.phases[number].expected_s
        fastest_s = self._min_ratio(job.queue) * expected_s + _OVERHEAD_S
        after_s = job.critical_path_after_s(number)
        return self._now + fastest_s + after_s <= job.objective_at

    def _heap(self, task):
        phase = task.phase
        queue = task.job.queue
        demand = (queue.service, phase.need, queue.priority, task.job.started)
        if demand in self._exhausted:
            return []
        heap = [
            (self._placement.rank(view, task), view) for view in self.free_views(task)
        ]
        heapify(heap)
        if not heap and not phase.label:
            self._exhausted.add(demand)
        return heap

    def rank(self, view, task):
        """Returns the sort key of an executor for a task; the lowest is preferred."""
        return self._placement.rank(view, task)

    def free_views(self, task):
        """Returns the executors that can start a task now."""
        views = self._with_free_capacity.get(task.job.queue.service, ())
        return [view for view in views if self.may_run(view, task)]

    def is_pinned(self, task):
        """Returns whether a task may start at one executor only."""
        return self._placement.is_pinned(task)

    def may_run(self, view, task):
        """Returns whether an executor can start a task now."""
        if self._now < task.retry_at:
            return False
        keeps_headroom = self.keeps_headroom(task.job.queue)
        if not view.has_room_for(task, keeps_headroom):
            return False
        return self._placement.fits(view, task, self._now)

    def keeps_headroom(self, queue):
        """Returns whether new jobs of a queue leave what is kept for more urgent ones.

        While the executors together have much more capacity, urgent tasks find some
        elsewhere.
        """
        key = (queue.service, queue.priority)
        keeps = self._keeps_headroom.get(key)
        if keeps is None:
            views = self._usable.get(queue.service, ())
            free = sum(max(0, view.free.cpu_millis) for view in views)
            kept = sum(view.kept_cpu(queue.priority) for view in views)
            keeps = self._keeps_headroom[key] = free < _AMPLE_RATIO * kept
        return keeps

    def should_start(self, view, task):
        """Returns whether to start a task on an executor now rather than wait."""
        job = task.job
        after_s = job.critical_path_after_s(task.phase_number)
        ends_at = self._now + self._placement.run_s(view, task) + after_s
        if ends_at <= job.objective_at:
            return True
        if self._placement.is_pinned(task):
            return ends_at <= job.deadline
        fastest_s = self._min_ratio(job.queue) * task.phase.expected_s + _OVERHEAD_S
        if self._now + fastest_s + after_s < job.objective_at:
            # A faster executor may become free in time to meet the objective.
            return False
        return ends_at <= job.deadline

    def _min_ratio(self, queue):
        ratio = self._min_ratios.get(queue.name)
        if ratio is None:
            views = self._usable.get(queue.service, ())
            ratio = min(self._placement.ratio(view, queue) for view in views)
            self._min_ratios[queue.name] = ratio
        return ratio
