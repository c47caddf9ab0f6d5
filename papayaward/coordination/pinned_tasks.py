"""
papayaward.coordination.pinned_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that an entry may start at one executor only.

A request to start such a task may still be executed, by a later lifetime of the
upstream that it was sent to. Elsewhere the task could run beside that. At the same
upstream it can't: its run ends with the lifetime, and the executor starts nothing at
the next one before that rejects earlier requests.
"""

from dataclasses import dataclass

from ..state.crash_records import job_id_of
from .upstream_requests import MAX_START_DELAY_S, instance_of_key

__all__ = ["PinnedTasks"]


@dataclass
class _Pins:
    """Tasks whose late starts go to one upstream.

    Attributes:
        executor: Name of its executor.
        instance: Identifier of the upstream instance; empty if it is not known.
        tasks: Names of the tasks.
        until: Time from which no request is executed any more, seconds; None while the
            executor's process is linked and lists them.
    """

    executor: str
    instance: str
    tasks: frozenset
    until: float | None


class PinnedTasks:
    """Which tasks may start at one executor only, and at which one."""

    def __init__(self):
        # `_Pins` that a process of an executor has listed, by `LeasedView.process`.
        self._listed = {}
        # `_Pins` of tasks that a later process of the executor has released.
        self._released = []
        # Names of the executors by task.
        self._executors = {}

    def __contains__(self, task_name):
        return task_name in self._executors

    def may_start_at(self, task_name, executor_name):
        """Returns whether no late start at another executor keeps a task from one.

        Args:
            task_name: Name of the task.
            executor_name: Name of the executor.
        """
        executors = self._executors.get(task_name)
        return executors is None or executors == {executor_name}

    def has_job(self, job_id):
        """Returns whether a task of a job may still be started by an earlier request.

        Args:
            job_id: Identifier of the job.
        """
        return any(job_id_of(name) == job_id for name in self._executors)

    def pin(self, task_names, executor_name, upstream, until):
        """Pins tasks whose executor's process has ended.

        Args:
            task_names: Names of the tasks.
            executor_name: Name of the executor.
            upstream: Key of the upstream instance that they were sent to.
            until: Time from which no request is executed any more, seconds.
        """
        names = frozenset(task_names)
        if names:
            instance = instance_of_key(upstream)
            self._released.append(_Pins(executor_name, instance, names, until))
            self._update()

    def on_capacity_report(self, view):
        """Takes over the list of a report.

        Once another instance has been taken over, no request to the one before is
        executed any more.

        Args:
            view: `LeasedView` of the executor.
        """
        listed = self._listed.get(view.process)
        pins = _pins_of(view, listed)
        if pins != listed:
            self._listed.pop(view.process, None)
            if pins is not None:
                self._listed[view.process] = pins
            self._update()
        if self._executors and view.taken_over:
            self._forget_other_instances(view)

    def on_link_down(self, view, now):
        """Keeps the list of a lost executor for the longest delay of a start.

        Args:
            view: `LeasedView` of the executor.
            now: Time, seconds.
        """
        listed = self._listed.get(view.process)
        if listed is not None:
            listed.until = now + MAX_START_DELAY_S

    def on_link_up(self, view):
        """Keeps the list of a process while it is linked.

        Args:
            view: `LeasedView` of the executor.
        """
        listed = self._listed.get(view.process)
        if listed is not None:
            listed.until = None

    def forget_expired(self, now):
        """Removes the tasks that no earlier request can start any more.

        Args:
            now: Time, seconds.
        """
        if self._executors:
            self._keep(lambda pins: pins.until is None or now < pins.until)

    def _forget_other_instances(self, view):
        """Removes what earlier processes listed; a process shortens its own list."""
        listed = self._listed.get(view.process)
        instances = ("", instance_of_key(view.upstream))
        self._keep(
            lambda pins: (
                pins is listed
                or pins.executor != view.name
                or pins.instance in instances
            )
        )

    def _keep(self, is_kept):
        before = len(self._listed) + len(self._released)
        self._listed = {
            process: pins for process, pins in self._listed.items() if is_kept(pins)
        }
        self._released = [pins for pins in self._released if is_kept(pins)]
        if len(self._listed) + len(self._released) < before:
            self._update()

    def _update(self):
        self._executors = {}
        for pins in (*self._listed.values(), *self._released):
            for name in pins.tasks:
                self._executors.setdefault(name, set()).add(pins.executor)


def _pins_of(view, last):
    """Returns the `_Pins` that a report lists, or None.

    Args:
        view: `LeasedView` of the executor.
        last: `_Pins` of the report before, or None. An executor whose upstream has
            deregistered names no instance.
    """
    names = frozenset(view.late_start_tasks)
    if not names:
        return None
    instance = instance_of_key(view.upstream)
    if not instance and last is not None:
        instance = last.instance
    return _Pins(view.name, instance, names, None)
