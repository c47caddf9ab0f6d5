"""
tests.test_domains_sync
~~~~~~~~~~~~~~~~~~~~~~~

Failure domains out of service spread from process to process and never go back.
"""

from testtools import TestCase

from papayaward.coordination.domains_sync import DomainsHolder
from papayaward.protocol.gen.ttypes import DomainsPush
from tests.leased_case import FakeLink


class DomainsSyncTest(TestCase):
    def test_older_list_is_ignored(self):
        """Guards against a domain that a late message takes back."""
        holder = DomainsHolder()
        holder.offer(9, ["a"], 0.0)
        holder.offer(4, [], 0.0)
        self.assertTrue(holder.is_out("a"))

    def test_peer_that_is_behind_gets_the_list(self):
        """Guards against an entry without the store that goes on in the domain."""
        holder, other = DomainsHolder(), DomainsHolder()
        holder.offer(9, ["a"], 0.0)
        link = FakeLink("r1")
        holder.on_peer_revision(link, 4)
        (push,) = link.of_type(DomainsPush)
        self.assertTrue(other.on_message(push, 0.0))
        self.assertTrue(other.is_out("a"))

    def test_peer_that_is_ahead_gets_nothing(self):
        """Guards against messages without news at each heartbeat."""
        holder = DomainsHolder()
        holder.offer(9, ["a"], 0.0)
        link = FakeLink("r1")
        holder.on_peer_revision(link, 9)
        self.assertEqual([], link.sent)
