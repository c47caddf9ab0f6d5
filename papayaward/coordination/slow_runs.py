"""
papayaward.coordination.slow_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a run that takes far longer than expected is moved.
"""

from dataclasses import dataclass

__all__ = ["SlowTask", "elsewhere_s_if_moved", "is_executor_slow"]

# A slow run is moved if its expected time on another executor is less than this
# fraction of its remaining time.
_MOVE_GAIN = 0.6
# A run is regarded as stalled if its remaining time is more than this many times its
# expected time on another executor.
_STALLED_RATIO = 10.0
_MAX_MOVES = 2


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


def is_executor_slow(view, slow):
    """Returns whether at least half of an executor's runs are slow.

    Args:
        view: `LeasedView` of the executor.
        slow: `SlowTask` of each run that it reported as slow.
    """
    return len(slow) > 1 and 2 * len(slow) >= len(view.tasks)


def elsewhere_s_if_moved(slow_task, view, placement, placement_round, now):
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
