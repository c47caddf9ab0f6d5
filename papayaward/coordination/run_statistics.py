"""
papayaward.coordination.run_statistics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an entry learns of the executors from the ends of their runs.
"""

import logging
import math

from ..state import metrics
from .ejection import Ejection
from .interference import Interference
from .speeds import SpeedEstimates

__all__ = ["RunStatistics"]

log = logging.getLogger(__name__)

# Class of the runs for other entries, whose queues are not reported.
_ALL_QUEUES = ""


class RunStatistics:
    """Records the run times and failures of the executors.

    Attributes:
        speeds: `SpeedEstimates` of the ratio of actual to declared run time, by
            executor and queue.
        ejection: `Ejection` of executors that fail.
        interference: `Interference` of the queues.
    """

    def __init__(self):
        self.speeds = SpeedEstimates()
        self.ejection = Ejection()
        self.interference = Interference()

    def on_peer_runs(self, view, report, now):
        """Learns an executor's speed from its runs for other entries.

        In a large fleet an entry has few runs on each executor, and would otherwise
        know the slow ones only after seconds.

        Args:
            view: `LeasedView` of the executor.
            report: `RoomReport`.
            now: Time, seconds.
        """
        if report.peer_runs:
            self.speeds.add(view.name, _ALL_QUEUES, report.peer_ratio, now)

    def on_done(self, view, task, end, executors, now):
        """Records a run that was done.

        Args:
            view: `LeasedView` of the executor.
            task: `Task`.
            end: `TaskEnd`; its run time is 0 if it is unknown.
            executors: Number of connected executors.
            now: Time, seconds.
        """
        queue = task.job.queue
        expected_s = task.phase.expected_s
        service_us = end.service_us
        if service_us and expected_s:
            ratio = service_us / 1e6 / expected_s
            if end.beside:
                self._add_neighbours(view, queue, ratio, end.beside, now)
            self.speeds.add(view.name, queue.name, ratio, now)
        metrics.SERVICE_SECONDS.labels(queue.service, queue.name).observe(
            service_us / 1e6
        )
        self._add_outcome(view, task, True, executors, now)

    def _add_neighbours(self, view, queue, ratio, beside, now):
        expected = self.speeds.predicted_s(view.name, queue.name, 1.0)
        total = max(1, view.capacity.cpu_millis)
        shares = {row.queue: row.cpu_millis / total for row in beside}
        residual = math.log(ratio / expected)
        self.interference.add(queue.name, residual, shares, now)

    def on_failed(self, view, task, executors, now):
        """Records a run that failed; the arguments are as in `on_done`."""
        self._add_outcome(view, task, False, executors, now)

    def _add_outcome(self, view, task, succeeded, executors, now):
        slots = max(1, view.capacity.cpu_millis // max(1, task.phase.need.cpu_millis))
        ejected = self.ejection.add(
            view.name, task.job.queue.name, succeeded, slots, executors, now
        )
        if ejected:
            log.warning("executor_ejected", extra={"executor": view.name})
