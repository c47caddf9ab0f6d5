"""
papayaward.coordination.pinned_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that an entry may start at one executor only.

A request to start such a task may still be executed, by a later lifetime of the
upstream that it was sent to. Elsewhere the task could run beside that. At the same
upstream its run ends with the lifetime, and the executor starts nothing at the next
one before that rejects earlier requests. Only if requests under two numbers of the task
are late may the next lifetime run both.
"""

import logging
from dataclasses import dataclass

from ..state.crash_records import job_id_of
from .upstream_requests import MAX_LATE_RUN_S, instance_of_key

__all__ = ["PinnedTasks"]

log = logging.getLogger(__name__)

_EXPIRY_INTERVAL_S = 0.1


@dataclass(frozen=True)
class _Pin:
    """A late start of a task.

    Attributes:
        instance: Identifier of the upstream instance that executes it.
        until: Time from which no run that it began is active any more, seconds.
    """

    instance: str
    until: float


class PinnedTasks:
    """Which tasks may start at one executor only, and at which one."""

    def __init__(self):
        # `_Pin` by the name of the task, then by that of the executor.
        self._pins = {}
        # Identifier of the latest instance taken over, by the name of its executor.
        self._instances = {}
        self._next_expiry_at = 0.0

    def __contains__(self, task_name):
        return task_name in self._pins

    def may_start_at(self, task_name, executor_name):
        """Returns whether no late start at another executor keeps a task from one.

        Args:
            task_name: Name of the task.
            executor_name: Name of the executor.
        """
        pins = self._pins.get(task_name)
        return pins is None or pins.keys() == {executor_name}

    def has_job(self, job_id):
        """Returns whether a task of a job may still be started by an earlier request.

        Args:
            job_id: Identifier of the job.
        """
        return any(job_id_of(name) == job_id for name in self._pins)

    def pin(self, task_names, executor_name, instance, until):
        """Pins tasks to an executor.

        Args:
            task_names: Names of the tasks.
            executor_name: Name of the executor.
            instance: Identifier of the upstream instance that they were sent to.
            until: Time from which no run of a late start is active, seconds.
        """
        for name in task_names:
            pins = self._pins.setdefault(name, {})
            last = pins.get(executor_name)
            latest = until if last is None else max(until, last.until)
            pins[executor_name] = _Pin(instance, latest)

    def on_capacity_report(self, view, now):
        """Pins the tasks that a report adds.

        Once another instance has been taken over, no request to the one before is
        executed any more.

        Args:
            view: `LeasedView` of the executor.
            now: Time, seconds.
        """
        for start in view.late_starts:
            if not start.task:
                log.warning("late_start_ignored", extra={"executor": view.name})
                continue
            remaining_s = min(MAX_LATE_RUN_S, (start.remaining_ms or 0) / 1000.0)
            self.pin([start.task], view.name, start.instance, now + remaining_s)
        name, instance = view.name, instance_of_key(view.upstream)
        if view.taken_over and self._instances.get(name) != instance:
            self._instances[name] = instance
            self._keep(lambda at, pin: at != name or pin.instance == instance)

    def forget_expired(self, now):
        """Removes the tasks that no earlier request can start any more.

        Args:
            now: Time, seconds.
        """
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + _EXPIRY_INTERVAL_S
            self._keep(lambda at, pin: now < pin.until)

    def _keep(self, is_kept):
        for name, pins in list(self._pins.items()):
            kept = {at: pin for at, pin in pins.items() if is_kept(at, pin)}
            if kept:
                self._pins[name] = kept
            else:
                del self._pins[name]
