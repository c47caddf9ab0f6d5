"""
tests.test_config_relay
~~~~~~~~~~~~~~~~~~~~~~~

Configurations reach entries without the store, and cross links only on request.
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

    def test_nothing_crosses_while_the_store_delivers(self):
        """Guards against a copy of the text for each pair of processes."""
        self.holder.offer(1, b"one", 0.0)
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.holder.offer(2, b"two", 0.4)
        self.relay.on_peer_version(self.ahead, 2, 0.6)
        self.relay.on_peer_version(self.behind, 1, 0.6)
        self.assertEqual([], self.ahead.sent + self.behind.sent)

    def test_version_that_does_not_come_is_fetched_once(self):
        """Guards against an entry without the store that keeps an old version."""
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.assertEqual([], self.ahead.sent)
        self.relay.on_peer_version(self.ahead, 2, 0.6)
        self.relay.on_peer_version(self.behind, 2, 0.7)
        self.assertEqual([ConfigPull(0)], self.ahead.sent + self.behind.sent)
        # The peer may have died with the answer.
        self.relay.on_peer_version(self.behind, 2, 1.2)
        self.assertEqual([ConfigPull(0)], self.behind.sent)

    def test_runner_fetches_for_an_entry_that_asks(self):
        """Guards against an entry that no other entry can reach."""
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.relay.on_peer_version(self.behind, 1, 0.0)
        self.assertEqual(2, self.relay.version)
        self.relay.on_message(self.behind, ConfigPull(1), 0.1)
        self.assertEqual([ConfigPull(0)], self.ahead.sent)
        self.relay.on_message(self.ahead, ConfigPush(2, b"two"), 0.2)
        self.assertEqual([ConfigPush(2, b"two")], self.behind.sent)

    def test_copy_outlives_the_entries(self):
        """Guards against a fleet without a configuration while the store is away."""
        self.relay.on_message(self.ahead, ConfigPush(2, b"two"), 0.0)
        self.relay.on_link_down(self.ahead)
        self.assertEqual(2, self.relay.version)
        self.relay.on_message(self.behind, ConfigPull(0), 0.1)
        self.assertEqual([ConfigPush(2, b"two")], self.behind.sent)

    def test_peer_that_went_is_not_asked(self):
        """Guards against a version that is promised and cannot be fetched."""
        self.relay.on_peer_version(self.ahead, 2, 0.0)
        self.relay.on_link_down(self.ahead)
        self.assertEqual(0, self.relay.version)
        self.relay.on_message(self.behind, ConfigPull(1), 0.1)
        self.assertEqual([], self.ahead.sent)
