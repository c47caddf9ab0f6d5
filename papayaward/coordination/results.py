"""
papayaward.coordination.results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a home does with results, rejections and losses of tasks.
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
from .retries import MAX_RETRIES, RetryBudget, backoff_s

__all__ = ["Results"]

log = logging.getLogger(__name__)

_GIVE_UP_RETRY_MS = 1000

_service_seconds = lru_cache(4096)(metrics.SERVICE_SECONDS.labels)


class Results:
    """Takes what became of the granted tasks.

    Args:
        records: `JobRecords`.
        dispatcher: `Dispatcher` that granted them.
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
        """Handlers of messages by their class."""
        return {ResultBatch: self._on_results, SlotReport: self._on_slot_report}

    def on_executor_lost(self, view, now):
        """Gives up the tasks of an executor that is gone."""
        for placed in self._dispatcher.drop_executor(view, now):
            self._task_lost(placed, view.member, now)

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

    def reject_infeasible(self, record, now):
        """Answers a job that waited so long that it cannot meet its deadline."""
        detail = "tasks took longer than expected; the job cannot be done in time"
        outcome = JobOutcome(
            Outcome.NOT_RUN, Reason.OVERLOADED, detail, retry_after_ms=_GIVE_UP_RETRY_MS
        )
        self._answers.finish(record, outcome, now)

    def _on_slot_report(self, link, report, now):
        view = self._dispatcher.executors.get(link.peer.member)
        if view is not None and view.link is link:
            view.on_report(report)
            self._dispatcher.touch(view, now)
            self._dispatcher.wake()

    def _on_results(self, link, batch, now):
        view = self._dispatcher.executors.get(link.peer.member)
        if view is None or view.link is not link:
            return
        if batch.report is not None:
            view.on_report(batch.report)
        for result in batch.results:
            placed = self._dispatcher.take(
                view, result.job_id, result.index, result.attempt
            )
            if placed is not None:
                self._on_task_result(view, placed, result, now)
        self._dispatcher.touch(view, now)
        self._dispatcher.wake()

    def _on_task_result(self, view, placed, result, now):
        record = placed.record
        status = result.status
        record.running.pop((placed.index, placed.attempt), None)
        if status == TaskStatus.REJECTED:
            self._on_rejected(view, placed, result, now)
            return
        view.on_start()
        record.started += 1
        if status != TaskStatus.CANCELLED:
            service_s = result.service_us / 1e6
            spec = record.spec
            _service_seconds(spec.tenant, spec.job_class).observe(service_s)
            self._note_health(view, spec, status, service_s, now)
        elif record.extra_attempts:
            self._note_loser(view, record.spec, result, now)
        if record.done:
            return
        if status == TaskStatus.OK:
            self._on_task_ok(placed, result, now)
        elif status == TaskStatus.FAILED:
            self._on_task_failed(placed, result, view.member, now)
        else:
            self._task_lost(placed, view.member, now)

    def _note_loser(self, view, spec, result, now):
        """Learns from a cancelled copy, which took at least the time it ran.

        A slow executor whose tasks are all hedged would otherwise never be known
        as slow.
        """
        service_s = result.service_us / 1e6
        straggler_s = self._dispatcher.speeds.straggler_s(spec.job_class)
        if straggler_s is not None and service_s > straggler_s:
            self._dispatcher.speeds.add(view.member, spec.job_class, service_s, now)

    def _note_health(self, view, spec, status, service_s, now):
        succeeded = status == TaskStatus.OK
        dispatcher = self._dispatcher
        if succeeded:
            dispatcher.speeds.add(view.member, spec.job_class, service_s, now)
            self._budget.on_success(now)
        kind = (spec.tenant, spec.job_class)
        executors = len(dispatcher.executors)
        if self._ejects and dispatcher.ejection.add(
            view.member, kind, succeeded, view.slots, executors, now
        ):
            log.warning("executor_ejected", extra={"executor": view.member})

    def _on_task_ok(self, placed, result, now):
        record, index = placed.record, placed.index
        invariants.check(
            "result_once", record.results[index] is None, job=record.spec.job_id
        )
        if placed.attempt > 1 and record.running:
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

    def _on_task_failed(self, placed, result, member, now):
        record, index = placed.record, placed.index
        if _other_copy_runs(record, index):
            return
        detail = f"task {index} failed on {member}: {result.reason}"
        if self._retry(record, index, detail, now):
            return
        outcome = JobOutcome(
            Outcome.FAILED, Reason(result.reason), detail, started=record.started
        )
        self._answers.finish(record, outcome, now)

    def _on_rejected(self, view, placed, result, now):
        record, index = placed.record, placed.index
        view.on_rejection(now)
        record.timeline.add(now, "rejected", index, view.member, result.reason)
        if record.done or _other_copy_runs(record, index):
            return
        if record.spec.deadline <= now:
            self.expire(record, now)
        else:
            self._dispatcher.requeue(record, index)

    def _task_lost(self, placed, member, now):
        record, index = placed.record, placed.index
        record.running.pop((index, placed.attempt), None)
        record.maybe_started = True
        if record.done or _other_copy_runs(record, index):
            return
        detail = f"task {index} may have run on {member}, its result is lost"
        if self._retry(record, index, detail, now):
            return
        outcome = JobOutcome(
            Outcome.UNKNOWN, Reason.TASK_LOST, detail, started=record.started
        )
        self._answers.finish(record, outcome, now)

    # Second starts of idempotent requests.

    def _retry(self, record, index, detail, now):
        """Starts an idempotent task again and returns whether it may be."""
        may_repeat = record.spec.idempotent or not mechanisms.is_enabled("retry_guard")
        if not may_repeat or record.extra_attempts >= MAX_RETRIES:
            return False
        if not self._budget.take(now):
            record.timeline.add(now, "retry_refused", Reason.RETRY_BUDGET)
            return False
        record.extra_attempts += 1
        delay_s = backoff_s(record.extra_attempts)
        record.timeline.add(now, "retry", index, detail)
        gevent.spawn_later(delay_s, self._start_again, record, index)
        return True

    def _start_again(self, record, index):
        if not record.done:
            self._dispatcher.start_again(record, index)

    def start_due_hedges(self, now):
        """Starts second copies of idempotent requests that take long."""
        if not self._hedges:
            return
        heap = self._hedge_heap
        for due, placed in self._dispatcher.take_hedgeable():
            heapq.heappush(heap, (due, next(self._sequence), placed))
        while heap and heap[0][0] <= now:
            placed = heapq.heappop(heap)[2]
            record = placed.record
            if record.done or (placed.index, placed.attempt) not in record.running:
                continue
            if record.extra_attempts >= MAX_RETRIES or not self._budget.take(now):
                continue
            if self._dispatcher.start_hedge(record, placed.index, now):
                record.extra_attempts += 1
                record.timeline.add(now, "hedged", placed.index)
                metrics.HEDGES.labels("started").inc()
            else:
                self._budget.give_back()


def _other_copy_runs(record, index):
    """Returns whether a hedged task still runs elsewhere."""
    return bool(record.extra_attempts) and any(k[0] == index for k in record.running)
