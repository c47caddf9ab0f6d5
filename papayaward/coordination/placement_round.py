"""
papayaward.coordination.placement_round
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Choice of an executor for each of many waiting tasks at one moment.
"""

from heapq import heapify, heappop, heappush

__all__ = ["OVERHEAD_S", "PlacementRound"]

# Time that the start request and the report of the end add to a task's run time,
# seconds.
OVERHEAD_S = 0.012
# Number of tasks of a phase that go to one executor before the next executor is used.
# Together they cost one message with one specification, and the job depends on fewer
# executors; all of them on one would leave a wide job to a single one that may fail.
_MAX_TOGETHER = 4
# Headroom is kept while the free capacity of all executors is less than this many times
# the headroom of all.
_AMPLE_RATIO = 2.0


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
        latest_start = job.objective_at - job.critical_path_s() - OVERHEAD_S
        return self._now <= latest_start and self.serves(job.queue.service)

    def can_be_on_time(self, job, number):
        """Returns whether a task of a phase that starts now can meet the objective."""
        if not self.serves(job.queue.service):
            return False
        expected_s = job.request.phases[number].expected_s
        fastest_s = self._min_ratio(job.queue) * expected_s + OVERHEAD_S
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
        leaves_headroom = self.leaves_headroom(task.job.queue)
        if not view.has_capacity_for(task, leaves_headroom):
            return False
        return self._placement.fits(view, task, self._now)

    def leaves_headroom(self, queue):
        """Returns whether new jobs of a queue leave what is kept for more urgent ones.

        While the executors together have much more capacity, urgent tasks find some
        elsewhere.
        """
        if not queue.sharing.headroom:
            return False
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
        fastest_s = self._min_ratio(job.queue) * task.phase.expected_s + OVERHEAD_S
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
