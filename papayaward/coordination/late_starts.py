"""
papayaward.coordination.late_starts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that no run of an executor is active for, but of which a start may be executed.

What ends a run at one lifetime of an upstream says nothing about the next one: that has
seen neither the stop nor the fencing token that the one before rejects the start with.
Until that is settled, such a task may start on this upstream only, and only under the
number that the requests carry: a lifetime runs each number of a task once, but might
run two numbers at once. A lifetime that has ended the number rejects it, so that the
task waits for the next one or for the end of the delay.

Once the longest delay of a request has passed, a start is settled if a lifetime that
has been taken over replies. If none does, a later lifetime may have begun the run out
of reach, and renewals that it executes late keep the run active. So the task waits
until the longest delay since the last lease that was sent has passed as well.

What was sent by an earlier process of the executor is known from the entries, which
tell it when they start such a task.
"""

import logging
from dataclasses import dataclass, replace

from ..protocol.gen import ttypes
from .crashes.upstream_crashes import LostRun
from .run_activity import allows_late_starts
from .upstream_requests import LATE_RENEWALS_S, MAX_LATE_RUN_S, MAX_START_DELAY_S

__all__ = ["LateStart", "LateStarts"]

log = logging.getLogger(__name__)

# Time after which no lifetime executes a start: 12 s, and a margin.
_MAX_EXECUTION_DELAY_S = 13.0


@dataclass(frozen=True)
class LateStart:
    """Requests to start a task that may still be executed.

    Attributes:
        task: Name of the task.
        run: Number of the run that they start.
        requests: Number of them.
        instance: Identifier of the upstream instance that they name.
        born_ms: Start of the latest lifetime that has executed none of them, or whose
            run under the number has been counted, milliseconds.
        rejected_by_ms: Start of the latest lifetime that is known to reject the number,
            milliseconds; 0 if none is.
        until: Time at which they are not executed any more, and a run that one of them
            began is over unless its lease was renewed, seconds.
        addition: Number of this addition to the late starts, from 1.
        lost_run: `LostRun` that one of them may have begun at a later lifetime.
        unwanted: Whether the run was to be stopped.
    """

    task: str
    run: int
    requests: int
    instance: str
    born_ms: int
    rejected_by_ms: int
    until: float
    addition: int
    lost_run: LostRun
    unwanted: bool = False

    def to_wire(self, now):
        """Returns the `ttypes.LateStart` that tells an entry of it.

        Args:
            now: Time, seconds.
        """
        remaining_ms = int((self.renewable_until - now) * 1000) + 1
        return ttypes.LateStart(
            self.task,
            self.instance,
            remaining_ms,
            self.run,
            self.requests,
            self.born_ms,
            unwanted=self.unwanted,
        )

    @property
    def renewable_until(self):
        """Time at which a run is over whatever renewals are executed late, seconds."""
        return self.until + LATE_RENEWALS_S

    def is_settled_by(self, session):
        """Returns whether replies in a session show that no request starts the task.

        The lifetime of the session, or an earlier one, has executed them if it was
        there after their longest delay. It runs nothing that the take-over found.

        Args:
            session: `UpstreamSession`, None if there is none.
        """
        if session is None or not session.taken_over:
            return False
        sent_at = self.until - MAX_START_DELAY_S
        return not session.may_have_reached_other(sent_at + _MAX_EXECUTION_DELAY_S)


