"""
papayaward.coordination.coordinator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Home of jobs: accepts them, places their tasks and answers with the whole result.
"""

import json
import logging
import time

import gevent
from gevent.event import Event

from ..protocol.gen.ttypes import (
    Accepted,
    Answer,
    Cancel,
    CancelReply,
    CancelTasks,
    Fetch,
    Grant,
    IdBlock,
    IdBlockRequest,
    Query,
    QueryReply,
    Refuse,
    ResultBatch,
    RunBatch,
    SlotReport,
    Submit,
)
from ..protocol.identifiers import IdentifierError, parse_job_id
from ..protocol.outcomes import JobOutcome, Outcome, Reason, TaskStatus
from ..state import invariants, metrics
from ..state.id_blocks import IdBlocks, NumberState
from ..state.job_records import JobRecord, JobRecords, JobSpec
from .admission import Load, check_admission
from .ejection import Ejection
from .executor_views import ExecutorView
from .fair_queue import FairQueue
from .placement import POLICIES, SpeedEstimates
from .retries import RetryBudget, backoff_s

__all__ = ["Coordinator"]

log = logging.getLogger(__name__)

_TICK_S = 0.05
_MAX_RETRIES = 3


class Coordinator:
    """Jobs of one home and the executors of its cell.

    Args:
        node: The runner; supplies `hello()`, `incarnation`, `config`, `settings`
            and `draining`.
    """

    def __init__(self, node):
        settings = node.settings
        self._node = node
        self._settings = settings
        self._blocks = IdBlocks(settings.id_block_ttl_s)
        self._records = JobRecords(settings.result_ttl_s, settings.max_queued_bytes)
        self._queue = FairQueue()
        self._queued_bytes = 0
        self._queued_work_s = 0.0
        self._executors = {}
        self._policy = POLICIES[settings.placement]
        self._speeds = SpeedEstimates()
        self._ejection = Ejection()
        self._budget = RetryBudget()
        self._wakeup = Event()
        self._handlers = {
            IdBlockRequest: self._on_id_block_request,
            Submit: self._on_submit,
            Fetch: self._on_fetch,
            Refuse: self._on_refuse,
            Cancel: self._on_cancel,
            Query: self._on_query,
            ResultBatch: self._on_results,
            SlotReport: self._on_slot_report,
        }
        gevent.spawn(self._dispatch_loop)
        gevent.spawn(self._tick_loop)

    @property
    def queued(self):
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    @property
    def open_jobs(self):
        """Number of jobs without an answer."""
        return self._records.open_count

    def on_message(self, link, message, now):
        """Handles a message and returns whether it was meant for a coordinator."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(link, message, now)
        return True

    def on_config(self):
        """Places tasks anew after a change of the configuration."""
        self._wakeup.set()

    # Executors of the cell.

    def on_members(self, members):
        """Takes the members of the cell, a list of `Member`."""
        present = {(member.member, member.incarnation) for member in members}
        for member in members:
            view = self._executors.get(member.member)
            if view is None or view.incarnation != member.incarnation:
                if view is not None:
                    self._lose(view, time.monotonic())
                self._executors[member.member] = ExecutorView(
                    member.member, member.incarnation, member.domain
                )
        for view in list(self._executors.values()):
            known = (view.member, view.incarnation) in present
            if not known and not view.outstanding and view.link is None:
                del self._executors[view.member]
        self._wakeup.set()

    def on_executor_up(self, link, now):
        """Takes a link to an executor and sends it the outstanding grants again."""
        hello = link.peer
        view = self._executors.get(hello.member)
        if view is None or view.incarnation != hello.incarnation:
            if view is not None:
                self._lose(view, now)
            view = ExecutorView(hello.member, hello.incarnation, hello.domain)
            self._executors[hello.member] = view
        view.link = link
        view.lost_at = None
        if view.outstanding:
            self._send_grants(view, list(view.outstanding.values()), now)
        self._wakeup.set()

    def on_executor_down(self, link, now):
        """Starts the grace period of an executor whose link closed."""
        view = self._executors.get(link.peer.member)
        if view is not None and view.link is link:
            view.link = None
            view.lost_at = now

    def _on_slot_report(self, link, report, now):
        view = self._executors.get(link.peer.member)
        if view is not None and view.link is link:
            view.on_report(report)
            self._wakeup.set()

    def _lose(self, view, now):
        view.link = None
        outstanding, view.outstanding = view.outstanding, {}
        for key, (record, index, _) in outstanding.items():
            self._queue.give_slot(record.spec.tenant)
            self._task_lost(record, index, view.member, now)
        self._speeds.forget(view.member)
        self._ejection.forget(view.member)

    # Requests of entries.

    def _on_id_block_request(self, link, message, now):
        count = max(1, min(message.count, 4096))
        first = self._blocks.issue(count, now)
        ttl_ms = int(self._blocks.ttl_s * 1000)
        link.try_send(IdBlock(message.request_id, first, count, ttl_ms))

    def _on_submit(self, link, message, now):
        record = self._records.get(message.job_id)
        if record is not None:
            record.timeline.add(now, "resubmitted", link.peer.member)
            self._wait_or_answer(link, message.request_id, record)
            return
        refusal = self._claim_number(message.job_id, now)
        if refusal is not None:
            self._send_answer(link, message.request_id, message.job_id, refusal)
            return
        spec = JobSpec(
            job_id=message.job_id,
            service=message.service_name,
            tenant=message.tenant,
            job_class=message.job_class,
            deadline=now + message.deadline_ms / 1000,
            idempotent=message.idempotent,
            tasks=tuple(message.tasks),
        )
        record = JobRecord(spec, now)
        record.timeline.add(now, "received", link.peer.member, len(spec.tasks), "tasks")
        self._records.add(record)
        self._admit(record, now)
        if not record.done:
            link.try_send(Accepted(message.request_id))
        self._wait_or_answer(link, message.request_id, record)

    def _claim_number(self, job_id, now):
        """Marks the job's number as used; returns an outcome if it may not run."""
        try:
            parsed = parse_job_id(job_id)
        except IdentifierError as error:
            return JobOutcome(Outcome.NOT_RUN, Reason.IDENTIFIER_UNKNOWN, str(error))
        hello = self._node.hello()
        if (parsed.member, parsed.incarnation) != (hello.member, hello.incarnation):
            return JobOutcome(
                Outcome.UNKNOWN, Reason.HOME_GONE, "the job's home was replaced"
            )
        state = self._blocks.use(parsed.number, now)
        if state is NumberState.UNUSED:
            return None
        if state is NumberState.NOT_ISSUED:
            return JobOutcome(
                Outcome.NOT_RUN, Reason.IDENTIFIER_UNKNOWN, "no such identifier"
            )
        if state is NumberState.USED:
            return JobOutcome(
                Outcome.UNKNOWN, Reason.RECORD_EXPIRED, "the answer is no longer kept"
            )
        return JobOutcome(
            Outcome.UNKNOWN, Reason.IDENTIFIER_EXPIRED, "the identifier has expired"
        )

    def _admit(self, record, now):
        spec = record.spec
        service = self._node.hello().service_name
        if spec.service != service:
            detail = f"the identifier belongs to the service {service}"
            self._refuse(record, Reason.BAD_REQUEST, detail, 0, now)
            return
        if self._node.draining:
            self._refuse(record, Reason.DRAINING, "the home is stopping", 100, now)
            return
        expected_s = self._speeds.expected_s(spec.job_class)
        refusal = check_admission(
            self._load(),
            self._settings,
            len(spec.tasks),
            record.size,
            expected_s * len(spec.tasks),
            spec.deadline - now,
        )
        if refusal.reason is not Reason.NONE:
            self._refuse(
                record, refusal.reason, refusal.detail, refusal.retry_after_ms, now
            )
            return
        record.timeline.add(now, "accepted", f"{self.queued} tasks queued before")
        for index in range(len(spec.tasks)):
            self._enqueue(record, index)
        if not spec.tasks:
            self._finish(record, JobOutcome(Outcome.COMPLETE), now)
        self._wakeup.set()

    def _load(self):
        slots = sum(view.slots for view in self._executors.values() if view.usable)
        return Load(
            len(self._queue),
            self._queued_bytes + self._records.kept_bytes,
            slots,
            self._queued_work_s,
        )

    def _refuse(self, record, reason, detail, retry_after_ms, now):
        outcome = JobOutcome(
            Outcome.NOT_RUN, reason, detail, retry_after_ms=retry_after_ms
        )
        self._finish(record, outcome, now)

    def _on_fetch(self, link, message, now):
        record = self._records.get(message.job_id)
        if record is None:
            outcome = self._claim_number(message.job_id, now) or JobOutcome(
                Outcome.NOT_RUN, Reason.CANCELLED, "the identifier was never submitted"
            )
            self._send_answer(link, message.request_id, message.job_id, outcome)
        elif message.wait or record.done:
            self._wait_or_answer(link, message.request_id, record)
        else:
            link.try_send(Accepted(message.request_id))

    def _on_refuse(self, link, message, now):
        record = self._records.get(message.job_id)
        if record is not None:
            self._wait_or_answer(link, message.request_id, record)
            return
        outcome = self._claim_number(message.job_id, now) or JobOutcome(
            Outcome.NOT_RUN, Reason(message.reason), "the request was refused"
        )
        self._send_answer(link, message.request_id, message.job_id, outcome)

    def _on_cancel(self, link, message, now):
        cancelled = 0
        for job_id in message.job_ids:
            record = self._records.get(job_id)
            if record is None:
                # Marks the number as used, so that a submission that is still
                # on its way cannot start after the cancellation.
                self._claim_number(job_id, now)
            elif not record.done:
                detail = f"{record.started} tasks had started"
                outcome = JobOutcome(
                    Outcome.CANCELLED,
                    Reason.CANCELLED,
                    detail,
                    started=record.started,
                )
                self._finish(record, outcome, now)
                cancelled += 1
        self._prune_queue()
        link.try_send(CancelReply(message.request_id, cancelled))

    def _on_query(self, link, message, now):
        if message.kind == "explain":
            document = self._explain(message.argument, now)
        else:
            document = self._status(now)
        body = json.dumps(document).encode()
        link.try_send(QueryReply(message.request_id, body))

    def _explain(self, job_id, now):
        record = self._records.get(job_id)
        if record is None:
            return {"job_id": job_id, "found": False}
        return {
            "job_id": job_id,
            "found": True,
            "tenant": record.spec.tenant,
            "class": record.spec.job_class,
            "tasks": len(record.spec.tasks),
            "missing": record.missing,
            "outcome": record.outcome.outcome if record.done else "running",
            "reason": record.outcome.reason if record.done else "",
            "age_ms": int((now - record.arrived) * 1000),
            "events": record.timeline.export(),
        }

    def _status(self, now):
        return {
            "queued": len(self._queue),
            "open_jobs": self.open_jobs,
            "executors": [
                {
                    "member": view.member,
                    "domain": view.domain,
                    "linked": view.link is not None,
                    "slots": view.slots,
                    "outstanding": len(view.outstanding),
                    "limit": view.limit,
                    "accepting": view.accepting,
                    "slowness": round(self._speeds.slowness(view.member), 2),
                }
                for view in self._executors.values()
            ],
            "ejected": self._ejection.ejected(now),
        }

    # Answers.

    def _wait_or_answer(self, link, request_id, record):
        if record.done:
            self._send_answer(
                link, request_id, record.spec.job_id, record.outcome, record.spec
            )
        else:
            record.waiters.append((link, request_id))

    def _send_answer(self, link, request_id, job_id, outcome, spec=None):
        if spec is not None and outcome.outcome is Outcome.COMPLETE:
            invariants.check(
                "answer_whole", len(outcome.results) == len(spec.tasks), job=job_id
            )
        link.try_send(
            Answer(
                request_id,
                job_id,
                outcome.outcome,
                outcome.reason,
                outcome.detail,
                list(outcome.results),
                outcome.retry_after_ms,
                outcome.started,
                outcome.queue_us,
                outcome.service_us,
            )
        )

    def _finish(self, record, outcome, now):
        spec = record.spec
        if outcome.outcome is Outcome.NOT_RUN:
            may_have_run = record.started or record.running or record.maybe_started
            invariants.check("not_run_is_true", not may_have_run, job=spec.job_id)
        waiters, record.waiters = record.waiters, []
        running = set(record.running.values())
        self._records.finish(record, outcome, now)
        record.timeline.add(now, "finished", outcome.outcome, outcome.reason)
        metrics.ANSWERS.labels(spec.tenant, outcome.outcome, outcome.reason).inc()
        if outcome.outcome is Outcome.COMPLETE:
            labels = (spec.tenant, spec.job_class)
            response_s = now - record.arrived
            metrics.RESPONSE_SECONDS.labels(*labels).observe(response_s)
            if record.service_s:
                ratio = response_s / record.service_s
                metrics.RESPONSE_OVER_SERVICE.labels(*labels).observe(ratio)
        for member in running:
            view = self._executors.get(member)
            if view is not None and view.link is not None:
                view.link.try_send(CancelTasks([spec.job_id]))
        for link, request_id in waiters:
            self._send_answer(link, request_id, spec.job_id, outcome, spec)

    # Queue and placement.

    def _enqueue(self, record, index, front=False):
        spec = record.spec
        job_class = self._node.config.config.classes.get(spec.job_class)
        priority = job_class.priority if job_class is not None else 10
        self._queue.push(spec.tenant, priority, (record, index), front)
        self._queued_bytes += len(spec.tasks[index])
        self._queued_work_s += self._speeds.expected_s(spec.job_class)

    def _dequeue(self, total_slots):
        tenants = self._node.config.config.tenants

        def shares(name):
            tenant = tenants.get(name)
            if tenant is None:
                return 0.0, 1.0
            return tenant.quota * total_slots, tenant.weight

        item = self._queue.pop(shares, lambda entry: not entry[0].done)
        if not self._queue:
            self._queued_bytes = 0
            self._queued_work_s = 0.0
        elif item is not None:
            record, index = item
            self._queued_bytes -= len(record.spec.tasks[index])
            self._queued_work_s -= self._speeds.expected_s(record.spec.job_class)
        return item

    def _prune_queue(self):
        self._queue.prune(lambda entry: not entry[0].done)
        if not self._queue:
            self._queued_bytes = 0
            self._queued_work_s = 0.0

    def _dispatch_loop(self):
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            self._dispatch(time.monotonic())

    def _dispatch(self, now):
        self._refresh_views(now)
        executors = list(self._executors.values())
        total_slots = sum(view.slots for view in executors if view.usable)
        batches = {}
        while self._queue:
            view = self._policy(executors, self._speeds)
            if view is None:
                break
            item = self._dequeue(total_slots)
            if item is None:
                break
            record, index = item
            attempt = record.attempts.get(index, 0) + 1
            record.attempts[index] = attempt
            entry = (record, index, attempt)
            view.outstanding[record.spec.job_id, index] = entry
            record.running[index] = view.member
            self._queue.take_slot(record.spec.tenant)
            record.timeline.add(now, "granted", index, "to", view.member)
            waited_s = now - record.arrived
            record.queue_s = max(record.queue_s, waited_s)
            metrics.QUEUE_SECONDS.labels(
                record.spec.tenant, record.spec.job_class
            ).observe(waited_s)
            batches.setdefault(view.member, []).append(entry)
        for member, entries in batches.items():
            self._send_grants(self._executors[member], entries, now)
        metrics.QUEUED_TASKS.set(len(self._queue))

    def _refresh_views(self, now):
        domains_out = self._node.config.config.domains_out
        for view in self._executors.values():
            view.in_service = view.domain not in domains_out
            view.limit = self._ejection.limit(view.member, view.slots, now)

    def _send_grants(self, view, entries, now):
        grants = [
            Grant(
                record.spec.job_id,
                index,
                attempt,
                record.spec.tasks[index],
                max(0, int((record.spec.deadline - now) * 1000)),
                record.spec.tenant,
                record.spec.job_class,
            )
            for record, index, attempt in entries
        ]
        if view.link is not None:
            view.link.try_send(RunBatch(view.incarnation, grants))

    # Results.

    def _on_results(self, link, batch, now):
        view = self._executors.get(link.peer.member)
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
            self._queue.give_slot(record.spec.tenant)
            self._on_task_result(view, record, index, result, now)
        self._wakeup.set()

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
            self._speeds.add(view.member, spec.job_class, service_s)
            self._budget.on_success()
        if self._ejection.add(view.member, succeeded, view.slots, now):
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
        self._finish(record, outcome, now)

    def _on_task_failed(self, record, index, result, member, now):
        detail = f"task {index} failed on {member}: {result.reason}"
        if self._retry(record, index, detail, now):
            return
        outcome = JobOutcome(
            Outcome.FAILED, Reason(result.reason), detail, started=record.started
        )
        self._finish(record, outcome, now)

    def _on_rejected(self, view, record, index, result, now):
        record.timeline.add(now, "rejected", index, view.member, result.reason)
        if record.done:
            return
        if record.spec.deadline <= now:
            self._expire(record, now)
        else:
            self._enqueue(record, index, front=True)

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
        self._finish(record, outcome, now)

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
            self._enqueue(record, index, front=True)
            self._wakeup.set()

    # Time.

    def _tick_loop(self):
        while True:
            gevent.sleep(_TICK_S)
            self._tick(time.monotonic())

    def _tick(self, now):
        for view in list(self._executors.values()):
            lost_at = view.lost_at
            grace_s = self._settings.reconnect_grace_s
            if lost_at is not None and now - lost_at > grace_s:
                self._lose(view, now)
                view.lost_at = None
        for record in self._records.take_due(now):
            self._expire(record, now)
        self._records.expire(now)
        if self._queue:
            self._wakeup.set()

    def _expire(self, record, now):
        detail = "the deadline passed before the job was complete"
        if record.started:
            outcome = Outcome.FAILED
        elif record.running or record.maybe_started:
            outcome = Outcome.UNKNOWN
        else:
            outcome = Outcome.NOT_RUN
        self._finish(
            record,
            JobOutcome(outcome, Reason.DEADLINE, detail, started=record.started),
            now,
        )
