"""
tests.test_leased_node
~~~~~~~~~~~~~~~~~~~~~~

Links between entries and runners whose connections arrive out of order.
"""

from testtools import TestCase

from papayaward import clock
from papayaward.coordination.config_relay import entry_fetch_delay_s
from papayaward.leased_node import LeasedNode, NodeSettings
from tests.leased_case import FakeLink


class _Node(LeasedNode):
    def __init__(self):
        settings = NodeSettings("e1", "entry", "r", "a", "", ("h", 1), (), 3.0)
        super().__init__(settings, bytes, entry_fetch_delay_s)
        self.links_up = []
        self.links_down = []

    def on_peer_up(self, link, now):
        self.links_up.append(link)

    def on_peer_down(self, link, now):
        self.links_down.append(link)


class LinkOrderTest(TestCase):
    def link_up(self, node, number, incarnation=1):
        link = FakeLink("r1", "runner", incarnation, link_number=number)
        node.on_link_up(link, clock.now())
        return link

    def test_delayed_connection_does_not_replace_a_later_one(self):
        """Guards against a second run after an old list of runs arrives late.

        In the soak runs of seeds 15 and 18, connections delayed by a one-way cut
        were delivered together, and an older one replaced the one in use.
        """
        node = _Node()
        later = self.link_up(node, 2)
        delayed = self.link_up(node, 1)
        self.assertTrue(delayed.closed)
        self.assertEqual([later], node.links_up)
        self.assertIs(later, node.links["r1"])

    def test_delayed_connection_is_refused_when_the_later_one_has_closed(self):
        """Guards against use of a delayed connection after the later one was lost."""
        node = _Node()
        later = self.link_up(node, 2)
        node.on_link_down(later, clock.now())
        self.assertTrue(self.link_up(node, 1).closed)
        self.assertEqual({}, node.links)

    def test_restarted_peer_is_accepted_with_any_link_number(self):
        """Guards against refusing a restarted peer after its clock was set back."""
        node = _Node()
        self.link_up(node, 2, incarnation=9)
        restarted = self.link_up(node, 1, incarnation=4)
        self.assertIs(restarted, node.links["r1"])
