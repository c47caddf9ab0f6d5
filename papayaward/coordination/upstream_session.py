"""
papayaward.coordination.upstream_session
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Orders to one life of an upstream: starts, stops, the lease, and the ends of runs.
"""

import logging

import gevent
from gevent.event import Event
from gevent.lock import Semaphore

from .. import clock
from .lease_clock import LeaseClock
from .upstream_requests import NoReply, PollRequest, StartRequest, Unreachable

__all__ = ["UpstreamSession"]

log = logging.getLogger(__name__)

_RENEW_INTERVAL_S = 0.2
_END_WAIT_MS = 1000
_RETRY_S = 0.05
_START_TRIES = 6
# Time that an upstream takes to kill its runs at the end of a lease, and a margin.
_KILL_S = 0.1
# Looks in a row without a reply after which no more tasks are started.
_SILENT_LOOKS = 2


class UpstreamSession:
    """Talks to one life of an upstream until it is closed.

    Args:
        upstream: Object that carries the orders (see `upstream_requests`).
        state: `UpstreamState` of this life.
        lease_until: Function of the present time that returns the time at which the
            lease has to end, seconds.
        has_runs: Function that returns whether anything is started there.
        on_ends: Function that takes a list of `RunEnd` and the present time.
        on_progress: Function that takes the progress in percent by (task, run) and
            the present time.
        on_change: Function called when `ready` may have changed.
        on_lost: Function called when nothing can run there any more.
    """

    def __init__(
        self,
        upstream,
        state,
        lease_until,
        has_runs,
        on_ends,
        on_progress,
        on_change,
        on_lost,
    ):
        self.state = state
        self._upstream = upstream
        self._lease_until = lease_until
        self._has_runs = has_runs
        self._on_ends = on_ends
        self._on_progress = on_progress
        self._on_change = on_change
        self._on_lost = on_lost
        self._lease = LeaseClock()
        self._token = 0
        self._ends_seen = 0
        self._ends_told = 0
        self._silent_looks = 0
        self._clean = False
        self._closed = False
        self._settling = Semaphore()
        self._work = Event()
        self._tasks = [gevent.spawn(self._open)]

    @property
    def ready(self):
        """Whether tasks may be started."""
        return self._clean and not self._closed and self._silent_looks < _SILENT_LOOKS

    @property
    def all_ended_at(self):
        """Own time at which everything that was started has surely ended, seconds."""
        return self._lease.until + _KILL_S

    def close(self):
        """Sends no more orders."""
        self._closed = True
        gevent.killall(self._tasks, block=False)

    def wake(self):
        """Notes that there is something to watch."""
        self._work.set()

    def start(self, task, run, spec, wanted):
        """Starts a run and returns what became of it.

        Args:
            task: Name of the task.
            run: Number of the run.
            spec: Text of the job.
            wanted: Function that returns whether the run is still wanted.

        Returns:
            tuple: `started`, `ended` or the reason why it did not start, and the
                number of the run, which rises when the upstream has seen a later one.
        """
        for _ in range(_START_TRIES):
            now = clock.now()
            until = self._lease_until(now)
            if self._closed or not wanted() or until <= now:
                return "cancelled", run
            token = self._token
            order = StartRequest(task, run, spec, self._lease.lease_ms(until), token)
            try:
                reply = self._upstream.start(self.state.instance, order)
            except Unreachable:
                self._lose("connection refused")
                return "unreachable", run
            except NoReply as error:
                log.info(
                    "start_unanswered",
                    extra={"task": task, "run": run, "error": str(error)},
                )
                fate = self._settle(task, run)
                if fate != "never":
                    return fate, run
                continue
            self._lease.on_reply(reply.clock_ms, clock.now())
            if reply.outcome == "ok":
                self._work.set()
                return "started", run
            if reply.outcome == "old_run":
                run += 1
            elif reply.outcome == "fenced":
                if self._token == token:
                    self._raise_token()
            elif reply.outcome == "other_instance":
                self._lose("another life of the upstream replied")
                return "unreachable", run
            elif reply.outcome != "late":
                return reply.outcome, run
        return "rejected", run

    def stop(self, task, run):
        """Stops a run; its end is reported when the upstream lists it."""
        while not self._closed:
            try:
                reply = self._upstream.stop(self.state.instance, task, run, self._token)
            except NoReply:
                continue
            except Unreachable:
                self._lose("connection refused")
                return
            self._lease.on_reply(reply.clock_ms, clock.now())
            self._work.set()
            if reply.outcome != "fenced":
                return
            self._raise_token()

    def _open(self):
        """Takes the upstream over from whoever gave it orders before."""
        reply = self._look(PollRequest(0, 0))
        # Above the token of every predecessor: each took the clock's reading and
        # raised it by less than the time that went by.
        self._token = max(1, reply.clock_ms)
        reply = self._look(PollRequest(self._token, 0))
        while reply.running or reply.outcome != "ok":
            if reply.outcome == "fenced":
                self._raise_token()
            for task, run in reply.running:
                self.stop(task, run)
            gevent.sleep(_RETRY_S)
            reply = self._look(PollRequest(self._token, self._ends_seen))
        log.info(
            "upstream_taken",
            extra={"upstream": self.state.instance, "fencing_token": self._token},
        )
        self._clean = True
        self._tasks.append(gevent.spawn(self._renew))
        self._tasks.append(gevent.spawn(self._poll))
        self._on_change()

    def _look(self, order):
        """Repeats a look until it is answered."""
        while True:
            reply = self._try_look(order)
            if reply is not None:
                return reply
            gevent.sleep(_RETRY_S)

    def _try_look(self, order):
        try:
            reply = self._upstream.poll(self.state.instance, order)
        except NoReply:
            self._silent_looks += 1
            if self._silent_looks == _SILENT_LOOKS:
                log.warning("upstream_silent", extra={"upstream": self.state.instance})
                self._on_change()
            return None
        except Unreachable:
            self._lose("connection refused")
            return None
        now = clock.now()
        if reply.outcome == "other_instance" or self._is_other_life(reply):
            self._lose("another life of the upstream replied")
            return None
        self._lease.on_reply(reply.clock_ms, now)
        if self._silent_looks >= _SILENT_LOOKS:
            log.info("upstream_answers", extra={"upstream": self.state.instance})
            self._silent_looks = 0
            self._on_change()
        self._silent_looks = 0
        if reply.outcome == "ok":
            self._take_ends(reply.ends, now)
            if reply.running:
                self._on_progress(reply.running, now)
        return reply

    def _is_other_life(self, reply):
        known = self.state.born_ms
        return known and reply.born_ms and reply.born_ms != known

    def _take_ends(self, ends, now):
        fresh = [end for end in ends if end.number > self._ends_seen]
        if fresh:
            self._ends_seen = fresh[-1].number
            self._on_ends(fresh, now)
            self._work.set()

    def _renew(self):
        while not self._closed:
            gevent.sleep(_RENEW_INTERVAL_S)
            now = clock.now()
            if not self._has_runs():
                continue
            until = self._lease_until(now)
            if until > now:
                # A silent upstream gets no longer lease: what runs there would have
                # to be waited for, and cannot be known.
                silent = self._silent_looks >= _SILENT_LOOKS
                lease_ms = None if silent else self._lease.lease_ms(until)
                order = PollRequest(self._token, self._ends_seen, lease_ms)
                reply = self._try_look(order)
                if reply is not None and reply.outcome == "fenced":
                    self._raise_token()
            if self._silent_looks and clock.now() > self.all_ended_at:
                self._lose("silent until the lease ended")

    def _poll(self):
        while not self._closed:
            if not self._has_runs() and self._ends_told == self._ends_seen:
                self._work.clear()
                self._work.wait()
            # Nothing more can end there, so that the reply is not worth waiting for.
            wait_ms = _END_WAIT_MS if self._has_runs() else 0
            seen = self._ends_seen
            reply = self._try_look(PollRequest(self._token, seen, None, wait_ms))
            if reply is None:
                gevent.sleep(_RETRY_S)
            elif reply.outcome == "ok":
                self._ends_told = seen
            elif reply.outcome == "fenced":
                self._raise_token()

    def _raise_token(self):
        self._token = max(self._token + 1, self._lease.clock_ms or 0)

    def _settle(self, task, run):
        """Finds out whether an unanswered start took effect.

        A raised token keeps the order from being carried out later, so that what the
        next look lists is final.

        Returns:
            str: `started`, `ended` or `never`.
        """
        with self._settling:
            self._token += 1
            while not self._closed:
                token = self._token
                ends = {}
                reply = self._look_for_ends(token, ends)
                if reply is None:
                    gevent.sleep(_RETRY_S)
                elif reply.outcome == "fenced":
                    self._raise_token()
                elif (task, run) in reply.running:
                    return "started"
                else:
                    return "ended" if (task, run) in ends else "never"
        return "ended"

    def _look_for_ends(self, token, ends):
        reply = self._try_look(PollRequest(token, self._ends_seen))
        if reply is not None:
            ends.update({(end.task, end.run): end for end in reply.ends})
        return reply

    def _lose(self, reason):
        if not self._closed:
            log.warning(
                "upstream_lost",
                extra={"upstream": self.state.instance, "reason": reason},
            )
            self.close()
            self._on_lost()
