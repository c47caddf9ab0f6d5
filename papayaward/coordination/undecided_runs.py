"""
papayaward.coordination.undecided_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is known of the runs on an upstream instance that was lost.

A request without a reply may be executed late, and an upstream may start again under
its identifier. So neither the end of a lease nor a crash shows that a start without a
reply has no effect: the next lifetime may execute it. Only a take-over of that lifetime
shows it, or another instance in its place.
"""

import logging

from .upstream_requests import MAX_START_DELAY_S, Delivery, LossEvidence

__all__ = ["LOST", "UNDECIDED", "UndecidedRuns", "is_expired", "outcome_at_loss"]

log = logging.getLogger(__name__)

LOST = "lost"
# The run may be active, or begin, at the next lifetime of the upstream.
UNDECIDED = "undecided"
_NOT_DELIVERED = "not_run:unreachable"


class UndecidedRuns:
    """Ends the runs of one executor when its upstream is lost.

    Args:
        runs: `Run` of each task; the executor changes this dict.
        finish: Function that takes a `Run`, its outcome and the current time.
    """

    def __init__(self, runs, finish):
        self._runs = runs
        self._finish = finish
        # Time until which the next lifetime of the upstream may execute a start of a
        # run that is over, seconds.
        self._late_start_until = 0.0

    def on_session_closed(self, session, evidence, reason, now):
        """Ends the runs on an upstream whose session was closed.

        Args:
            session: `UpstreamSession`, or None if there was none.
            evidence: `LossEvidence`.
            reason: How the loss was noticed, for the log.
            now: Time, seconds.

        Returns:
            bool: Whether the next lifetime may execute starts: those of undecided runs,
                or of runs that were over here.
        """

        def may_have_reached_other(sent_at):
            return session is None or session.may_have_reached_other(sent_at)

        undecided = 0
        for run in list(self._runs.values()):
            outcome = outcome_at_loss(run, evidence, may_have_reached_other)
            if outcome == UNDECIDED:
                undecided += 1
                _mark_undecided(run)
            elif outcome == LOST:
                self._lose(run, evidence.value, now)
            else:
                self._finish(run, outcome, now)
        log.info("session_closed", extra={"reason": reason, "undecided": undecided})
        return self.may_start_late(now)

    def may_start_late(self, now):
        """Returns whether the next lifetime may execute starts.

        Args:
            now: Time, seconds.
        """
        return bool(self._undecided()) or now < self._late_start_until

    def on_unanswered_run_over(self, run):
        """Remembers a run that is over while a request to start it had no reply."""
        self._late_start_until = run.sent_at + MAX_START_DELAY_S

    def on_taken_over(self, now):
        """Ends the undecided runs: the lifetime that is there has been taken over."""
        for run in self._undecided():
            self._lose(run, "the next lifetime was taken over", now)

    def expire(self, now):
        """Ends the undecided runs whose start is not executed any more."""
        for run in self._undecided():
            if is_expired(run, now):
                self._lose(run, "a late start is no longer possible", now)

    def _undecided(self):
        return [run for run in self._runs.values() if run.undecided]

    def _lose(self, run, reason, now):
        """Reports a run as lost.

        Args:
            run: `Run`.
            reason: What shows that it has ended, for the log.
            now: Time, seconds.
        """
        extra = {
            "task": run.task,
            "run": run.run,
            "request_id": run.request_id,
            "delivery": run.delivery.value,
            "unanswered": run.unanswered,
            "reason": reason,
        }
        log.info("run_lost", extra=extra)
        self._finish(run, LOST, now)


def outcome_at_loss(run, evidence, may_have_reached_other):
    """Returns the outcome of a run whose upstream instance was lost.

    A start that has not been sent by then never is.

    Args:
        run: `Run`.
        evidence: `LossEvidence`.
        may_have_reached_other: Function that takes the time at which a request was
            sent or answered and returns whether another lifetime may have executed it.

    Returns:
        str: Outcome of the run, or `UNDECIDED`.
    """
    if run.delivery is Delivery.NOT_DELIVERED:
        return _NOT_DELIVERED
    if evidence is LossEvidence.OTHER_INSTANCE:
        return LOST
    if run.unanswered:
        return UNDECIDED
    if evidence is LossEvidence.REFUSED or run.listed:
        return LOST
    confirmed_at = max(run.sent_at, run.started_at)
    return UNDECIDED if may_have_reached_other(confirmed_at) else LOST


def is_expired(run, now):
    """Returns whether an undecided run has ended even if no lifetime was taken over.

    Args:
        run: `Run`.
        now: Time, seconds.
    """
    return now >= run.sent_at + MAX_START_DELAY_S


def _mark_undecided(run):
    if run.undecided:
        return
    run.undecided = True
    extra = {"task": run.task, "run": run.run, "request_id": run.request_id}
    log.info("start_undecided", extra=extra)
