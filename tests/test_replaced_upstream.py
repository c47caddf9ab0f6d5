"""
tests.test_replaced_upstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An upstream that crashes silently and starts again under its identifier.
"""

import gevent

from papayaward import clock
from papayaward.coordination.upstream_requests import UpstreamReply
from tests.leased_case import upstream_state
from tests.replaced_upstream_case import ReplacedUpstreamCase


class ReplacedUpstreamTest(ReplacedUpstreamCase):
    def assert_reported_after_its_end(self):
        self.wait_for(self.link.ends)
        self.assertNotEqual("", self.second.records[0].outcome)
        ((task, outcome),) = self.link.ends()
        self.assertIn(outcome, ("lost", "stopped"))

    def test_start_that_the_next_lifetime_executed_is_not_lost_while_it_runs(self):
        """Guards against a second run elsewhere beside the one that was started."""
        self.start_at_the_second_lifetime(reached_by_starts_only=True)
        gevent.sleep(0.1)
        self.assertEqual([], self.link.ends())
        self.address.reached_by_starts_only = False
        self.report_second_lifetime()
        self.assert_reported_after_its_end()
        self.assertEqual("stopped", self.second.records[0].outcome)

    def test_confirmed_start_of_an_unidentified_lifetime_is_not_lost_at_once(self):
        """Guards against a second run if only lists of runs tell the lifetime."""
        self.second.names_lifetime_in_lists_only = True
        self.start_at_the_second_lifetime(reached_by_starts_only=True)
        gevent.sleep(0.3)
        self.assertEqual([], self.link.ends())
        self.address.reached_by_starts_only = False
        self.report_second_lifetime()
        self.assert_reported_after_its_end()

    def test_start_at_a_lifetime_that_never_reports_is_stopped(self):
        """Guards against a second run elsewhere, and against a task that hangs."""
        self.start_at_the_second_lifetime()
        self.assert_reported_after_its_end()
        self.assertEqual("stopped", self.second.records[0].outcome)

    def test_end_of_a_run_at_the_next_lifetime_counts(self):
        """Guards against a task that is repeated although it is done."""
        self.start_at_the_second_lifetime()
        self.second.end_run("j.0.0.0", "done")
        self.report_second_lifetime()
        self.wait_for(self.link.ends)
        self.assertEqual([("j.0.0.0", "done")], self.link.ends())

    def test_confirmed_run_of_the_crashed_lifetime_is_lost_at_once(self):
        """Guards against a task that waits although its upstream is gone."""
        self.send_start()
        gevent.sleep(0.5)
        self.first.crash()
        self.address.lifetime = self.second
        self.wait_for(self.link.ends, seconds=0.3)
        self.assertEqual([("j.0.0.0", "lost")], self.link.ends())

    def test_late_report_is_outdated_after_another_instance_has_replied(self):
        """Guards against a session with a lifetime that is known to be over."""
        self.address.lifetime = self.second
        self.report_second_lifetime()
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.address.refuses = True
        self.wait_for(lambda: self.executor.refusal_reason == "not_reported", 3.0)
        self.address.poll = lambda *args: UpstreamReply("other_instance")
        self.wait_for(lambda: self.executor._current.session is None)
        self.executor.on_upstream_report(upstream_state(born_ms=1), clock.now())
        self.assertEqual(2, self.executor.state.born_ms)
