"""
papayaward.coordination.lost_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks of an entry at executors that are out of reach.
"""

from .job_state import LOST

__all__ = ["LostTasks"]

# Longest time for which a run continues after the link to its executor broke: the
# rest of its lease, and the time to kill it when the lease expires.
_LOST_RUN_S = 1.05


class LostTasks:
    """Tasks that may still run at an executor whose link broke."""

    def __init__(self):
        # (time by which their runs have ended, tasks) by the executor's process.
        self._groups = {}

    def add(self, view, tasks, now):
        """Marks the tasks of a disconnected executor as lost.

        Args:
            view: `LeasedView` of the executor.
            tasks: `Task` of each of them.
            now: Time, seconds.
        """
        for task in tasks:
            task.state = LOST
            task.job.may_have_run = True
        groups = self._groups.setdefault(_process_of(view), [])
        groups.append((now + _LOST_RUN_S, tasks))

    def take_back(self, view):
        """Removes and returns the tasks of an executor that has reconnected.

        The runs of an earlier process of the executor are not returned: the new one
        doesn't know when they end.
        """
        groups = self._groups.pop(_process_of(view), ())
        return [task for _, tasks in groups for task in tasks if task.state is LOST]

    def take_expired(self, now):
        """Removes and returns the tasks whose runs have ended by now."""
        over = []
        for process, groups in list(self._groups.items()):
            over += [task for until, tasks in groups if until <= now for task in tasks]
            remaining = [group for group in groups if group[0] > now]
            if remaining:
                self._groups[process] = remaining
            else:
                del self._groups[process]
        return [task for task in over if task.state is LOST]


def _process_of(view):
    return view.name, view.link.peer.incarnation
