"""
papayaward.coordination.undecided_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is known of the runs on an upstream instance that was lost.

A request without a reply may be executed late, and an upstream may start again under
its identifier. So neither the end of a lease nor a crash shows that a start without a
reply has no effect: the next lifetime may execute it. Only a take-over of that lifetime
shows it, or another instance in its place.
"""

from .upstream_requests import MAX_START_DELAY_S, Delivery, LossEvidence

__all__ = ["LOST", "UNDECIDED", "is_expired", "outcome_at_loss"]

LOST = "lost"
# The run may be active, or begin, at the next lifetime of the upstream.
UNDECIDED = "undecided"
_NOT_DELIVERED = "not_run:unreachable"


def outcome_at_loss(run, evidence, may_have_reached_other):
    """Returns the outcome of a run whose upstream instance was lost.

    A start that has not been sent by then never is.

    Args:
        run: `Run`.
        evidence: `LossEvidence`.
        may_have_reached_other: Function that takes the time at which a request was
            sent and returns whether another lifetime may have executed it.

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
    return UNDECIDED if may_have_reached_other(run.sent_at) else LOST


def is_expired(run, now):
    """Returns whether an undecided run has ended even if no lifetime was taken over.

    Args:
        run: `Run`.
        now: Time, seconds.
    """
    return now >= run.sent_at + MAX_START_DELAY_S
