"""
tests.test_evidence_bounds
~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds of the evidence that a configuration version is current.
"""

from testtools import TestCase

from papayaward.coordination.evidence import EntryEvidence, RunnerEvidence, age_ms

__all__ = []


def _us(seconds):
    return int(seconds * 1e6)


class RunnerEvidenceTest(TestCase):
    def test_evidence_is_dated_at_the_own_timestamp(self):
        """Guards against a delayed answer that makes old evidence look new."""
        evidence = RunnerEvidence()
        evidence.on_heartbeat(_us(100.0), 300, 5, 5)
        self.assertAlmostEqual(99.7, evidence.latest)
        # An older heartbeat that arrives later changes nothing.
        evidence.on_heartbeat(_us(99.0), 0, 5, 5)
        self.assertAlmostEqual(99.7, evidence.latest)

    def test_unusable_heartbeats_are_ignored(self):
        """Guards against evidence from an entry that has none or a newer version."""
        evidence = RunnerEvidence()
        evidence.on_heartbeat(0, 10, 5, 5)
        evidence.on_heartbeat(_us(100.0), -1, 5, 5)
        evidence.on_heartbeat(_us(100.0), 10, 6, 5)
        self.assertIsNone(evidence.latest)
        evidence.on_heartbeat(_us(100.0), 10, 4, 5)
        self.assertIsNotNone(evidence.latest)


class EntryEvidenceTest(TestCase):
    def _without_store(self, members, echoes):
        evidence = EntryEvidence(store_max_age_s=1.0, member_ttl_s=30.0)
        evidence.on_store_read(10.0, 10.1)
        for name in members:
            evidence.on_member(name, 10.0, True)
        for name, at in echoes.items():
            evidence.on_echo(name, _us(at), at)
        return evidence

    def test_store_read_is_dated_at_its_request(self):
        """Guards against evidence dated at the time at which a slow store answered."""
        evidence = EntryEvidence()
        self.assertIsNone(evidence.latest(1.0))
        evidence.on_store_read(10.0, 10.9)
        self.assertEqual(10.0, evidence.latest(10.9))
        evidence.on_store_read(9.0, 11.0)
        self.assertEqual(10.0, evidence.latest(11.0))

    def test_more_than_half_of_the_members(self):
        """Guards against two groups of members that both form a majority."""
        for members, echoes, expected in (
            ("abc", {"a": 20.0}, 10.0),
            ("abc", {"a": 20.0, "b": 18.0}, 18.0),
            ("abcd", {"a": 20.0, "b": 19.0}, 10.0),
            ("abcd", {"a": 20.0, "b": 19.0, "c": 18.0}, 18.0),
            ("a", {"a": 20.0}, 20.0),
        ):
            evidence = self._without_store(members, echoes)
            self.assertEqual(expected, evidence.latest(21.0), (members, echoes))

    def test_members_join_and_leave(self):
        """Guards against counting members that left, or missing one that joined."""
        evidence = self._without_store("abc", {"a": 20.0})
        evidence.on_leave("b")
        evidence.on_leave("c")
        self.assertEqual(20.0, evidence.latest(21.0))
        evidence.on_member("d", 15.0, True)
        self.assertEqual(15.0, evidence.latest(21.0))

    def test_silent_members_are_kept_while_the_store_is_down(self):
        """Guards against a minority that stops counting unreachable members."""
        evidence = self._without_store("abc", {"a": 100.0})
        self.assertEqual(10.0, evidence.latest(100.0))
        evidence.on_store_read(100.0, 100.0)
        self.assertEqual(("a",), evidence.members)

    def test_age(self):
        """Guards against an age that is rounded down."""
        self.assertEqual(-1, age_ms(None, 5.0))
        self.assertEqual(1001, age_ms(4.0, 5.0))
