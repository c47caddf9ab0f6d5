"""
tests.test_gate
~~~~~~~~~~~~~~~

Conditions of the start gate, with time passed as an argument.
"""

from dataclasses import replace

from testtools import TestCase

from papayaward.coordination.gate import GateState, check_start
from papayaward.protocol.outcomes import Reason

__all__ = []

_OPEN = GateState(
    incarnation=7,
    domain_out=False,
    evidence=100.0,
    evidence_max_age_s=2.0,
    upstream_present=True,
    upstream_leaving=False,
    draining=False,
    free_slots=1,
)


class GateTest(TestCase):
    def _check(self, state=_OPEN, incarnation=7, seen=False, cancelled=False, **times):
        times = {"deadline": 110.0, "now": 101.0, **times}
        return check_start(state, incarnation, seen, cancelled, **times)

    def test_open_gate(self):
        """Guards against a gate that never opens."""
        self.assertIs(Reason.NONE, self._check())

    def test_each_condition_closes_the_gate(self):
        """Guards against a start that one of the conditions forbids."""
        for change, reason in (
            ({"domain_out": True}, Reason.DOMAIN_OUT),
            ({"evidence": None}, Reason.CONFIG_STALE),
            ({"upstream_present": False}, Reason.UPSTREAM_GONE),
            ({"upstream_leaving": True}, Reason.UPSTREAM_LEAVING),
            ({"draining": True}, Reason.DRAINING),
            ({"free_slots": 0}, Reason.NO_SLOT),
        ):
            self.assertIs(reason, self._check(replace(_OPEN, **change)), change)
        self.assertIs(Reason.WRONG_INCARNATION, self._check(incarnation=8))
        self.assertIs(Reason.DUPLICATE, self._check(seen=True))
        self.assertIs(Reason.CANCELLED, self._check(cancelled=True))

    def test_evidence_and_deadline_bounds(self):
        """Guards against a start past the evidence bound or the deadline."""
        self.assertIs(Reason.NONE, self._check(now=102.0))
        self.assertIs(Reason.CONFIG_STALE, self._check(now=102.001))
        self.assertIs(Reason.NONE, self._check(now=101.9, deadline=102.0))
        self.assertIs(Reason.DEADLINE, self._check(now=102.0, deadline=102.0))
