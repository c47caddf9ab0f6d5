"""
papayaward.coordination.lost_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether a task that an entry has sent may still run, or start, at its executor.

This module answers that question for the entry. `Release` is the whole list of what
ends the wait for a task; a broken link, a refusal, a silence or an error is not in it.
"""

import logging
from dataclasses import dataclass, field
from enum import Enum

from .ending_jobs import EndingJobs
from .job_state import LOST, SENT
from .peer_starts import PeerStarts
from .pinned_tasks import Pin, PinnedTasks
from .upstream_requests import (
    MAX_LATE_RUN_S,
    instance_of_key,
    is_later_lifetime,
)

__all__ = ["LostTasks", "Release"]

log = logging.getLogger(__name__)

# Longest time for which a confirmed run continues after the link to its executor broke:
# the rest of its lease, and the time to kill it when the lease expires.
_LOST_RUN_S = 1.05


class Release(Enum):
    """What shows that a task neither runs nor will start at its executor.

    A request to start it may still be executed by a later lifetime of the upstream; the
    task is pinned to the executor then (see `pinned_tasks`).
    """

    # Its executor has reported the end of its latest run.
    ENDED = "ended"
    # The same process of the executor is linked again, and does not list it.
    NOT_RUNNING = "not running after the link broke"
    # A later process of the executor has taken over the same upstream instance: it has
    # stopped all runs there, and its lifetime rejects starts of earlier processes.
    TAKEN_OVER = "a later process has taken over its upstream"
    # The lease of a confirmed run has ended, counted from the last moment at which the
    # executor can have heard of this entry.
    LEASE_ENDED = "its run at the lost executor is over"
    # The longest delay of a start that nobody has confirmed is over, and so is that of
    # the renewals which keep its run active, counted likewise.
    START_EXPIRED = "its start is not executed any more"


# Time from the break of the latest link to a process until the release of its tasks.
_HOLD_S = {
    Release.TAKEN_OVER: 0.0,
    Release.LEASE_ENDED: _LOST_RUN_S,
    Release.START_EXPIRED: MAX_LATE_RUN_S,
}


@dataclass
class _Group:
    """Tasks whose link broke at the same time.

    Attributes:
        tasks: `Task` of each of them.
        upstream: Key of the upstream instance that they were sent to.
        awaited: `Release` that ends the wait for them unless another one comes first.
        may_start_late: Whether a later lifetime of the upstream may execute requests to
            start them when they are released.
        requests: What `LeasedView.requests_to_start` tells of them, by name.
    """

    tasks: list
    upstream: str
    awaited: Release
    may_start_late: bool = False
    requests: dict = field(default_factory=dict)

    def started_late_at(self, upstream):
        """Returns the tasks that a later lifetime of the instance may have started.

        Args:
            upstream: Key of the lifetime.
        """
        if self.awaited is not Release.START_EXPIRED and not self.may_start_late:
            return []
        return [
            task
            for task in self.tasks
            if task.state is LOST and is_later_lifetime(upstream, task.upstream)
        ]


@dataclass
class _LostProcess:
    """A process of an executor that may run tasks although its link broke.

    Attributes:
        groups: `_Group` list.
        lost_at: Time at which its latest link broke, seconds; None while it is linked,
            since it renews the leases of its runs then.
    """

    groups: list
    lost_at: float | None


