"""
tests.test_stalls
~~~~~~~~~~~~~~~~~

A process that can't run for a while between two steps of an action.
"""

from unittest import mock

import gevent

from papayaward import clock
from papayaward.coordination.upstream_requests import NoReply
from papayaward.protocol.gen.ttypes import StartBatch
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import start_group
from tests.replaced_upstream_case import ReplacedUpstreamCase

_TASK = "j.0.0.0"
# Longer than any lease.
_STALL_S = 3.0
_SHORT_STALL_S = 0.8


class StallTest(ReplacedUpstreamCase):
    """An executor whose upstream is replaced while the process can't run."""

    first_clock_ms = 50

    def setUp(self):
        self.stalled_s = 0.0
        real_now = clock.now
        patch = mock.patch.object(clock, "now", lambda: real_now() + self.stalled_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.is_entry_alive = True
        super().setUp()

    def send_heartbeat(self):
        if self.is_entry_alive:
            super().send_heartbeat()

    def stall(self, seconds):
        self.stalled_s += seconds
        for lifetime in (self.first, self.second):
            lifetime._started -= seconds

    def replace_upstream(self, age_ms=0):
        self.first.crash()
        self.second = LeasedUpstream(born_ms=2, first_clock_ms=age_ms)
        self.second.names_lifetime_in_lists_only = True
        self.address.lifetime = self.second

    def test_start_is_not_sent_once_its_lease_has_ended(self):
        """Guards against a run at a later lifetime that nobody waits for any more."""

        def start(*args):
            self.stall(_STALL_S)
            self.replace_upstream()
            return self.second.start(*args)

        self.address.start = start
        self.send_start()
        gevent.sleep(0.2)
        self.assertEqual([], self.second.records)

    def test_renewal_is_not_sent_once_its_lease_has_ended(self):
        """Guards against a late run at a later lifetime that is kept active."""
        self.send_start()
        self.wait_for(lambda: self.first.records)
        poll = self.address.poll

        def poll_after_stall(instance, request, *args):
            if request.lease_ms is not None and not self.stalled_s:
                self.stall(_STALL_S)
                self.replace_upstream()
            return poll(instance, request, *args)

        self.address.poll = poll_after_stall
        self.wait_for(lambda: self.stalled_s)
        gevent.sleep(0.2)
        self.assertEqual(0, self.second._lease_ms)

    def test_reply_after_a_stall_is_not_taken_for_one_of_the_same_lifetime(self):
        """Guards against a confirmed run that a later lifetime has begun.

        The clock of that lifetime may have passed a reading from before the stall.
        """

        def start(*args):
            self.stall(_SHORT_STALL_S)
            self.replace_upstream(age_ms=int(_SHORT_STALL_S * 1000) - 50)
            return self.second.start(*args)

        self.address.start = start
        self.send_start()
        run = self.executor._runs[_TASK]
        self.wait_for(lambda: self.second.records)
        gevent.sleep(0.01)
        self.assertFalse(run.identified)

    def test_start_without_a_reply_counts_from_the_end_of_a_stall(self):
        """Guards against a start that is executed later than its run is waited for.

        The process could not run when it had decided to send the start.
        """

        def start(instance, request, timeout_s, may_send):
            may_send()
            self.stall(_STALL_S)
            self.stop_task()
            raise NoReply("no reply")

        self.address.start = start
        self.send_start()
        run = self.executor._runs[_TASK]
        self.wait_for(lambda: self.stalled_s)
        stalled_until = clock.now()
        gevent.sleep(0.01)
        self.assertLess(stalled_until - 0.1, run.sent_at)

    def test_start_that_was_read_before_a_stall_is_not_sent_after_it(self):
        """Guards against a second run beside one for another entry.

        The caller of an entry that was killed submits its job again 1.3 s later.
        """
        self.send_heartbeat()
        self.is_entry_alive = False
        batch, read_at = StartBatch(1, [start_group(_TASK)]), clock.now()
        self.stall(_STALL_S)
        self.executor.on_message(self.link, batch, read_at)
        gevent.sleep(0.2)
        self.assertEqual([], self.first.records)
