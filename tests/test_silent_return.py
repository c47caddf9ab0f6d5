"""
tests.test_silent_return
~~~~~~~~~~~~~~~~~~~~~~~~

An upstream whose next lifetime executes starts while its replies are lost.
"""

import gevent

from papayaward import clock
from papayaward.coordination.upstream_requests import MAX_START_DELAY_S, StartRequest
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import upstream_state
from tests.replaced_upstream_case import ReplacedUpstreamCase


class SilentReturnTest(ReplacedUpstreamCase):
    # The ends of leases on this clock are far ahead on that of the next lifetime.
    first_clock_ms = 480_000

    def start_at_mute_lifetime(self):
        """Has the second lifetime execute a start without a reply and refuse stops."""
        self.second.mute(60.0)
        self.second.is_unhealthy = lambda name: name == "stop"
        self.start_at_the_second_lifetime()

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
        self.send_start()
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

    def test_start_that_the_connection_broke_is_kept_after_a_refusal(self):
        """Guards against a second run if the next lifetime executes a late start."""
        self.crash_with_a_start_without_a_reply()
        gevent.sleep(0.5)
        self.assertEqual([], self.link.ends())
        self.address.lifetime = self.second
        self.wait_for(self.link.ends)
        self.assertEqual([("j.0.0.0", "lost")], self.link.ends())

    def test_waiting_for_the_next_lifetime_publishes_one_crash(self):
        """Guards against jobs that are condemned for one crash counted many times."""
        crashes = []
        self.executor._crashes.on_crash(lambda crash, now: crashes.append(crash))
        self.crash_with_a_start_without_a_reply()
        gevent.sleep(1.5)
        self.assertEqual(1, len(crashes))

    def test_lost_reply_during_the_take_over_is_no_crash(self):
        """Guards against a crash that is published for each reply that is lost."""
        crashes = []
        self.executor._crashes.on_crash(lambda crash, now: crashes.append(crash))
        self.crash_with_a_start_without_a_reply()
        gevent.sleep(1.5)
        losses = iter([None, 0.0, None, 0.0])
        self.second.loss = lambda: next(losses, None)
        self.address.lifetime = self.second
        self.wait_for(self.link.ends)
        self.assertEqual(1, len(crashes))

    def test_reported_lifetime_that_does_not_reply_at_once_is_no_crash(self):
        """Guards against a second crash because runs of an earlier session remain."""
        crashes = []
        self.executor._crashes.on_crash(lambda crash, now: crashes.append(crash))
        self.crash_with_a_start_without_a_reply()
        gevent.sleep(0.3)
        self.address.lifetime = None
        self.report_second_lifetime()
        session = self.executor._current.session
        gevent.sleep(0.5)
        self.assertIs(session, self.executor._current.session)
        # The reply is awaited until the lease of the first lifetime has ended.
        self.wait_for(lambda: crashes, 0.9)
        self.assertEqual(["i-1@1"], [crash.upstream for crash in crashes])

    def test_another_instance_ends_the_wait_as_soon_as_it_replies(self):
        """Guards against tasks that wait for an upstream that has been replaced."""
        self.start_at_mute_lifetime()
        self.address.lifetime = None
        other = upstream_state("i-2", born_ms=3)
        self.executor.on_upstream_report(other, clock.now())
        gevent.sleep(0.3)
        self.assertEqual([], self.link.ends())
        self.address.lifetime = LeasedUpstream("i-2", born_ms=3)
        self.wait_for(self.link.ends, seconds=0.5)
        self.assertEqual([("j.0.0.0", "lost")], self.link.ends())

    def test_lifetime_that_does_not_report_rejects_starts_of_runs_that_are_over(self):
        """Guards against a late start beside the run that has taken its place."""
        gevent.sleep(0.3)
        self.first.fail_request("start", times=1)
        self.send_start(work_ms=1)
        self.wait_for(self.link.ends)
        token = self.executor._current.session.next_token - 1
        self.first.crash()
        gevent.sleep(0.05)
        self.address.lifetime = self.second
        gevent.sleep(0.3)
        late = StartRequest("j.0.0.0", 1, "50", self.second.clock_ms + 900, token)
        self.assertEqual("fenced", self.second.start("i-1", late).outcome)

    def test_silent_lifetime_rejects_starts_that_were_settled_before(self):
        """Guards against a late start while the session has not noticed the crash."""
        gevent.sleep(0.3)
        self.first.fail_request("start", times=6)
        token = self.executor._current.session.next_token - 1
        self.send_start()
        self.wait_for(lambda: not self.first.faults[0].times)
        self.stop_task()
        self.wait_for(self.link.ends)
        gevent.sleep(0.3)
        self.second.mute(60.0)
        self.address.lifetime = self.second
        gevent.sleep(0.3)
        late = StartRequest("j.0.0.0", 1, "50", self.second.clock_ms + 900, token)
        self.assertEqual("fenced", self.second._start(late).outcome)

    def test_silent_lifetime_rejects_starts_sent_before_the_loss(self):
        """Guards against a late start that a lifetime executes before it replies."""
        gevent.sleep(0.3)
        token = self.executor._current.session.next_token - 1
        self.crash_with_a_start_without_a_reply()
        self.wait_for(lambda: self.executor.refusal_reason == "not_reported")
        self.second.mute(60.0)
        self.address.lifetime = self.second
        gevent.sleep(0.3)
        late = StartRequest("j.0.0.0", 1, "50", self.second.clock_ms + 900, token)
        self.assertEqual("fenced", self.second._start(late).outcome)

    def test_upstream_that_does_not_return_is_not_polled_for_ever(self):
        """Guards against requests without end to an upstream that is gone."""
        self.crash_with_a_start_without_a_reply()
        self.wait_for(lambda: self.executor.refusal_reason == "not_reported")
        (run,) = self.executor._runs.values()
        run.sent_at -= MAX_START_DELAY_S
        run.leased_until -= MAX_START_DELAY_S
        self.executor._current._awaited_until -= MAX_START_DELAY_S
        self.wait_for(self.link.ends)
        self.assertEqual([("j.0.0.0", "lost")], self.link.ends())
        self.wait_for(lambda: self.executor._current.session is None)
