"""
tests.test_domains_sync
~~~~~~~~~~~~~~~~~~~~~~~

Exchange of the list of failure domains out of service between processes.
"""

from testtools import TestCase

from papayaward.coordination.domains_sync import DomainsHolder
from papayaward.protocol.gen.ttypes import DomainsPush
from tests.leased_case import FakeLink


class DomainsSyncTest(TestCase):
    def test_older_list_is_ignored(self):
        """Guards against a delayed message that puts a domain back into service."""
        holder = DomainsHolder()
        holder.offer(9, ["a"], 0.0)
        holder.offer(4, [], 0.0)
        self.assertTrue(holder.is_out("a"))

    def test_peer_that_is_behind_gets_the_list(self):
        """Guards against use of the domain by an entry that cannot read the store."""
        holder, other = DomainsHolder(), DomainsHolder()
        holder.offer(9, ["a"], 0.0)
        link = FakeLink("r1")
        holder.on_peer_revision(link, 4)
        (push,) = link.of_type(DomainsPush)
        self.assertTrue(other.on_message(push, 0.0))
        self.assertTrue(other.is_out("a"))

    def test_peer_that_is_ahead_gets_nothing(self):
        """Guards against redundant messages at each heartbeat."""
        holder = DomainsHolder()
        holder.offer(9, ["a"], 0.0)
        link = FakeLink("r1")
        holder.on_peer_revision(link, 9)
        self.assertEqual([], link.sent)
