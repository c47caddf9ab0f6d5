"""
papayaward.coordination.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a home accepts a job, before anything of it is queued.
"""

from dataclasses import dataclass

from ..protocol.outcomes import Reason

__all__ = ["ACCEPTED", "Load", "Refusal", "check_admission"]


@dataclass(frozen=True)
class Load:
    """Load of a coordinator when a job arrives.

    Attributes:
        queued_tasks: Tasks that wait for a slot.
        queued_bytes: Bytes of queued tasks and kept results.
        slots: Slots of the usable executors.
        queued_work_s: Expected service time of all queued tasks together.
    """

    queued_tasks: int
    queued_bytes: int
    slots: int
    queued_work_s: float


@dataclass(frozen=True)
class Refusal:
    """Decision on a job.

    Attributes:
        reason: `Reason.NONE` when the job is accepted.
        detail: Sentence for the caller.
        retry_after_ms: Time after which another attempt may succeed.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0


ACCEPTED = Refusal(Reason.NONE)


def check_admission(load, settings, tasks, size, work_s, remaining_s):
    """Decides on a job.

    Args:
        load: `Load` of the coordinator.
        settings: Settings with `max_queued_tasks` and `max_queued_bytes`.
        tasks: Number of tasks of the job.
        size: Bytes of the job's tasks.
        work_s: Expected service time of the job's tasks together.
        remaining_s: Time until the deadline, in seconds.

    Returns:
        Refusal: `ACCEPTED` or the reason against it.
    """
    if remaining_s <= 0:
        return Refusal(Reason.DEADLINE, "the deadline has passed")
    if tasks > settings.max_queued_tasks or size > settings.max_queued_bytes:
        return Refusal(Reason.IMPOSSIBLE, "the job is larger than the queue's bound")
    wait_s = load.queued_work_s / max(1, load.slots)
    retry_after_ms = max(50, int(wait_s * 500))
    if load.queued_tasks + tasks > settings.max_queued_tasks:
        return Refusal(Reason.OVERLOADED, "too many queued tasks", retry_after_ms)
    if load.queued_bytes + size > settings.max_queued_bytes:
        return Refusal(Reason.OVERLOADED, "too many queued bytes", retry_after_ms)
    needed_s = wait_s + work_s / max(1, min(load.slots, tasks))
    if load.slots and needed_s > remaining_s:
        detail = f"the job needs about {needed_s:.1f} s, its deadline is sooner"
        return Refusal(Reason.OVERLOADED, detail, retry_after_ms)
    return ACCEPTED