class LateStarts:
    """The tasks without a run of which a request to start one may be executed."""

    def __init__(self):
        # `LateStart` by the name of the task.
        self._starts = {}
        self._additions = 0
        # Names of the tasks whose runs the take-over under way has found.
        self._found = set()
        # (task, number) of each active or ended run listed at the take-over of the
        # present session. Its lifetime rejects these numbers.
        self._executed = set()
        # (task, number) of requests of earlier processes that entries have reported,
        # and the time until which they may be executed, seconds.
        self._told = {}
        # Time by which the leases of all closed sessions have ended, seconds.
        self._leased_until = 0.0

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
        return [start for start in self._starts.values() if start.addition > number]

    def is_rejected(self, task, session):
        """Returns whether the upstream rejects the only number a task may start under.

        Args:
            task: Name of the task.
            session: `UpstreamSession` with the upstream.
        """
        start = self._starts.get(task)
        if start is None or start.instance != session.instance:
            return False
        if (task, start.run) in self._executed:
            return True
        return start.rejected_by_ms == session.born_ms > 0

    def on_run_accepted(self, run):
        """Has a new run of a task bear the number of the earlier requests to start it.

        Args:
            run: `Run`.
        """
        start = self._starts.pop(run.task, None)
        if start is not None:
            run.run = start.run
            run.rejected_by_ms = start.rejected_by_ms
            run.earlier_requests = start.requests
            run.earlier_start_until = start.until

    def on_run_over(self, run, now):
        """Adds the task of a run that is over, if a request may still be executed.

        Args:
            run: `Run` with its `Proof`.
            now: Time, seconds.
        """
        until = run.late_start_until
        if not until or not allows_late_starts(run.proof):
            return
        session = run.session
        start = LateStart(
            run.task,
            run.run,
            run.open_requests,
            session.instance,
            max(session.born_ms, run.listed_by_ms),
            run.rejected_by_ms,
            until,
            self._additions + 1,
            LostRun(run.task, run.queue, run.declared_s, run.started_at),
            run.stopping,
        )
        if not self._may_be_active(start, session, now):
            return
        self._additions += 1
        self._starts[run.task] = start
        log.info(
            "late_start_possible",
            extra={
                "task": run.task,
                "run": run.run,
                "request_id": run.request_id,
                "upstream": run.session.instance,
                "requests": run.open_requests,
                "seconds": round(start.renewable_until - now, 3),
                "reason": run.proof.value,
            },
        )

    def on_listed(self, task, run, session, born_ms):
        """Records that a take-over has found a run, which one of the requests began.

        Args:
            task: Name of the task.
            run: Number of the run.
            session: `UpstreamSession` that takes the upstream over.
            born_ms: Start of the lifetime that lists the run, milliseconds.
        """
        if session.taken_over or session.born_ms not in (0, born_ms):
            return
        self._executed.add((task, run))
        start = self._starts.get(task)
        if start is None or start.run != run:
            return
        if start.instance == session.instance and 0 < start.born_ms < born_ms:
            self._found.add(task)

    def on_told(self, late_start, lost_run, session, now):
        """Adds requests of an earlier process, unless none of them is open any more.

        If this process has been told of them before, it knows better what became of
        them.

        Args:
            late_start: `ttypes.LateStart` of an entry that starts the task.
            lost_run: `LostRun` that one of them may have begun.
            session: `UpstreamSession` that has taken the upstream over.
            now: Time, seconds.

        Returns:
            bool: Whether each of them is known to have been executed.
        """
        task, run = lost_run.task, late_start.run or 0
        remaining_s = (late_start.remaining_ms or 0) / 1000.0
        remaining_s = min(remaining_s, MAX_LATE_RUN_S)
        if run <= 0 or remaining_s <= 0.0 or late_start.instance != session.instance:
            return False
        if task in self._starts or (task, run) in self._told:
            return False
        self._told[task, run] = now + remaining_s
        requests, born_ms = max(1, late_start.requests or 1), late_start.born_ms or 0
        rejected_by_ms = 0
        if (task, run) in self._executed and born_ms < session.born_ms:
            requests -= 1
            born_ms = rejected_by_ms = session.born_ms
        if not requests:
            return True
        self._additions += 1
        self._starts[task] = LateStart(
            task,
            run,
            requests,
            session.instance,
            born_ms,
            rejected_by_ms,
            now + remaining_s - LATE_RENEWALS_S,
            self._additions,
            lost_run,
        )
        log.info(
            "late_start_told",
            extra={
                "task": task,
                "run": run,
                "upstream": session.instance,
                "requests": requests,
                "seconds": round(remaining_s, 3),
            },
        )
        return False

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
            start.lost_run
            for start in self._starts.values()
            if start.instance == session.instance and start.born_ms < born_ms
        ]

    def on_taken_over(self, session):
        """Removes the tasks whose requests have been executed, or never will be.

        The runs that were found have been stopped. No other instance executes requests
        that name this one.

        Args:
            session: `UpstreamSession` that has taken the upstream over.
        """
        for task in self._found:
            start = self._starts.pop(task, None)
            if start is not None and start.requests > 1:
                self._starts[task] = replace(
                    start,
                    requests=start.requests - 1,
                    born_ms=session.born_ms,
                    rejected_by_ms=session.born_ms,
                )
        self._found.clear()
        self._keep(lambda start: start.instance == session.instance)

    def on_session_closed(self, session):
        """Forgets what the take-over of the session has found.

        Args:
            session: `UpstreamSession` that was closed, or None.
        """
        self._found.clear()
        self._executed.clear()
        if session is not None:
            self._leased_until = max(self._leased_until, session.all_ended_at)

    def forget_expired(self, session, now):
        """Removes the tasks that no request has started or can start any more.

        Args:
            session: `UpstreamSession`, or None.
            now: Time, seconds.
        """
        self._keep(lambda start: self._may_be_active(start, session, now))
        self._told = {key: until for key, until in self._told.items() if now < until}

    def _may_be_active(self, start, session, now):
        if now < start.until:
            return True
        if now >= start.renewable_until or start.is_settled_by(session):
            return False
        leased_until = self._leased_until
        if session is not None:
            leased_until = max(leased_until, session.all_ended_at)
        return now < leased_until + MAX_START_DELAY_S

    def _keep(self, is_kept):
        self._starts = {
            task: start for task, start in self._starts.items() if is_kept(start)
        }
