"""
tests.test_benchmarks
~~~~~~~~~~~~~~~~~~~~~

The benchmarks' own computations, one short scenario and the demo.
"""

import subprocess
import sys
from pathlib import Path

from testtools import TestCase

__all__ = []

_ROOT = Path(__file__).resolve().parent.parent


class DemoTest(TestCase):
    def test_demo_ends_with_ok(self):
        """Guards against a demo that fails or prints no verdict."""
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.demo"],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        last = done.stdout.splitlines()[-1]
        self.assertTrue(last.startswith("demo: ok"), done.stdout + done.stderr)
        self.assertEqual(0, done.returncode)
