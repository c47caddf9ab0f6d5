"""
tests.test_late_requests
~~~~~~~~~~~~~~~~~~~~~~~~

Which number a task may start under while a request to start it may be executed late.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.late_starts import LateStarts
from papayaward.coordination.leased_runs import Run
from papayaward.coordination.run_activity import Proof
from papayaward.coordination.upstream_requests import (
    MAX_LATE_RUN_S,
    MAX_START_DELAY_S,
    Delivery,
)
from papayaward.protocol.jobs import Resources

_TASK = "j.0.0.0"
_NOW = 100.0


def _session(
    born_ms, instance="i-1", taken_over=True, identified_at=_NOW, all_ended_at=_NOW
):
    return SimpleNamespace(
        instance=instance,
        born_ms=born_ms,
        taken_over=taken_over,
        all_ended_at=all_ended_at,
        may_have_reached_other=lambda sent_at: sent_at >= identified_at,
    )


def _run(number=1, session=None, requests=1):
    run = Run(_TASK, number, "", Resources(), None, "r", "q", 0, 1.0, 1.0, _NOW)
    run.session = session or _session(1)
    run.delivery = Delivery.UNANSWERED
    run.sent_at = _NOW
    run.unanswered = requests
    return run


class LateRequestsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.late_starts = LateStarts()

    def end(self, run):
        run.proof, run.rejected_by_ms = Proof.LISTED_END, run.session.born_ms
        self.late_starts.on_run_over(run, _NOW)

    def take_over(self, session, finds=(1,)):
        session.taken_over = False
        for number in finds:
            self.late_starts.on_listed(_TASK, number, session, session.born_ms)
        session.taken_over = True
        self.late_starts.on_taken_over(session)

    def test_lifetime_that_ended_the_number_is_sent_no_start(self):
        """Guards against a start under another number while a request is open."""
        self.end(_run())
        self.assertTrue(self.late_starts.is_rejected(_TASK, _session(1)))

    def test_next_lifetime_is_sent_the_same_number(self):
        """Guards against two numbers at the lifetime that executes both."""
        self.end(_run(number=3))
        self.take_over(_session(2), finds=())
        self.assertFalse(self.late_starts.is_rejected(_TASK, _session(2)))
        run = _run(number=4, session=_session(2), requests=0)
        self.late_starts.on_run_accepted(run)
        self.assertEqual((3, 1), (run.run, run.open_requests))

    def test_requests_stay_open_through_several_runs(self):
        """Guards against a request that is forgotten with the run that bore it."""
        self.end(_run())
        run = _run(session=_session(2), requests=0)
        self.late_starts.on_run_accepted(run)
        self.end(run)
        self.assertTrue(self.late_starts.is_rejected(_TASK, _session(2)))
        self.assertFalse(self.late_starts.is_rejected(_TASK, _session(3)))

    def test_run_that_a_take_over_found_was_the_only_request(self):
        """Guards against tasks that wait for a request that has been executed."""
        self.end(_run())
        self.take_over(_session(2))
        self.assertNotIn(_TASK, self.late_starts)

    def test_one_of_two_requests_stays_open_after_a_take_over(self):
        """Guards against a second request that the lifetime after that executes."""
        self.end(_run(requests=2))
        self.take_over(_session(2))
        self.assertTrue(self.late_starts.is_rejected(_TASK, _session(2)))
        self.late_starts.on_session_closed(None)
        self.assertFalse(self.late_starts.is_rejected(_TASK, _session(3)))

    def test_run_is_counted_once_in_each_take_over(self):
        """Guards against polls that count as many requests as they list a run."""
        self.end(_run(requests=2))
        self.take_over(_session(2), finds=(1, 1, 1))
        self.assertIn(_TASK, self.late_starts)

    def test_run_of_the_lifetime_before_executed_no_late_request(self):
        """Guards against a list that is older than the end of the run."""
        self.end(_run())
        session = _session(2, taken_over=False)
        self.late_starts.on_listed(_TASK, 1, session, 1)
        self.late_starts.on_taken_over(session)
        self.assertIn(_TASK, self.late_starts)

    def test_take_over_that_failed_has_executed_no_request(self):
        """Guards against a run at a lost lifetime that counts for the next one."""
        self.end(_run())
        session = _session(2, taken_over=False)
        self.late_starts.on_listed(_TASK, 1, session, 2)
        self.late_starts.on_session_closed(session)
        self.take_over(_session(3), finds=())
        self.assertIn(_TASK, self.late_starts)

    def test_other_instance_executes_no_request(self):
        """Guards against tasks that wait although nothing can start them."""
        self.end(_run())
        self.take_over(_session(2, instance="i-2"), finds=())
        self.assertNotIn(_TASK, self.late_starts)


class SettledRequestsTest(TestCase):
    """When a request is settled that no take-over has found executed."""

    def setUp(self):
        super().setUp()
        self.late_starts = LateStarts()
        run = _run()
        run.proof = Proof.LISTED_END
        self.late_starts.on_run_over(run, _NOW)

    def is_open(self, session, age_s):
        self.late_starts.forget_expired(session, _NOW + age_s)
        return _TASK in self.late_starts

    def test_reply_after_the_longest_delay_settles_it(self):
        """Guards against tasks that wait although an upstream in touch runs nothing."""
        leased_until = _NOW + MAX_START_DELAY_S
        session = _session(1, identified_at=leased_until, all_ended_at=leased_until)
        self.assertTrue(self.is_open(session, MAX_START_DELAY_S - 0.1))
        self.assertFalse(self.is_open(session, MAX_START_DELAY_S))

    def test_late_renewals_are_waited_for_while_no_lifetime_replies(self):
        """Guards against a second run beside one that a late renewal keeps active."""
        self.late_starts.on_session_closed(_session(1, all_ended_at=_NOW + 10.0))
        waiting = _session(0, taken_over=False)
        self.assertTrue(self.is_open(waiting, 10.0 + MAX_START_DELAY_S - 0.1))
        self.assertFalse(self.is_open(waiting, 10.0 + MAX_START_DELAY_S))

    def test_reply_before_the_longest_delay_settles_nothing(self):
        """Guards against a lifetime that replies, and is replaced before the start."""
        leased_until = _NOW + MAX_START_DELAY_S
        session = _session(1, identified_at=_NOW + 12.0, all_ended_at=leased_until)
        self.assertTrue(self.is_open(session, MAX_START_DELAY_S))

    def test_lifetime_that_is_not_taken_over_settles_nothing(self):
        """Guards against a reply of the lifetime that executes the late start."""
        leased_until = _NOW + MAX_START_DELAY_S
        session = _session(2, "i-1", False, leased_until, leased_until)
        self.assertTrue(self.is_open(session, MAX_START_DELAY_S))

    def test_renewals_that_go_on_hold_a_task_for_some_time_only(self):
        """Guards against a task that waits for an upstream no reply identifies."""
        session = _session(1, all_ended_at=_NOW + 1000.0)
        self.assertTrue(self.is_open(session, MAX_LATE_RUN_S - 0.1))
        self.assertFalse(self.is_open(session, MAX_LATE_RUN_S))

    def test_run_that_is_over_later_may_have_an_open_request(self):
        """Guards against a request forgotten because its run ends after the delay."""
        run = _run(session=_session(1, all_ended_at=_NOW + 12.0))
        run.proof = Proof.LEASE_ENDED
        late_starts = LateStarts()
        late_starts.on_run_over(run, _NOW + MAX_START_DELAY_S)
        self.assertIn(_TASK, late_starts)

    def test_next_process_counts_no_run_that_was_counted(self):
        """Guards against two processes that take one run for two requests.

        A take-over has found the run at the lifetime of the next process.
        """
        run = _run(requests=2)
        run.on_start_answered(Delivery.STARTED)
        run.identified = run.session_closed = True
        run.on_found(2)
        run.proof = Proof.TAKEN_OVER
        self.late_starts.on_run_over(run, _NOW)
        (start,) = self.late_starts.added_after(0)
        told, successor = start.to_wire(_NOW), LateStarts()
        session = _session(2, taken_over=False)
        successor.on_listed(_TASK, 1, session, 2)
        session.taken_over = True
        self.assertFalse(successor.on_told(told, start.lost_run, session, _NOW))
        self.assertIn(_TASK, successor)


class FoundRunTest(TestCase):
    """A run that was confirmed although a request to start it had no reply."""

    def setUp(self):
        super().setUp()
        self.run_ = _run()
        self.run_.on_start_answered(Delivery.STARTED)
        self.run_.identified = self.run_.session_closed = True

    def test_later_lifetime_has_executed_the_request(self):
        """Guards against a task that waits for a request that was executed."""
        self.run_.on_found(2)
        self.assertEqual(0, self.run_.open_requests)

    def test_own_lifetime_may_list_the_start_that_was_answered(self):
        """Guards against an open request that counts as executed."""
        self.run_.on_found(1)
        self.assertEqual(1, self.run_.open_requests)

    def test_later_lifetime_may_have_confirmed_the_run(self):
        """Guards against the request with the reply that is taken for the other one."""
        self.run_.identified = False
        self.run_.on_found(2)
        self.assertEqual(1, self.run_.open_requests)
