"""
papayaward.coordination.answers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records the outcome of each job and sends it to the entries that wait for it.
"""

from ..protocol.gen.ttypes import Answer
from ..protocol.outcomes import Outcome
from ..state import invariants, metrics

__all__ = ["Answers"]


class Answers:
    """Outcomes of the jobs of one coordinator.

    Args:
        records: `JobRecords`.
        dispatcher: `Dispatcher` that runs the tasks.
    """

    def __init__(self, records, dispatcher):
        self._records = records
        self._dispatcher = dispatcher

    def answer_when_done(self, link, request_id, record):
        """Answers a request at once if the job is done, else when it finishes."""
        if record.done:
            self.send(
                link, request_id, record.spec.job_id, record.outcome, record.tasks
            )
        else:
            record.waiters.append((link, request_id))

    def send(self, link, request_id, job_id, outcome, tasks=None):
        """Sends the outcome of a job to an entry.

        Args:
            link: Link to the entry.
            request_id: Identifier of the entry's request.
            job_id: Identifier of the job.
            outcome: `JobOutcome`.
            tasks: Number of tasks, to check that the answer has all results; None
                if unknown.
        """
        if tasks is not None and outcome.outcome is Outcome.COMPLETE:
            whole = len(outcome.results) == tasks
            invariants.check("answer_whole", whole, job=job_id)
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

    def finish(self, record, outcome, now):
        """Sets the outcome of a job, cancels its tasks and answers its requests."""
        spec = record.spec
        if outcome.outcome is Outcome.NOT_RUN:
            may_have_run = record.started or record.running or record.maybe_started
            invariants.check("not_run_is_true", not may_have_run, job=spec.job_id)
        waiters, record.waiters = record.waiters, []
        running = set(record.running.values())
        self._dispatcher.discard(record)
        self._records.finish(record, outcome, now)
        record.timeline.add(now, "finished", outcome.outcome, outcome.reason)
        metrics.ANSWERS.labels(spec.account, outcome.outcome, outcome.reason).inc()
        if outcome.outcome is Outcome.COMPLETE:
            labels = (spec.account, spec.job_class)
            response_s = now - record.arrived
            metrics.RESPONSE_SECONDS.labels(*labels).observe(response_s)
            if record.service_s:
                ratio = response_s / record.service_s
                metrics.RESPONSE_OVER_SERVICE.labels(*labels).observe(ratio)
        for member in running:
            self._dispatcher.cancel(member, spec.job_id)
        for link, request_id in waiters:
            self.send(link, request_id, spec.job_id, outcome, record.tasks)
