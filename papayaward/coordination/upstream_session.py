"""
papayaward.coordination.upstream_session
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests to one upstream instance: starts, stops, lease renewals and polls for ends.
"""

import logging

import gevent

from .. import clock
from .delivery_tracker import DeliveryTracker
from .fencing_token import FencingToken
from .lease_clock import LeaseClock
from .reply_tracker import ReplyTracker
from .upstream_requests import (
    ConnectionBroken,
    InstanceLoss,
    NoReply,
    PollRequest,
    Refused,
    StartRequest,
    Unreachable,
)

__all__ = ["UpstreamSession"]

log = logging.getLogger(__name__)

# Outcomes of replies to stops and polls that tell the upstream's state, or that it is
# another one. Any other reply means that nothing was done.
_TELLING_OUTCOMES = ("ok", "fenced", "other_instance")
_RENEW_INTERVAL_S = 0.2
# Longest wait of a poll for an end. It is shorter while replies are lost, because the
# loss of the reply to a poll is noticed only when its wait is over.
_END_WAIT_MS = 1000
_LOSSY_END_WAIT_MS = 100
_RETRY_S = 0.05
_START_ATTEMPTS = 6
# Longest time from the first connection that breaks to the refusal of another one for
# which both are taken for the same crash. Connections that break for longer show an
# upstream that is alive, and whose runs may end unnoticed.
_MAX_WITNESSED_S = 0.3
# Time that an upstream needs to kill its runs when the lease expires, with a margin.
_KILL_DELAY_S = 0.1


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
        on_lost: Function that takes an `InstanceLoss`, called when no run can be active
            on the instance any more.
        lowest_token: Lowest fencing token that the session may use.
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
        lowest_token=1,
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
        self._token = FencingToken(lowest_token)
        self._last_end = 0
        self._acked_end = 0
        self._replies = ReplyTracker()
        self._silent = False
        # Time at which the latest request was sent whose reply told the lifetime.
        self._identified_at = 0.0
        self._taken_over = False
        self._closed = False
        self._greenlets = [gevent.spawn(self._take_over)]

    @property
    def ready(self):
        """Whether tasks may be started."""
        return self._taken_over and not self._closed and not self._silent

    @property
    def next_token(self):
        """Lowest fencing token that is above all tokens of this session."""
        return self._token.value + 1

    @property
    def taken_over(self):
        """Whether earlier starts take no effect any more and their runs have ended."""
        return self._taken_over

    @property
    def all_ended_at(self):
        """Local time by which every run that was started has ended, seconds."""
        return self._lease.until + _KILL_DELAY_S

    def may_have_reached_other(self, sent_at):
        """Returns whether another lifetime may have received a request.

        Args:
            sent_at: Time at which the request was sent, seconds.
        """
        return sent_at >= self._identified_at

    def close(self):
        """Stops sending requests."""
        self._closed = True
        gevent.killall(self._greenlets, block=False)

    def start(self, task, run, spec, is_wanted, on_delivery=lambda delivery: None):
        """Starts a run.

        A request without a reply is sent again with the same number, which starts no
        second run.

        Args:
            task: Name of the task.
            run: Number of the run.
            spec: Specification of the job, opaque text.
            is_wanted: Function that returns whether the run is still wanted.
            on_delivery: Function that takes the `Delivery` of the start whenever it
                changes.

        Returns:
            tuple: `started`, `ended` or the reason why the run did not start, and the
                number of the run, which is raised if the upstream has already received
                the same or a higher number for the task.
        """
        unanswered = 0
        expires_ms = 0
        result = "rejected"
        delivery = DeliveryTracker(on_delivery, lambda: not self._closed)
        for _ in range(_START_ATTEMPTS):
            if self._closed or not is_wanted():
                result = "cancelled"
                break
            request = self._start_request(task, run, spec, clock.now())
            if request is None:
                result = "cancelled"
                break
            try:
                outcome = self._try_start(request, unanswered, delivery)
            except NoReply as error:
                unanswered += 1
                expires_ms = max(expires_ms, request.lease_ms)
                log.info(
                    "start_unanswered",
                    extra={"task": task, "run": run, "error": str(error)},
                )
                continue
            if outcome in ("started", "unreachable"):
                return outcome, run
            if outcome == "old_run":
                if unanswered and self._has_ended(task, run, is_wanted):
                    return "ended", run
                run += 1
                unanswered = 0
            elif outcome == "fenced":
                self._token.on_fenced(request.fencing_token)
            elif outcome != "late":
                result = outcome
                break
        if unanswered:
            settled = self._settle_start(task, run, expires_ms)
            if settled != "never":
                return settled, run
        return result, run

    def _start_request(self, task, run, spec, now):
        """Returns the `StartRequest`, None if its lease would end at once."""
        until = self._lease_end(now)
        if until <= now:
            return None
        lease_ms = self._lease.lease_ms(until)
        return StartRequest(task, run, spec, lease_ms, self._token.value)

    def _try_start(self, request, attempt, delivery):
        """Sends one start request and returns its outcome.

        Returns:
            str: `started`, `unreachable` or the outcome of the upstream's reply.

        Raises:
            NoReply: The upstream did not reply; the start may take effect later.
        """
        instance = self.state.instance
        try:
            reply = self._call(
                lambda timeout_s: self._upstream.start(
                    instance, request, timeout_s, delivery.may_send
                ),
                attempt,
                may_refuse=True,
            )
        except Unreachable:
            self._on_instance_lost("connection refused")
            return "unreachable"
        # Another lifetime may have executed the start, another instance has not.
        if not self._is_other_lifetime(reply) or reply.outcome == "other_instance":
            delivery.on_reply(reply.outcome == "ok")
        if self._is_lost(reply):
            return "unreachable"
        return "started" if reply.outcome == "ok" else reply.outcome

    def stop(self, task, run, is_needed=lambda: True):
        """Stops a run; its end is reported once a poll lists it.

        The upstream rejects a start of the run that arrives later.

        Args:
            task: Name of the task.
            run: Number of the run.
            is_needed: Function that returns whether the run may still be active.
        """
        attempt = 0
        while is_needed() and not self._try_stop(task, run, attempt):
            attempt += 1

    def _try_stop(self, task, run, attempt):
        """Sends one request to stop a run.

        Returns:
            bool: Whether the upstream answered it, or the session is closed.
        """
        if self._closed:
            return True
        token = self._token.value
        try:
            reply = self._call(
                lambda timeout_s: self._upstream.stop(
                    self.state.instance, task, run, token, timeout_s
                ),
                attempt,
            )
        except NoReply:
            return False
        except Unreachable:
            self._on_instance_lost("connection refused")
            return True
        if self._is_lost(reply):
            return True
        if reply.outcome == "fenced":
            self._token.on_fenced(token)
            return False
        return True

    def _call(self, send, attempt=0, wait_s=0.0, may_refuse=False):
        """Sends a request and records whether and when it was answered.

        A refusal is no answer unless the caller asks for it: the state of the upstream
        remains unknown, and its lease was not renewed.

        Args:
            send: Function that takes the time to wait for the reply, seconds, and
                returns the `UpstreamReply`.
            attempt: Number of earlier attempts without a reply.
            wait_s: Time for which the upstream was asked to wait, seconds.
            may_refuse: Whether to return a reply that nothing was done.

        Raises:
            NoReply: There was no reply, or it was a refusal.
            Unreachable: No connection was made.
        """
        sent_at = clock.now()
        timeout_s = self._replies.timeout_s(attempt)
        try:
            reply = send(timeout_s + wait_s)
            if reply.outcome not in _TELLING_OUTCOMES and not may_refuse:
                raise Refused(f"the reply was {reply.outcome}")
        except NoReply as error:
            now = clock.now()
            timed_out = not isinstance(error, (ConnectionBroken, Refused))
            self._replies.on_no_reply(now, timed_out)
            self._set_silent(self._replies.is_silent(now))
            # A connection that fails at once would else be retried in a tight loop. The
            # first retry is not delayed: it shows whether the upstream has crashed.
            if attempt:
                gevent.sleep(max(0.0, sent_at + timeout_s - now))
            raise
        if reply.outcome not in ("unhealthy", "other_instance"):
            self._on_reply(reply, sent_at, wait_s, clock.now())
        return reply

    def _on_reply(self, reply, sent_at, wait_s, now):
        if wait_s:
            self._replies.on_delayed_reply(now)
        else:
            self._replies.on_reply(now - sent_at, now)
        self._set_silent(False)
        if self._is_other_lifetime(reply):
            return
        if reply.born_ms:
            self._identified_at = max(self._identified_at, sent_at)
        self._lease.on_reply(reply.clock_ms, now)

    def _set_silent(self, silent):
        if silent == self._silent:
            return
        self._silent = silent
        extra = {"upstream": self.state.instance}
        if silent:
            log.warning("upstream_silent", extra=extra)
        else:
            log.info("upstream_responding", extra=extra)
        self._on_change()

    def _lease_end(self, now):
        """Returns the time at which a lease that is sent now has to end, seconds.

        While no request is answered, the end stays the same, so that the lease of a
        silent upstream does not grow with each request.
        """
        return self._lease_until(now) - self._replies.failing_s(now)

    def _take_over(self):
        """Fences off earlier processes, and stops the runs that they started."""
        reply = self._poll_until_answered(PollRequest(0, 0))
        self._token.raise_to(reply.clock_ms)
        self._poll_until_accepted()
        self._token.raise_above_accepted()
        reply = self._poll_until_accepted()
        while reply.running:
            for task, run in reply.running:
                self._try_stop(task, run, 0)
            gevent.sleep(_RETRY_S)
            reply = self._poll_until_accepted()
        log.info(
            "upstream_taken",
            extra={
                "upstream": self.state.instance,
                "fencing_token": self._token.value,
            },
        )
        self._taken_over = True
        self._greenlets.append(gevent.spawn(self._renew))
        self._greenlets.append(gevent.spawn(self._poll))
        self._on_change()

    def _poll_until_accepted(self):
        while True:
            request = PollRequest(self._token.value, self._last_end)
            reply = self._poll_until_answered(request)
            if reply.outcome == "ok":
                return reply
            gevent.sleep(_RETRY_S)

    def _poll_until_answered(self, request):
        while True:
            reply = self._try_poll(request)
            if reply is not None:
                return reply
            gevent.sleep(_RETRY_S)

    def _try_poll(self, request, attempt=0):
        try:
            reply = self._call(
                lambda timeout_s: self._upstream.poll(
                    self.state.instance, request, timeout_s
                ),
                attempt,
                request.wait_ms / 1000.0,
            )
        except NoReply:
            return None
        except Unreachable:
            self._on_instance_lost("connection refused")
            return None
        if self._is_lost(reply):
            return None
        if reply.outcome == "ok":
            now = clock.now()
            self._handle_ends(reply.ends, now)
            if reply.running:
                self._on_progress(reply.running, now)
        elif reply.outcome == "fenced":
            self._token.on_fenced(request.fencing_token)
        return reply

    def _is_lost(self, reply):
        """Returns whether a reply shows that the instance is gone."""
        if reply.outcome == "other_instance":
            self._on_instance_lost("another upstream instance replied")
            return True
        if self._is_other_lifetime(reply):
            reason = "another lifetime of the upstream replied"
            self._on_instance_lost(reason, replaced=True)
            return True
        return False

    def _is_other_lifetime(self, reply):
        born_ms = self.state.born_ms
        return born_ms and reply.born_ms and reply.born_ms != born_ms

    def _handle_ends(self, ends, now):
        new_ends = [end for end in ends if end.number > self._last_end]
        if new_ends:
            self._last_end = new_ends[-1].number
            self._on_ends(new_ends, now)

    def _renew(self):
        attempt = 0
        while not self._closed:
            gevent.sleep(self._renew_delay_s(clock.now()))
            now = clock.now()
            if not self._has_runs():
                continue
            until = self._lease_end(now)
            if until > now:
                # The lease of a silent upstream is not renewed: the state of its runs
                # is unknown, and a restart elsewhere must wait for the lease to expire.
                lease_ms = None if self._silent else self._lease.lease_ms(until)
                request = PollRequest(self._token.value, self._last_end, lease_ms)
                reply = self._try_poll(request, attempt)
                attempt = attempt + 1 if reply is None else 0
            if self._replies.is_failing() and clock.now() > self.all_ended_at:
                self._on_instance_lost("no reply until the lease expired", False)

    def _renew_delay_s(self, now):
        """Returns the time until the next renewal, seconds.

        If replies are missing, it comes sooner, and not much later than the end of the
        lease, so that the loss of the upstream is noticed without delay.
        """
        if not self._replies.is_failing():
            return _RENEW_INTERVAL_S
        until_end_s = self.all_ended_at - now
        return min(_RETRY_S, until_end_s + 0.001) if until_end_s > 0 else _RETRY_S

    def _poll(self):
        attempt = 0
        while not self._closed:
            acked = self._last_end
            wait_ms = self._end_wait_ms(clock.now())
            request = PollRequest(self._token.value, acked, None, wait_ms)
            reply = self._try_poll(request, attempt)
            attempt = attempt + 1 if reply is None else 0
            if reply is None:
                gevent.sleep(_RETRY_S if attempt > 1 else 0.0)
            elif reply.outcome == "ok":
                self._acked_end = acked
            elif reply.outcome != "fenced":
                gevent.sleep(_RETRY_S)

    def _end_wait_ms(self, now):
        """Returns how long the upstream may wait for an end before it replies.

        An idle upstream is polled as well: the connection breaks when it crashes, long
        before a start would show it.
        """
        if not self._has_runs() and self._acked_end != self._last_end:
            return 0
        return _LOSSY_END_WAIT_MS if self._replies.is_lossy(now) else _END_WAIT_MS

    def _has_ended(self, task, run, is_wanted):
        """Returns whether a run whose start was not answered has already ended."""
        return self._state_of(task, run) == "ended" or not is_wanted()

    def _settle_start(self, task, run, expires_ms):
        """Ensures that a start without a reply takes no effect later.

        Once the upstream has answered the request to stop the run, or its clock has
        passed the end of the lease that the start carried, it rejects the start. So the
        state that the next poll reports is final.

        Returns:
            str: `started` if the run is active or being stopped, `ended` or `never`.
        """
        state = "never"
        attempt = 0
        is_final = False
        while state == "never" and not is_final:
            is_final = self._try_stop(task, run, attempt)
            is_final = is_final or self._lease.clock_ms > expires_ms
            state = self._state_of(task, run)
            attempt += 1
        return state

    def _state_of(self, task, run):
        """Polls until the upstream replies and returns the state of a run.

        Returns:
            str: `started`, `ended`, also if this session is closed, or `never`.
        """
        while not self._closed:
            reply = self._try_poll(PollRequest(self._token.value, self._last_end))
            if reply is None:
                gevent.sleep(_RETRY_S)
            elif reply.outcome == "fenced":
                continue
            elif (task, run) in reply.running:
                return "started"
            else:
                ended = any((end.task, end.run) == (task, run) for end in reply.ends)
                return "ended" if ended else "never"
        return "ended"

    def loss(self, reason, now, is_gone=True, replaced=False):
        """Returns the `InstanceLoss` if the instance is lost now.

        Args:
            reason: How it was noticed.
            now: Time, seconds.
            is_gone: Whether the instance is known to be gone, as opposed to out of
                reach.
            replaced: See `InstanceLoss`.
        """
        in_touch = self._replies.failing_s(now) < _MAX_WITNESSED_S
        witnessed = is_gone and in_touch and not self._replies.timed_out
        at = self._replies.failed_at(now) if witnessed else now
        uncertainty_s = 0.0 if witnessed else self._replies.silence_s(at)
        return InstanceLoss(reason, at, uncertainty_s, witnessed, replaced)

    def _on_instance_lost(self, reason, is_gone=True, replaced=False):
        if not self._closed:
            now = clock.now()
            loss = self.loss(reason, now, is_gone, replaced)
            log.warning(
                "upstream_lost",
                extra={
                    "upstream": self.state.instance,
                    "reason": reason,
                    "witnessed": loss.witnessed,
                    **self._replies.log_fields(now),
                },
            )
            self.close()
            self._on_lost(loss)
