"""
tests.test_run_activity
~~~~~~~~~~~~~~~~~~~~~~~

What proves that a run is not active and will not begin.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.leased_runs import Run
from papayaward.coordination.run_activity import Proof, RunActivity
from papayaward.coordination.upstream_requests import (
    MAX_START_DELAY_S,
    Delivery,
    LossEvidence,
)
from papayaward.protocol.jobs import Resources

IDENTIFIED_AT = 10.0
LEASED_UNTIL = 11.0
# A time at which the lease has not ended yet.
NOW = 10.5
_TASK = "j.0.0.0"


def _session():
    return SimpleNamespace(
        all_ended_at=LEASED_UNTIL,
        may_have_reached_other=lambda at: at >= IDENTIFIED_AT,
    )


class RunActivityTest(TestCase):
    def setUp(self):
        super().setUp()
        self.session = _session()
        self.runs = {}
        self.ends = []
        self.activity = RunActivity(self.runs, self.finish)

    def finish(self, run, outcome, now):
        del self.runs[run.task]
        self.ends.append(outcome)

    def add(self, delivery=Delivery.STARTED, sent_at=9.0, **values):
        """Adds a run, by default one that this lifetime has confirmed."""
        run = Run(_TASK, 1, "", Resources(), None, "r", "q", 0, 1.0, 1.0, sent_at)
        run.session, run.delivery, run.sent_at = self.session, delivery, sent_at
        for name, value in values.items():
            setattr(run, name, value)
        self.runs[_TASK] = run
        return run

    def close(self, evidence, now=NOW):
        self.activity.on_session_closed(self.session, evidence, "test", now)

    def close_each(self, *evidences, now=NOW, **run):
        """Returns the proof of the end of a run for each evidence of a loss."""
        proofs = []
        for evidence in evidences:
            added = self.add(**run)
            self.close(evidence, now)
            proofs.append(added.proof)
            self.runs.clear()
        return proofs

    def test_start_without_a_reply_may_begin_whatever_showed_the_loss(self):
        """Guards against a second run while the next lifetime executes the start."""
        start = {"delivery": Delivery.UNANSWERED, "unanswered": 1}
        evidences = (
            LossEvidence.SILENT,
            LossEvidence.OTHER_LIFETIME,
            LossEvidence.REPORTED,
            LossEvidence.UNUSED,
        )
        proofs = self.close_each(*evidences, now=LEASED_UNTIL + 1.0, **start)
        self.assertEqual([None] * 4, proofs)

    def test_confirmed_start_with_an_earlier_request_without_a_reply_may_begin(self):
        """Guards against a late first request that the next lifetime executes."""
        run = {"unanswered": 1, "identified": True, "now": LEASED_UNTIL}
        self.assertEqual([None], self.close_each(LossEvidence.SILENT, **run))

    def test_listed_run_may_be_that_of_an_earlier_request(self):
        """Guards against a request that counts as executed and is executed later.

        A job that is submitted again has the same numbers of runs.
        """
        run = self.add(Delivery.UNANSWERED, sent_at=NOW, unanswered=1)
        run.earlier_start_until = NOW + 1.0
        run.on_listed()
        self.assertEqual(NOW + MAX_START_DELAY_S, run.late_start_until)

    def test_confirmed_run_is_active_until_its_lease_ends(self):
        """Guards against a second run if the upstream goes on behind its path."""
        run = self.add()
        self.close(LossEvidence.REPORTED)
        self.activity.check(LEASED_UNTIL - 0.01)
        self.assertFalse(run.ended)
        self.activity.check(LEASED_UNTIL)
        self.assertEqual(Proof.LEASE_ENDED, run.proof)
        self.assertEqual(["lost"], self.ends)

    def test_closing_a_session_alone_ends_no_confirmed_run(self):
        """Guards against a report or a decision of ours that counts as an end."""
        evidences = (LossEvidence.REPORTED, LossEvidence.UNUSED)
        self.assertEqual([None, None], self.close_each(*evidences))

    def test_run_that_another_lifetime_may_have_confirmed_may_begin(self):
        """Guards against a second run beside that of the lifetime which confirmed."""
        evidences = (LossEvidence.SILENT, LossEvidence.OTHER_LIFETIME)
        at_end = {"now": LEASED_UNTIL, "sent_at": IDENTIFIED_AT + 0.1}
        self.assertEqual([None, None], self.close_each(*evidences, **at_end))
        proofs = [Proof.LEASE_ENDED, Proof.OTHER_LIFETIME]
        at_end["identified"] = True
        self.assertEqual(proofs, self.close_each(*evidences, **at_end))
        at_end = {"now": LEASED_UNTIL, "sent_at": IDENTIFIED_AT - 1.0}
        self.assertEqual(proofs, self.close_each(*evidences, **at_end))

    def test_start_that_was_answered_after_the_lifetime_was_seen_may_begin(self):
        """Guards against a late start that the next lifetime has confirmed."""
        run = {"started_at": IDENTIFIED_AT + 0.1, "now": LEASED_UNTIL}
        self.assertEqual([None], self.close_each(LossEvidence.SILENT, **run))

    def test_no_run_may_begin_when_another_instance_has_replied(self):
        """Guards against tasks that wait for an upstream that never returns."""
        start = {"delivery": Delivery.UNANSWERED, "unanswered": 2}
        proofs = self.close_each(LossEvidence.OTHER_INSTANCE, **start)
        self.assertEqual([Proof.OTHER_INSTANCE], proofs)

    def test_reply_of_another_instance_ends_no_run_of_an_earlier_session(self):
        """Guards against a second run if the instance that was lost is the one there.

        The later session was opened for an instance that has only reported.
        """
        run = self.add(delivery=Delivery.UNANSWERED, unanswered=1)
        self.close(LossEvidence.REPORTED)
        later = _session()
        for evidence in (LossEvidence.OTHER_INSTANCE, LossEvidence.OTHER_LIFETIME):
            self.activity.on_session_closed(later, evidence, "test", NOW)
        self.assertFalse(run.ended)

    def test_take_over_ends_the_runs_of_earlier_sessions_only(self):
        """Guards against tasks that wait although nothing can begin any more."""
        run = self.add(delivery=Delivery.UNANSWERED, unanswered=1)
        self.activity.on_taken_over(self.session, NOW)
        self.close(LossEvidence.SILENT, LEASED_UNTIL)
        self.activity.on_taken_over(self.session, NOW)
        self.assertFalse(run.ended)
        self.activity.on_taken_over(_session(), NOW)
        self.assertEqual(Proof.TAKEN_OVER, run.proof)

    def test_start_that_was_not_sent_has_not_run(self):
        """Guards against an untrue answer that a job may have run."""
        run = {"delivery": Delivery.NOT_DELIVERED}
        proofs = self.close_each(LossEvidence.SILENT, **run)
        self.assertEqual([Proof.NOT_STARTED], proofs)
        self.assertEqual(["not_run:unreachable"], self.ends)

    def test_run_ends_after_the_latest_start_and_its_lease(self):
        """Guards against capacity that an upstream which never returns holds."""
        run = self.add(delivery=Delivery.UNANSWERED, unanswered=1, sent_at=100.0)
        self.close(LossEvidence.SILENT, 101.0)
        self.activity.check(100.0 + MAX_START_DELAY_S - 0.1)
        self.assertFalse(run.ended)
        self.activity.check(100.0 + MAX_START_DELAY_S)
        self.assertEqual(Proof.TOO_LATE, run.proof)

    def test_renewal_that_is_executed_late_is_waited_for(self):
        """Guards against a late start whose lease a late renewal extends."""
        run = self.add(delivery=Delivery.UNANSWERED, unanswered=1, sent_at=1.0)
        self.close(LossEvidence.SILENT, LEASED_UNTIL)
        self.activity.check(LEASED_UNTIL + MAX_START_DELAY_S - 0.1)
        self.assertFalse(run.ended)
        self.activity.check(LEASED_UNTIL + MAX_START_DELAY_S)
        self.assertEqual(Proof.TOO_LATE, run.proof)

    def test_run_is_over_once(self):
        """Guards against two ends of one run, of which the second one is counted."""
        run = self.add()
        self.activity.on_listed_end(run, "done", NOW)
        self.activity.on_not_started(run, "cancelled", NOW)
        self.assertEqual(["done"], self.ends)
        self.assertEqual(Proof.LISTED_END, run.proof)
