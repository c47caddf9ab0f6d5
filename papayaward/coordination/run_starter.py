"""
papayaward.coordination.run_starter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts runs on an upstream whose replies may be lost.
"""

import logging

import gevent

from .. import clock
from .delivery_tracker import DeliveryTracker
from .upstream_calls import StopResult
from .upstream_requests import NoReply, PollRequest, StartRequest

__all__ = ["LATE_START", "OLD_RUN", "RunStarter"]

log = logging.getLogger(__name__)

# Reason why a task does not start: a request to start it under the number that the
# upstream rejects may still be executed by the next lifetime.
LATE_START = "late_start"
# Reason why a run does not start: the upstream has ended its number, or a higher one.
# The entry starts the task under the next number, so that it knows under which one a
# request may be open when this process dies.
OLD_RUN = "old_run"
# Outcomes after which the next request, with a newer token or lease, may be accepted.
_PASSING_OUTCOMES = ("fenced", "late")
# States of a start that is settled and has not begun a run (see `RunStarter._settle`).
_NOT_STARTED = ("never", "rejected")
# Number of requests without a reply after which the next ones are sent less often.
_QUICK_ATTEMPTS = 6
_SLOW_RETRY_S = 0.2
_RETRY_S = 0.05
# Time for which a start without a reply waits for the poll that may list its run.
_ASK_TIMEOUT_S = 0.02


