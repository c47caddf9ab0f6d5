"""
tests.run_module
~~~~~~~~~~~~~~~~

Runs one test module and prints a line for each test.
"""

import sys
import unittest

from testtools import TestResult

__all__ = ["main"]


class _LineResult(TestResult):
    def addSuccess(self, test, details=None):
        super().addSuccess(test, details)
        print(f"PASS {test.id()}", flush=True)

    def addError(self, test, err=None, details=None):
        super().addError(test, err, details)
        self._print_failure(test, self.errors)

    def addFailure(self, test, err=None, details=None):
        super().addFailure(test, err, details)
        self._print_failure(test, self.failures)

    def _print_failure(self, test, recorded):
        print(f"FAIL {test.id()}\n{recorded[-1][1]}", flush=True)


def main(args):
    """Runs the test module named in args[0]."""
    suite = unittest.defaultTestLoader.loadTestsFromName(f"tests.{args[0]}")
    result = _LineResult()
    suite.run(result)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
