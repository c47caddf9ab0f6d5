"""
tests.test_client_crowd
~~~~~~~~~~~~~~~~~~~~~~~

Crowds of clients outside the limits, at the processes that callers connect to.
"""

from .client_crowd import KINDS
from .crowd_case import EntryCrowdCase, PlatformCrowdCase

__all__ = []


class PlatformCrowdTest(PlatformCrowdCase):
    pass


class EntryCrowdTest(EntryCrowdCase):
    pass


def _add_tests(case):
    """Adds a test of each kind to a case.

    Each guards against a process that ends, hangs or exceeds its VM because of clients
    outside the limits.
    """
    for kind in KINDS:

        def test(self, kind=kind):
            self.check_crowd(kind)

        setattr(case, f"test_{kind}", test)


_add_tests(PlatformCrowdTest)
_add_tests(EntryCrowdTest)
