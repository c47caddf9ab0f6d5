"""
papayaward.coordination.results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a home does with results, rejections and losses of tasks.
"""

import logging

import gevent

from ..protocol.gen.ttypes import ResultBatch, SlotReport
from ..protocol.outcomes import JobOutcome, Outcome, Reason, TaskStatus
from ..state import invariants, metrics
from .retries import RetryBudget, backoff_s

__all__ = ["Results"]

log = logging.getLogger(__name__)

_MAX_RETRIES = 3


class Results:
    """Takes what became of the granted tasks.

    Args:
        dispatcher: `Dispatcher` that granted them.
        answers: `Answers`.
    """

    def __init__(self, dispatcher, answers):
        self._dispatcher = dispatcher
        self._answers = answers
        self._budget = RetryBudget()

    @property
    def handlers(self):
        """Handlers of messages by their class."""
        return {ResultBatch: self._on_results, SlotReport: self._on_slot_report}

    def lose(self, view, now):
        """Gives up the tasks of an executor that is gone."""
        view.link = None
        outstanding, view.outstanding = view.outstanding, {}
        for key, (record, index, _) in outstanding.items():
            self._dispatcher.give_slot(record.spec.tenant)
            self._task_lost(record, index, view.member, now)
        self._dispatcher.speeds.forget(view.member)
        self._dispatcher.ejection.forget(view.member)

    def expire(self, record, now):
        """Answers a job whose deadline has passed."""
        detail = "the deadline passed before the job was complete"
        if record.started:
            outcome = Outcome.FAILED
        elif record.running or record.maybe_started:
            outcome = Outcome.UNKNOWN
        else:
            outcome = Outcome.NOT_RUN
        self._answers.finish(
            record,
            JobOutcome(outcome, Reason.DEADLINE, detail, started=record.started),
            now,
        )

    def _on_slot_report(self, link, report, now):
        view = self._dispatcher.executors.get(link.peer.member)
        if view is not None and view.link is link:
            view.on_report(report)
            self._dispatcher.wake()

    def _on_results(self, link, batch, now):
        view = self._dispatcher.executors.get(link.peer.member)
        if view is None or view.link is not link:
            return
        if batch.report is not None:
            view.on_report(batch.report)
        for result in batch.results:
            key = (result.job_id, result.index)
            entry = view.outstanding.get(key)
            if entry is None or entry[2] != result.attempt:
                continue
            del view.outstanding[key]
            record, index, _ = entry
            self._dispatcher.give_slot(record.spec.tenant)
            self._on_task_result(view, record, index, result, now)
        self._dispatcher.wake()

    def _on_task_result(self, view, record, index, result, now):
        status = result.status
        record.running.pop(index, None)
        if status == TaskStatus.REJECTED:
            self._on_rejected(view, record, index, result, now)
            return
        record.started += 1
        if status != TaskStatus.CANCELLED:
            service_s = result.service_us / 1e6
            spec = record.spec
            metrics.SERVICE_SECONDS.labels(spec.tenant, spec.job_class).observe(
                service_s
            )
            self._note_health(view, spec, status, service_s, now)
        if record.done:
            return
        if status == TaskStatus.OK:
            self._on_task_ok(record, index, result, now)
        elif status == TaskStatus.FAILED:
            self._on_task_failed(record, index, result, view.member, now)
        else:
            self._task_lost(record, index, view.member, now)

    def _note_health(self, view, spec, status, service_s, now):
        succeeded = status == TaskStatus.OK
        if succeeded:
            self._dispatcher.speeds.add(view.member, spec.job_class, service_s)
            self._budget.on_success()
        if self._dispatcher.ejection.add(view.member, succeeded, view.slots, now):
            log.warning("executor_ejected", extra={"executor": view.member})

    def _on_task_ok(self, record, index, result, now):
        invariants.check(
            "result_once", record.results[index] is None, job=record.spec.job_id
        )
        record.results[index] = result.body
        record.missing -= 1
        record.service_s = max(record.service_s, result.service_us / 1e6)
        if record.missing:
            return
        outcome = JobOutcome(
            Outcome.COMPLETE,
            results=tuple(record.results),
            started=record.started,
            queue_us=int(record.queue_s * 1e6),
            service_us=int(record.service_s * 1e6),
        )
        self._answers.finish(record, outcome, now)

    def _on_task_failed(self, record, index, result, member, now):
        detail = f"task {index} failed on {member}: {result.reason}"
        if self._retry(record, index, detail, now):
            return
        outcome = JobOutcome(
            Outcome.FAILED, Reason(result.reason), detail, started=record.started
        )
        self._answers.finish(record, outcome, now)

    def _on_rejected(self, view, record, index, result, now):
        record.timeline.add(now, "rejected", index, view.member, result.reason)
        if record.done:
            return
        if record.spec.deadline <= now:
            self.expire(record, now)
        else:
            self._dispatcher.enqueue(record, index, front=True)

    def _task_lost(self, record, index, member, now):
        record.running.pop(index, None)
        record.maybe_started = True
        if record.done:
            return
        detail = f"task {index} may have run on {member}, its result is lost"
        if self._retry(record, index, detail, now):
            return
        outcome = JobOutcome(
            Outcome.UNKNOWN, Reason.TASK_LOST, detail, started=record.started
        )
        self._answers.finish(record, outcome, now)

    def _retry(self, record, index, detail, now):
        """Schedules an idempotent task again and returns whether it may be."""
        attempt = record.attempts[index]
        if not record.spec.idempotent or attempt > _MAX_RETRIES:
            return False
        if not self._budget.take():
            record.timeline.add(now, "retry_refused", Reason.RETRY_BUDGET)
            return False
        delay_s = backoff_s(attempt)
        record.timeline.add(now, "retry", index, detail)
        gevent.spawn_later(delay_s, self._requeue, record, index)
        return True

    def _requeue(self, record, index):
        if not record.done:
            self._dispatcher.enqueue(record, index, front=True)
            self._dispatcher.wake()
