"""
papayaward.coordination.results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles results, rejections and losses of tasks at a coordinator.
"""

import heapq
import logging
from functools import lru_cache
from itertools import count

import gevent

from ..protocol import mechanisms
from ..protocol.gen.ttypes import ResultBatch, SlotReport
from ..protocol.outcomes import JobOutcome, Outcome, Reason, TaskStatus
from ..state import invariants, metrics
from .retries import MAX_LOST_RUNS, MAX_RETRIES, RetryBudget, backoff_s

__all__ = ["Results"]

log = logging.getLogger(__name__)

_INFEASIBLE_RETRY_MS = 1000

# The upstream answered, so the task is known to have started.
_ANSWERED = (TaskStatus.OK, TaskStatus.FAILED)

_service_seconds = lru_cache(4096)(metrics.SERVICE_SECONDS.labels)


class Results:
    """Processes the results of granted tasks and starts retries and hedges.

    Args:
        records: `JobRecords`.
        dispatcher: `Dispatcher` that granted the tasks.
        answers: `Answers`.
    """

    def __init__(self, records, dispatcher, answers):
        self._records = records
        self._dispatcher = dispatcher
        self._answers = answers
        self._budget = RetryBudget()
        self._ejects = mechanisms.is_enabled("ejection")
        self._hedges = mechanisms.is_enabled("hedging")
        self._hedge_heap = []
        self._sequence = count()

    @property
    def handlers(self):
        """Message handlers by message class."""
        return {ResultBatch: self._on_results, SlotReport: self._on_slot_report}

    def on_executor_lost(self, view, now):
        """Treats the outstanding tasks of a lost executor as lost."""
        for grant in self._dispatcher.drop_executor(view, now):
            self._on_task_lost(grant, view.member, now)

    def expire(self, record, now):
        """Finishes a job whose deadline has passed."""
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

    def reject_infeasible(self, record, now):
        """Rejects a queued job that can no longer meet its deadline."""
        detail = "tasks took longer than expected; the job cannot be done in time"
        outcome = JobOutcome(
            Outcome.NOT_RUN,
            Reason.OVERLOADED,
            detail,
            retry_after_ms=_INFEASIBLE_RETRY_MS,
        )
        self._answers.finish(record, outcome, now)

    def _on_slot_report(self, link, report, now):
        view = self._dispatcher.executors.get(link.peer.member)
        if view is not None and view.link is link:
            view.on_report(report)
            self._dispatcher.update_executor(view, now)
            self._dispatcher.wake()

    def _on_results(self, link, batch, now):
        view = self._dispatcher.executors.get(link.peer.member)
        if view is None or view.link is not link:
            return
        if batch.report is not None:
            view.on_report(batch.report)
        for result in batch.results:
            grant = self._dispatcher.release_grant(
                view, result.job_id, result.index, result.attempt
            )
            if grant is not None:
                self._on_task_result(view, grant, result, now)
        self._dispatcher.update_executor(view, now)
        self._dispatcher.wake()

    def _on_task_result(self, view, grant, result, now):
        record = grant.record
        status = result.status
        record.running.pop((grant.index, grant.attempt), None)
        if status == TaskStatus.REJECTED:
            self._on_rejected(view, grant, result, now)
            return
        view.on_start()
        if status in _ANSWERED:
            record.started += 1
        # An executor that no longer has a result says nothing about its upstream.
        if result.reason != Reason.DUPLICATE:
            self._observe_run(view, record, result, now)
        if record.done:
            return
        if status == TaskStatus.OK:
            self._on_task_ok(grant, result, now)
        elif status == TaskStatus.FAILED:
            self._on_task_failed(grant, result, view.member, now)
        else:
            self._on_task_lost(grant, view.member, now, result.reason)

    def _observe_run(self, view, record, result, now):
        """Uses a run for the metrics, the speed and the health of its executor."""
        if result.status == TaskStatus.CANCELLED:
            if record.extra_attempts:
                self._add_cancelled_sample(view, record.spec, result, now)
            return
        service_s = result.service_us / 1e6
        spec = record.spec
        _service_seconds(spec.account, spec.job_class).observe(service_s)
        self._update_health(view, spec, result.status, service_s, now)

    def _add_cancelled_sample(self, view, spec, result, now):
        """Uses the run time of a cancelled copy as a lower bound of its service time.

        A slow executor whose tasks are all hedged would otherwise never be
        recognised as slow.
        """
        service_s = result.service_us / 1e6
        straggler_s = self._dispatcher.speeds.straggler_s(spec.job_class)
        if straggler_s is not None and service_s > straggler_s:
            self._dispatcher.speeds.add(view.member, spec.job_class, service_s, now)

    def _update_health(self, view, spec, status, service_s, now):
        succeeded = status == TaskStatus.OK
        dispatcher = self._dispatcher
        if succeeded:
            dispatcher.speeds.add(view.member, spec.job_class, service_s, now)
            self._budget.on_success(now)
        kind = (spec.account, spec.job_class)
        executors = len(dispatcher.executors)
        if self._ejects and dispatcher.ejection.add(
            view.member, kind, succeeded, view.slots, executors, now
        ):
            log.warning("executor_ejected", extra={"executor": view.member})

    def _on_task_ok(self, grant, result, now):
        record, index = grant.record, grant.index
        invariants.check(
            "result_once", record.results[index] is None, job=record.spec.job_id
        )
        if grant.attempt > 1 and record.running:
            metrics.HEDGES.labels("won").inc()
        record.results[index] = result.body
        self._records.add_bytes(record, len(result.body))
        record.missing_results -= 1
        record.service_s = max(record.service_s, result.service_us / 1e6)
        if record.missing_results and mechanisms.is_enabled("whole_answers"):
            return
        outcome = JobOutcome(
            Outcome.COMPLETE,
            results=tuple(body or b"null" for body in record.results),
            started=record.started,
            queue_us=int(record.queue_s * 1e6),
            service_us=int(record.service_s * 1e6),
        )
        self._answers.finish(record, outcome, now)

    def _on_task_failed(self, grant, result, member, now):
        record, index = grant.record, grant.index
        if _other_copy_runs(record, index):
            return
        detail = f"task {index} failed on {member}: {result.reason}"
        if self._retry(record, index, detail, now):
            return
        outcome = JobOutcome(
            Outcome.FAILED, Reason(result.reason), detail, started=record.started
        )
        self._answers.finish(record, outcome, now)

    def _on_rejected(self, view, grant, result, now):
        record, index = grant.record, grant.index
        view.on_rejection(now)
        record.forget_grant(index, grant.attempt, view.member)
        record.timeline.add(now, "rejected", index, view.member, result.reason)
        if record.done or _other_copy_runs(record, index):
            return
        if record.spec.deadline <= now:
            self.expire(record, now)
        else:
            self._dispatcher.requeue(record, index)

    def _on_task_lost(self, grant, member, now, reason=Reason.TASK_LOST):
        record, index = grant.record, grant.index
        record.running.pop((index, grant.attempt), None)
        record.maybe_started = True
        record.lost_runs += 1
        if record.done or _other_copy_runs(record, index):
            return
        if reason == Reason.DEADLINE:
            self.expire(record, now)
            return
        detail = f"task {index} may have run on {member}, its result is lost"
        may_retry = record.lost_runs < MAX_LOST_RUNS
        if may_retry and self._retry(record, index, detail, now):
            return
        outcome = JobOutcome(
            Outcome.UNKNOWN, Reason.TASK_LOST, detail, started=record.started
        )
        self._answers.finish(record, outcome, now)

    # Retries and hedges of idempotent requests.

    def _retry(self, record, index, detail, now):
        """Schedules a retry of an idempotent task.

        Returns:
            bool: Whether a retry was allowed.
        """
        may_repeat = record.spec.idempotent or not mechanisms.is_enabled("retry_guard")
        if not may_repeat or record.extra_attempts >= MAX_RETRIES:
            return False
        if not self._budget.take(now):
            record.timeline.add(now, "retry_refused", Reason.RETRY_BUDGET)
            return False
        record.extra_attempts += 1
        delay_s = backoff_s(record.extra_attempts)
        record.timeline.add(now, "retry", index, detail)
        gevent.spawn_later(delay_s, self._queue_retry, record, index)
        return True

    def _queue_retry(self, record, index):
        if not record.done:
            self._dispatcher.queue_retry(record, index)

    def start_due_hedges(self, now):
        """Starts second copies of slow idempotent requests."""
        if not self._hedges:
            return
        heap = self._hedge_heap
        for due, grant in self._dispatcher.take_hedgeable():
            heapq.heappush(heap, (due, next(self._sequence), grant))
        while heap and heap[0][0] <= now:
            grant = heapq.heappop(heap)[2]
            record = grant.record
            if record.done or (grant.index, grant.attempt) not in record.running:
                continue
            if record.extra_attempts >= MAX_RETRIES or not self._budget.take(now):
                continue
            if self._dispatcher.start_hedge(record, grant.index, now):
                record.extra_attempts += 1
                record.timeline.add(now, "hedged", grant.index)
                metrics.HEDGES.labels("started").inc()
            else:
                self._budget.refund()


def _other_copy_runs(record, index):
    """Returns whether another copy of a retried or hedged task is still running."""
    return bool(record.extra_attempts) and any(k[0] == index for k in record.running)
