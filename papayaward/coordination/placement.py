"""
papayaward.coordination.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Policies that choose an executor for the next task.

`fastest_free` binds late: a task stays in the queue until it can take the fastest
free slot. The others are baselines for benchmarks and bind early: a task is assigned
to an executor when it is submitted and waits in that executor's backlog.
"""

import random

__all__ = [
    "BINDING_POLICIES",
    "FASTEST_FREE",
    "REPORT_INTERVAL_S",
    "executor_loads",
    "faster_by_waiting",
    "set_faster_rates",
]

FASTEST_FREE = "fastest_free"

# Maximum age of the load reports that the baseline `reports` uses, seconds. Such
# reports would be sent with the heartbeats.
REPORT_INTERVAL_S = 0.3

# Waiting for a faster slot must save at least this fraction of the task's service
# time on the slow one.
_WAIT_MARGIN = 0.05


def _load(view):
    return (len(view.backlog) + len(view.outstanding)) / max(1, view.slots)


def random_executor(views, reports):
    """Chooses an executor at random."""
    return random.choice(views)


def power_of_two(views, reports):
    """Chooses the less loaded of two random executors."""
    return min(random.sample(views, min(2, len(views))), key=_load)


def least_reported(views, reports):
    """Chooses the executor with the lowest load in the last load report."""
    return min(views, key=lambda view: (reports.get(view.member, 0), random.random()))


# Policies by name: functions of the usable views and of the load by member in the
# last load report.
BINDING_POLICIES = {
    "power_of_two": power_of_two,
    "random": random_executor,
    "reports": least_reported,
}


def executor_loads(views):
    """Returns the load of each executor by member."""
    return {view.member: _load(view) for view in views}


def set_faster_rates(views, slowness):
    """Sets the total rate and mean slowness of the faster executors of each view.

    Args:
        views: Usable views.
        slowness: Function of a member's name that returns its slowness.
    """
    rate, slots = 0.0, 0
    ordered = sorted((slowness(view.member), view.member, view) for view in views)
    for slow, _, view in ordered:
        view.faster_rate = rate
        view.faster_slowness = slots / rate if rate else 0.0
        rate += view.slots / slow
        slots += view.slots


def faster_by_waiting(view, slowness, waiting):
    """Returns whether the last queued task finishes earlier on a faster executor.

    It then waits for a slot of a faster executor instead of taking the free one.
    Times are in units of the service time on an average executor.

    Args:
        view: View of the executor with the fastest free slot.
        slowness: Slowness of that executor.
        waiting: Number of queued tasks, at least 1.
    """
    if not view.faster_rate:
        return False
    by_waiting = waiting / view.faster_rate + view.faster_slowness
    return by_waiting < slowness * (1 - _WAIT_MARGIN)
