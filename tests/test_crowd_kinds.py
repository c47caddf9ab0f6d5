"""
tests.test_crowd_kinds
~~~~~~~~~~~~~~~~~~~~~~

Crowds of clients that use up turns, connections or memory, at callers' addresses.
"""

from .test_client_crowd import EntryCrowdCase, PlatformCrowdCase

__all__ = []

# Kinds that callers' addresses are played with in CI; `crowd_kinds.PLAYS` has all.
_KINDS = (
    "pipelined_unread",
    "pipelined_read",
    "unread_replies",
    "decoded_body",
    "endless_trailers",
    "idle",
    "idle_returning",
    "pipelined_bodies",
    "resets",
    "mixed",
)


class PlatformFrontTest(PlatformCrowdCase):
    """The address for callers of an entry on the platform."""


class EntryFrontTest(EntryCrowdCase):
    """The address for callers of an entry of the own interface."""


def _add_tests(case):
    """Adds a test of each kind to a case.

    Each guards against callers who get no answer, or a process that exceeds its VM,
    because of clients that keep within each limit or send what no limit covers.
    """
    for kind in _KINDS:

        def test(self, kind=kind):
            self.check_crowd(kind, beside=True)

        setattr(case, f"test_{kind}", test)


_add_tests(PlatformFrontTest)
_add_tests(EntryFrontTest)