class LostTasks:
    """Tasks that may still run, or start, at an executor although nobody wants that.

    These are the tasks of executors whose link broke, those of jobs that have ended,
    and those that executors may still start for another entry.

    A confirmed run ends with its lease. A start that nobody has confirmed may be
    executed later, also by the next lifetime of the upstream.

    An executor takes an entry for alive only from what the entry has answered on a link
    that `on_link_up` has announced here, so that the break of the last such link is the
    last moment at which it can have heard of the entry.
    """

    def __init__(self):
        # `_LostProcess` by the executor's name and the incarnation of its process.
        self._processes = {}
        self._pinned = PinnedTasks()
        self._peer_starts = PeerStarts(self._pinned)
        self._ending = EndingJobs()
        # Key of the latest upstream that each executor has taken over, by its name.
        self._taken_over = {}

    def holds_back(self, job_id):
        """Returns whether earlier or other runs of a job's tasks may be active."""
        return job_id in self._ending or job_id in self._peer_starts

    def may_start_late(self, job_id):
        """Returns whether an earlier request may still start a task of a job."""
        return self.holds_back(job_id) or self._pinned.has_job(job_id)

    def may_start_again(self, view, task):
        """Returns whether a request to start a run may be executed after its end.

        The next lifetime of the upstream may execute it, and nobody would know of that
        if the executor's process ends as well.

        Args:
            view: `LeasedView` of the executor.
            task: `Task` that runs there.
        """
        return view.is_unsettled(task) or task.name in self._pinned

    def is_pinned(self, task_name):
        """Returns whether a task may start at one executor only."""
        return task_name in self._pinned

    def executable_until(self, task_name):
        """Returns the time until which requests to start a task may be executed."""
        return self._pinned.executable_until(task_name)

    def may_start_at(self, task_name, view):
        """Returns whether a task may start at an executor as far as late starts go.

        Args:
            task_name: Name of the task.
            view: `LeasedView` of the executor.
        """
        return self._pinned.may_start_at(task_name, *view.process)

    def late_start(self, task_name, view, now):
        """Returns the `ttypes.LateStart` to tell with the start of a task, or None.

        Args:
            task_name: Name of the task.
            view: `LeasedView` of the executor that it is started at.
            now: Time, seconds.
        """
        return self._pinned.late_start(task_name, *view.process, now)

    def late_starts_of_peers(self, view, now):
        """Returns what entries have to know that an executor can't tell any more.

        These are late starts, and unsettled starts for other entries.

        Args:
            view: `LeasedView` of the executor.
            now: Time, seconds.

        Returns:
            list: `ttypes.LateStart` of each of them.
        """
        pinned = self._pinned.late_starts_at(view.name, now)
        unsettled = [
            Pin.of_wire(start, view.process[1], now).to_wire(task, view.name, now)
            for task, start in view.unsettled_starts.items()
            if task in view.unsettled_peer_tasks
        ]
        return pinned + unsettled

    def unwanted_late_starts(self, view, now):
        """Returns the `ttypes.LateStart` of each unwanted request that a report tells.

        Args:
            view: `LeasedView` of the executor.
            now: Time, seconds.
        """
        return [
            Pin.of_wire(start, view.process[1], now).to_wire(start.task, view.name, now)
            for start in (*view.unsettled_starts.values(), *view.late_starts)
            if start.unwanted
        ]

    def on_late_start_notice(self, start, now):
        """Pins a task to an executor out of reach of an entry.

        Args:
            start: `ttypes.LateStart` of a notice.
            now: Time, seconds.
        """
        pin = Pin.of_wire(start, start.incarnation, now)
        self._pinned.pin(start.task, start.executor, pin)

    def on_job_ended(self, job):
        """Adds the tasks of an ended job that may be running."""
        self._ending.add(job)

    def on_run_over(self, task):
        """Removes a task of an ended job for which there is a `Release`."""
        self._ending.on_run_over(task)

    def on_link_up(self, view):
        """Has the tasks of a process wait while it is linked.

        Args:
            view: `LeasedView` of the executor.
        """
        lost = self._processes.get(view.process)
        if lost is not None:
            lost.lost_at = None

    def on_link_down(self, view, tasks, now):
        """Marks the tasks of a disconnected executor as lost.

        Args:
            view: `LeasedView` of the executor.
            tasks: `Task` of each of them.
            now: Time, seconds.
        """
        self._peer_starts.on_link_down(view, now)
        lost = self._processes.get(view.process)
        if lost is not None:
            lost.lost_at = now
        if not tasks:
            return
        for task in tasks:
            task.state = LOST
            task.job.may_have_run = True
        if lost is None:
            lost = self._processes[view.process] = _LostProcess([], now)
        confirmed = [task for task in tasks if view.is_confirmed(task)]
        unconfirmed = [task for task in tasks if not view.is_confirmed(task)]
        for members, awaited in (
            (confirmed, Release.LEASE_ENDED),
            (unconfirmed, Release.START_EXPIRED),
        ):
            if members:
                requests = {t.name: view.requests_to_start(t) for t in members}
                group = _Group(members, view.upstream, awaited, requests=requests)
                lost.groups.append(group)
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

        If another lifetime or instance is there, the runs of the one before may last
        until their lease ends. Another instance executes no late starts of its
        predecessor; a later lifetime of the same one may.

        Args:
            view: `LeasedView` of an executor that has sent a report.
            now: Time, seconds.
        """
        self._pinned.on_capacity_report(view, now)
        self._peer_starts.on_capacity_report(view, now)
        if view.taken_over:
            self._taken_over[view.name] = view.upstream
        if not self._processes or not view.taken_over:
            return
        instance = instance_of_key(view.upstream)
        for process in view.earlier_processes(self._processes):
            for group in self._processes[process].groups:
                if instance_of_key(group.upstream) != instance:
                    group.may_start_late = False
                elif group.awaited is Release.START_EXPIRED:
                    group.may_start_late = True
                if group.upstream == view.upstream:
                    group.awaited = Release.TAKEN_OVER
                elif group.awaited is Release.START_EXPIRED:
                    group.awaited = Release.LEASE_ENDED

    def started_late_at(self, upstream):
        """Returns the tasks that a crashed lifetime of an upstream may have run.

        They were sent to an earlier lifetime by a process that has ended. A lifetime
        that was taken over has stopped such runs, and rejects the requests to start
        them.

        Args:
            upstream: Key of the crashed lifetime.
        """
        if upstream in self._taken_over.values():
            return []
        return [
            task
            for lost in self._processes.values()
            for group in lost.groups
            for task in group.started_late_at(upstream)
        ]

    def on_ends(self, view, ends):
        """Returns lost tasks to their executor's view before it handles their ends.

        Args:
            view: `LeasedView` of the executor.
            ends: `TaskEnd` of each task that it reports as ended.
        """
        if view.process not in self._processes:
            return
        runs = {end.task: end.run for end in ends}
        for group in self._processes[view.process].groups:
            for task in list(group.tasks):
                if task.state is LOST and runs.get(task.name, 0) >= task.run:
                    group.tasks.remove(task)
                    _return_to(view, task)

    def on_running_tasks(self, view, names):
        """Returns lost tasks to the view of an executor that has reconnected.

        The runs of an earlier process of the executor stay lost: the new one doesn't
        know when they end.

        Args:
            view: `LeasedView` of the executor.
            names: Names of the tasks that it lists.

        Returns:
            tuple: `Task` list of those returned, and of those that it does not list.
        """
        lost = self._processes.pop(view.process, None)
        groups = lost.groups if lost is not None else ()
        tasks = [task for group in groups for task in group.tasks if task.state is LOST]
        returned = [task for task in tasks if task.name in names]
        for task in returned:
            _return_to(view, task)
        return returned, [task for task in tasks if task.state is LOST]

    def take_expired(self, now):
        """Removes the tasks that run nowhere any more.

        Args:
            now: Time, seconds.

        Returns:
            list: (`Task`, `Release`) of each of them.
        """
        self._pinned.forget_expired(now)
        self._peer_starts.forget_expired(now)
        over = []
        for process, lost in list(self._processes.items()):
            if lost.lost_at is None:
                continue
            age_s = now - lost.lost_at
            for group in lost.groups:
                if age_s >= _HOLD_S[group.awaited]:
                    over += [(task, group.awaited) for task in group.tasks]
                    self._pin(group, process, lost.lost_at)
            lost.groups = [g for g in lost.groups if age_s < _HOLD_S[g.awaited]]
            if not lost.groups:
                del self._processes[process]
        return [(task, release) for task, release in over if task.state is LOST]

    def _pin(self, group, process, lost_at):
        """Pins released tasks that a later lifetime may start."""
        if group.may_start_late:
            executor_name, incarnation = process
            instance = instance_of_key(group.upstream)
            until = lost_at + MAX_LATE_RUN_S
            for task in group.tasks:
                if task.state is LOST:
                    pin = Pin(instance, until, incarnation, *group.requests[task.name])
                    self._pinned.pin(task.name, executor_name, pin)


def _return_to(view, task):
    """Counts a lost task as sent on the present link of its executor."""
    task.state, task.executor = SENT, view
    # The batches of the new link are numbered from 1.
    task.batch = 0
    view.tasks[task.name] = task
