"""
papayaward.coordination.slow_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Moves runs that take far longer than expected to other executors.
"""

import logging
from dataclasses import dataclass

__all__ = ["move_slow_runs"]

log = logging.getLogger(__name__)

# A slow run is moved if its expected time on another executor is less than this
# fraction of its remaining time.
_MOVE_GAIN = 0.6
# A run is regarded as stalled if its remaining time is more than this many times its
# expected time on another executor.
_STALLED_RATIO = 10.0
_MAX_MOVES = 2
# Time for which an executor gets work only if no other can take it, after at least
# half of its runs were reported as slow.
_SLOW_EXECUTOR_PENALTY_S = 0.6


@dataclass(frozen=True)
class SlowTask:
    """A run that an executor reported as slow.

    Attributes:
        task: Its `Task`.
        remaining_s: Remaining time of the run by its progress, seconds.
        elapsed_s: Time since it started, seconds.
    """

    task: object
    remaining_s: float
    elapsed_s: float


def move_slow_runs(view, reports, views, placement, must_stay, now):
    """Selects the runs that are moved to other executors with free capacity.

    Args:
        view: `LeasedView` of the executor on which they run.
        reports: `SlowRun` of each run that it reported as slow.
        views: `LeasedView` of each connected executor.
        placement: `Placement`.
        must_stay: Function that takes the view and a `Task` and returns whether its
            run must not be moved.
        now: Time, seconds.

    Returns:
        list: Names of the tasks whose runs must be stopped.
    """
    slow = [
        SlowTask(
            view.tasks[run.task], run.remaining_ms / 1000.0, run.elapsed_ms / 1000.0
        )
        for run in reports
        if run.task in view.tasks
    ]
    if _is_executor_slow(view, slow):
        view.slow_until = now + _SLOW_EXECUTOR_PENALTY_S
    placement_round = placement.begin_round(views, now)
    stops = []
    for slow_task in slow:
        if must_stay(view, slow_task.task):
            continue
        elsewhere_s = _elsewhere_s_if_moved(
            slow_task, view, placement, placement_round, now
        )
        if elsewhere_s is not None:
            _record_move(slow_task, view, elsewhere_s)
            stops.append(slow_task.task.name)
    return stops


def _record_move(slow_task, view, elsewhere_s):
    task = slow_task.task
    task.moves += 1
    task.moved_run = (view, task.run)
    task.avoided_executors.add(view.name)
    log.info(
        "task_moved",
        extra={
            "request_id": task.job.request.request_id,
            "task": task.name,
            "executor": view.name,
            "remaining_s": round(slow_task.remaining_s, 3),
            "elsewhere_s": round(elsewhere_s, 3),
        },
    )


def _is_executor_slow(view, slow):
    """Returns whether at least half of an executor's runs are slow.

    Args:
        view: `LeasedView` of the executor.
        slow: `SlowTask` of each run that it reported as slow.
    """
    return len(slow) > 1 and 2 * len(slow) >= len(view.tasks)


def _elsewhere_s_if_moved(slow_task, view, placement, placement_round, now):
    """Returns the expected time of a slow run on another executor, seconds.

    Returns None if the run should stay where it is.

    Args:
        slow_task: `SlowTask`.
        view: `LeasedView` of the executor on which it runs.
        placement: `Placement`.
        placement_round: `PlacementRound` of this moment.
        now: Time, seconds.
    """
    task = slow_task.task
    if task.job.outcome is not None or task.moves >= _MAX_MOVES:
        return None
    if task.moved_run == (view, task.run):
        # Reported again before the stop took effect, which is not another move.
        return None
    if now + slow_task.remaining_s <= task.job.objective_at:
        return None
    elsewhere_s = _run_elsewhere_s(slow_task, view, placement, placement_round, now)
    if elsewhere_s is None or elsewhere_s >= _MOVE_GAIN * slow_task.remaining_s:
        return None
    return elsewhere_s


def _run_elsewhere_s(slow_task, view, placement, placement_round, now):
    task = slow_task.task
    other = placement_round.choose(task)
    if other is None or other is view:
        return None
    elsewhere_s = placement.run_s(other, task)
    stalled = slow_task.remaining_s > _STALLED_RATIO * elsewhere_s
    if now >= view.slow_until and not stalled:
        # The executor is not slow in general, so the task itself must be longer than
        # declared, on other executors too.
        total_s = slow_task.elapsed_s + slow_task.remaining_s
        elsewhere_s *= total_s / placement.run_s(view, task)
    return elsewhere_s