class RunStarter:
    """Starts runs, and settles starts without a reply.

    Args:
        calls: `UpstreamCalls`.
        poll: Function that takes a `PollRequest` and the number of earlier attempts
            without a reply, handles the runs and ends that the reply lists and returns
            the `UpstreamReply`, None if there was none.
        lease_end: Function of the current time that returns the time at which a lease
            that is sent now has to end, seconds.
        last_end: Function that returns the number of the last end that was reported.
    """

    def __init__(self, calls, poll, lease_end, last_end):
        self._calls = calls
        self._poll = poll
        self._lease_end = lease_end
        self._last_end = last_end
        # Greenlet of the latest poll for runs whose start had no reply.
        self._asked = None

    def start(
        self,
        task,
        run,
        spec,
        is_wanted,
        on_delivery,
        on_unanswered,
        on_identified,
        has_earlier_requests=False,
        refusal=lambda: "",
    ):
        """Starts a run; see `UpstreamSession.start`."""
        unanswered = rejections = 0
        expires_ms = 0
        leased_until = 0.0

        def may_send():
            return not self._calls.closed and is_wanted() and not refusal()

        def may_send_request():
            # The process may have been stopped since the lease was determined. The next
            # lifetime would accept it.
            return may_send() and clock.now() < leased_until

        delivery = DeliveryTracker(
            on_delivery, on_unanswered, on_identified, may_send_request
        )
        while True:
            if unanswered:
                state = self._wait_and_ask(task, run, unanswered, may_send)
                # The end of an earlier submission's run may be listed.
                if state == "started" or (state == "ended" and not is_wanted()):
                    return state, run
            leased_until = self._lease_end(clock.now())
            # While the upstream was asked, another poll may have listed the end.
            if not may_send_request():
                is_open = is_wanted() and not self._calls.closed
                reason = refusal() if is_open else ""
                if reason:
                    requests = delivery.unanswered
                    return self._withdraw(task, run, requests, expires_ms, reason)
                return self._give_up(task, run, unanswered, expires_ms, "cancelled")
            request = self._request(task, run, spec, leased_until)
            outcome = self._send(request, unanswered, delivery)
            if outcome is None:
                unanswered += 1
                expires_ms = max(expires_ms, request.lease_ms)
            elif outcome == "started":
                return outcome, run
            elif outcome == OLD_RUN:
                state = self._state_of(task, run) if unanswered else "never"
                # The end of an earlier submission's run may be listed under the number.
                if state == "started" or (state == "ended" and not is_wanted()):
                    return state, run
                # The next lifetime could execute requests under two numbers.
                has_open_requests = unanswered or has_earlier_requests
                return LATE_START if has_open_requests else OLD_RUN, run
            elif outcome in _PASSING_OUTCOMES and rejections < _QUICK_ATTEMPTS:
                rejections += 1
            elif unanswered and outcome != "invalid":
                # The task may start here only, and under another number the next
                # lifetime could execute both requests.
                gevent.sleep(_RETRY_S)
            else:
                return self._give_up(task, run, unanswered, expires_ms, outcome)

    def _send(self, request, attempt, delivery):
        """Sends one request; returns the outcome, None if there was no reply."""
        try:
            return self._calls.start(request, attempt, delivery)
        except NoReply as error:
            delivery.on_no_reply()
            extra = {"task": request.task, "run": request.run, "error": str(error)}
            log.info("start_unanswered", extra=extra)
            return None

    def _give_up(self, task, run, unanswered, expires_ms, result):
        """Settles a start that is not wanted any more or was rejected for good.

        Returns:
            tuple: As for `start`; the outcome is the result if the run has not begun.
        """
        if unanswered:
            settled = self._settle(task, run, expires_ms)
            if settled not in _NOT_STARTED:
                return settled, run
        return result, run

    def _withdraw(self, task, run, unanswered, expires_ms, reason):
        """Settles a start that is wanted and may not be sent any more.

        A run that an earlier request has begun goes on. If the upstream has stopped the
        number instead, only a later lifetime may execute an earlier request.

        Returns:
            tuple: As for `start`; the outcome is `late_start` in that case, and the
                reason if the upstream may still accept the number.
        """
        log.info(
            "start_withdrawn",
            extra={
                "task": task,
                "run": run,
                "unanswered": unanswered,
                "reason": reason,
            },
        )
        if not unanswered:
            return reason, run
        if self._state_of(task, run) == "started":
            return "started", run
        settled = self._settle(task, run, expires_ms)
        if settled == "rejected":
            return LATE_START, run
        return reason if settled == "never" else settled, run

    def _request(self, task, run, spec, until):
        lease_ms = self._calls.lease.lease_ms(until)
        return StartRequest(task, run, spec, lease_ms, self._calls.token.value)

    def _settle(self, task, run, expires_ms):
        """Ensures that a start without a reply takes no effect later.

        Once the upstream has answered the request to stop the run, or its clock has
        passed the end of the lease that the start carried, it rejects the start. So the
        state that the next poll reports is final.

        Returns:
            str: `started` if the run is active or being stopped, `ended`, `rejected` if
                the upstream has stopped the number before a request arrived, `never` if
                the lease of each request has ended, or `closed` if no more requests are
                sent, so that its state is not known.
        """
        state = "never"
        attempt = 0
        is_stopped = is_expired = False
        while state == "never" and not is_stopped and not is_expired:
            is_stopped = self._calls.stop(task, run, attempt) is StopResult.EXECUTED
            is_expired = self._calls.lease.clock_ms > expires_ms
            state = self._state_of(task, run)
            attempt += 1
        return "rejected" if state == "never" and is_stopped else state

    def _wait_and_ask(self, task, run, unanswered, may_send):
        """Polls before a request to start a run is repeated; returns as `_ask`.

        While the upstream is silent, its session polls it. What is started then could
        not be stopped.
        """
        if unanswered >= _QUICK_ATTEMPTS:
            gevent.sleep(_SLOW_RETRY_S)
        while self._calls.silent and may_send():
            gevent.sleep(_RETRY_S)
        return self._ask(task, run) if may_send() else ""

    def _ask(self, task, run):
        """Polls once and returns the state of a run whose start had no reply.

        The next request to start it does not wait for a poll that is not answered soon:
        where replies are lost, that would cost more than a request too many. Starts
        without a reply share a poll that is under way, since each request without a
        reply costs connections.

        Returns:
            str: `started`, `ended`, `never`, or empty if there was no reply in time.
        """
        if self._asked is None or self._asked.ready():
            request = PollRequest(self._calls.token.value, self._last_end())
            self._asked = gevent.spawn(self._poll, request)
        asked = self._asked
        asked.join(_ASK_TIMEOUT_S)
        reply = asked.value
        if reply is None or reply.outcome != "ok":
            return ""
        return _listed_state(reply, task, run)

    def _state_of(self, task, run):
        """Polls until the upstream replies and returns the state of a run.

        Returns:
            str: `started`, `ended`, `never`, or `closed` if no more requests are sent.
        """
        while not self._calls.closed:
            token = self._calls.token.value
            reply = self._poll(PollRequest(token, self._last_end()))
            if reply is None:
                gevent.sleep(_RETRY_S)
            elif reply.outcome == "ok":
                return _listed_state(reply, task, run)
        return "closed"


def _listed_state(reply, task, run):
    """Returns the state of a run that a reply to a poll lists.

    Args:
        reply: `UpstreamReply`.
        task: Name of the task.
        run: Number of the run.

    Returns:
        str: `started`, `ended` or `never`.
    """
    if (task, run) in reply.running:
        return "started"
    ended = any((end.task, end.run) == (task, run) for end in reply.ends)
    return "ended" if ended else "never"
