"""
tests.test_bounded_log
~~~~~~~~~~~~~~~~~~~~~~

Log lines never block the process, and their number is limited.
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
        """Guards against log lines that are never written."""
        self.log.info("one")
        gevent.sleep(0.1)
        self.assertEqual("one\n", self.read())

    def test_stalled_reader_does_not_block(self):
        """Guards against a process that blocks when nothing reads its log."""
        with gevent.Timeout(2.0):
            for _ in range(20):
                for _ in range(200):
                    self.log.warning("x" * 200)
                gevent.sleep(0.03)
        self.assertGreater(self.handler.dropped, 0)

    def test_excess_lines_are_dropped_and_counted(self):
        """Guards against frequent log lines that use up the processor."""
        for _ in range(1000):
            self.log.info("decision")
        self.log.warning("trouble")
        gevent.sleep(0.1)
        lines = self.read().splitlines()
        self.assertLess(lines.count("decision"), 900)
        self.assertIn("trouble", lines)
        dropped = json.loads(next(line for line in lines if "dropped" in line))
        self.assertEqual(1000, lines.count("decision") + dropped["lines"])
