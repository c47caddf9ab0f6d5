"""
papayaward.coordination.run_requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts and stops a run at its session, and records the replies in the run.
"""

import logging

import gevent

from .. import clock
from .run_starter import LATE_START
from .upstream_requests import Delivery

__all__ = ["start_run", "stop_run"]

log = logging.getLogger(__name__)


def start_run(run, refusal, on_settled, on_not_started, on_unanswered):
    """Starts a run and waits until its start is settled.

    Args:
        run: `Run`.
        refusal: Function that returns why no request to start the run may be sent now,
            empty if one may.
        on_settled: Function that takes the run's `Owner`, called once the run is known
            to have started.
        on_not_started: Function that takes the run, the outcome and the time, called
            if the upstream did not start the run.
        on_unanswered: Function that takes the run's `Owner`, called when a request had
            no reply and is sent again.
    """
    session = run.session

    def is_wanted():
        return not run.stopping and not run.ended

    def count_unanswered(count):
        is_repeated = 1 < count > run.unanswered
        if count and count >= run.unanswered:
            run.sent_at = clock.now()
        run.unanswered = count
        if is_repeated:
            on_unanswered(run.owner)

    def on_identified():
        run.identified = True

    result, number = session.start(
        run.task,
        run.run,
        run.spec,
        is_wanted,
        run.on_start_answered,
        count_unanswered,
        on_identified,
        run.earlier_requests > 0,
        refusal,
    )
    run.run = number
    if run.ended or run.session_closed:
        return
    if result == "started":
        run.running = True
        run.delivery = Delivery.STARTED
        run.started_at = clock.now()
        on_settled(run.owner)
        if run.stopping:
            session.stop(run.task, run.run, lambda: not run.ended)
        return
    log.info(
        "start_failed",
        extra={"task": run.task, "request_id": run.request_id, "reason": result},
    )
    # An end that did not end this run is that of an earlier submission's run with the
    # same number, so the upstream rejected the start.
    if result == LATE_START:
        run.rejected_by_ms = session.born_ms
    on_not_started(run, result, clock.now())


def stop_run(run, reason, now, on_unsettled):
    """Requests the stop of a run, which continues until its end is known.

    Args:
        run: `Run` that is not being stopped yet.
        reason: Reason for the log.
        now: Time, seconds.
        on_unsettled: Function called if the start may still be executed.
    """
    run.stop_requested_at = now
    log.info(
        "run_stopped",
        extra={
            "task": run.task,
            "run": run.run,
            "request_id": run.request_id,
            "reason": reason,
        },
    )
    if run.is_unsettled:
        on_unsettled()
    if run.running and not run.session_closed:
        gevent.spawn(run.session.stop, run.task, run.run, lambda: not run.ended)
