"""
tests.test_lost_runs
~~~~~~~~~~~~~~~~~~~~

What a coordinator concludes from runs without an answer and from refused starts.
"""

from papayaward.protocol.outcomes import Outcome, Reason, TaskStatus

from .coordinator_case import CoordinatorCase, RecordedLink

__all__ = []

_NOW = 100.0
_DEADLINE = 110.0


class RunWithoutAnswerTest(CoordinatorCase):
    def setUp(self):
        super().setUp()
        self.link = RecordedLink()
        self.connect(self.link, _NOW)

    def _answer(self, record):
        return record.outcome.outcome, record.outcome.reason

    def test_lost_run_is_no_known_start(self):
        """Guards against `failed` for a request that may have been executed.

        The upstream received the request and gave no answer; whether it ran is not
        known when the deadline passes before the retry.
        """
        record = self.submit(_NOW, deadline=_DEADLINE, idempotent=True)
        self.result(self.link, TaskStatus.LOST, Reason.TASK_LOST, _NOW + 1)
        self.assertFalse(record.done)
        self.coordinator._tick(_DEADLINE)
        self.assertEqual((Outcome.UNKNOWN, Reason.DEADLINE), self._answer(record))
        self.assertEqual(0, record.outcome.started)

    def test_lost_run_after_a_known_failure(self):
        """Guards against hiding that a request is known to have failed."""
        record = self.submit(_NOW, deadline=_DEADLINE, idempotent=True)
        self.result(self.link, TaskStatus.FAILED, Reason.TASK_FAILED, _NOW + 1)
        self.coordinator._tick(_DEADLINE)
        self.assertEqual((Outcome.FAILED, Reason.DEADLINE), self._answer(record))
        self.assertEqual(1, record.outcome.started)

    def test_no_answer_before_the_deadline(self):
        """Guards against `failed` for a request that the upstream did not answer."""
        record = self.submit(_NOW, deadline=_DEADLINE)
        self.result(self.link, TaskStatus.LOST, Reason.DEADLINE, _DEADLINE)
        self.assertEqual((Outcome.UNKNOWN, Reason.DEADLINE), self._answer(record))

    def test_no_answer_to_one_task_of_a_job_that_ran(self):
        """Guards against `unknown` for a job of which a task is known to have run."""
        record = self.submit(_NOW, (b"1", b"2"), _DEADLINE)
        self.result(self.link, TaskStatus.OK, now=_NOW + 1, body=b"1")
        self.result(self.link, TaskStatus.LOST, Reason.DEADLINE, _DEADLINE, index=1)
        self.assertEqual((Outcome.FAILED, Reason.DEADLINE), self._answer(record))

    def test_start_refused_at_the_deadline(self):
        """Guards against `unknown` for a request that provably did not run."""
        record = self.submit(_NOW, deadline=_DEADLINE)
        self.result(self.link, TaskStatus.REJECTED, Reason.DEADLINE, _DEADLINE)
        self.assertEqual((Outcome.NOT_RUN, Reason.DEADLINE), self._answer(record))

    def test_lost_record_of_a_result_is_no_failure_of_the_executor(self):
        """Guards against ejecting an executor that no longer has a result.

        It may have answered the task; the upstream has not failed.
        """
        for name in ("y", "z"):
            self.connect(RecordedLink(name), _NOW, slots=0)
        ejection = self.dispatcher.ejection
        for _ in range(20):
            ejection.add("y", ("t", "c"), True, 2, 3, _NOW)
        for index in range(10):
            self.submit(_NOW, job_id=f"j{index}")
            lost = (TaskStatus.LOST, Reason.DUPLICATE)
            self.result(self.link, *lost, _NOW, job_id=f"j{index}")
        self.assertEqual([], ejection.ejected(_NOW))


class GrantThatWasNotSentTest(CoordinatorCase):
    """A link closes, which its view shows only after the reader has stopped."""

    def setUp(self):
        super().setUp()
        self.closing = RecordedLink("x")
        self.other = RecordedLink("y")
        for link in (self.closing, self.other):
            self.connect(link, _NOW, slots=1)

    def test_closed_link_gets_no_grants(self):
        """Guards against `unknown` for a task that no executor has received."""
        self.closing.closed = True
        record = self.submit(_NOW)
        self.assertEqual([("j", 0, 1)], self.other.grants())
        self.coordinator.on_executor_down(self.closing, _NOW)
        self.coordinator._tick(_NOW + 2)
        self.assertFalse(record.done)

    def test_task_waits_while_every_link_is_closed(self):
        """Guards against `unknown` for a task that provably did not run."""
        self.closing.closed = self.other.closed = True
        record = self.submit(_NOW, deadline=_DEADLINE)
        for link in (self.closing, self.other):
            self.coordinator.on_executor_down(link, _NOW)
        self.coordinator._tick(_NOW + 2)
        self.assertFalse(record.done)
        self.coordinator._tick(_DEADLINE)
        outcome = record.outcome
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.DEADLINE), (outcome.outcome, outcome.reason)
        )

    def test_grant_that_fails_to_be_sent_is_placed_elsewhere(self):
        """Guards against losing tasks with a link whose send queue is full."""
        self.closing.fails = True
        record = self.submit(_NOW)
        self.dispatcher._dispatch(_NOW)
        self.assertEqual([], self.closing.grants())
        self.assertEqual(1, len(self.other.grants()))
        self.assertEqual(0, self.dispatcher.queued)
        self.assertEqual(["y"], list(record.running.values()))

    def test_retry_that_fails_to_be_sent_is_placed_elsewhere(self):
        """Guards against ending a retried request with a closed link."""
        self.closing.fails = True
        record = self.submit(_NOW, idempotent=True)
        self.dispatcher._dispatch(_NOW)
        attempt = self.other.grants()[0][2]
        self.result(
            self.other, TaskStatus.LOST, Reason.TASK_LOST, _NOW, attempt=attempt
        )
        third = RecordedLink("z")
        self.dispatcher.queue_retry(record, 0)
        self.connect(third, _NOW, slots=1)
        self.dispatcher._dispatch(_NOW)
        self.dispatcher._dispatch(_NOW)
        self.assertEqual(1, len(third.grants()))
        self.assertFalse(record.done)


class RejectedRetryTest(CoordinatorCase):
    def test_rejected_retry_is_not_sent_to_the_executor_that_lost_it(self):
        """Guards against a second lost run while an untried executor is usable.

        Executor "y" has rejected the retry, so the request has not run there.
        """
        lost, untried = RecordedLink("x"), RecordedLink("y")
        self.connect(lost, _NOW, slots=1)
        record = self.submit(_NOW, idempotent=True)
        self.result(lost, TaskStatus.LOST, Reason.TASK_LOST, _NOW)
        # Executor "x" gets work last for 1 s.
        later = _NOW + 2
        self.connect(untried, later, slots=1)
        self.coordinator._tick(later)
        self.dispatcher.queue_retry(record, 0)
        self.dispatcher._dispatch(later)
        self.assertEqual([("j", 0, 2)], untried.grants())
        self.result(untried, TaskStatus.REJECTED, Reason.NO_SLOT, later, attempt=2)
        self.dispatcher._dispatch(later)
        self.assertEqual([("j", 0, 2), ("j", 0, 3)], untried.grants())
        self.assertEqual([("j", 0, 1)], lost.grants())
