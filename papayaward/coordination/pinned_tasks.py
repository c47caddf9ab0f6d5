"""
papayaward.coordination.pinned_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that an entry may start at one executor only.

A request to start such a task may still be executed, by a later lifetime of the
upstream that it was sent to. Elsewhere the task could run beside that. At the same
upstream it starts under the number of that request only. A later process of the
executor does not know the number, so that the entry tells it with the start.
"""

import logging
from dataclasses import dataclass, replace

from ..protocol.gen import ttypes
from ..state.crashes import job_id_of
from .upstream_requests import LATE_RENEWALS_S, MAX_LATE_RUN_S, instance_of_key

__all__ = ["Pin", "PinnedTasks"]

log = logging.getLogger(__name__)

_EXPIRY_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Pin:
    """Requests to start a task that may still be executed.

    Attributes:
        instance: Identifier of the upstream instance that executes them.
        until: Time from which no run that they began is active any more, seconds.
        incarnation: Incarnation of the executor's process that sent them, or that was
            the last to tell of them.
        run: Number of the run that they start; 0 if it is not known.
        requests: Number of them.
        born_ms: Start of the latest lifetime that has executed none of them, or whose
            run under the number has been counted, milliseconds; 0 if there is none.
    """

    instance: str
    until: float
    incarnation: int
    run: int = 0
    requests: int = 1
    born_ms: int = 0

    @classmethod
    def of_wire(cls, start, incarnation, now):
        """Returns the `Pin` of which an executor tells.

        Args:
            start: `ttypes.LateStart`.
            incarnation: Incarnation of the executor's process.
            now: Time, seconds.
        """
        remaining_s = min(MAX_LATE_RUN_S, (start.remaining_ms or 0) / 1000.0)
        return cls(
            start.instance,
            now + remaining_s,
            incarnation,
            start.run or 0,
            start.requests or 1,
            start.born_ms or 0,
        )

    def to_wire(self, task_name, executor_name, now):
        """Returns the `ttypes.LateStart` that tells another process of it.

        Args:
            task_name: Name of the task.
            executor_name: Name of the executor.
            now: Time, seconds.
        """
        return ttypes.LateStart(
            task_name,
            self.instance,
            int((self.until - now) * 1000) + 1,
            self.run,
            self.requests,
            self.born_ms,
            executor_name,
            self.incarnation,
        )


class PinnedTasks:
    """Which tasks may start at one executor only, and at which one."""

    def __init__(self):
        # `Pin` by the name of the task, then by that of the executor.
        self._pins = {}
        # Identifier of the latest instance taken over, by the name of its executor.
        self._instances = {}
        self._next_expiry_at = 0.0

    def __contains__(self, task_name):
        return task_name in self._pins

    def may_start_at(self, task_name, executor_name, incarnation):
        """Returns whether no late start keeps a task from starting at an executor.

        One at another executor does, and one of an earlier process whose number is not
        known.

        Args:
            task_name: Name of the task.
            executor_name: Name of the executor.
            incarnation: Incarnation of its process.
        """
        pins = self._pins.get(task_name)
        if pins is None:
            return True
        if pins.keys() != {executor_name}:
            return False
        pin = pins[executor_name]
        return pin.run > 0 or pin.incarnation == incarnation

    def executable_until(self, task_name):
        """Returns the time in seconds until which a task may be started by a request.

        Args:
            task_name: Name of the task; 0.0 if it is not pinned.
        """
        pins = self._pins.get(task_name, {}).values()
        return max((pin.until - LATE_RENEWALS_S for pin in pins), default=0.0)

    def late_start(self, task_name, executor_name, incarnation, now):
        """Returns the `ttypes.LateStart` that a later process has to know of, or None.

        Args:
            task_name: Name of the task.
            executor_name: Name of the executor that it is started at.
            incarnation: Incarnation of its process.
            now: Time, seconds.
        """
        pin = self._pins.get(task_name, {}).get(executor_name)
        if pin is None or not pin.run or pin.incarnation == incarnation:
            return None
        return pin.to_wire(task_name, executor_name, now)

    def late_starts_at(self, executor_name, now):
        """Returns the `ttypes.LateStart` of each task that is pinned to an executor.

        Args:
            executor_name: Name of the executor.
            now: Time, seconds.
        """
        return [
            pins[executor_name].to_wire(task_name, executor_name, now)
            for task_name, pins in self._pins.items()
            if executor_name in pins
        ]

    def has_job(self, job_id):
        """Returns whether a task of a job may still be started by an earlier request.

        Args:
            job_id: Identifier of the job.
        """
        return any(job_id_of(name) == job_id for name in self._pins)

    def pin(self, task_name, executor_name, pin):
        """Pins a task to an executor.

        Args:
            task_name: Name of the task.
            executor_name: Name of the executor.
            pin: `Pin`.
        """
        pins = self._pins.setdefault(task_name, {})
        last = pins.get(executor_name)
        if last is not None:
            pin = replace(pin, until=max(pin.until, last.until))
        pins[executor_name] = pin

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
            self.pin(start.task, view.name, Pin.of_wire(start, view.process[1], now))
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
