"""
papayaward.coordination.early_ends
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which jobs are ended because they cannot be served, or not in time.
"""

import random

from ..protocol.jobs import LeasedJobOutcome

__all__ = ["EarlyEnds", "ended_early"]

# Fraction of the latency objective after which a job that has not started is refused
# if it can no longer meet the objective.
_REFUSAL_SHARE = 0.22
_RETRY_AFTER_S = 1.0
# Range of the delay if upstreams have to restart first; it spreads the return of the
# callers.
_RESTART_RETRY_AFTER_S = (1.0, 4.0)
# During a shutdown, a job is ended early if this fraction of its expected remaining
# time is longer than the time until the process stops.
_CLOSING_SHARE = 0.7


def ended_early(job, reason):
    """Returns the `LeasedJobOutcome` of a job that is ended whether it runs or not.

    Args:
        job: `Job`.
        reason: Reason for logs and metrics.
    """
    kind = "unknown" if job.started else "not_run"
    return LeasedJobOutcome(kind, reason, _RETRY_AFTER_S)


class EarlyEnds:
    """Decides whether a job is ended before its tasks are done.

    Each decision is a `LeasedJobOutcome`, None if the job goes on.

    Args:
        placement: `Placement`.
        isolation: `Isolation`.
        forecast: `StartForecast`.
    """

    def __init__(self, placement, isolation, forecast):
        self._placement = placement
        self._isolation = isolation
        self._forecast = forecast
        self._closing_at = None

    def close_at(self, until):
        """Sets the time at which the process stops.

        Args:
            until: Time, seconds.
        """
        self._closing_at = until

    def while_closing(self, job, now):
        """Returns the outcome of a job that would not end before the process stops.

        Args:
            job: `Job`.
            now: Time, seconds.
        """
        if self._closing_at is None:
            return None
        remaining_s = self._placement.remaining_s(job, now)
        if now + _CLOSING_SHARE * remaining_s > self._closing_at:
            return ended_early(job, "closing")
        return None

    def on_arrival(self, job, views, now):
        """Returns the outcome of a new job that cannot be served.

        Args:
            job: `Job` without a start.
            views: `LeasedView` of each connected executor.
            now: Time, seconds.
        """
        reason = self._placement.unservable_reason(job, views, now)
        retry_after_s = _RETRY_AFTER_S
        if not reason and self._isolation.is_guarded(job, now):
            retry_after_s = random.uniform(*_RESTART_RETRY_AFTER_S)
            if self._isolation.is_without_executors(job, views, now):
                reason = "upstreams crashed"
            elif self._isolation.is_overloaded(job, views, now):
                reason = "overload"
        elif not reason and self._forecast.will_start_late(job, views, now):
            reason = "overload"
            retry_after_s = self._forecast.retry_after_s(job, now)
        return LeasedJobOutcome("not_run", reason, retry_after_s) if reason else None

    def on_late_start(self, job, until):
        """Returns the outcome of a job with a task that waits for an earlier request.

        Its upstream rejects the only number that the task may start under. Only the end
        of that upstream could let it start sooner.

        Args:
            job: `Job`.
            until: Time at which the request is not executed any more, seconds.
        """
        if not self._placement.will_miss_deadline(job, until):
            return None
        return LeasedJobOutcome("unknown", "an earlier start may be executed")

    def on_check(self, job, placement_round, is_waiting, now):
        """Returns the outcome of a job that can no longer be served in time.

        Args:
            job: `Job`.
            placement_round: `IsolationRound` of this moment.
            is_waiting: Whether the job may have tasks without an executor.
            now: Time, seconds.
        """
        if now >= job.deadline:
            return ended_early(job, "deadline")
        closing = self.while_closing(job, now)
        if closing is not None:
            return closing
        if not job.started:
            waited_s = now - job.arrived_at
            if waited_s > _REFUSAL_SHARE * job.objective_s:
                if not placement_round.can_meet_objective(job):
                    retry_after_s = self._forecast.retry_after_s(job, now)
                    return LeasedJobOutcome("not_run", "overload", retry_after_s)
        elif is_waiting and self._placement.will_miss_deadline(job, now):
            return LeasedJobOutcome("unknown", "cannot end before the deadline")
        return None
