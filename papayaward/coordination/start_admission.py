"""
papayaward.coordination.start_admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether an executor begins a run for a start that it received, and whether it
sends a request to start an accepted run.

What is decided on can change between the two, and while a request without a reply is
repeated.
"""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..protocol.jobs import Resources
from ..state import metrics
from ..state.crashes import job_id_of
from .headroom import Headroom
from .leased_runs import may_isolate

__all__ = [
    "StartAdmission",
    "StartConditions",
    "log_refusals",
    "refusal_of_accepted_start",
    "refusal_of_start",
]

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
        runs: `Run` by the name of its task, in the order in which they were accepted.
        capacity: `Resources` of the upstream.
        free: The part of them that no run uses; negative if the capacity has shrunk.
        close_limit: Time by which every run must have ended, seconds; None unless the
            process is closing.
        is_exhausted: Function that returns whether a job, by its identifier, must not
            be started again after the crashes under it.
        headroom: `Headroom`.
    """

    runs: Mapping
    capacity: Resources
    free: Resources
    close_limit: float | None
    is_exhausted: Callable
    headroom: Headroom = field(default_factory=Headroom)


class StartAdmission:
    """Whether the tasks of one executor may start at present.

    Args:
        current: `CurrentUpstream`.
        runs: `Run` by the name of its task; the executor changes this dict.
        free: Function that returns the free `Resources` of the upstream.
        is_domain_out: Function that returns whether a failure domain is out of
            service.
        is_exhausted: As in `StartConditions`.
        headroom: `Headroom`.
    """

    def __init__(self, current, runs, free, is_domain_out, is_exhausted, headroom):
        self._current = current
        self._runs = runs
        self._free = free
        self._is_domain_out = is_domain_out
        self._is_exhausted = is_exhausted
        self._headroom = headroom
        self._close_limit = None

    @property
    def refusal_reason(self):
        """Reason why no task may start now, empty if one may."""
        if self._close_limit is not None and not self._runs:
            return "closing"
        return self._current.refusal_reason or self._domain_refusal

    def close(self, until):
        """Refuses the tasks that would delay the shutdown from now on.

        Args:
            until: Time by which every run must have ended, seconds.
        """
        self._close_limit = until

    def of_start(self, group, start, need, alive_at, now):
        """Returns why a start is refused; arguments as for `refusal_of_start`."""
        return self.refusal_reason or refusal_of_start(
            group, start, need, alive_at, self._conditions(), now
        )

    def of_accepted(self, run, now):
        """Returns why no request to start a run may be sent now, empty if one may.

        A silent upstream is no reason: a start without a reply waits until it replies.

        Args:
            run: `Run` that was accepted.
            now: Time, seconds.
        """
        reason = self._current.reported_refusal or self._domain_refusal
        return reason or refusal_of_accepted_start(run, self._conditions(), now)

    @property
    def _domain_refusal(self):
        domain = self._current.state.domain
        return "domain_out" if self._is_domain_out(domain) else ""

    def _conditions(self):
        return StartConditions(
            self._runs,
            self._current.state.capacity,
            self._free(),
            self._close_limit,
            self._is_exhausted,
            self._headroom,
        )


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
    free, capacity = conditions.free, conditions.capacity
    if not free.covers(need):
        return "busy"
    if conditions.headroom.refuses(group, need, free, capacity, now):
        return "kept"
    job_id = job_id_of(start.task)
    if conditions.is_exhausted(job_id):
        return "crashing"
    limit = group.isolation_limit
    if limit and not may_isolate(conditions.runs.values(), job_id, limit):
        return "not_isolated"
    return ""


def refusal_of_accepted_start(run, conditions, now):
    """Returns the reason for which a run may not be started any more, or empty.

    A limit on isolated jobs is not asked again, since each later start keeps to the
    limits of the runs that were accepted before it.

    Args:
        run: `Run` that the upstream has not confirmed.
        conditions: `StartConditions`; its `runs` contain the run.
        now: Time, seconds.
    """
    limit = conditions.close_limit
    if limit is not None and now + run.expected_s > limit:
        return "closing"
    if not conditions.free.covers(Resources()) and not _is_covered(run, conditions):
        return "busy"
    if conditions.is_exhausted(job_id_of(run.task)):
        return "crashing"
    return ""


def _is_covered(run, conditions):
    """Returns whether the capacity holds a run besides those that precede it.

    These are the runs that have started and those that were accepted earlier, so that
    not every start gives way when the capacity shrinks.
    """
    used, is_earlier = run.need, True
    for other in conditions.runs.values():
        if other is run:
            is_earlier = False
        elif is_earlier or other.running:
            used = used + other.need
    return conditions.capacity.covers(used)


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
