"""
papayaward.coordination.upstream_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What ran on an upstream when it ended without notice.
"""

import logging
from dataclasses import dataclass

from ..state import metrics
from ..state.crash_records import Crash, CrashedJob, Evidence, job_id_of

__all__ = ["LostRun", "crash_of", "log_crash"]

log = logging.getLogger(__name__)

# Number of jobs that are suspected of a crash if none was isolated.
_MAX_SUSPECTS = 3
# Number of runs that one log line names.
_MAX_LOGGED_RUNS = 20


def log_crash(upstream, reason, runs, now):
    """Logs the runs of an upstream that has crashed, the latest start first.

    Args:
        upstream: Identifier of the upstream instance.
        reason: How the crash was noticed.
        runs: `Run` of each run that was lost.
        now: Time, seconds.
    """
    latest_first = sorted(runs, key=lambda run: -run.started_at)
    metrics.UPSTREAM_CRASHES.inc()
    log.warning(
        "upstream_crashed",
        extra={
            "upstream": upstream,
            "reason": reason,
            "lost_runs": len(latest_first),
            "runs": [
                {
                    "task": run.task,
                    "run": run.run,
                    "request_id": run.request_id,
                    "age_s": round(now - run.started_at, 3),
                }
                for run in latest_first[:_MAX_LOGGED_RUNS]
            ],
        },
    )


@dataclass(frozen=True)
class LostRun:
    """A run on a crashed upstream, as far as it tells who caused the crash.

    Attributes:
        task: Name of the task.
        queue: Name of its job's queue.
        isolated: Whether the job was isolated there.
        guarded: Whether the queue is guarded.
        running: Whether the upstream has accepted the start.
        started_at: Time of the start, seconds.
    """

    task: str
    queue: str
    isolated: bool
    guarded: bool
    running: bool
    started_at: float


def crash_of(upstream, service, runs, at):
    """Returns the `Crash` of an upstream.

    Args:
        upstream: Key of the upstream instance.
        service: Its service.
        runs: `LostRun` or `Run` of each run that was lost.
        at: Time of the crash, seconds.
    """
    by_job = {}
    for run in sorted(runs, key=_suspicion, reverse=True):
        by_job.setdefault(job_id_of(run.task), []).append(run)
    isolated = {job_id for job_id, runs in by_job.items() if runs[0].isolated}
    jobs = tuple(
        CrashedJob(
            job_runs[0].queue,
            tuple(run.task for run in job_runs),
            _evidence(job_id, job_runs[0], rank, isolated, by_job),
        )
        for rank, (job_id, job_runs) in enumerate(by_job.items())
    )
    return Crash(upstream, service, at, jobs)


def _suspicion(run):
    """Returns a sort key of a run, highest for the likeliest cause of a crash.

    A run that has gone on for long has not crashed the upstream so far, and a start
    without a reply may have come after the crash.
    """
    return run.isolated, run.running, run.started_at


def _evidence(job_id, run, rank, isolated, by_job):
    if job_id in isolated:
        if len(isolated) > 1:
            return Evidence.SUSPECT
        if run.guarded or len(by_job) == 1:
            return Evidence.STRONG
        return Evidence.LIKELY
    if isolated or rank >= _MAX_SUSPECTS:
        return Evidence.BYSTANDER
    return Evidence.SUSPECT
