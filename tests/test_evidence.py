"""
tests.test_evidence
~~~~~~~~~~~~~~~~~~~

Evidence of entries and runners that their configuration version is current.
"""

from testtools import TestCase

from papayaward.coordination.evidence import EntryEvidence, RunnerEvidence, age_ms

__all__ = []


def _entry(members=5):
    """Returns the evidence of an entry that read the store at 100 s."""
    evidence = EntryEvidence()
    evidence.on_store_read(99.9, 100.0)
    for number in range(members):
        evidence.on_member(f"r{number}", 100.0, True)
    return evidence


class EntryEvidenceTest(TestCase):
    def test_read_is_dated_at_its_start(self):
        """Guards against evidence that is dated after the start of the read."""
        self.assertEqual(99.9, _entry().latest(100.5))

    def test_no_evidence_before_the_first_read(self):
        """Guards against evidence from an entry that has read no version."""
        evidence = EntryEvidence()
        evidence.on_member("r0", 100.0, True)
        self.assertIsNone(evidence.latest(100.5))

    def test_majority_counts_without_the_store(self):
        """Guards against a store outage that stops the fleet."""
        evidence = _entry()
        for member in ("r0", "r1", "r2"):
            evidence.on_echo(member, 109_000_000, 109.1)
        self.assertEqual(109.0, evidence.latest(110.0))

    def test_minority_does_not_count(self):
        """Guards against starts in a minority that did not receive a change."""
        evidence = _entry()
        for member in ("r0", "r1"):
            evidence.on_echo(member, 109_000_000, 109.1)
        self.assertEqual(100.0, evidence.latest(110.0))

    def test_member_with_a_higher_version_does_not_count(self):
        """Guards against counting a member that has a newer version."""
        evidence = _entry(2)
        evidence.on_member("r9", 109.0, False)
        evidence.on_echo("r0", 109_000_000, 109.1)
        self.assertEqual(100.0, evidence.latest(110.0))

    def test_silent_members_still_count_for_the_majority(self):
        """Guards against two sides of a partition that each have a majority.

        An entry that is cut off from most runners while the store answers must still
        count them as members when the store fails as well.
        """
        evidence = _entry()
        for second in range(100, 700):
            evidence.on_store_read(float(second), float(second))
            evidence.on_echo("r0", second * 1_000_000, float(second))
        evidence.on_echo("r0", 710_000_000, 710.0)
        self.assertEqual(5, len(evidence.members))
        self.assertEqual(699.0, evidence.latest(710.0))

    def test_members_that_left_do_not_count(self):
        """Guards against stopped members that prevent a majority."""
        evidence = _entry()
        for member in ("r2", "r3", "r4"):
            evidence.on_leave(member)
        for member in ("r0", "r1"):
            evidence.on_echo(member, 109_000_000, 109.1)
        self.assertEqual(109.0, evidence.latest(110.0))


class RunnerEvidenceTest(TestCase):
    def test_evidence_is_dated_at_the_own_timestamp(self):
        """Guards against a delayed heartbeat that makes old evidence look new."""
        evidence = RunnerEvidence()
        evidence.on_heartbeat(50_000_000, 400, 3, 3)
        self.assertAlmostEqual(49.6, evidence.latest)
        evidence.on_heartbeat(40_000_000, 0, 3, 3)
        self.assertAlmostEqual(49.6, evidence.latest)

    def test_entry_with_a_higher_version_does_not_count(self):
        """Guards against starts under a version that is known to be outdated."""
        evidence = RunnerEvidence()
        evidence.on_heartbeat(50_000_000, 10, 4, 3)
        self.assertIsNone(evidence.latest)

    def test_no_echo_or_no_evidence_does_not_count(self):
        """Guards against evidence from an entry that has none."""
        evidence = RunnerEvidence()
        evidence.on_heartbeat(0, 10, 3, 3)
        evidence.on_heartbeat(50_000_000, age_ms(None, 50.0), 3, 3)
        self.assertIsNone(evidence.latest)
