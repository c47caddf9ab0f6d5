"""
papayaward.coordination.start_forecast
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forecasts when a job will start that arrives while others wait for capacity.

A job that would start too late is refused on arrival, and is told when the jobs before
it will have started. The forecast rests on what this entry was recently given: jobs of
other entries take part of the capacity that comes free.

The load that this answers: for some seconds more jobs arrive than can start in time.
"""

import math
from collections import deque

__all__ = ["StartForecast"]

# Time over which the CPU of recent starts is added up.
_WINDOW_S = 1.0
# Time for which jobs must have waited before the rate of starts tells the capacity: a
# few tasks that wait for the next report are no shortage.
_MIN_BACKLOG_S = 0.2
# A job is refused if it would start too late even at this multiple of the rate.
_RATE_MARGIN = 2.0
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 10.0


class StartForecast:
    """Rate of the starts of one entry, by service, and the jobs that wait there.

    Args:
        placement: `Placement`.
    """

    def __init__(self, placement):
        self._placement = placement
        # Jobs that waited for capacity after the latest round.
        self._waiting = ()
        # (time, priority of the queue, CPU in thousandths of a core) of each recent
        # start, by service.
        self._starts = {}
        # Time since when jobs of a service and priority wait, seconds.
        self._waiting_since = {}

    def on_start(self, task, now):
        """Records a start.

        Args:
            task: `Task`.
            now: Time, seconds.
        """
        queue = task.job.queue
        starts = self._starts.setdefault(queue.service, deque())
        starts.append((now, queue.priority, task.phase.need.cpu_millis))
        while now - starts[0][0] > _WINDOW_S:
            starts.popleft()

    def on_round(self, jobs, now):
        """Records what waits for capacity after a scheduling round.

        Tasks that may start at one executor only wait for that, not for capacity.

        Args:
            jobs: `Job` of each job that may have waiting tasks and is not held back.
            now: Time, seconds.
        """
        self._waiting = [job for job in jobs if self._waiting_cpu(job, now)]
        since = self._waiting_since
        keys = {_level(job.queue) for job in self._waiting}
        self._waiting_since = {key: since.get(key, now) for key in keys}

    def will_start_late(self, job, views, now):
        """Returns whether a job that has just arrived would start too late.

        That is, even if more capacity came free than lately. While an executor has
        capacity, the jobs that wait are about to start.

        Args:
            job: `Job` without a start.
            views: `LeasedView` of each connected executor.
            now: Time, seconds.
        """
        wait_s = self._wait_s(job, now) / _RATE_MARGIN
        latest_start = job.objective_at - job.critical_path_s()
        if not wait_s or now + wait_s <= latest_start:
            return False
        return not any(
            view.accepting
            and view.service == job.queue.service
            and view.has_capacity_for(task)
            for task in _first_tasks(job)
            for view in views
        )

    def retry_after_s(self, job, now):
        """Returns when a refused job may be submitted again, whole seconds.

        The jobs that wait before it will have started by then.

        Args:
            job: `Job`.
            now: Time, seconds.
        """
        wait_s = math.ceil(self._wait_s(job, now))
        return float(min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s)))

    def _wait_s(self, job, now):
        """Returns the time until the jobs before a job have started, seconds.

        The job's own tasks do not count: a wide one would be refused more often.
        More urgent jobs go on taking what they took lately, so that only the rest
        counts as capacity.

        Returns:
            float: 0 if there is no shortage, too little is known or the service asks
                for no forecasts.
        """
        queue = job.queue
        since = self._waiting_since.get(_level(queue))
        if since is None or now - since < _MIN_BACKLOG_S:
            return 0.0
        if not queue.sharing.start_forecast:
            return 0.0
        granted = sum(
            cpu
            for at, priority, cpu in self._starts.get(queue.service, ())
            if now - at <= _WINDOW_S and priority >= queue.priority
        )
        return self._cpu_before(job, now) / granted * _WINDOW_S if granted else 0.0

    def _cpu_before(self, job, now):
        """Returns the CPU of the tasks that wait before a job's."""
        key = self._placement.order_key(job, now)
        return sum(
            self._waiting_cpu(other, now)
            for other in self._waiting
            if other is not job
            and other.outcome is None
            and other.queue.service == job.queue.service
            and self._placement.order_key(other, now) <= key
        )

    def _waiting_cpu(self, job, now):
        """Returns the CPU of a job's tasks that wait for capacity, millicores."""
        return sum(
            job.request.phases[number].need.cpu_millis
            for number in job.ready_phases()
            for task in job.waiting_tasks(number)
            if now >= task.retry_at and not self._placement.is_pinned(task)
        )


def _level(queue):
    return queue.service, queue.priority


def _first_tasks(job):
    """Yields one waiting task of each phase that may start."""
    for number in job.ready_phases():
        yield from job.waiting_tasks(number)[:1]
