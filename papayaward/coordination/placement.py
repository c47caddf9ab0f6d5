"""
papayaward.coordination.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Policies that choose an executor for the next task.

`fastest_free` gives a task the fastest free slot when it starts. The others are
baselines for measurements: they bind a task to an executor when it is submitted,
and the task waits in that executor's backlog.
"""

import random

__all__ = [
    "BINDING_POLICIES",
    "FASTEST_FREE",
    "REPORT_INTERVAL_S",
    "set_faster_rates",
    "load_reports",
    "faster_by_waiting",
]

FASTEST_FREE = "fastest_free"

# Age up to which the baseline `reports` uses a load report, seconds. Reports
# would travel with the heartbeats.
REPORT_INTERVAL_S = 0.3

# Waiting must finish a task earlier by this part of its time on the slow slot.
_WAIT_MARGIN = 0.05


def _load(view):
    return (len(view.backlog) + len(view.outstanding)) / max(1, view.slots)


def random_executor(views, reports):
    """Chooses any executor."""
    return random.choice(views)


def power_of_two(views, reports):
    """Chooses the less loaded of two random executors."""
    return min(random.sample(views, min(2, len(views))), key=_load)


def least_reported(views, reports):
    """Chooses the executor with the least load in the last periodic report."""
    return min(views, key=lambda view: (reports.get(view.member, 0), random.random()))


# Functions of the usable views and of the load by member in the last report.
BINDING_POLICIES = {
    "power_of_two": power_of_two,
    "random": random_executor,
    "reports": least_reported,
}


def load_reports(views):
    """Returns the load of each executor by member."""
    return {view.member: _load(view) for view in views}


def set_faster_rates(views, slowness):
    """Sets for each view how fast the faster executors work off tasks.

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
    """Returns whether the last of some tasks finishes earlier by waiting.

    Times are in units of the task's time on an average executor.

    Args:
        view: View of the executor with the fastest free slot.
        slowness: Slowness of that executor.
        waiting: Number of tasks that wait, at least 1.
    """
    if not view.faster_rate:
        return False
    by_waiting = waiting / view.faster_rate + view.faster_slowness
    return by_waiting < slowness * (1 - _WAIT_MARGIN)
