"""
papayaward.coordination.late_starts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that no run of an executor is active for, but of which a start may be executed.

What ends a run at one lifetime of an upstream says nothing about the next one: that has
seen neither the stop nor the fencing token that the one before rejects the start with.
Until the longest delay of a request has passed, such a task may start on this upstream
only. A run there ends with the lifetime that executes it, and no start is sent to the
next one before that rejects the earlier requests. Only if requests under two numbers of
the task are late may the next lifetime run both.
"""

import logging
from dataclasses import dataclass

from .run_activity import may_outlast_lifetime
from .upstream_crashes import LostRun

__all__ = ["LateStart", "LateStarts"]

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class LateStart:
    """Requests to start a task that may still be executed.

    Attributes:
        task: Name of the task.
        instance: Identifier of the upstream instance that they name.
        born_ms: Start of its lifetime that rejects them, milliseconds.
        until: Time at which they are not executed any more, seconds.
        number: Number of this addition to the late starts, from 1.
        run: `LostRun` that one of them may have begun at a later lifetime.
    """

    task: str
    instance: str
    born_ms: int
    until: float
    number: int
    run: LostRun


class LateStarts:
    """The tasks without a run of which a request to start one may be executed."""

    def __init__(self):
        # `LateStart` by the name of the task.
        self._starts = {}
        self._additions = 0

    def __contains__(self, task):
        return task in self._starts

    def __bool__(self):
        return bool(self._starts)

    @property
    def additions(self):
        """Number of additions so far."""
        return self._additions

    def added_after(self, number):
        """Returns the `LateStart` list of the latest additions.

        Args:
            number: Value of `additions` before them.
        """
        if number == self._additions:
            return []
        return [start for start in self._starts.values() if start.number > number]

    def on_run_accepted(self, run):
        """Has a new run of a task bear the earlier requests to start it.

        Args:
            run: `Run`.
        """
        start = self._starts.pop(run.task, None)
        if start is not None:
            run.earlier_start_until = start.until

    def on_run_over(self, run, now):
        """Adds the task of a run that is over, if a request may still be executed.

        Args:
            run: `Run` with its `Proof`.
            now: Time, seconds.
        """
        until = run.late_start_until
        if until <= now or not may_outlast_lifetime(run.proof):
            return
        self._additions += 1
        session = run.session
        self._starts[run.task] = LateStart(
            run.task,
            session.instance,
            session.born_ms,
            until,
            self._additions,
            LostRun(run.task, run.queue, run.declared_s, run.started_at),
        )
        log.info(
            "late_start_possible",
            extra={
                "task": run.task,
                "run": run.run,
                "request_id": run.request_id,
                "upstream": run.session.instance,
                "seconds": round(until - now, 3),
                "reason": run.proof.value,
            },
        )

    def lost_runs(self, session, born_ms):
        """Returns a `LostRun` of each task that a lost lifetime may have started.

        A lifetime that was taken over has stopped such runs, and rejects the requests.

        Args:
            session: `UpstreamSession` with the lifetime.
            born_ms: Start of the lifetime, milliseconds.
        """
        if session.taken_over:
            return []
        return [
            start.run
            for start in self._starts.values()
            if start.instance == session.instance and start.born_ms < born_ms
        ]

    def on_taken_over(self, instance):
        """Removes the tasks whose requests name another instance, which has ended.

        Args:
            instance: Identifier of the instance that was taken over.
        """
        self._keep(lambda start: start.instance == instance)

    def forget_expired(self, now):
        """Removes the tasks that no request can start any more.

        Args:
            now: Time, seconds.
        """
        self._keep(lambda start: now < start.until)

    def _keep(self, is_kept):
        self._starts = {
            task: start for task, start in self._starts.items() if is_kept(start)
        }
