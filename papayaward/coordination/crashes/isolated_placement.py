"""
papayaward.coordination.crashes.isolated_placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses executors for the tasks of an isolated job.

All tasks go to as few executors as possible: each of them may be lost with the job.
"""

from ..job_state import SENT

__all__ = ["place_isolated"]


def place_isolated(job, number, limit, placement_round, one_executor):
    """Yields (task, view) for the tasks of a phase that an executor can start.

    The caller must reserve the capacity for each pair before it requests the next.

    Args:
        job: `Job`.
        number: Index of the phase.
        limit: Number of isolated jobs that may run on an executor, this one included.
        placement_round: `PlacementRound` of the executors to choose from.
        one_executor: Whether the job may use only one executor at a time.
    """
    tasks = job.waiting_tasks(number)
    view = None
    used = {task.executor for task in job.tasks if task.state is SENT}
    for position, task in enumerate(tasks):
        task.isolation_limit = limit
        if view is None or not placement_round.may_run(view, task):
            view = _choose(task, len(tasks) - position, limit, placement_round)
            if view is None and placement_round.is_pinned(task):
                # It must not hold up the tasks that may start elsewhere.
                continue
            if one_executor and used and view not in used:
                return
            used.add(view)
        if view is None or not placement_round.should_start(view, task):
            return
        yield task, view


def _choose(task, tasks, limit, placement_round):
    """Returns the executor for the next tasks of a job, None if they have to wait."""
    candidates = [
        view
        for view in placement_round.free_views(task)
        if view.may_isolate(task.job, limit)
    ]

    def key(view):
        avoided = view.name in task.avoided_executors
        neighbours = view.isolated_jobs_beside(task.job)
        # The evidence against a job is strongest where no other job runs.
        used = view.capacity.cpu_millis - view.free.cpu_millis if limit == 1 else 0
        together = min(tasks, view.free.fitting(task.phase.need))
        return (avoided, neighbours, used, -together, placement_round.rank(view, task))

    return min(candidates, key=key, default=None)
