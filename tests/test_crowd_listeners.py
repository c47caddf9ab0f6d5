"""
tests.test_crowd_listeners
~~~~~~~~~~~~~~~~~~~~~~~~~~

Crowds of clients at the addresses that callers should not reach.
"""

from .crowd_case import PlatformCrowdCase

__all__ = []

_METRICS_PORT = 9464


class ReadyTest(PlatformCrowdCase):
    """The address for health checks, which callers don't reach."""

    listener = "ready"

    def test_pipelined_unread(self):
        self.check_crowd("pipelined_unread", beside=True)

    def test_unread_replies(self):
        self.check_crowd("unread_replies", beside=True)

    def test_idle(self):
        self.check_crowd("idle", beside=True)


class ReportsTest(PlatformCrowdCase):
    """The address for the reports of the upstream."""

    target = "r0"
    listener = "control"

    def test_pipelined_unread(self):
        self.check_crowd("pipelined_unread", beside=True)

    def test_unread_replies(self):
        self.check_crowd("unread_replies", beside=True)

    def test_idle(self):
        self.check_crowd("idle", beside=True)

    def test_decoded_body(self):
        self.check_crowd("decoded_body", beside=True)


class MetricsTest(PlatformCrowdCase):
    """The address for operators."""

    def crowd_address(self):
        return f"127.0.0.1:{_METRICS_PORT}"

    def test_pipelined_unread(self):
        self.check_crowd("pipelined_unread", beside=True)

    def test_unread_replies(self):
        self.check_crowd("unread_replies", beside=True)

    def test_idle(self):
        self.check_crowd("idle", beside=True)


class AllListenersTest(PlatformCrowdCase):
    """All HTTP addresses of an entry, and the port of its links, at once."""

    def check_all(self, kind):
        entry, _ = self.start_target()
        settings = self.fleet.settings[self.target]
        addresses = [
            settings["listen_addrs"]["front"],
            settings["listen_addrs"]["ready"],
            f"127.0.0.1:{_METRICS_PORT}",
            f"127.0.0.1:{settings['port_range'][0]}",
        ]
        kinds = [(address, kind) for address in addresses]
        self.check_crowds(entry, kinds, beside=True)

    def test_idle(self):
        self.check_all("idle")

    def test_pipelined_unread(self):
        self.check_all("pipelined_unread")

    def test_decoded_body(self):
        self.check_all("decoded_body")


class LinksTest(PlatformCrowdCase):
    """The port to which the other processes connect."""

    def crowd_address(self):
        return f"127.0.0.1:{self.fleet.settings[self.target]['port_range'][0]}"

    def test_idle(self):
        self.check_crowd("idle", beside=True)

    def test_pipelined_unread(self):
        self.check_crowd("pipelined_unread", beside=True)

    def test_idle_returning(self):
        self.check_crowd("idle_returning", beside=True)

    def test_large_frames(self):
        self.check_crowd("large_frames", beside=True)
