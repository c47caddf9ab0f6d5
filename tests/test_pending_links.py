"""
tests.test_pending_links
~~~~~~~~~~~~~~~~~~~~~~~~

Connections to the port of the links whose peer does not introduce itself.
"""

from testtools import TestCase

from papayaward.protocol.codec import HEADER
from papayaward.transport.intake_limits import other_connections_of_vm
from papayaward.transport.link import Link, LinkClosed
from papayaward.transport.pending_links import PendingLinks

from .test_link import _CountingNode, _tcp_pair

__all__ = []


class PendingLinksTest(TestCase):
    def test_oldest_link_is_closed_for_another_one(self):
        """Guards against peers that find no room beside silent connections."""
        pending = PendingLinks(2)
        self.assertEqual([None, None], [pending.add("a"), pending.add("b")])
        self.assertEqual("a", pending.add("c"))
        pending.remove("a")
        pending.remove("b")
        self.assertEqual([None, "c"], [pending.add("d"), pending.add("e")])
        self.assertEqual(2, len(pending))

    def test_first_message_is_small(self):
        """Guards against memory for the frames of whoever reaches the port."""
        ours, peer = _tcp_pair()
        self.addCleanup(peer.close)
        link = Link(ours, _CountingNode(), dialled=False)
        peer.sendall(HEADER.pack(17 * 1024, 1))
        error = self.assertRaises(LinkClosed, link.run)
        self.assertIn("too large", str(error))

    def test_listeners_of_a_small_vm_leave_descriptors(self):
        """Guards against listeners that together exceed the descriptors of a VM."""
        for max_descriptors in (0, 4100):
            self.assertEqual(64, other_connections_of_vm(max_descriptors, 64))
        self.assertEqual(3, other_connections_of_vm(280, 64))
        self.assertEqual(2, other_connections_of_vm(200, 64))
