"""
tests.test_refused_connections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An upstream that runs on while something that is no end of its runs is seen of it.
"""

import time

import gevent

from papayaward import clock
from papayaward.coordination.upstream_requests import (
    ConnectionBroken,
    PollRequest,
    Unreachable,
)
from papayaward.protocol.gen.ttypes import StopBatch
from tests.leased_case import upstream_state
from tests.replaced_upstream_case import ReplacedUpstreamCase

_TASK = "j.0.0.0"


class RefusedConnectionsTest(ReplacedUpstreamCase):
    def start_run(self, work_ms=5000):
        """Starts a run that the upstream confirms, and returns its record."""
        self.send_start(work_ms)
        self.wait_for(lambda: self.executor._runs[_TASK].running)
        return self.first.records[0]

    def wait_for_end(self, record, *outcomes, seconds=2.0):
        """Waits for the end with one of some outcomes; the run must be over by then."""
        self.wait_for(self.link.ends, seconds)
        self.assertNotEqual("", record.outcome)
        ((task, outcome),) = self.link.ends()
        self.assertEqual(_TASK, task)
        self.assertIn(outcome, outcomes)

    def test_run_goes_on_while_its_path_refuses_connections(self):
        """Guards against a second run elsewhere beside one that goes on."""
        record = self.start_run(work_ms=600)
        self.address.refuses = True
        gevent.sleep(0.3)
        self.assertEqual([], self.link.ends())
        self.address.refuses = False
        self.wait_for_end(record, "done")

    def test_run_is_lost_after_its_lease_if_connections_stay_refused(self):
        """Guards against a second run, and against a task that waits for ever."""
        record = self.start_run()
        self.address.refuses = True
        refused_at = clock.now()
        self.wait_for_end(record, "lost", "lapsed")
        self.assertEqual("lapsed", record.outcome)
        # The lease of 0.95 s, the time to kill its runs and two ticks.
        self.assertLess(clock.now() - refused_at, 1.2)

    def test_refused_stop_is_sent_again(self):
        """Guards against a run that goes on although its stop counts as executed."""
        record = self.start_run()
        self.address.refuses = True
        self.executor.on_message(self.link, StopBatch([_TASK]), clock.now())
        gevent.sleep(0.2)
        self.assertEqual([], self.link.ends())
        self.address.refuses = False
        self.wait_for_end(record, "stopped", seconds=0.5)

    def test_start_without_a_reply_is_not_settled_by_a_refusal_of_its_repetition(self):
        """Guards against a second run elsewhere if the first request was executed."""
        gevent.sleep(0.1)
        self.first.fail_request("start", delay_s=0.0)
        send = self.first.start

        def send_and_refuse(*args):
            try:
                return send(*args)
            finally:
                self.address.refuses = True

        self.first.start = send_and_refuse
        self.send_start(work_ms=600)
        self.wait_for(lambda: self.first.records)
        gevent.sleep(0.2)
        self.assertEqual([], self.link.ends())
        self.address.refuses = False
        self.wait_for_end(self.first.records[0], "done")

    def test_report_of_another_lifetime_alone_ends_no_run(self):
        """Guards against a second run if what has reported has never replied."""
        record = self.start_run()
        self.address.refuses = True
        self.executor.on_upstream_report(upstream_state(born_ms=2), clock.now())
        self.wait_for_end(record, "lost", "lapsed")

    def test_report_of_another_instance_alone_ends_no_run(self):
        """Guards against a second run if what has reported has never replied."""
        record = self.start_run()
        self.address.refuses = True
        other = upstream_state("i-2", born_ms=2)
        self.executor.on_upstream_report(other, clock.now())
        self.wait_for_end(record, "lost", "lapsed")

    def test_closed_session_renews_no_lease(self):
        """Guards against a run that outlasts the lease after which it is lost."""
        self.start_run()
        poll, leases = self.first.poll, []

        def record(instance, request, *args):
            leases.append(request.lease_ms)
            return poll(instance, request, *args)

        self.first.poll = record
        self.wait_for(lambda: any(leases))
        leases.clear()
        # The report and the next renewal are due when the process goes on.
        other = upstream_state("i-2", born_ms=2)
        report = self.executor.on_upstream_report
        gevent.spawn_later(0.01, lambda: report(other, clock.now()))
        gevent.sleep(0)
        time.sleep(0.3)
        gevent.sleep(0.05)
        self.assertEqual("i-2", self.executor.state.instance)
        self.assertEqual([], [lease_ms for lease_ms in leases if lease_ms])

    def test_nothing_starts_while_connections_are_refused(self):
        """Guards against starts that wait for an upstream that can't be reached."""
        gevent.sleep(0.1)
        self.address.refuses = True
        self.send_start()
        self.wait_for(self.link.ends, 0.1)
        self.assertEqual([(_TASK, "not_run:unreachable")], self.link.ends())
        self.assertEqual("upstream_silent", self.executor.refusal_reason)

    def test_connection_that_breaks_after_a_refusal_reopens_nothing(self):
        """Guards against starts on an upstream that has not replied since a refusal."""
        calls = self.executor._current.session._calls
        poll, self.address.poll = self.address.poll, self.break_connection
        for error in (Unreachable("refused"), ConnectionBroken("reset")):
            self.error = error
            self.assertIsNone(calls.poll(PollRequest(calls.token.value, 0)))
        self.assertEqual("upstream_silent", self.executor.refusal_reason)
        self.address.poll = poll
        self.wait_for(lambda: not self.executor.refusal_reason)

    def break_connection(self, *args):
        raise self.error

    def test_upstream_is_used_again_as_soon_as_it_replies(self):
        """Guards against an upstream that stays unused until its next report."""
        for number, refused_s in enumerate((0.1, 1.5)):
            self.address.refuses = True
            self.send_start()
            self.wait_for(lambda n=number: len(self.link.ends()) == n + 1)
            gevent.sleep(refused_s)
            self.assertNotEqual("", self.executor.refusal_reason)
            self.address.refuses = False
            self.wait_for(lambda: not self.executor.refusal_reason, 0.4)
