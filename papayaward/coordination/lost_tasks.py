"""
papayaward.coordination.lost_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that may still run at executors that are out of reach.
"""

import logging
from dataclasses import dataclass

from .job_state import LOST
from .peer_starts import PeerStarts
from .upstream_requests import MAX_START_DELAY_S

__all__ = ["LostTasks"]

log = logging.getLogger(__name__)

# Longest time for which a confirmed run continues after the link to its executor broke:
# the rest of its lease, and the time to kill it when the lease expires.
_LOST_RUN_S = 1.05


@dataclass
class _Group:
    """Tasks whose link broke at the same time.

    Attributes:
        tasks: `Task` of each of them.
        upstream: Key of the upstream instance that they were sent to.
        runs_end_at: Time by which the runs that the instance has begun are over unless
            they were begun by a late request, seconds.
        until: Time at which the tasks may start elsewhere, seconds.
    """

    tasks: list
    upstream: str
    runs_end_at: float
    until: float


class LostTasks:
    """Tasks that may still run at an executor whose link broke, or for another entry.

    A confirmed run ends with its lease. A start that nobody has confirmed may be
    executed later, also by the next lifetime of the upstream. So its task is held back
    until a process of the executor tells what became of it, or for the longest delay
    of a request.
    """

    def __init__(self):
        # `_Group` list by the executor's name and the incarnation of its process.
        self._groups = {}
        self._peer_starts = PeerStarts()

    def holds_back(self, job_id):
        """Returns whether tasks of a job may still be started for another entry."""
        return job_id in self._peer_starts

    def on_link_down(self, view, tasks, now):
        """Marks the tasks of a disconnected executor as lost.

        Args:
            view: `LeasedView` of the executor.
            tasks: `Task` of each of them.
            now: Time, seconds.
        """
        self._peer_starts.on_link_down(view, now)
        if not tasks:
            return
        for task in tasks:
            task.state = LOST
            task.job.may_have_run = True
        confirmed = [task for task in tasks if view.is_confirmed(task)]
        unconfirmed = [task for task in tasks if not view.is_confirmed(task)]
        groups = self._groups.setdefault(view.process, [])
        runs_end_at = now + _LOST_RUN_S
        for members, until in (
            (confirmed, runs_end_at),
            (unconfirmed, now + MAX_START_DELAY_S),
        ):
            if members:
                groups.append(_Group(members, view.upstream, runs_end_at, until))
        log.warning(
            "tasks_out_of_reach",
            extra={
                "executor": view.name,
                "tasks": len(tasks),
                "unconfirmed": len(unconfirmed),
            },
        )

    def on_capacity_report(self, view, now):
        """Releases the tasks of earlier processes of an executor after a take-over.

        The take-over has stopped all runs of the instance, and later starts of the
        earlier processes are rejected. If another instance is there, the runs of the
        one before may last until their lease ends.

        Args:
            view: `LeasedView` of an executor that has sent a report.
            now: Time, seconds.
        """
        self._peer_starts.on_capacity_report(view)
        if not self._groups or not view.taken_over:
            return
        for process in view.earlier_processes(self._groups):
            for group in self._groups[process]:
                is_stopped = group.upstream == view.upstream
                over_at = now if is_stopped else group.runs_end_at
                group.until = min(group.until, over_at)

    def take_back(self, view):
        """Removes and returns the tasks of an executor that has reconnected.

        The runs of an earlier process of the executor are not returned: the new one
        doesn't know when they end.
        """
        groups = self._groups.pop(view.process, ())
        tasks = [task for group in groups for task in group.tasks if task.state is LOST]
        for task in tasks:
            # The batches of the new link are numbered from 1.
            task.batch = 0
        return tasks

    def take_expired(self, now):
        """Removes and returns the tasks that run nowhere any more."""
        self._peer_starts.forget_expired(now)
        over = []
        for process, groups in list(self._groups.items()):
            over += [
                task for group in groups if group.until <= now for task in group.tasks
            ]
            remaining = [group for group in groups if group.until > now]
            if remaining:
                self._groups[process] = remaining
            else:
                del self._groups[process]
        return [task for task in over if task.state is LOST]
