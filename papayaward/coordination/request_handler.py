"""
papayaward.coordination.request_handler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles requests of entries: submissions, fetches, refusals and cancellations.
"""

from hashlib import blake2b

from ..protocol import mechanisms
from ..protocol.gen.ttypes import (
    Accepted,
    Cancel,
    CancelReply,
    Fetch,
    IdBlock,
    IdBlockRequest,
    Refuse,
    Submit,
)
from ..protocol.identifiers import IdentifierError, parse_job_id
from ..protocol.outcomes import JobOutcome, Outcome, Reason
from ..state.id_blocks import IdBlocks, NumberState
from ..state.job_records import JobRecord, JobSpec
from .admission import check_admission

__all__ = ["RequestHandler"]


class RequestHandler:
    """Handles the requests that entries send to a coordinator.

    Args:
        node: The runner.
        records: `JobRecords`.
        dispatcher: `Dispatcher` that runs the tasks.
        answers: `Answers`.
    """

    def __init__(self, node, records, dispatcher, answers):
        self._node = node
        self._settings = node.settings
        self._records = records
        self._dispatcher = dispatcher
        self._answers = answers
        self._blocks = IdBlocks(node.settings.id_block_ttl_s)

    @property
    def handlers(self):
        """Message handlers by message class."""
        return {
            IdBlockRequest: self._on_id_block_request,
            Submit: self._on_submit,
            Fetch: self._on_fetch,
            Refuse: self._on_refuse,
            Cancel: self._on_cancel,
        }

    def _on_id_block_request(self, link, message, now):
        count = max(1, min(message.count, 4096))
        first = self._blocks.issue(count, now)
        ttl_ms = int(self._blocks.ttl_s * 1000)
        link.try_send(IdBlock(message.request_id, first, count, ttl_ms))

    def _on_submit(self, link, message, now):
        record = self._records.get(message.job_id)
        if not mechanisms.is_enabled("record_dedup"):
            record = None
        digest = _digest(message)
        if record is not None and record.digest != digest:
            # Another submission already uses this identifier; this one must not run.
            detail = "the identifier was used with another body"
            outcome = JobOutcome(Outcome.NOT_RUN, Reason.KEY_REUSED, detail)
            self._answers.send(link, message.request_id, message.job_id, outcome)
            return
        if record is not None:
            record.timeline.add(now, "resubmitted", link.peer.member)
            self._answers.answer_when_done(link, message.request_id, record)
            return
        refusal = self._claim_number(message.job_id, now)
        if refusal is not None:
            self._answers.send(link, message.request_id, message.job_id, refusal)
            return
        spec = JobSpec(
            job_id=message.job_id,
            service=message.service_name,
            account=message.tenant,
            job_class=message.job_class,
            deadline=now + message.deadline_ms / 1000,
            # Tasks of jobs with several tasks are never started a second time.
            idempotent=message.idempotent and len(message.tasks) == 1,
            tasks=tuple(message.tasks),
        )
        record = JobRecord(spec, now, digest)
        record.timeline.add(now, "received", link.peer.member, len(spec.tasks), "tasks")
        self._records.add(record)
        self._admit(record, now)
        if not record.done:
            link.try_send(Accepted(message.request_id))
        self._answers.answer_when_done(link, message.request_id, record)

    def _claim_number(self, job_id, now):
        """Marks the job's number as used; returns an outcome if the job may not run."""
        refusal = self._check_number(job_id, now)
        if refusal is None or refusal.reason is Reason.IDENTIFIER_UNKNOWN:
            self._mark_used(job_id, now)
        return refusal

    def _mark_used(self, job_id, now):
        try:
            self._blocks.mark_used(parse_job_id(job_id).number, now)
        except IdentifierError:
            # A malformed identifier is never issued, so it needs no mark.
            pass

    def _check_number(self, job_id, now):
        """Returns an outcome if the job may not run, else None."""
        try:
            parsed = parse_job_id(job_id)
        except IdentifierError as error:
            return JobOutcome(Outcome.NOT_RUN, Reason.IDENTIFIER_UNKNOWN, str(error))
        hello = self._node.hello()
        own = (parsed.member, parsed.incarnation) == (hello.member, hello.incarnation)
        if not own and mechanisms.is_enabled("incarnation_check"):
            return JobOutcome(
                Outcome.UNKNOWN, Reason.HOME_GONE, "the job's home was replaced"
            )
        state = self._blocks.state(parsed.number, now)
        if state is NumberState.USED and not mechanisms.is_enabled("record_dedup"):
            return None
        if state is NumberState.EXPIRED and not mechanisms.is_enabled("block_expiry"):
            return None
        if state is NumberState.UNUSED:
            return None
        if state is NumberState.NOT_ISSUED:
            return JobOutcome(
                Outcome.NOT_RUN, Reason.IDENTIFIER_UNKNOWN, "no such identifier"
            )
        if state is NumberState.OUT_OF_RANGE:
            return JobOutcome(
                Outcome.UNKNOWN, Reason.IDENTIFIER_EXPIRED, "no number of this home"
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
        refusal = check_admission(
            self._dispatcher.load(spec.account, now),
            self._settings,
            self._dispatcher.demand(spec, record.size),
            now,
        )
        if refusal.reason is not Reason.NONE:
            self._refuse(
                record, refusal.reason, refusal.detail, refusal.retry_after_ms, now
            )
            return
        record.timeline.add(
            now, "accepted", f"{self._dispatcher.queued} tasks queued before"
        )
        if spec.tasks:
            self._dispatcher.enqueue(record)
        else:
            self._answers.finish(record, JobOutcome(Outcome.COMPLETE), now)

    def _refuse(self, record, reason, detail, retry_after_ms, now):
        outcome = JobOutcome(
            Outcome.NOT_RUN, reason, detail, retry_after_ms=retry_after_ms
        )
        self._answers.finish(record, outcome, now)

    def _on_fetch(self, link, message, now):
        record = self._records.get(message.job_id)
        if record is None:
            # The number stays usable: its submission may still be in flight.
            outcome = self._check_number(message.job_id, now) or JobOutcome(
                Outcome.UNKNOWN, Reason.NOT_SUBMITTED, "no submission has arrived yet"
            )
            self._answers.send(link, message.request_id, message.job_id, outcome)
        elif message.wait or record.done:
            self._answers.answer_when_done(link, message.request_id, record)
        else:
            link.try_send(Accepted(message.request_id))

    def _on_refuse(self, link, message, now):
        record = self._records.get(message.job_id)
        if record is not None:
            self._answers.answer_when_done(link, message.request_id, record)
            return
        claim = self._claim_number
        if not mechanisms.is_enabled("refusal_kept"):
            claim = self._check_number
        outcome = claim(message.job_id, now) or JobOutcome(
            Outcome.NOT_RUN, Reason(message.reason), "the request was refused"
        )
        self._answers.send(link, message.request_id, message.job_id, outcome)

    def _on_cancel(self, link, message, now):
        cancelled = 0
        for job_id in message.job_ids:
            record = self._records.get(job_id)
            if record is None:
                # Marks the number as used, so that a submission still in flight
                # cannot start after the cancellation.
                self._claim_number(job_id, now)
            elif not record.done:
                detail = f"{record.started} tasks had started"
                outcome = JobOutcome(
                    Outcome.CANCELLED,
                    Reason.CANCELLED,
                    detail,
                    started=record.started,
                )
                self._answers.finish(record, outcome, now)
                cancelled += 1
        link.try_send(CancelReply(message.request_id, cancelled))


def _digest(message):
    """Returns a hash of a submission: service, client account, class and tasks."""
    head = (message.service_name, message.tenant, message.job_class)
    digest = blake2b("\0".join(head).encode(), digest_size=16)
    for task in message.tasks:
        digest.update(len(task).to_bytes(4, "big"))
        digest.update(task)
    return digest.digest()
