"""
papayaward.coordination.placement_report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Explains where the tasks of a job would start now, without starting them.
"""

from dataclasses import dataclass
from itertools import islice

from .job_state import Job

__all__ = ["ExecutorReport", "PhaseReport", "PlacementReport", "PlacementReports"]


# Each phase is compared with every executor while the entry does nothing else.
_MAX_PHASES = 8


@dataclass(frozen=True)
class ExecutorReport:
    """What speaks for or against one executor.

    Attributes:
        executor: Its name.
        domain: Its failure domain.
        verdict: `fits`, or why no task of the phase can start there now.
        expected_s: Expected run time of a task there, seconds.
        free_millis: Free CPU, thousandths of a core.
        kept_millis: The part that is kept for more urgent queues.
        slowdown: Logarithm of the slowdown by and of what runs there.
    """

    executor: str
    domain: str
    verdict: str
    expected_s: float
    free_millis: int
    kept_millis: int
    slowdown: float


@dataclass(frozen=True)
class PhaseReport:
    """Where the tasks of one phase would start.

    Attributes:
        number: Index of the phase.
        starts: Number of tasks that would start now by the name of the executor.
        waiting: Number of tasks that would wait for capacity.
        executors: `ExecutorReport` of each executor of the service, the preferred ones
            first.
    """

    number: int
    starts: dict
    waiting: int
    executors: tuple


@dataclass(frozen=True)
class PlacementReport:
    """What would become of a job that arrives now.

    Attributes:
        decision: `start`, `wait` or `refuse`.
        reason: Reason of a refusal, else empty.
        retry_after_s: When the refused caller would be told to return, seconds.
        jobs_before: Number of waiting jobs that precede it at this entry.
        phases: `PhaseReport` of the first phases that could start.
    """

    decision: str
    reason: str
    retry_after_s: float
    jobs_before: int
    phases: tuple


class PlacementReports:
    """Explains placements of one entry; nothing that it does is kept.

    Args:
        placement: `Placement`.
        early_ends: `EarlyEnds`.
        isolation: `Isolation`.
        views: `LeasedView` of each connected executor by its name.
        waiting: `Job` by identifier of the jobs that may wait.
    """

    def __init__(self, placement, early_ends, isolation, views, waiting):
        self._placement = placement
        self._early_ends = early_ends
        self._isolation = isolation
        self._views = views
        self._waiting = waiting

    def report(self, request, queue, now):
        """Returns the `PlacementReport` of a job.

        Args:
            request: `LeasedJobRequest`.
            queue: `Queue`.
            now: Time, seconds.
        """
        job = Job(request, queue, now)
        views = list(self._views.values())
        outcome = self._early_ends.while_closing(job, now)
        outcome = outcome or self._early_ends.on_arrival(job, views, now)
        numbers = islice(job.ready_phases(), _MAX_PHASES)
        phases = tuple(self._phase(job, number, now) for number in numbers)
        decision = "start" if any(phase.starts for phase in phases) else "wait"
        reason, retry_after_s = "", 0.0
        if outcome is not None:
            decision, reason = "refuse", outcome.reason
            retry_after_s = outcome.retry_after_s
        jobs_before = self._jobs_before(job, now)
        return PlacementReport(decision, reason, retry_after_s, jobs_before, phases)

    def _jobs_before(self, job, now):
        key = self._placement.order_key(job, now)
        return sum(
            self._placement.order_key(other, now) <= key
            for other in self._waiting.values()
            if other.queue.service == job.queue.service
        )

    def _phase(self, job, number, now):
        placement_round = self._isolation.begin_round(self._views.values(), now)
        task = job.phases[number][0]
        keeps = placement_round.leaves_headroom(job.queue)
        of_service = [v for v in self._views.values() if v.service == job.queue.service]
        verdicts = {view: self._verdict(view, task, keeps, now) for view in of_service}
        ranked = sorted(
            of_service,
            key=lambda view: (
                verdicts[view] != "fits",
                self._placement.rank(view, task),
            ),
        )
        starts, waiting = _spread(task, ranked, verdicts)
        executors = tuple(self._executor(v, task, verdicts[v]) for v in ranked)
        return PhaseReport(number, starts, waiting, executors)

    def _verdict(self, view, task, leaves_headroom, now):
        if self._placement.is_out(view):
            return "failure domain out of service"
        if not view.accepting:
            return "accepts no tasks"
        if not view.suits(task.phase):
            return "label or size"
        if not view.has_capacity_for(task, leaves_headroom=False):
            return "no free capacity"
        if not view.has_capacity_for(task, leaves_headroom):
            return "kept for more urgent queues"
        if not self._placement.fits(view, task, now):
            return "ejected, or limit for an upstream"
        return "fits"

    def _executor(self, view, task, verdict):
        queue = task.job.queue
        return ExecutorReport(
            view.name,
            view.domain,
            verdict,
            round(self._placement.run_s(view, task), 4),
            view.free.cpu_millis,
            view.kept_cpu(queue.priority),
            round(self._placement.slowdown(view, queue), 3),
        )


def _spread(task, ranked, verdicts):
    """Returns the number of a phase's tasks by executor, and how many would wait."""
    starts, count = {}, task.phase.count
    for view in ranked:
        if not count or verdicts[view] != "fits":
            break
        number = min(count, max(1, view.free.fitting(task.phase.need)))
        starts[view.name] = number
        count -= number
    return starts, count
