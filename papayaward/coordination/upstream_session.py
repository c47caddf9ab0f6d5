"""
papayaward.coordination.upstream_session
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests to one upstream instance: starts, stops, lease renewals and polls for ends.
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
_START_ATTEMPTS = 6
# Time that an upstream needs to kill its runs when the lease expires, with a margin.
_KILL_DELAY_S = 0.1
# Consecutive polls without a reply after which no more tasks are started.
_MAX_FAILED_POLLS = 2


class UpstreamSession:
    """Session with one upstream instance.

    Args:
        upstream: Client of the upstream (see `upstream_requests`).
        state: `UpstreamState` of the instance.
        lease_until: Function of the current time that returns the time at which the
            lease has to end, seconds.
        has_runs: Function that returns whether the executor has runs on the upstream.
        on_ends: Function that takes a list of `RunEnd` and the current time.
        on_progress: Function that takes the progress in percent by (task, run) and
            the current time.
        on_change: Function called when `ready` may have changed.
        on_lost: Function called when no run can be active on the instance any more.
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
        self._last_end = 0
        self._acked_end = 0
        self._failed_polls = 0
        self._taken_over = False
        self._closed = False
        self._resolve_lock = Semaphore()
        self._wakeup = Event()
        self._greenlets = [gevent.spawn(self._take_over)]

    @property
    def ready(self):
        """Whether tasks may be started."""
        return (
            self._taken_over
            and not self._closed
            and self._failed_polls < _MAX_FAILED_POLLS
        )

    @property
    def all_ended_at(self):
        """Local time by which every run that was started has ended, seconds."""
        return self._lease.until + _KILL_DELAY_S

    def close(self):
        """Stops sending requests."""
        self._closed = True
        gevent.killall(self._greenlets, block=False)

    def wake(self):
        """Wakes the poll loop."""
        self._wakeup.set()

    def start(self, task, run, spec, is_wanted):
        """Starts a run.

        Args:
            task: Name of the task.
            run: Number of the run.
            spec: Specification of the job, opaque text.
            is_wanted: Function that returns whether the run is still wanted.

        Returns:
            tuple: `started`, `ended` or the reason why the run did not start, and the
                number of the run, which is raised if the upstream has already received
                the same or a higher number for the task.
        """
        for _ in range(_START_ATTEMPTS):
            now = clock.now()
            until = self._lease_until(now)
            if self._closed or not is_wanted() or until <= now:
                return "cancelled", run
            token = self._token
            request = StartRequest(task, run, spec, self._lease.lease_ms(until), token)
            try:
                reply = self._upstream.start(self.state.instance, request)
            except Unreachable:
                self._on_instance_lost("connection refused")
                return "unreachable", run
            except NoReply as error:
                log.info(
                    "start_unanswered",
                    extra={"task": task, "run": run, "error": str(error)},
                )
                result = self._resolve_start(task, run)
                if result != "never":
                    return result, run
                continue
            self._lease.on_reply(reply.clock_ms, clock.now())
            if reply.outcome == "ok":
                self._wakeup.set()
                return "started", run
            if reply.outcome == "old_run":
                run += 1
            elif reply.outcome == "fenced":
                if self._token == token:
                    self._raise_token()
            elif reply.outcome == "other_instance":
                self._on_instance_lost("another upstream instance replied")
                return "unreachable", run
            elif reply.outcome != "late":
                return reply.outcome, run
        return "rejected", run

    def stop(self, task, run):
        """Stops a run; its end is reported once a poll lists it."""
        while not self._closed:
            try:
                reply = self._upstream.stop(self.state.instance, task, run, self._token)
            except NoReply:
                continue
            except Unreachable:
                self._on_instance_lost("connection refused")
                return
            self._lease.on_reply(reply.clock_ms, clock.now())
            self._wakeup.set()
            if reply.outcome != "fenced":
                return
            self._raise_token()

    def _take_over(self):
        """Fences off earlier processes, and stops the runs that they started."""
        reply = self._poll_until_answered(PollRequest(0, 0))
        # Higher than the token of every earlier process: each began with a reading of
        # this clock and raised its token more slowly than the clock advances.
        self._token = max(1, reply.clock_ms)
        reply = self._poll_until_answered(PollRequest(self._token, 0))
        while reply.running or reply.outcome != "ok":
            if reply.outcome == "fenced":
                self._raise_token()
            for task, run in reply.running:
                self.stop(task, run)
            gevent.sleep(_RETRY_S)
            reply = self._poll_until_answered(PollRequest(self._token, self._last_end))
        log.info(
            "upstream_taken",
            extra={
                "upstream": self.state.instance,
                "fencing_token": self._token,
            },
        )
        self._taken_over = True
        self._greenlets.append(gevent.spawn(self._renew))
        self._greenlets.append(gevent.spawn(self._poll))
        self._on_change()

    def _poll_until_answered(self, request):
        while True:
            reply = self._try_poll(request)
            if reply is not None:
                return reply
            gevent.sleep(_RETRY_S)

    def _try_poll(self, request):
        try:
            reply = self._upstream.poll(self.state.instance, request)
        except NoReply:
            self._failed_polls += 1
            if self._failed_polls == _MAX_FAILED_POLLS:
                log.warning("upstream_silent", extra={"upstream": self.state.instance})
                self._on_change()
            return None
        except Unreachable:
            self._on_instance_lost("connection refused")
            return None
        now = clock.now()
        if reply.outcome == "other_instance" or self._is_other_instance(reply):
            self._on_instance_lost("another upstream instance replied")
            return None
        self._lease.on_reply(reply.clock_ms, now)
        if self._failed_polls >= _MAX_FAILED_POLLS:
            log.info("upstream_responding", extra={"upstream": self.state.instance})
            self._failed_polls = 0
            self._on_change()
        self._failed_polls = 0
        if reply.outcome == "ok":
            self._handle_ends(reply.ends, now)
            if reply.running:
                self._on_progress(reply.running, now)
        return reply

    def _is_other_instance(self, reply):
        born_ms = self.state.born_ms
        return born_ms and reply.born_ms and reply.born_ms != born_ms

    def _handle_ends(self, ends, now):
        new_ends = [end for end in ends if end.number > self._last_end]
        if new_ends:
            self._last_end = new_ends[-1].number
            self._on_ends(new_ends, now)
            self._wakeup.set()

    def _renew(self):
        while not self._closed:
            gevent.sleep(_RENEW_INTERVAL_S)
            now = clock.now()
            if not self._has_runs():
                continue
            until = self._lease_until(now)
            if until > now:
                # The lease of a silent upstream is not renewed: the state of its runs
                # is unknown, and a restart elsewhere must wait for the lease to expire.
                is_silent = self._failed_polls >= _MAX_FAILED_POLLS
                lease_ms = None if is_silent else self._lease.lease_ms(until)
                request = PollRequest(self._token, self._last_end, lease_ms)
                reply = self._try_poll(request)
                if reply is not None and reply.outcome == "fenced":
                    self._raise_token()
            if self._failed_polls and clock.now() > self.all_ended_at:
                self._on_instance_lost("no reply until the lease expired")

    def _poll(self):
        while not self._closed:
            if not self._has_runs() and self._acked_end == self._last_end:
                self._wakeup.clear()
                self._wakeup.wait()
            # Without runs there is no end to wait for, so the upstream replies at once.
            wait_ms = _END_WAIT_MS if self._has_runs() else 0
            acked = self._last_end
            reply = self._try_poll(PollRequest(self._token, acked, None, wait_ms))
            if reply is None:
                gevent.sleep(_RETRY_S)
            elif reply.outcome == "ok":
                self._acked_end = acked
            elif reply.outcome == "fenced":
                self._raise_token()

    def _raise_token(self):
        self._token = max(self._token + 1, self._lease.clock_ms or 0)

    def _resolve_start(self, task, run):
        """Determines whether an unanswered start took effect.

        With the raised token, the upstream rejects the request if it arrives later,
        so the state that the next poll reports is final.

        Returns:
            str: `started`, `ended` or `never`.
        """
        with self._resolve_lock:
            self._token += 1
            while not self._closed:
                token = self._token
                ends = {}
                reply = self._poll_for_ends(token, ends)
                if reply is None:
                    gevent.sleep(_RETRY_S)
                elif reply.outcome == "fenced":
                    self._raise_token()
                elif (task, run) in reply.running:
                    return "started"
                else:
                    return "ended" if (task, run) in ends else "never"
        return "ended"

    def _poll_for_ends(self, token, ends):
        reply = self._try_poll(PollRequest(token, self._last_end))
        if reply is not None:
            ends.update({(end.task, end.run): end for end in reply.ends})
        return reply

    def _on_instance_lost(self, reason):
        if not self._closed:
            log.warning(
                "upstream_lost",
                extra={"upstream": self.state.instance, "reason": reason},
            )
            self.close()
            self._on_lost()
