"""
tests.test_undecided_runs
~~~~~~~~~~~~~~~~~~~~~~~~~

What the loss of an upstream shows of each of its runs.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.undecided_runs import (
    LOST,
    UNDECIDED,
    is_expired,
    outcome_at_loss,
)
from papayaward.coordination.upstream_requests import (
    MAX_START_DELAY_S,
    Delivery,
    LossEvidence,
)

IDENTIFIED_AT = 10.0


def _run(delivery=Delivery.STARTED, unanswered=0, listed=False, sent_at=9.0):
    return SimpleNamespace(
        delivery=delivery,
        unanswered=unanswered,
        listed=listed,
        sent_at=sent_at,
        started_at=sent_at,
    )


def _outcome(evidence, **run):
    return outcome_at_loss(_run(**run), evidence, lambda at: at >= IDENTIFIED_AT)


class OutcomeAtLossTest(TestCase):
    def test_start_without_a_reply_is_undecided_whatever_showed_the_loss(self):
        """Guards against a second run while the next lifetime executes the start."""
        for evidence in (
            LossEvidence.REFUSED,
            LossEvidence.SILENT,
            LossEvidence.OTHER_LIFETIME,
        ):
            start = {"delivery": Delivery.UNANSWERED, "unanswered": 1}
            self.assertEqual(UNDECIDED, _outcome(evidence, **start))

    def test_confirmed_start_with_an_earlier_request_without_a_reply_is_undecided(self):
        """Guards against a late first request that the next lifetime executes."""
        outcome = _outcome(LossEvidence.REFUSED, unanswered=1, listed=True)
        self.assertEqual(UNDECIDED, outcome)

    def test_confirmed_run_is_lost_at_once_when_connections_are_refused(self):
        """Guards against tasks that wait although nothing runs any more."""
        outcome = _outcome(LossEvidence.REFUSED, sent_at=IDENTIFIED_AT + 1.0)
        self.assertEqual(LOST, outcome)

    def test_run_that_another_lifetime_may_have_confirmed_is_undecided(self):
        """Guards against a second run beside that of the lifetime which confirmed."""
        for evidence in (LossEvidence.SILENT, LossEvidence.OTHER_LIFETIME):
            later = IDENTIFIED_AT + 1.0
            self.assertEqual(UNDECIDED, _outcome(evidence, sent_at=later))
            self.assertEqual(LOST, _outcome(evidence, sent_at=later, listed=True))
            self.assertEqual(LOST, _outcome(evidence, sent_at=IDENTIFIED_AT - 1.0))

    def test_start_that_was_answered_after_the_lifetime_was_seen_is_undecided(self):
        """Guards against a late start that the next lifetime has confirmed."""
        run = _run(sent_at=IDENTIFIED_AT - 1.0)
        run.started_at = IDENTIFIED_AT + 0.1
        outcome = outcome_at_loss(
            run, LossEvidence.SILENT, lambda at: at >= IDENTIFIED_AT
        )
        self.assertEqual(UNDECIDED, outcome)

    def test_no_run_is_undecided_when_another_instance_is_there(self):
        """Guards against tasks that wait for an upstream that never returns."""
        start = {"delivery": Delivery.UNANSWERED, "unanswered": 2}
        self.assertEqual(LOST, _outcome(LossEvidence.OTHER_INSTANCE, **start))

    def test_start_that_was_not_sent_has_not_run(self):
        """Guards against an untrue answer that a job may have run."""
        outcome = _outcome(LossEvidence.SILENT, delivery=Delivery.NOT_DELIVERED)
        self.assertEqual("not_run:unreachable", outcome)

    def test_undecided_run_ends_after_the_latest_start_and_its_lease(self):
        """Guards against capacity that an upstream which never returns holds."""
        run = _run(sent_at=100.0)
        self.assertFalse(is_expired(run, 100.0 + MAX_START_DELAY_S - 0.1))
        self.assertTrue(is_expired(run, 100.0 + MAX_START_DELAY_S))
