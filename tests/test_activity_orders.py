"""
tests.test_activity_orders
~~~~~~~~~~~~~~~~~~~~~~~~~~

Seeded search over the orders of events that decide whether a run is over.
"""

import logging
from unittest import mock

from testtools import TestCase

from papayaward.coordination import late_starts, run_activity
from papayaward.coordination.late_starts import LateStarts
from papayaward.coordination.leased_runs import Run
from papayaward.coordination.run_activity import Proof
from papayaward.coordination.upstream_requests import LossEvidence
from tests.activity_model import FalseProof, Model, _Lifetime

_SEEDS = range(2000)
_EVENTS = 40
# Shortest lease that the model asks for, less what a slow clock makes of it.
_SHORTEST_LEASE_MS = 190


class ActivityOrdersTest(TestCase):
    def setUp(self):
        super().setUp()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def find_false_proof(self):
        """Returns a description of the first false proof, or None."""
        for seed in _SEEDS:
            model = Model(seed)
            try:
                model.play(_EVENTS)
            except FalseProof as error:
                events = "\n".join(f"  {at} {text}" for at, text in model.events)
                return f"seed {seed}: {error}\n{events}"
        return None

    def test_no_run_counts_as_over_that_is_active_or_may_be_executed_late(self):
        """Guards against a proof that does not hold in some order of events."""
        found = self.find_false_proof()
        self.assertIsNone(found, found)

    def check_finds(self, name, belief):
        """Checks that the search finds a false belief in place of a function."""
        with mock.patch.object(run_activity, name, belief):
            self.assertIsNotNone(self.find_false_proof())

    def test_search_finds_unanswered_starts_taken_for_over(self):
        """Guards against a search that knows no late starts."""
        self.check_finds(
            "may_be_executed_late", lambda run, may_have_reached_other: False
        )

    def test_search_finds_silence_taken_for_the_end(self):
        """Guards against a search in which nothing runs without replies."""
        self.check_finds("proof_of_end", lambda run, now: Proof.LEASE_ENDED)

    def test_search_finds_a_short_delay_of_late_starts(self):
        """Guards against a search whose late starts are not late enough."""
        self.check_finds("MAX_START_DELAY_S", 1.1)

    def test_search_finds_reports_taken_for_proofs(self):
        """Guards against a search whose reports come only after a crash."""

        def proof_at_loss(run, evidence):
            is_report = evidence is LossEvidence.REPORTED
            return Proof.OTHER_LIFETIME if is_report else None

        self.check_finds("_proof_at_loss", proof_at_loss)

    def test_search_finds_proofs_of_one_lifetime_taken_for_all(self):
        """Guards against a search in which late starts end with their lifetime."""
        with mock.patch.object(late_starts, "allows_late_starts", lambda _: False):
            self.assertIsNotNone(self.find_false_proof())

    def test_search_finds_late_renewals_that_are_not_waited_for(self):
        """Guards against a search that keeps no late run active."""
        with mock.patch.object(late_starts, "LATE_RENEWALS_S", 0.0):
            self.assertIn("released", self.find_false_proof())

    def test_search_finds_leases_that_count_from_the_arrival_of_a_renewal(self):
        """Guards against a search without late renewals at the same lifetime."""

        def extend(lifetime, now, lease_ms):
            granted_ms = lifetime.clock_ms(now) + _SHORTEST_LEASE_MS
            lifetime.lease_ms = max(lifetime.lease_ms, lease_ms, granted_ms)

        with mock.patch.object(_Lifetime, "_extend", extend):
            self.assertIn("its lease has ended", self.find_false_proof())

    def test_search_finds_late_starts_counted_as_executed(self):
        """Guards against a search whose lists never name a run without a reply."""

        def on_listed(run):
            run.has_executed_unanswered = True

        with mock.patch.object(Run, "on_listed", on_listed):
            self.assertIsNotNone(self.find_false_proof())

    def test_search_finds_undecided_starts_that_another_lifetime_ends(self):
        """Guards against a search whose later lifetimes execute no late starts."""

        def proof_at_loss(run, evidence):
            is_other = evidence is LossEvidence.OTHER_LIFETIME
            return Proof.OTHER_LIFETIME if is_other else None

        self.check_finds("_proof_at_loss", proof_at_loss)

    def test_search_finds_requests_under_two_numbers(self):
        """Guards against a search whose tasks start once only."""

        def on_run_accepted(late_starts, run):
            late_starts._starts.pop(run.task, None)

        with (
            mock.patch.object(LateStarts, "on_run_accepted", on_run_accepted),
            mock.patch.object(LateStarts, "is_rejected", lambda *_: False),
        ):
            self.assertIn("under", self.find_false_proof())
