"""
tests.test_crowd_listeners
~~~~~~~~~~~~~~~~~~~~~~~~~~

Crowds of clients at the addresses that callers should not reach.
"""

from .test_client_crowd import PlatformCrowdCase

__all__ = []

_METRICS_PORT = 9464
_EVERYWHERE = ("pipelined_unread", "idle")


class ReadyTest(PlatformCrowdCase):
    """The address for health checks."""

    listener = "ready"


class ReportsTest(PlatformCrowdCase):
    """The address for the reports of the upstream."""

    target = "r0"
    listener = "control"


class MetricsTest(PlatformCrowdCase):
    """The address for operators."""

    def crowd_address(self):
        return f"127.0.0.1:{_METRICS_PORT}"


class LinksTest(PlatformCrowdCase):
    """The port to which the other processes connect."""

    def crowd_address(self):
        return f"127.0.0.1:{self.fleet.settings[self.target]['port_range'][0]}"


class AllListenersTest(PlatformCrowdCase):
    """All HTTP addresses of an entry, and the port of its links, at once."""

    def check_crowd(self, kind, beside=False):
        entry, _ = self.start_target()
        settings = self.fleet.settings[self.target]
        addresses = [
            settings["listen_addrs"]["front"],
            settings["listen_addrs"]["ready"],
            f"127.0.0.1:{_METRICS_PORT}",
            f"127.0.0.1:{settings['port_range'][0]}",
        ]
        kinds = [(address, kind) for address in addresses]
        self.check_crowds(entry, kinds, beside)


def _add_tests(case, *kinds):
    """Adds a test of each kind to a case.

    Each guards against callers who get no answer, or a process that exceeds its VM,
    because of a crowd at the case's address.
    """
    for kind in kinds:

        def test(self, kind=kind):
            self.check_crowd(kind, beside=True)

        setattr(case, f"test_{kind}", test)


_add_tests(ReadyTest, *_EVERYWHERE, "unread_replies")
_add_tests(ReportsTest, *_EVERYWHERE, "unread_replies", "decoded_body")
_add_tests(MetricsTest, *_EVERYWHERE, "unread_replies")
_add_tests(LinksTest, *_EVERYWHERE, "idle_returning", "large_frames")
_add_tests(AllListenersTest, *_EVERYWHERE, "decoded_body")
