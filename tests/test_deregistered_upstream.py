"""
tests.test_deregistered_upstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs on an upstream that deregisters while it is still running them.
"""

from papayaward import clock
from papayaward.protocol.gen.ttypes import StartBatch
from tests.leased_case import start_group, upstream_state
from tests.replaced_upstream_case import ReplacedUpstreamCase


class DeregisteredUpstreamTest(ReplacedUpstreamCase):
    def start(self, task="j.0.0.0", work_ms=5000):
        batch = StartBatch(1, [start_group(task, work_ms=work_ms)])
        self.executor.on_message(self.link, batch, clock.now())

    def start_and_deregister(self, work_ms=5000):
        self.start(work_ms=work_ms)
        self.wait_for(lambda: self.first.records)
        self.wait_for(lambda: self.executor._runs["j.0.0.0"].running)
        self.executor.on_upstream_deregistered("i-1", clock.now())

    def test_run_is_not_lost_before_its_upstream_has_ended(self):
        """Guards against a second run elsewhere beside one that is not over."""
        self.start_and_deregister()
        self.wait_for(self.link.ends)
        self.assertEqual("lapsed", self.first.records[0].outcome)

    def test_run_is_lost_with_its_lease_when_its_upstream_has_ended(self):
        """Guards against tasks that wait longer than the lease of an upstream."""
        self.start_and_deregister()
        leased_until = self.executor._current.session.leased_until
        crashed_at = clock.now()
        self.first.crash()
        self.wait_for(self.link.ends)
        self.assertEqual([("j.0.0.0", "lost")], self.link.ends())
        self.assertGreater(clock.now(), leased_until)
        # The lease of 0.95 s, the time to kill its runs and two ticks.
        self.assertLess(clock.now() - crashed_at, 1.2)

    def test_run_that_ends_in_time_is_done(self):
        """Guards against a task that is repeated although its end was reported."""
        self.start_and_deregister(work_ms=300)
        self.wait_for(self.link.ends)
        self.assertEqual([("j.0.0.0", "done")], self.link.ends())

    def test_nothing_starts_after_the_deregistration(self):
        """Guards against starts on an upstream that is about to end."""
        self.start_and_deregister()
        self.start("k.0.0.0")
        self.wait_for(lambda: ("k.0.0.0", "not_run:draining") in self.link.ends())
        self.wait_for(lambda: self.executor.state is None)
        self.assertEqual("no_upstream", self.executor.refusal_reason)

    def test_next_instance_is_used_after_a_deregistration(self):
        """Guards against an executor that stays without an upstream."""
        self.start_and_deregister()
        self.first.crash()
        self.wait_for(lambda: self.executor.state is None)
        self.address.lifetime = self.second
        report = upstream_state("i-2", born_ms=2)
        self.executor.on_upstream_report(report, clock.now())
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.start("k.0.0.0", work_ms=100)
        self.wait_for(lambda: ("k.0.0.0", "done") in self.link.ends())
