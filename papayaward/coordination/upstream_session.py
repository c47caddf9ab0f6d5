"""
papayaward.coordination.upstream_session
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Session with one upstream instance: take-over, lease renewals and polls for ends.
"""

import logging

import gevent

from .. import clock
from .run_starter import RunStarter
from .upstream_calls import StopResult, UpstreamCalls
from .upstream_requests import LossEvidence, PollRequest

__all__ = ["UpstreamSession"]

log = logging.getLogger(__name__)

_RENEW_INTERVAL_S = 0.2
# Longest wait of a poll for an end. It is shorter while replies are lost, because the
# loss of the reply to a poll is noticed only when its wait is over.
_END_WAIT_MS = 1000
_LOSSY_END_WAIT_MS = 100
_RETRY_S = 0.05
# Time between two polls of an upstream that is expected back.
_RETURN_POLL_S = 0.1
# Time without a reply after which an upstream that has no lease is lost.
_UNLEASED_LOSS_S = 1.0
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
        on_ends: Function that takes a list of `RunEnd`, the start of the lifetime that
            has listed them, milliseconds, and the current time.
        on_progress: The same for the progress in percent by (task, run).
        on_change: Function called when `ready` may have changed.
        on_lost: Function that takes an `InstanceLoss`, called when the lease has ended
            without replies, or another lifetime or instance has replied.
        lowest_token: Lowest fencing token that the session may use.
        is_up: Whether the instance is known to be up, as opposed to expected back; the
            lifetime is then the first that replies.
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
        is_up=True,
    ):
        self._calls = UpstreamCalls(
            upstream, state, on_change, self._on_instance_lost, lowest_token, is_up
        )
        self._starter = RunStarter(
            self._calls, self._poll_once, self._lease_end, lambda: self._last_end
        )
        self._lease_until = lease_until
        self._has_runs = has_runs
        self._on_ends = on_ends
        self._on_progress = on_progress
        self._on_change = on_change
        self._on_lost = on_lost
        self._last_end = 0
        self._acked_end = 0
        self._taken_over = False
        self._greenlets = [gevent.spawn(self._take_over)]

    @property
    def ready(self):
        """Whether tasks may be started."""
        return self._taken_over and not self._calls.closed and not self._calls.silent

    @property
    def next_token(self):
        """Lowest fencing token that is above all tokens of this session."""
        return self._calls.token.value + 1

    @property
    def instance(self):
        """Identifier of the upstream instance."""
        return self._calls.state.instance

    @property
    def taken_over(self):
        """Whether earlier starts take no effect any more and their runs have ended."""
        return self._taken_over

    @property
    def born_ms(self):
        """Start of the upstream's lifetime, milliseconds; 0 until it is known."""
        return self._calls.born_ms

    @property
    def is_up(self):
        """Whether the upstream has been known to be up during this session."""
        return self._calls.is_up

    @property
    def leased_until(self):
        """Local time by which every lease that was sent has expired, seconds."""
        return self._calls.lease.until

    @property
    def all_ended_at(self):
        """Local time by which every run that was started has ended, seconds."""
        return self.leased_until + _KILL_DELAY_S

    @property
    def silent(self):
        """Whether the upstream has stopped replying."""
        return self._calls.silent

    def is_refused(self, now):
        """Returns whether the upstream refuses connections and was up until then.

        Args:
            now: Time, seconds.
        """
        return self.is_up and self.silent and self._calls.replies.is_refused(now)

    def may_have_reached_other(self, sent_at):
        """Returns whether another lifetime may have received a request.

        Args:
            sent_at: Time at which the request was sent, seconds.
        """
        return self._calls.may_have_reached_other(sent_at)

    def loss(self, evidence, reason, now):
        """Returns the `InstanceLoss` if the instance is lost now.

        Args:
            evidence: `LossEvidence`.
            reason: How it was noticed, for the log.
            now: Time, seconds.
        """
        return self._calls.loss(evidence, reason, now)

    def close(self):
        """Stops sending requests."""
        self._calls.closed = True
        gevent.killall(self._greenlets, block=False)

    def start(
        self,
        task,
        run,
        spec,
        is_wanted,
        on_delivery=lambda delivery: None,
        on_unanswered=lambda count: None,
        on_identified=lambda: None,
        has_earlier_requests=False,
        refusal=lambda: "",
    ):
        """Starts a run.

        After a request without a reply the upstream is asked whether it has the run.
        If not, the request is sent again with the same number, which starts no second
        run.

        Args:
            task: Name of the task.
            run: Number of the run.
            spec: Specification of the job, opaque text.
            is_wanted: Function that returns whether the run is still wanted.
            on_delivery: Function that takes the `Delivery` of the start whenever it
                changes.
            on_unanswered: Function that takes the number of its requests without a
                reply whenever it changes, and again when the latest of them has got
                none in time.
            on_identified: Function called when the lifetime of this session is known to
                have begun the run.
            has_earlier_requests: Whether earlier requests under the number may still be
                executed. The task may start under this number only then.
            refusal: Function that returns why no request to start the run may be sent
                now, empty if one may. A start that is wanted is withdrawn then.

        Returns:
            tuple: `started`, `ended` or the reason why the run did not start, and the
                number of the run.
        """
        return self._starter.start(
            task,
            run,
            spec,
            is_wanted,
            on_delivery,
            on_unanswered,
            on_identified,
            has_earlier_requests,
            refusal,
        )

    def stop(self, task, run, is_needed=lambda: True):
        """Stops a run; its end is reported once a poll lists it.

        The upstream rejects a start of the run that arrives later.

        Args:
            task: Name of the task.
            run: Number of the run.
            is_needed: Function that returns whether the run may still be active.
        """
        attempt = 0
        while is_needed():
            result = self._calls.stop(task, run, attempt)
            if result is not StopResult.NOT_EXECUTED:
                return
            attempt += 1

    def check(self, now):
        """Reports the instance as lost if it does not reply and its lease has ended.

        Args:
            now: Time, seconds.
        """
        replies = self._calls.replies
        if not self.is_up or not replies.is_failing() or now <= self.all_ended_at:
            return
        # Without a lease, one request without a reply does not show a loss.
        has_lease = self._taken_over and self._has_runs()
        if has_lease or replies.failing_s(now) > _UNLEASED_LOSS_S:
            reason = "no reply until the lease expired"
            self._calls.lose(LossEvidence.SILENT, reason)

    def fence_off_sent_requests(self):
        """Has each lifetime reject what was sent so far once it receives a request."""
        self._calls.token.raise_above_sent()

    def _lease_end(self, now):
        """Returns the time at which a lease that is sent now has to end, seconds.

        While no request is answered, the end stays the same, so that the lease of a
        silent upstream does not grow with each request.
        """
        return self._lease_until(now) - self._calls.replies.failing_s(now)

    def _take_over(self):
        """Fences off earlier processes, and stops the runs that they started."""
        reply = self._poll_until_answered(PollRequest(self._calls.token.value, 0))
        self._calls.token.raise_to(reply.clock_ms)
        self._poll_until_accepted()
        self._calls.token.raise_above_accepted()
        reply = self._poll_until_accepted()
        while reply.running:
            for task, run in reply.running:
                log.info("run_found_at_take_over", extra={"task": task, "run": run})
                self._calls.stop(task, run)
            gevent.sleep(_RETRY_S)
            reply = self._poll_until_accepted()
        log.info(
            "upstream_taken",
            extra={
                "upstream": self._calls.state.instance,
                "fencing_token": self._calls.token.value,
            },
        )
        self._taken_over = True
        self._greenlets.append(gevent.spawn(self._renew))
        self._greenlets.append(gevent.spawn(self._poll))
        self._on_change()

    def _poll_until_accepted(self):
        while True:
            request = PollRequest(self._calls.token.value, self._last_end)
            reply = self._poll_until_answered(request)
            if reply.outcome == "ok":
                return reply
            gevent.sleep(_RETRY_S)

    def _poll_until_answered(self, request):
        while True:
            reply = self._poll_once(request)
            if reply is not None:
                return reply
            gevent.sleep(_RETRY_S if self._calls.is_up else _RETURN_POLL_S)
            self.check(clock.now())

    def _poll_once(self, request, attempt=0, leased_until=None):
        reply = self._calls.poll(request, attempt, leased_until)
        if reply is not None and reply.outcome == "ok":
            now = clock.now()
            self._handle_ends(reply, now)
            if reply.running:
                self._on_progress(reply.running, reply.born_ms, now)
        return reply

    def _handle_ends(self, reply, now):
        new_ends = [end for end in reply.ends if end.number > self._last_end]
        if new_ends:
            self._last_end = new_ends[-1].number
            self._on_ends(new_ends, reply.born_ms, now)

    def _renew(self):
        attempt = 0
        while not self._calls.closed:
            gevent.sleep(self._renew_delay_s(clock.now()))
            now = clock.now()
            until = self._lease_end(now)
            has_lease = self._has_runs() and until > now
            if has_lease or self._calls.replies.is_failing():
                # The lease of a silent upstream is not renewed: the state of its runs
                # is unknown, and a restart elsewhere must wait for the lease to expire.
                is_renewed = has_lease and not self._calls.silent
                lease_ms = self._calls.lease.lease_ms(until) if is_renewed else None
                request = PollRequest(self._calls.token.value, self._last_end, lease_ms)
                leased_until = until if is_renewed else None
                reply = self._poll_once(request, attempt, leased_until)
                attempt = attempt + 1 if reply is None else 0
            self.check(clock.now())

    def _renew_delay_s(self, now):
        """Returns the time until the next renewal, seconds.

        If replies are missing, it comes sooner, and not much later than the end of the
        lease, so that the loss of the upstream is noticed without delay.
        """
        if not self._calls.replies.is_failing():
            return _RENEW_INTERVAL_S
        until_end_s = self.all_ended_at - now
        return min(_RETRY_S, until_end_s + 0.001) if until_end_s > 0 else _RETRY_S

    def _poll(self):
        attempt = 0
        while not self._calls.closed:
            acked = self._last_end
            wait_ms = self._end_wait_ms(clock.now())
            request = PollRequest(self._calls.token.value, acked, None, wait_ms)
            reply = self._poll_once(request, attempt)
            attempt = attempt + 1 if reply is None else 0
            if reply is None:
                gevent.sleep(_RETRY_S if attempt > 1 else 0.0)
            elif reply.outcome == "ok":
                self._acked_end = acked

    def _end_wait_ms(self, now):
        """Returns how long the upstream may wait for an end before it replies.

        An idle upstream is polled as well: the connection breaks when it crashes, long
        before a start would show it.
        """
        if not self._has_runs() and self._acked_end != self._last_end:
            return 0
        return _LOSSY_END_WAIT_MS if self._calls.replies.is_lossy(now) else _END_WAIT_MS

    def _on_instance_lost(self, loss):
        self.close()
        self._on_lost(loss)
