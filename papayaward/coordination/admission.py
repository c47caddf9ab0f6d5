"""
papayaward.coordination.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a coordinator accepts a job, before any of its tasks is queued.
"""

import random
from dataclasses import dataclass

from ..protocol.outcomes import Reason
from .fair_queue import BUCKET_S

__all__ = [
    "ACCEPTED",
    "AdmissionDecision",
    "Demand",
    "Load",
    "check_admission",
    "fair_share",
]

_US_PER_S = 1e6

# Fraction of the time to a deadline that estimated work may fill. Service times
# vary, and without this reserve half of the jobs admitted to a full queue would miss
# their deadline.
_USABLE_TIME_FRACTION = 0.8

# Minimum fraction of the time to a deadline that a job is assumed to have for
# waiting in the queue.
_MIN_QUEUE_TIME_FRACTION = 0.2

_BISECTION_STEPS = 16
_MIN_SHARE_SLOTS = 0.1

_MIN_RETRY_MS = 50
_MAX_RETRY_MS = 60_000


@dataclass(frozen=True)
class Load:
    """Load of a coordinator when a job arrives.

    Attributes:
        queued_tasks: Number of queued tasks.
        queued_bytes: Bytes of the open jobs.
        account_tasks: Number of queued tasks of the job's client account.
        account_bytes: Bytes of the client account's open jobs.
        slots: Slots that are usable now.
        all_slots: Slots of all executors of the cell.
        share_slots: Fair share of the job's client account in slots, given the accounts
            that have work now.
        queued_work_us: The client account's queued work in microseconds by (priority,
            deadline bucket).
    """

    queued_tasks: int
    queued_bytes: int
    account_tasks: int
    account_bytes: int
    slots: int
    all_slots: int
    share_slots: float
    queued_work_us: dict


@dataclass(frozen=True)
class Demand:
    """Resources that a job needs.

    Attributes:
        tasks: Number of tasks.
        size: Total size of the tasks, bytes.
        task_s: Expected service time of a task, seconds; 0 until a task of the
            class has finished, so that the first job is accepted and measured.
        best_task_s: Expected service time on the fastest executor, seconds.
        fastest_s: Shortest recent service time of the class, seconds.
        priority: Class priority.
        deadline: Monotonic time, seconds.
    """

    tasks: int
    size: int
    task_s: float
    best_task_s: float
    fastest_s: float
    priority: int
    deadline: float


