"""
tests.test_coordinator_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests of an entry to coordinators that are unreachable or were replaced.
"""

import time
from types import SimpleNamespace

import gevent
from testtools import TestCase

from papayaward.coordination.coordinator_client import (
    CoordinatorClient,
    CoordinatorUnavailable,
)
from papayaward.protocol.gen.ttypes import Fetch
from papayaward.protocol.identifiers import JobId
from papayaward.protocol.outcomes import Outcome, Reason

__all__ = []


class _Link:
    """Link that accepts one message and is closed afterwards."""

    def __init__(self, incarnation):
        self.peer = SimpleNamespace(member="r1", incarnation=incarnation)
        self.closed = False
        self.sent = []

    def try_send(self, message):
        self.sent.append(message)
        self.closed = True
        return True


class CoordinatorClientTest(TestCase):
    def _await_outcome(self, link, fresh):
        view = None if link is None else SimpleNamespace(link=link, hello=link.peer)
        members = SimpleNamespace(get=lambda name: None if view is None else view)
        if link is not None:
            members.get = lambda name: None if link.closed else view
        node = SimpleNamespace(
            members=members, settings=SimpleNamespace(reconnect_grace_s=0.05)
        )
        return CoordinatorClient(node).await_outcome(
            JobId("r1", 5, 1),
            lambda number: Fetch(number, "j-r1-5-1", True),
            time.monotonic() + 1.0,
            fresh=fresh,
        )

    def test_fresh_job_that_was_not_sent_may_be_sent_to_another_coordinator(self):
        """Guards against an `unknown` outcome for jobs that were never sent."""
        self.assertRaises(CoordinatorUnavailable, self._await_outcome, None, True)

    def test_job_that_was_sent_is_unknown(self):
        """Guards against a second start of a job that may have run."""
        for fresh in (True, False):
            outcome = self._await_outcome(_Link(5), fresh)
            self.assertEqual(Outcome.UNKNOWN, outcome.outcome)
            self.assertEqual(Reason.HOME_GONE, outcome.reason)

    def test_identified_job_of_a_missing_coordinator_is_unknown(self):
        """Guards against `not_run` for an identifier that was already used."""
        outcome = self._await_outcome(None, False)
        self.assertEqual(Outcome.UNKNOWN, outcome.outcome)

    def test_other_incarnation_gets_nothing(self):
        """Guards against sending a job to another incarnation of its coordinator."""
        link = _Link(6)
        outcome = self._await_outcome(link, False)
        self.assertEqual(Outcome.UNKNOWN, outcome.outcome)
        self.assertEqual([], link.sent)

    def test_closed_link_in_the_member_view(self):
        """Guards against a loop that never yields while a closed link is listed."""
        link = _Link(5)
        link.closed = True
        link.try_send = lambda message: False
        view = SimpleNamespace(link=link, hello=link.peer)
        node = SimpleNamespace(
            members=SimpleNamespace(get=lambda name: view),
            settings=SimpleNamespace(reconnect_grace_s=0.05),
        )
        client = CoordinatorClient(node)
        deadline = time.monotonic() + 1.0
        with gevent.Timeout(2.0):
            outcome = client.await_outcome(
                JobId("r1", 5, 1),
                lambda number: Fetch(number, "j-r1-5-1", True),
                deadline,
            )
        self.assertEqual(Reason.HOME_GONE, outcome.reason)
