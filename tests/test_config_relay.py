"""
tests.test_config_relay
~~~~~~~~~~~~~~~~~~~~~~~

Transfer of configurations between processes, on request and without the store.
"""

from testtools import TestCase

from papayaward.coordination.config_relay import ConfigRelay
from papayaward.coordination.config_sync import ConfigHolder
from papayaward.protocol.gen.ttypes import ConfigPull, ConfigPush
from tests.leased_case import FakeLink


class ConfigRelayTest(TestCase):
    def setUp(self):
        super().setUp()
        self.holder = ConfigHolder(bytes, b"")
        self.relay = ConfigRelay(self.holder, lambda: 0.5)
        self.ahead, self.behind = FakeLink("e1"), FakeLink("e2")

    def test_nothing_is_sent_while_the_store_delivers(self):
        """Guards against sending the text over every link without need."""
        self.holder.offer(1, b"one", 0.0)
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.holder.offer(2, b"two", 0.4)
        self.relay.on_peer_version(self.ahead, 2, 0.6)
        self.relay.on_peer_version(self.behind, 1, 0.6)
        self.assertEqual([], self.ahead.sent + self.behind.sent)

    def test_missing_version_is_fetched_from_one_peer_at_a_time(self):
        """Guards against an entry that cannot read the store and stays outdated."""
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.assertEqual([], self.ahead.sent)
        self.relay.on_peer_version(self.ahead, 2, 0.6)
        self.relay.on_peer_version(self.behind, 2, 0.7)
        self.assertEqual([ConfigPull(0)], self.ahead.sent + self.behind.sent)
        # The first peer may have died before it answered.
        self.relay.on_peer_version(self.behind, 2, 1.2)
        self.assertEqual([ConfigPull(0)], self.behind.sent)

    def test_runner_fetches_on_behalf_of_an_entry(self):
        """Guards against an entry that stays outdated if linked to runners only."""
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.relay.on_peer_version(self.behind, 1, 0.0)
        self.assertEqual(2, self.relay.version)
        self.relay.on_message(self.behind, ConfigPull(1), 0.1)
        self.assertEqual([ConfigPull(0)], self.ahead.sent)
        self.relay.on_message(self.ahead, ConfigPush(2, b"two"), 0.2)
        self.assertEqual([ConfigPush(2, b"two")], self.behind.sent)

    def test_copy_is_served_after_the_entry_is_gone(self):
        """Guards against entries without a configuration during a store outage."""
        self.relay.on_message(self.ahead, ConfigPush(2, b"two"), 0.0)
        self.relay.on_link_down(self.ahead)
        self.assertEqual(2, self.relay.version)
        self.relay.on_message(self.behind, ConfigPull(0), 0.1)
        self.assertEqual([ConfigPush(2, b"two")], self.behind.sent)

    def test_disconnected_peer_is_not_asked(self):
        """Guards against advertising a version that cannot be fetched any more."""
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.relay.on_link_down(self.ahead)
        self.assertEqual(0, self.relay.version)
        self.relay.on_message(self.behind, ConfigPull(1), 0.1)
        self.assertEqual([], self.ahead.sent)
