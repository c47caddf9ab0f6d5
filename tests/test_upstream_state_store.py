"""
tests.test_upstream_state_store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The stored report of an upstream, with a store that loses replies.
"""

import json

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.store_sync import Snapshot
from papayaward.coordination.upstream_state_store import UpstreamStateStore
from papayaward.leased_node import NodeSettings
from papayaward.leased_runner import LeasedRunner
from papayaward.protocol.store_errors import StoreConflict, StoreError
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import upstream_state

SETTLE_S = 0.02


class LossyStore:
    """A store of one key whose replies can be lost, and whose writes can come late."""

    def __init__(self):
        self.value = None
        self.revision = 0
        self.replies = True
        self.delay_s = 0.0
        self.is_malformed = False

    def read(self, prefix):
        values = {} if self.value is None else {prefix: self.value}
        return Snapshot(self.revision, values)

    def put(self, key, value, lease, revision=None):
        if self.is_malformed:
            raise KeyError("rev")
        if self.replies:
            return self._write(value, revision)
        gevent.spawn_later(self.delay_s, self._write_late, value, revision)
        gevent.sleep(SETTLE_S / 4)
        raise StoreError("no reply")

    def _write(self, value, revision):
        if revision not in (None, self.revision):
            raise StoreConflict(self.revision)
        self.value = value
        self.revision += 1
        return self.revision

    def _write_late(self, value, revision):
        if revision in (None, self.revision):
            self._write(value, revision)


class UpstreamStateStoreTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = LossyStore()
        self.states = UpstreamStateStore(self.store, "r1")

    def save(self, cores):
        self.states.save(upstream_state(cores=cores))
        gevent.sleep(SETTLE_S)

    def stored_cpu(self):
        return json.loads(self.store.value)["capacity"]["cpu_millis"]

    def test_capacity_that_shrank_back_after_a_lost_reply_is_stored(self):
        """Guards against starts beyond a capacity that an outdated report promises."""
        self.save(cores=4)
        self.store.replies = False
        self.save(cores=6)
        self.store.replies = True
        self.save(cores=4)
        gevent.sleep(1.1)
        self.assertEqual(4000, self.stored_cpu())

    def test_late_write_does_not_replace_a_newer_report(self):
        """Guards against an outdated capacity that is stored seconds after its time."""
        self.save(cores=4)
        self.store.replies, self.store.delay_s = False, 1.5
        self.save(cores=6)
        self.store.replies = True
        self.save(cores=4)
        gevent.sleep(2.0)
        self.assertEqual(4000, self.stored_cpu())

    def test_report_of_a_restarted_runner_replaces_the_stored_one(self):
        """Guards against a report that is never stored since the key exists."""
        self.save(cores=4)
        self.states = UpstreamStateStore(self.store, "r1")
        self.save(cores=2)
        self.assertEqual(2000, self.stored_cpu())

    def test_report_after_a_malformed_reply_is_stored(self):
        """Guards against a runner that stores no report any more."""
        self.store.is_malformed = True
        self.save(cores=4)
        self.store.is_malformed = False
        gevent.sleep(0.1)
        self.save(cores=2)
        self.assertEqual(2000, self.stored_cpu())

    def test_deregistered_upstream_is_not_loaded(self):
        """Guards against a restarted runner that recalls an upstream that has ended."""
        self.save(cores=4)
        self.states.save(None)
        gevent.sleep(SETTLE_S)
        self.assertIsNone(UpstreamStateStore(self.store, "r1").load())

    def test_report_after_a_deregistration_is_stored(self):
        """Guards against a report that equals the last one and is taken as stored."""
        self.save(cores=4)
        self.states.save(None)
        gevent.sleep(SETTLE_S)
        self.save(cores=4)
        self.assertEqual(4000, self.stored_cpu())

    def test_deregistration_is_stored_after_a_lost_reply(self):
        """Guards against a deregistration that only an available store records."""
        self.save(cores=4)
        self.store.replies, self.store.delay_s = False, 5.0
        self.states.save(None)
        gevent.sleep(SETTLE_S)
        self.store.replies = True
        gevent.sleep(1.1)
        self.assertIsNone(UpstreamStateStore(self.store, "r1").load())


class DeregistrationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = LossyStore()

    def open_runner(self):
        settings = NodeSettings(
            "r1", "runner", "r", "a", "dispatch", ("127.0.0.1", 7000), (), 3.0
        )
        return LeasedRunner(settings, self.store, LeasedUpstream(born_ms=1))

    def stored_state(self):
        gevent.sleep(SETTLE_S)
        return UpstreamStateStore(self.store, "r1").load()

    def test_runner_stores_that_its_upstream_has_deregistered(self):
        """Guards against a successor that recalls an upstream that has ended."""
        runner = self.open_runner()
        runner.on_upstream_report(upstream_state(), clock.now())
        self.assertEqual(upstream_state(), self.stored_state())
        runner.on_upstream_deregistered("i-1", clock.now())
        self.assertIsNone(self.stored_state())

    def test_deregistration_before_a_report_keeps_the_stored_one(self):
        """Guards against runs of a predecessor that its successor does not stop."""
        self.open_runner().on_upstream_report(upstream_state(), clock.now())
        gevent.sleep(SETTLE_S)
        self.open_runner().on_upstream_deregistered("i-1", clock.now())
        self.assertEqual(upstream_state(), self.stored_state())
