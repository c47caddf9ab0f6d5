"""
papayaward.coordination.run_activity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether a run of an executor may still be active, or begin.

This module alone answers no, and only with a `Proof`. A request without a reply, a
refused connection, an error status, a broken link and a report of another lifetime
prove nothing: the upstream may be running behind a path that fails, and may execute a
request seconds later.

A run has two parts that may be over at different times:

- what is active at the lifetime that confirmed it, which ends with its lease;
- the requests to start it without a reply. The next lifetime of the upstream may
  execute them whatever became of the lease, so only another instance in the upstream's
  place or the longest delay of a request settles them for good, the latter with the
  renewals that keep such a run active. A take-over, a listed end or an answered stop
  settles them at one lifetime: the run is over, but its task may start on this upstream
  only (see `late_starts`).
"""

import logging
from enum import Enum

from .upstream_requests import MAX_START_DELAY_S, Delivery, LossEvidence

__all__ = [
    "LOST",
    "Proof",
    "RunActivity",
    "may_be_executed_late",
    "allows_late_starts",
    "proof_of_end",
]

log = logging.getLogger(__name__)

LOST = "lost"
_NOT_RUN = "not_run:"
_UNREACHABLE = "unreachable"


class Proof(Enum):
    """What shows that a run is not active and will not begin. The list is closed.

    Each proof is about the lifetimes of the upstream up to the one that gave it, but
    for those of `_PROOFS_OF_ALL_LIFETIMES`.
    """

    # No request to start it was sent, or the upstream rejects each of them.
    NOT_STARTED = "it was not started"
    # The upstream has listed its end.
    LISTED_END = "the upstream listed its end"
    # Its lease has ended on the upstream's clock, and no start may be executed late.
    LEASE_ENDED = "its lease has ended"
    # A reply to a request of its own session came from a later lifetime.
    OTHER_LIFETIME = "another lifetime replied"
    # The same from another instance. No later lifetime executes its requests.
    OTHER_INSTANCE = "another instance replied"
    # A later session has stopped what ran on the upstream, and the lifetime that is
    # there rejects earlier requests.
    TAKEN_OVER = "a later session has taken over the upstream"
    # The longest delay of a request has passed as well as the lease.
    TOO_LATE = "a late start is no longer possible"


_PROOFS_OF_ALL_LIFETIMES = (Proof.OTHER_INSTANCE, Proof.TOO_LATE)


class RunActivity:
    """Ends the runs of one executor, each with a `Proof`.

    Args:
        runs: `Run` of each task; the executor changes this dict.
        finish: Function that takes a `Run`, its outcome and the current time.
    """

    def __init__(self, runs, finish):
        self._runs = runs
        self._finish = finish

    def on_listed_end(self, run, outcome, now):
        """Ends a run whose end the upstream has listed.

        Args:
            run: `Run`.
            outcome: Outcome that the upstream listed.
            now: Time, seconds.
        """
        self._end(run, Proof.LISTED_END, outcome, now)

    def on_not_started(self, run, reason, now):
        """Ends a run whose start was not sent, was rejected or has been settled.

        Args:
            run: `Run`.
            reason: Reason for the entry.
            now: Time, seconds.
        """
        self._end(run, Proof.NOT_STARTED, _NOT_RUN + reason, now)

    def on_session_closed(self, session, evidence, reason, now):
        """Handles that no more requests are sent in a session.

        Args:
            session: `UpstreamSession`, or None if there was none.
            evidence: `LossEvidence`.
            reason: Why it was closed, for the log.
            now: Time, seconds.
        """
        runs = [run for run in self._runs.values() if run.session is session]
        for run in runs:
            self._on_own_session_closed(run, evidence, now)
        undecided = sum(run.undecided for run in self._runs.values())
        waiting = sum(run.session_closed for run in self._runs.values()) - undecided
        log.info(
            "session_closed",
            extra={"reason": reason, "undecided": undecided, "leased": waiting},
        )

    def on_taken_over(self, session, now):
        """Ends the runs of earlier sessions: a later one has taken over the upstream.

        Args:
            session: `UpstreamSession` that has taken over whichever lifetime is there.
            now: Time, seconds.
        """
        for run in self._closed_runs():
            if run.session is not session:
                self._lose(run, Proof.TAKEN_OVER, now)

    def check(self, now):
        """Ends the runs of closed sessions that time has ended."""
        for run in self._closed_runs():
            proof = proof_of_end(run, now)
            if proof is not None:
                self._lose(run, proof, now)

    def may_start_late(self, now):
        """Returns whether the next lifetime may execute starts of the runs.

        Args:
            now: Time, seconds.
        """
        return any(
            run.undecided or now < run.late_start_until for run in self._runs.values()
        )

    def _on_own_session_closed(self, run, evidence, now):
        run.session_closed = True
        run.undecided = may_be_executed_late(run, run.session.may_have_reached_other)
        run.leased_until = run.session.all_ended_at
        if run.delivery is Delivery.NOT_DELIVERED:
            # A start that has not been sent by then never is.
            self.on_not_started(run, _UNREACHABLE, now)
            return
        proof = _proof_at_loss(run, evidence) or proof_of_end(run, now)
        if proof is not None:
            self._lose(run, proof, now)
        elif run.undecided:
            extra = {"task": run.task, "run": run.run, "request_id": run.request_id}
            log.info("start_undecided", extra=extra)

    def _closed_runs(self):
        return [run for run in self._runs.values() if run.session_closed]

    def _lose(self, run, proof, now):
        if run.ended:
            return
        extra = {
            "task": run.task,
            "run": run.run,
            "request_id": run.request_id,
            "delivery": run.delivery.value,
            "unanswered": run.unanswered,
            "reason": proof.value,
        }
        log.info("run_lost", extra=extra)
        self._end(run, proof, LOST, now)

    def _end(self, run, proof, outcome, now):
        if run.ended:
            return
        run.proof = proof
        self._finish(run, outcome, now)


def may_be_executed_late(run, may_have_reached_other):
    """Returns whether a request to start a run may still be executed.

    Args:
        run: `Run` whose session was closed.
        may_have_reached_other: Function that takes the time at which a request was
            sent or answered and returns whether another lifetime may have executed it.
    """
    if run.delivery is Delivery.NOT_DELIVERED:
        return False
    if run.late_requests:
        return True
    if run.identified:
        return False
    return may_have_reached_other(max(run.sent_at, run.started_at))


def allows_late_starts(proof):
    """Returns whether a later lifetime may execute requests despite a `Proof`.

    Args:
        proof: `Proof` that the run is over.
    """
    return proof not in _PROOFS_OF_ALL_LIFETIMES


def proof_of_end(run, now):
    """Returns the `Proof` that time has ended a run whose session was closed, or None.

    Args:
        run: `Run`; its `leased_until` includes the time to kill it.
        now: Time, seconds.
    """
    if now < run.leased_until:
        return None
    if not run.undecided:
        return Proof.LEASE_ENDED
    # A renewal may be executed late, too, and extend the lease of a late start.
    if now >= max(run.sent_at, run.leased_until) + MAX_START_DELAY_S:
        return Proof.TOO_LATE
    return None


def _proof_at_loss(run, evidence):
    """Returns the `Proof` that the loss of an instance ends a run, or None."""
    if evidence is LossEvidence.OTHER_INSTANCE:
        # Requests name the instance, so that no other one executes them.
        return Proof.OTHER_INSTANCE
    if evidence is LossEvidence.OTHER_LIFETIME and not run.undecided:
        return Proof.OTHER_LIFETIME
    return None
