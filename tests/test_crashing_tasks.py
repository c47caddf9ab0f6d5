"""
tests.test_crashing_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that crash each upstream that starts them.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from tests.leased_case import job_queue
from tests.leased_fleet import LeasedFleet, job

DEADLY = "d" * 16


class CrashingTaskTest(TestCase):
    def fleet(self, **options):
        fleet = LeasedFleet(**options)
        self.addCleanup(fleet.close)
        gevent.sleep(0.1)
        return fleet

    def submit(self, entry, request, queue=None):
        return entry.submit(request, queue or job_queue(), clock.now())

    def test_task_that_crashes_upstreams_does_not_take_the_whole_fleet(self):
        """Guards against one task that is started until no upstream is left."""
        fleet = self.fleet(executors=8)
        request = job(DEADLY, "deadly:30:0", tasks=4)
        outcome = self.submit(fleet.entries[0], request)
        self.assertTrue(outcome.finished.wait(2.0))
        self.assertEqual("failed", outcome.outcome.kind)
        self.assertEqual(2, fleet.crashes)
        self.assertEqual(2, fleet.starts(DEADLY + ".0.0.0"))
