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

__all__ = ["RunStarter"]

log = logging.getLogger(__name__)

_START_ATTEMPTS = 6
_RETRY_S = 0.05


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

    def start(
        self,
        task,
        run,
        spec,
        is_wanted,
        on_delivery,
        on_unanswered,
        on_identified,
        has_earlier_starts=False,
    ):
        """Starts a run; see `UpstreamSession.start`."""
        unanswered = 0
        expires_ms = 0
        result = "rejected"
        must_ask = has_earlier_starts
        delivery = DeliveryTracker(
            on_delivery,
            on_unanswered,
            on_identified,
            lambda: not self._calls.closed and is_wanted(),
        )
        for _ in range(_START_ATTEMPTS):
            if self._calls.closed or not is_wanted():
                result = "cancelled"
                break
            if must_ask:
                state = self._ask(task, run, is_wanted)
                if state is None or (state == "started" and not unanswered):
                    continue
                must_ask = False
                # The end of an earlier submission's run may be listed.
                if state == "started" or (state == "ended" and not is_wanted()):
                    return state, run
            request = self._request(task, run, spec, clock.now())
            # While the upstream was asked, another poll may have listed the end.
            if request is None or not is_wanted():
                result = "cancelled"
                break
            try:
                outcome = self._calls.start(request, unanswered, delivery)
            except NoReply as error:
                unanswered += 1
                must_ask = True
                expires_ms = max(expires_ms, request.lease_ms)
                log.info(
                    "start_unanswered",
                    extra={"task": task, "run": run, "error": str(error)},
                )
                continue
            if outcome == "started":
                return outcome, run
            if outcome == "old_run":
                state = self._state_of(task, run) if unanswered else "never"
                # The end of an earlier submission's run may be listed under the number.
                if state == "started" or (state == "ended" and not is_wanted()):
                    return state, run
                run += 1
                unanswered = 0
            elif outcome not in ("fenced", "late"):
                result = outcome
                break
        if unanswered:
            settled = self._settle(task, run, expires_ms)
            if settled != "never":
                return settled, run
        return result, run

    def _request(self, task, run, spec, now):
        """Returns the `StartRequest`, None if its lease would end at once."""
        until = self._lease_end(now)
        if until <= now:
            return None
        lease_ms = self._calls.lease.lease_ms(until)
        return StartRequest(task, run, spec, lease_ms, self._calls.token.value)

    def _settle(self, task, run, expires_ms):
        """Ensures that a start without a reply takes no effect later.

        Once the upstream has answered the request to stop the run, or its clock has
        passed the end of the lease that the start carried, it rejects the start. So the
        state that the next poll reports is final.

        Returns:
            str: `started` if the run is active or being stopped, `ended`, `never`, or
                `closed` if no more requests are sent, so that its state is not known.
        """
        state = "never"
        attempt = 0
        is_final = False
        while state == "never" and not is_final:
            result = self._calls.stop(task, run, attempt)
            is_final = (
                result is StopResult.EXECUTED or self._calls.lease.clock_ms > expires_ms
            )
            state = self._state_of(task, run)
            attempt += 1
        return state

    def _ask(self, task, run, is_wanted):
        """Polls until the upstream replies and returns the state of a run.

        A poll without a reply is not an attempt to start the run: where half of the
        replies are lost, most attempts would be polls.

        Returns:
            str: `started`, `ended`, `never`, or None if an earlier run of the task has
                not ended yet, or if there is no use in a reply any more.
        """
        attempt = 0
        while not self._calls.closed and is_wanted():
            request = PollRequest(self._calls.token.value, self._last_end())
            reply = self._poll(request, attempt)
            if reply is None:
                attempt += 1
                continue
            state = _listed_state(reply, task, run)
            if reply.outcome != "ok" or state == "earlier":
                gevent.sleep(_RETRY_S)
                state = None
            return state
        return None

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
                state = _listed_state(reply, task, run)
                return "never" if state == "earlier" else state
        return "closed"


def _listed_state(reply, task, run):
    """Returns the state of a run that a reply to a poll lists.

    Args:
        reply: `UpstreamReply`.
        task: Name of the task.
        run: Number of the run.

    Returns:
        str: `started`, `ended`, `earlier` if only another run of the task is active, or
            `never`.
    """
    if (task, run) in reply.running:
        return "started"
    if any((end.task, end.run) == (task, run) for end in reply.ends):
        return "ended"
    if any(other == task for other, _ in reply.running):
        return "earlier"
    return "never"
