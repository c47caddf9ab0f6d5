"""
tests.test_silent_return
~~~~~~~~~~~~~~~~~~~~~~~~

An upstream whose next lifetime executes starts while its replies are lost.
"""

import gevent

from papayaward import clock
from papayaward.protocol.gen.ttypes import StartBatch
from tests.leased_case import start_group, upstream_state
from tests.replaced_upstream_case import ReplacedUpstreamCase


class SilentReturnTest(ReplacedUpstreamCase):
    # The ends of leases on this clock are far ahead on that of the next lifetime.
    first_clock_ms = 480_000

    def start_at_mute_lifetime(self):
        """Has the second lifetime execute a start without a reply and refuse stops."""
        gevent.sleep(0.3)
        self.address.lifetime = None
        batch = StartBatch(1, [start_group("j.0.0.0", work_ms=5000)])
        self.executor.on_message(self.link, batch, clock.now())
        gevent.sleep(0.3)
        self.first.crash()
        self.second.mute(60.0)
        self.second.is_unhealthy = lambda name: name == "stop"
        self.address.lifetime = self.second
        self.wait_for(lambda: self.second.records)

    def test_unanswered_start_is_not_lost_when_a_silent_lease_ends(self):
        """Guards against a second run beside the one at the next lifetime."""
        self.start_at_mute_lifetime()
        run = self.second.records[0]
        self.wait_for(lambda: run.outcome or self.link.ends())
        self.assertEqual([], self.link.ends())

    def test_start_executed_long_after_the_loss_is_not_reported_as_lost_before(self):
        """Guards against a second run beside one that was started seconds later."""
        gevent.sleep(0.3)
        self.address.lifetime = None
        batch = StartBatch(1, [start_group("j.0.0.0", work_ms=5000)])
        self.executor.on_message(self.link, batch, clock.now())
        gevent.sleep(0.1)
        self.first.crash()
        gevent.sleep(2.5)
        self.assertEqual([], self.link.ends())

    def test_unanswered_start_is_lost_when_the_next_lifetime_is_taken_over(self):
        """Guards against a task that hangs although its run has been stopped."""
        self.start_at_mute_lifetime()
        self.second.mute(0.0)
        self.second.is_unhealthy = lambda name: False
        self.executor.on_upstream_report(upstream_state(born_ms=2), clock.now())
        self.wait_for(self.link.ends)
        self.assertNotEqual("", self.second.records[0].outcome)
