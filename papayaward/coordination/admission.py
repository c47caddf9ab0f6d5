"""
papayaward.coordination.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a home accepts a job, before anything of it is queued.
"""

import random
from dataclasses import dataclass

from ..protocol.outcomes import Reason
from .fair_queue import BUCKET_S

__all__ = ["ACCEPTED", "Demand", "Load", "Refusal", "check_admission", "fair_share"]

_US = 1e6

# Part of the time to a deadline that estimated work may fill. Service times vary,
# and work admitted without this reserve would miss its deadline in half of the
# cases when the queue is full.
_USABLE_TIME = 0.8

# Least part of the time to a deadline that counts as time to wait in the queue.
_RUN_TIME = 0.2

_SHARE_STEPS = 16
_LEAST_SHARE_SLOTS = 0.1

_LEAST_RETRY_MS = 50
_LONGEST_RETRY_MS = 60_000


@dataclass(frozen=True)
class Load:
    """Load of a coordinator when a job arrives.

    Attributes:
        queued_tasks: Tasks that wait for a slot.
        queued_bytes: Bytes of the open jobs.
        tenant_tasks: Waiting tasks of the job's tenant.
        tenant_bytes: Bytes of its open jobs.
        slots: Slots that may be used now.
        all_slots: Slots of every executor of the cell.
        share_slots: Slots that the job's tenant gets while all tenants that have
            work now keep it.
        waiting_us: The tenant's waiting work in microseconds by (priority,
            deadline bucket).
    """

    queued_tasks: int
    queued_bytes: int
    tenant_tasks: int
    tenant_bytes: int
    slots: int
    all_slots: int
    share_slots: float
    waiting_us: dict


@dataclass(frozen=True)
class Demand:
    """What a job needs.

    Attributes:
        tasks: Number of tasks.
        size: Bytes of the tasks.
        task_s: Expected service time of a task, seconds; 0 while none of the
            class has finished, so that the first job is let in and measured.
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


def fair_share(slots, name, quota, weight, demands):
    """Returns the slots that a tenant with unlimited demand gets.

    Slots are filled up to a common level of slots per weight; a tenant's quota is
    guaranteed and what a tenant does not need goes to the others.

    Args:
        slots: Slots that may be used.
        name: Name of the tenant.
        quota: Its quota in slots.
        weight: Its weight.
        demands: Tuples (name, tasks, quota in slots, weight) of the tenants with
            work; the tenant's own is not used.
    """
    others = [demand for demand in demands if demand[0] != name]
    if not others:
        return float(slots)
    low, high = 0.0, slots / weight
    for _ in range(_SHARE_STEPS):
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
    """Decides on a job.

    Args:
        load: `Load` of the coordinator.
        settings: Settings with `max_queued_tasks` and `max_queued_bytes`.
        demand: `Demand` of the job.
        now: Monotonic time, seconds.

    Returns:
        Refusal: `ACCEPTED` or the reason against it.
    """
    remaining_s = demand.deadline - now
    if remaining_s <= 0:
        return Refusal(Reason.DEADLINE, "the deadline has passed")
    refusal = _check_possible(load, settings, demand, remaining_s)
    if refusal is not None:
        return refusal
    waiting_us = sum(load.waiting_us.values())
    drain_s = waiting_us / _US / max(1.0, load.share_slots)
    # A tenant may take as much as it leaves free, so one that floods the queue
    # leaves room for the others.
    free_tasks = settings.max_queued_tasks - load.queued_tasks
    if load.tenant_tasks + demand.tasks > free_tasks:
        return _overloaded("too many queued tasks", drain_s / 2)
    free_bytes = _open_bytes_bound(settings) - load.queued_bytes
    if load.tenant_bytes + demand.size > free_bytes:
        return _overloaded("too many queued bytes", drain_s / 2)
    if not load.slots:
        # Nothing is known of the executors yet, or all are out of reach for a
        # moment; the deadline bounds the wait.
        return ACCEPTED
    excess_s = _excess_s(load, demand, now)
    if excess_s > 0:
        detail = f"the queue exceeds what the deadlines allow by {excess_s:.1f} s"
        return _overloaded(detail, excess_s)
    return ACCEPTED


def _open_bytes_bound(settings):
    # The other half of the bound is for kept answers.
    return settings.max_queued_bytes // 2


def _check_possible(load, settings, demand, remaining_s):
    if demand.tasks > settings.max_queued_tasks:
        return Refusal(Reason.IMPOSSIBLE, "more tasks than the queue's bound")
    if demand.size > _open_bytes_bound(settings):
        return Refusal(Reason.IMPOSSIBLE, "more bytes than the queue's bound")
    if not load.all_slots:
        return None
    # Few tasks may all be short ones; many take the mean time.
    work_s = demand.tasks * demand.best_task_s
    least_s = max(demand.fastest_s, work_s / load.all_slots)
    if least_s > remaining_s:
        detail = f"the job needs {least_s:.1f} s on all slots, its deadline is sooner"
        return Refusal(Reason.IMPOSSIBLE, detail)
    return None


def _excess_s(load, demand, now):
    """Returns by how much the job makes a deadline be missed, 0 or less for none.

    Work is summed in the order in which it is started, and each deadline from
    the job's own on is checked, so that a job that goes first does not cost a
    job that was accepted before it its deadline.
    """
    work_us = demand.tasks * demand.task_s * _US
    capacity_us = max(load.share_slots, _LEAST_SHARE_SLOTS) * _US
    own = (demand.priority, int(demand.deadline / BUCKET_S))
    # The last task to start still has to run, and may be a short one.
    remaining_s = demand.deadline - now
    own_until = max(remaining_s - demand.task_s, _RUN_TIME * remaining_s)
    before = later = 0.0
    excess_s = -1e9
    for bucket in sorted(load.waiting_us):
        if bucket <= own:
            before += load.waiting_us[bucket]
            continue
        later += load.waiting_us[bucket]
        until = (bucket[1] + 1) * BUCKET_S - now
        without_s = (before + later) / capacity_us
        # What is late already is not this job's doing.
        if without_s <= until * _USABLE_TIME:
            with_s = (before + later + work_us) / capacity_us
            excess_s = max(excess_s, with_s - until * _USABLE_TIME)
    return max(excess_s, (before + work_us) / capacity_us - own_until * _USABLE_TIME)


def _overloaded(detail, wait_s):
    # Jitter keeps callers that were refused together from returning together.
    wait_ms = wait_s * 1000 * random.uniform(1.0, 1.3)
    retry_after_ms = int(min(_LONGEST_RETRY_MS, max(_LEAST_RETRY_MS, wait_ms)))
    return Refusal(Reason.OVERLOADED, detail, retry_after_ms)
