"""
papayaward.coordination.job_report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Log line and metrics of a job that has an outcome.
"""

import logging

from ..state import metrics
from .job_state import DONE

__all__ = ["job_fields", "report_end"]

log = logging.getLogger(__name__)


def report_end(job, now):
    """Logs and counts the outcome of a job.

    Args:
        job: `Job`.
        now: Time, seconds.
    """
    seconds = now - job.arrived_at
    labels = (job.queue.service, job.queue.name)
    metrics.RESPONSE_SECONDS.labels(*labels).observe(seconds)
    metrics.ANSWERS.labels(
        job.queue.service, job.outcome.kind, job.outcome.reason
    ).inc()
    fields = job_fields(job)
    if job.started:
        fields.update(
            first_start_s=round(job.first_start_at - job.arrived_at, 4),
            last_start_s=round(job.last_start_at - job.arrived_at, 4),
        )
    fields.update(
        outcome=job.outcome.kind,
        reason=job.outcome.reason,
        seconds=round(seconds, 4),
        objective_s=round(job.objective_s, 4),
        starts=job.starts,
        tasks=len(job.tasks),
        done=sum(task.state is DONE for task in job.tasks),
    )
    log.info("job_ended", extra=fields)


def job_fields(job):
    """Returns the fields of log lines that identify a job."""
    return {
        "request_id": job.request.request_id,
        "job": job.request.job_id,
        "queue": job.queue.name,
    }
