"""
papayaward.coordination.gate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The start gate: decides whether an executor may start a task now.
"""

from dataclasses import dataclass

from ..protocol.outcomes import Reason

__all__ = ["GateState", "check_start"]


@dataclass(frozen=True)
class GateState:
    """What the executor knows when a task is about to start.

    Attributes:
        incarnation: Own incarnation.
        domain_out: Whether the own failure domain is out of service.
        evidence: Time of the latest configuration evidence, or None.
        evidence_max_age_s: Oldest evidence with which a task may start.
        upstream_present: Whether an upstream is announced.
        upstream_leaving: Whether it announced that it leaves.
        draining: Whether this process is stopping.
        free_slots: Slots without a task.
    """

    incarnation: int
    domain_out: bool
    evidence: float | None
    evidence_max_age_s: float
    upstream_present: bool
    upstream_leaving: bool
    draining: bool
    free_slots: int


def check_start(state, batch_incarnation, seen, cancelled, deadline, now):
    """Returns `Reason.NONE` if the task may start, else why not.

    A reason is proof that this call does not start the task.

    Args:
        state: `GateState`.
        batch_incarnation: Executor incarnation that the grant is meant for.
        seen: Whether a grant with this key was started or refused before.
        cancelled: Whether the job was cancelled.
        deadline: Monotonic time at which the job is due, seconds.
        now: Monotonic time, seconds.
    """
    if batch_incarnation != state.incarnation:
        return Reason.WRONG_INCARNATION
    if seen:
        return Reason.DUPLICATE
    if cancelled:
        return Reason.CANCELLED
    if deadline <= now:
        return Reason.DEADLINE
    if state.domain_out:
        return Reason.DOMAIN_OUT
    if state.evidence is None or now - state.evidence > state.evidence_max_age_s:
        return Reason.CONFIG_STALE
    if not state.upstream_present:
        return Reason.UPSTREAM_GONE
    if state.upstream_leaving:
        return Reason.UPSTREAM_LEAVING
    if state.draining:
        return Reason.DRAINING
    if state.free_slots <= 0:
        return Reason.NO_SLOT
    return Reason.NONE
