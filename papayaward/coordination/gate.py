"""
papayaward.coordination.gate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The start gate, which decides whether an executor may start a task now.
"""

from dataclasses import dataclass

from ..protocol.outcomes import Reason

__all__ = ["GateState", "check_start"]


@dataclass(frozen=True)
class GateState:
    """State of the executor on which the decision depends.

    Attributes:
        incarnation: Incarnation of this runner.
        domain_out: Whether the failure domain of this runner is out of service.
        evidence: Monotonic time of the latest evidence that the configuration is
            current, seconds, or None.
        evidence_max_age_s: Maximum age of the evidence for a start, seconds.
        upstream_present: Whether the announcement of an upstream is valid.
        upstream_leaving: Whether the upstream announced that it is shutting down.
        draining: Whether this process is shutting down.
        free_slots: Number of free slots.
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
    """Decides whether a task may start.

    Args:
        state: `GateState`.
        batch_incarnation: Executor incarnation to which the grant is addressed.
        seen: Whether a grant with this key was started or refused before.
        cancelled: Whether the job was cancelled.
        deadline: Monotonic time at which the job is due, seconds.
        now: Monotonic time, seconds.

    Returns:
        Reason: `Reason.NONE` if the task may start. Any other reason guarantees
            that the task does not start because of this grant.
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