@dataclass(frozen=True)
class AdmissionDecision:
    """Admission decision for a job.

    Attributes:
        reason: `Reason.NONE` when the job is accepted.
        detail: Message for the caller.
        retry_after_ms: Time after which another attempt may succeed, milliseconds.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0


ACCEPTED = AdmissionDecision(Reason.NONE)


def fair_share(slots, name, quota, weight, demands):
    """Returns the fair share in slots of a client account with unlimited demand.

    This is weighted max-min fairness: each client account gets slots up to a
    common level of slots per weight, found by bisection. Quotas are guaranteed, and
    slots that an account does not need go to the others.

    Args:
        slots: Number of usable slots.
        name: Name of the client account.
        quota: Its quota in slots.
        weight: Its weight.
        demands: Tuples (name, tasks, quota in slots, weight) of the accounts with
            work; the account's own entry is ignored.
    """
    others = [demand for demand in demands if demand[0] != name]
    if not others:
        return float(slots)
    low, high = 0.0, slots / weight
    for _ in range(_BISECTION_STEPS):
        level = (low + high) / 2
        used = max(quota, level * weight)
        for _, tasks, other_quota, other_weight in others:
            used += min(tasks, max(other_quota, level * other_weight))
        if used > slots:
            high = level
        else:
            low = level
    return max(quota, low * weight)


def check_admission(load, settings, demand, now):
    """Decides whether to accept a job.

    Args:
        load: `Load` of the coordinator.
        settings: Settings with `max_queued_tasks` and `max_queued_bytes`.
        demand: `Demand` of the job.
        now: Monotonic time, seconds.

    Returns:
        AdmissionDecision: `ACCEPTED`, or a refusal with its reason.
    """
    remaining_s = demand.deadline - now
    if remaining_s <= 0:
        return AdmissionDecision(Reason.DEADLINE, "the deadline has passed")
    refusal = _check_feasible(load, settings, demand, remaining_s)
    if refusal is not None:
        return refusal
    queued_work_us = sum(load.queued_work_us.values())
    drain_s = queued_work_us / _US_PER_S / max(1.0, load.share_slots)
    # A client account may use at most as much of the queue as remains free, so that an
    # account that floods it leaves capacity for the others.
    free_tasks = settings.max_queued_tasks - load.queued_tasks
    if load.account_tasks + demand.tasks > free_tasks:
        return _overloaded("too many queued tasks", drain_s / 2)
    free_bytes = _open_bytes_limit(settings) - load.queued_bytes
    if load.account_bytes + demand.size > free_bytes:
        return _overloaded("too many queued bytes", drain_s / 2)
    if not load.slots:
        # No executor has reported yet, or all are temporarily unreachable; the
        # deadline bounds the wait.
        return ACCEPTED
    excess_s = _excess_s(load, demand, now)
    if excess_s > 0:
        detail = f"the queue exceeds what the deadlines allow by {excess_s:.1f} s"
        return _overloaded(detail, excess_s)
    return ACCEPTED


def _open_bytes_limit(settings):
    # The other half of the limit is for the retained answers of finished jobs.
    return settings.max_queued_bytes // 2


def _check_feasible(load, settings, demand, remaining_s):
    if demand.tasks > settings.max_queued_tasks:
        return AdmissionDecision(Reason.IMPOSSIBLE, "more tasks than the queue's bound")
    if demand.size > _open_bytes_limit(settings):
        return AdmissionDecision(Reason.IMPOSSIBLE, "more bytes than the queue's bound")
    if not load.all_slots:
        return None
    # A few tasks may all be short; for many, the mean service time applies.
    work_s = demand.tasks * demand.best_task_s
    needed_s = max(demand.fastest_s, work_s / load.all_slots)
    if needed_s > remaining_s:
        detail = f"the job needs {needed_s:.1f} s on all slots, its deadline is sooner"
        return AdmissionDecision(Reason.IMPOSSIBLE, detail)
    return None


def _excess_s(load, demand, now):
    """Returns the time by which the job would cause a deadline to be missed.

    Work is summed in the order in which it is started. The job's own deadline and
    each later one are checked, so that a job that goes first does not make an
    already accepted job miss its deadline.

    Returns:
        float: Seconds; 0 or less if no deadline would be missed.
    """
    work_us = demand.tasks * demand.task_s * _US_PER_S
    capacity_us = max(load.share_slots, _MIN_SHARE_SLOTS) * _US_PER_S
    own = (demand.priority, int(demand.deadline / BUCKET_S))
    # The last task to start needs time to run, but may be shorter than expected.
    remaining_s = demand.deadline - now
    own_until = max(remaining_s - demand.task_s, _MIN_QUEUE_TIME_FRACTION * remaining_s)
    before = later = 0.0
    excess_s = -1e9
    for bucket in sorted(load.queued_work_us):
        if bucket <= own:
            before += load.queued_work_us[bucket]
            continue
        later += load.queued_work_us[bucket]
        until = (bucket[1] + 1) * BUCKET_S - now
        without_s = (before + later) / capacity_us
        # Deadlines that would be missed without this job are not counted.
        if without_s <= until * _USABLE_TIME_FRACTION:
            with_s = (before + later + work_us) / capacity_us
            excess_s = max(excess_s, with_s - until * _USABLE_TIME_FRACTION)
    return max(
        excess_s, (before + work_us) / capacity_us - own_until * _USABLE_TIME_FRACTION
    )


def _overloaded(detail, wait_s):
    # Jitter keeps callers that were refused at the same time from retrying at the
    # same time.
    wait_ms = wait_s * 1000 * random.uniform(1.0, 1.3)
    retry_after_ms = int(min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, wait_ms)))
    return AdmissionDecision(Reason.OVERLOADED, detail, retry_after_ms)
