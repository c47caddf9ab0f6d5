"""
papayaward.coordination.upstream_calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Single requests to one upstream instance, and what their replies show of it.

A reply counts only if it says that the request was executed, that its fencing token was
too low, or that another instance is there. Any other one is treated as no reply, and so
is a refused connection: the upstream may be running behind a path that refuses.
"""

import logging
from enum import Enum

import gevent

from .. import clock
from .fencing_token import FencingToken
from .lease_clock import LeaseClock
from .reply_tracker import ReplyTracker
from .upstream_requests import (
    ConnectionBroken,
    InstanceLoss,
    LossEvidence,
    NoReply,
    Refused,
    Unreachable,
)

__all__ = ["StopResult", "UpstreamCalls"]

log = logging.getLogger(__name__)

# Outcomes of replies to stops and polls that tell the upstream's state, or that it is
# another one. Any other reply means that nothing was done.
_TELLING_OUTCOMES = ("ok", "fenced", "other_instance")


class StopResult(Enum):
    """What became of a request to stop a run."""

    # The upstream has executed it, and rejects later requests to start the run.
    EXECUTED = "executed"
    NOT_EXECUTED = "not executed"
    # No more requests are sent to the instance.
    CLOSED = "closed"


class UpstreamCalls:
    """Sends requests to one upstream instance until it is lost.

    Args:
        upstream: Client of the upstream (see `upstream_requests`).
        state: `UpstreamState` of the instance.
        on_silent_changed: Function called when `silent` has changed.
        on_lost: Function that takes an `InstanceLoss`, called once when the instance is
            found to be lost.
        lowest_token: Lowest fencing token that may be used.
        is_up: Whether the instance is known to be up. If it is not, the lifetime is
            the first that replies.

    Attributes:
        state: `UpstreamState` of the instance.
        token: `FencingToken` of the requests.
        lease: `LeaseClock` of the instance.
        replies: `ReplyTracker` of the requests.
        born_ms: Start of the lifetime, milliseconds; 0 until it is known.
        is_up: Whether the instance has been known to be up.
        silent: Whether the upstream has stopped replying.
        closed: Whether no more requests may be sent.
    """

    def __init__(
        self, upstream, state, on_silent_changed, on_lost, lowest_token, is_up=True
    ):
        self.state = state
        self.born_ms = state.born_ms if is_up else 0
        self.is_up = is_up
        self.token = FencingToken(lowest_token)
        self.lease = LeaseClock()
        self.replies = ReplyTracker()
        self.silent = False
        self.closed = False
        self._upstream = upstream
        self._on_silent_changed = on_silent_changed
        self._on_lost = on_lost
        # Time at which the latest request was sent whose reply told the lifetime.
        self._identified_at = 0.0

    def may_have_reached_other(self, sent_at):
        """Returns whether another lifetime may have received a request.

        Args:
            sent_at: Time at which the request was sent, seconds.
        """
        return sent_at >= self._identified_at

    def start(self, request, attempt, delivery):
        """Sends one request to start a run.

        Args:
            request: `StartRequest`.
            attempt: Number of earlier attempts without a reply.
            delivery: `DeliveryTracker` of the start.

        Returns:
            str: `started`, `unreachable` if this request was not sent, `lost` if the
                reply shows that the instance is gone, or the outcome of the reply.

        Raises:
            NoReply: The upstream did not reply; the start may take effect later.
        """
        instance = self.state.instance
        try:
            reply, is_same_lifetime = self._call(
                lambda timeout_s: self._upstream.start(
                    instance, request, timeout_s, delivery.may_send
                ),
                attempt,
                may_refuse=True,
            )
        except Unreachable:
            return "unreachable"
        # Another lifetime may have executed the start, another instance has not.
        if not self._is_other_lifetime(reply) or reply.outcome == "other_instance":
            delivery.on_reply(reply.outcome == "ok", is_same_lifetime)
        if self._is_lost(reply):
            return "lost"
        if reply.outcome == "fenced":
            self.token.on_fenced(request.fencing_token)
        return "started" if reply.outcome == "ok" else reply.outcome

    def stop(self, task, run, attempt=0):
        """Sends one request to stop a run.

        Args:
            task: Name of the task.
            run: Number of the run.
            attempt: Number of earlier attempts without a reply.

        Returns:
            StopResult: What became of it.
        """
        if self.closed:
            return StopResult.CLOSED
        token = self.token.value
        try:
            reply, _ = self._call(
                lambda timeout_s: self._upstream.stop(
                    self.state.instance, task, run, token, timeout_s
                ),
                attempt,
            )
        except (NoReply, Unreachable) as error:
            extra = {"task": task, "run": run, "error": str(error)}
            log.info("stop_unanswered", extra=extra)
            return StopResult.NOT_EXECUTED
        if self._is_lost(reply):
            return StopResult.CLOSED
        if reply.outcome == "fenced":
            self.token.on_fenced(token)
            return StopResult.NOT_EXECUTED
        return StopResult.EXECUTED

    def poll(self, request, attempt=0, leased_until=None):
        """Sends one request to list the runs.

        Args:
            request: `PollRequest`.
            attempt: Number of earlier attempts without a reply.
            leased_until: Time at which its lease ends, seconds; None if it has none.
                It is not sent later: the next lifetime would accept the lease.

        Returns:
            UpstreamReply: The reply, with the outcome `ok` or `fenced`; None if there
                was none, or if no requests are sent any more.
        """
        if self.closed:
            # A lease that is renewed now would outlast the time that was told.
            return None

        def may_send():
            return leased_until is None or clock.now() < leased_until

        try:
            reply, _ = self._call(
                lambda timeout_s: self._upstream.poll(
                    self.state.instance, request, timeout_s, may_send
                ),
                attempt,
                request.wait_ms / 1000.0,
            )
        except (NoReply, Unreachable):
            return None
        if self._is_lost(reply):
            return None
        if reply.outcome == "fenced":
            self.token.on_fenced(request.fencing_token)
        return reply

    def loss(self, evidence, reason, now):
        """Returns the `InstanceLoss` if the instance is lost now.

        Args:
            evidence: `LossEvidence`.
            reason: How it was noticed, for the log.
            now: Time, seconds.
        """
        witnessed = self.replies.was_in_touch(now)
        at = self.replies.failed_at(now) if witnessed else now
        uncertainty_s = 0.0 if witnessed else self.replies.silence_s(at)
        return InstanceLoss(evidence, reason, at, uncertainty_s, witnessed)

    def lose(self, evidence, reason):
        """Reports the instance as lost, unless no requests may be sent any more.

        Args:
            evidence: As for `loss`.
            reason: As for `loss`.
        """
        if self.closed:
            return
        now = clock.now()
        loss = self.loss(evidence, reason, now)
        log.warning(
            "upstream_lost",
            extra={
                "upstream": self.state.instance,
                "reason": reason,
                "witnessed": loss.witnessed,
                **self.replies.log_fields(now),
            },
        )
        self._on_lost(loss)

    def _call(self, send, attempt=0, wait_s=0.0, may_refuse=False):
        """Sends a request and records whether and when it was answered.

        Args:
            send: Function that takes the time to wait for the reply, seconds, and
                returns the `UpstreamReply`.
            attempt: Number of earlier attempts without a reply.
            wait_s: Time for which the upstream was asked to wait, seconds.
            may_refuse: Whether to return a reply that nothing was done.

        Returns:
            tuple: The reply, and whether it is known to come from the session's
                lifetime.

        Raises:
            NoReply: There was no reply, or it was a refusal.
            Unreachable: No connection was made.
        """
        sent_at = clock.now()
        timeout_s = self.replies.timeout_s(attempt)
        try:
            reply = send(timeout_s + wait_s)
            if reply.outcome not in _TELLING_OUTCOMES and not may_refuse:
                raise Refused(f"the reply was {reply.outcome}")
        except (NoReply, Unreachable) as error:
            self._on_no_reply(error, clock.now())
            # A connection that fails at once would else be retried in a tight loop. The
            # first retry is not delayed: it shows whether connections are refused.
            if attempt:
                gevent.sleep(max(0.0, sent_at + timeout_s - clock.now()))
            raise
        if reply.outcome in ("unhealthy", "other_instance"):
            return reply, False
        now = clock.now()
        # A reply that comes after its time shows that the process could not run. It may
        # have sent the request after that.
        latest_sent_at = max(sent_at, now - timeout_s - wait_s)
        is_same_lifetime = self._on_reply(reply, sent_at, latest_sent_at, wait_s, now)
        return reply, is_same_lifetime

    def _on_no_reply(self, error, now):
        is_refused = isinstance(error, Unreachable)
        timed_out = not isinstance(error, (ConnectionBroken, Refused, Unreachable))
        self.replies.on_no_reply(now, timed_out, is_refused)
        # What is started while connections are refused could not be stopped.
        if is_refused or self.replies.is_silent(now):
            self._set_silent(True)

    def _on_reply(self, reply, sent_at, latest_sent_at, wait_s, now):
        """Returns whether a reply is known to come from the session's lifetime."""
        self.is_up = True
        if self._is_other_lifetime(reply):
            return False
        if wait_s:
            self.replies.on_delayed_reply(now)
        else:
            self.replies.on_reply(now - sent_at, now)
        self._set_silent(False)
        self.born_ms = self.born_ms or reply.born_ms
        is_same_lifetime = self._is_same_lifetime(reply, latest_sent_at)
        if is_same_lifetime:
            self._identified_at = max(self._identified_at, sent_at)
        self.lease.on_reply(reply.clock_ms, now)
        return is_same_lifetime

    def _set_silent(self, silent):
        if silent == self.silent:
            return
        self.silent = silent
        extra = {"upstream": self.state.instance}
        if silent:
            log.warning("upstream_silent", extra=extra)
        else:
            log.info("upstream_responding", extra=extra)
        self._on_silent_changed()

    def _is_lost(self, reply):
        """Returns whether a reply shows that the instance is gone."""
        if reply.outcome == "other_instance":
            reason = "another upstream instance replied"
            self.lose(LossEvidence.OTHER_INSTANCE, reason)
            return True
        if self._is_other_lifetime(reply):
            reason = "another lifetime of the upstream replied"
            self.lose(LossEvidence.OTHER_LIFETIME, reason)
            return True
        return False

    def _is_same_lifetime(self, reply, sent_at):
        """Returns whether a reply shows that the session's lifetime has sent it.

        Its reading of the upstream's clock must not have been taken into account yet.

        Args:
            reply: `UpstreamReply`.
            sent_at: Latest time at which its request was sent, seconds.
        """
        if not self.born_ms:
            return False
        if reply.born_ms:
            return reply.born_ms == self.born_ms
        return self.lease.continues(reply.clock_ms, sent_at)

    def _is_other_lifetime(self, reply):
        return self.born_ms and reply.born_ms and reply.born_ms != self.born_ms
