"""
tests.test_bounded_log
~~~~~~~~~~~~~~~~~~~~~~

Log lines never block the process and are bounded in number.
"""

import json
import logging
import os

import gevent
from testtools import TestCase

from papayaward.bounded_log import BoundedHandler


class BoundedLogTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, writer = os.pipe()
        self.handler = BoundedHandler(writer)
        self.log = logging.Logger("test")
        self.log.addHandler(self.handler)

    def read(self):
        return os.read(self.reader, 1 << 20).decode()

    def test_lines_arrive(self):
        """Guards against a log that stays empty."""
        self.log.info("one")
        gevent.sleep(0.1)
        self.assertEqual("one\n", self.read())

    def test_reader_that_stands_still_does_not_block(self):
        """Guards against a process that waits for its log."""
        with gevent.Timeout(2.0):
            for _ in range(20):
                for _ in range(200):
                    self.log.warning("x" * 200)
                gevent.sleep(0.03)
        self.assertGreater(self.handler.dropped, 0)

    def test_storm_of_lines_is_cut_and_counted(self):
        """Guards against decisions whose log uses up the processor."""
        for _ in range(1000):
            self.log.info("decision")
        self.log.warning("trouble")
        gevent.sleep(0.1)
        lines = self.read().splitlines()
        self.assertLess(lines.count("decision"), 900)
        self.assertIn("trouble", lines)
        dropped = json.loads(next(line for line in lines if "dropped" in line))
        self.assertEqual(1000, lines.count("decision") + dropped["lines"])
