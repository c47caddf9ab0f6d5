"""
tests.test_upstream_state_store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The stored report of an upstream, with a store that loses replies.
"""

import json

import gevent
from testtools import TestCase

from papayaward.coordination.upstream_state_store import UpstreamStateStore
from papayaward.protocol.store_errors import StoreConflict, StoreError
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
