"""
tests.test_late_start_notices
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Late starts at executors out of reach, of which all processes are told.
"""

from testtools import TestCase

from papayaward.coordination.crashes.crash_relay import CrashRelay
from papayaward.protocol.gen import ttypes
from tests.leased_case import FakeLink

_NOW = 100.0


def _start(task="j.0.0.0", requests=1, remaining_ms=10_000):
    return ttypes.LateStart(task, "i-1", remaining_ms, 2, requests, 0, "r1", 7)


class LateStartNoticesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.relay = CrashRelay()
        self.heard = []
        self.relay.on_late_start(lambda start, now: self.heard.append(start.task))
        self.peer, self.other = FakeLink("r2", "runner"), FakeLink("r3", "runner")
        for link in (self.peer, self.other):
            self.relay.on_link_up(link, _NOW)

    def receive(self, *starts, now=_NOW):
        message = ttypes.CrashNotices([], None, None, list(starts))
        self.relay.on_message(self.peer, message, now)

    def test_notice_is_forwarded_once_and_not_to_its_sender(self):
        """Guards against notices that go round between the processes."""
        self.receive(_start())
        self.receive(_start())
        self.assertEqual(([], 1), (self.peer.sent, len(self.other.sent)))
        self.assertEqual(["j.0.0.0"], self.heard)

    def test_further_request_is_told(self):
        """Guards against a task that starts after the first of two requests."""
        self.receive(_start())
        self.receive(_start(requests=2))
        self.assertEqual(2, len(self.other.sent))

    def test_new_peer_is_told_of_the_time_that_is_left(self):
        """Guards against a task that waits longer with each forwarding process."""
        self.receive(_start())
        late = FakeLink("r4", "runner")
        self.relay.on_link_up(late, _NOW + 4.0)
        (told,) = late.sent[0].late_starts
        self.assertEqual((6001, 2, "r1"), (told.remaining_ms, told.run, told.executor))
        last = FakeLink("r5", "runner")
        self.relay.on_link_up(last, _NOW + 10.0)
        self.assertEqual([], last.sent)

    def test_notices_are_bounded(self):
        """Guards against processes that spend their time on notices."""
        self.receive(*(_start(f"j.0.0.{i}") for i in range(1000)))
        self.assertEqual(200, len(self.heard))

    def test_odd_notices_are_skipped(self):
        """Guards against a link that breaks on a notice of another program."""
        self.receive(ttypes.LateStart(), ttypes.LateStart("j", executor="r1"), _start())
        self.assertEqual(["j.0.0.0"], self.heard)
