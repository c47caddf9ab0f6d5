"""
papayaward.coordination.start_admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether an executor begins a run for a start that it received.
"""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..protocol.jobs import Resources
from ..state import metrics
from ..state.crashes import job_id_of
from .leased_runs import may_isolate

__all__ = ["StartConditions", "log_refusals", "refusal_of_start"]

log = logging.getLogger(__name__)

# A start is refused if its entry was last known to be alive longer ago: after a pause
# of this process the entry may have sent the task to another executor.
_MAX_START_STALENESS_S = 0.45
# While the closing process waits for a run, other tasks may still start if they are
# expected to end within this fraction of the run's expected time.
_CLOSING_RUN_SHARE = 0.9


@dataclass(frozen=True)
class StartConditions:
    """State of an executor that decides whether a start may begin a run.

    Attributes:
        runs: `Run` by the name of its task.
        free: Free `Resources` of the upstream.
        close_limit: Time by which every run must have ended, seconds; None unless the
            process is closing.
        is_exhausted: Function that returns whether a job, by its identifier, must not
            be started again after the crashes under it.
    """

    runs: Mapping
    free: Resources
    close_limit: float | None
    is_exhausted: Callable


def refusal_of_start(group, start, need, alive_at, conditions, now):
    """Returns the reason for which a start is refused, empty if it is accepted.

    Args:
        group: `StartGroup`.
        start: Its `TaskStart`.
        need: `Resources` of the task.
        alive_at: Time at which the entry was last known to be alive, seconds.
        conditions: `StartConditions`.
        now: Time, seconds.
    """
    if now - alive_at > _MAX_START_STALENESS_S:
        return "stale"
    if start.task in conditions.runs:
        return "duplicate"
    if conditions.close_limit is not None:
        if now + group.expected_ms / 1000.0 > _latest_end(conditions, now):
            return "closing"
    if not conditions.free.covers(need):
        return "busy"
    job_id = job_id_of(start.task)
    if conditions.is_exhausted(job_id):
        return "crashing"
    limit = group.isolation_limit
    if limit and not may_isolate(conditions.runs.values(), job_id, limit):
        return "not_isolated"
    return ""


def _latest_end(conditions, now):
    """Returns the latest expected end of a task that may start while closing."""
    ends = (
        run.started_at + _CLOSING_RUN_SHARE * run.expected_s
        for run in conditions.runs.values()
    )
    return min(max(ends, default=now), conditions.close_limit)


def log_refusals(refused, alive_age_s):
    """Logs and counts the starts of a batch that were refused.

    Args:
        refused: List of the names of the tasks by the reason.
        alive_age_s: Time since the entry was last known to be alive, seconds.
    """
    for reason, tasks in refused.items():
        metrics.REJECTED_GRANTS.labels(reason).inc(len(tasks))
        log.info(
            "start_refused",
            extra={
                "reason": reason,
                "tasks": len(tasks),
                "first_task": tasks[0],
                "heard_age_s": round(alive_age_s, 3),
            },
        )
