"""
tests.test_upstream_state_store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The stored report of an upstream, with a store that loses replies.
"""

import json

import gevent
from testtools import TestCase

from papayaward.coordination.upstream_state_store import UpstreamStateStore
from papayaward.protocol.store_errors import StoreError
from tests.leased_case import upstream_state

SETTLE_S = 0.02


class LossyStore:
    """A store whose writes take effect, with or without a reply."""

    def __init__(self):
        self.value = None
        self.replies = True

    def put(self, key, value, lease):
        self.value = value
        if not self.replies:
            raise StoreError("no reply")


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
