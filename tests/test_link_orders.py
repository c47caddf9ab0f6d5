"""
tests.test_link_orders
~~~~~~~~~~~~~~~~~~~~~~

Seeded search over the orders of events between an entry and an executor.
"""

import logging
import random
from unittest import mock

from testtools import TestCase

from papayaward.coordination import lost_tasks
from papayaward.coordination.lost_tasks import Release
from tests.lease_model import TwoRuns, World

_SEEDS = range(2000)
_EVENTS = 16


class LinkOrdersTest(TestCase):
    def setUp(self):
        super().setUp()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        spawn = mock.patch("papayaward.coordination.job_scheduler.gevent.spawn")
        spawn.start()
        self.addCleanup(spawn.stop)

    def find_two_runs(self):
        """Returns a description of the first order that leads to two runs, or None."""
        for seed in _SEEDS:
            world = World(random.Random(seed))
            try:
                world.run(_EVENTS)
            except TwoRuns as error:
                return f"seed {seed}: {error}: {world.events}"
        return None

    def test_no_order_of_events_leads_to_two_runs(self):
        """Guards against a task that an entry releases while a run may be active."""
        self.assertIsNone(self.find_two_runs())

    def test_search_finds_a_release_that_comes_too_early(self):
        """Guards against a search that finds nothing."""
        for release, too_short_s in (
            (Release.LEASE_ENDED, 0.9),
            (Release.START_EXPIRED, 1.05),
        ):
            with mock.patch.dict(lost_tasks._HOLD_S, {release: too_short_s}):
                self.assertIsNotNone(self.find_two_runs(), release)
