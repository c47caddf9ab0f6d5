"""
papayaward.coordination.upstream_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What ran on an upstream when it ended without notice.
"""

import logging

from ..state import metrics
from ..state.crash_records import Crash, CrashedJob, Evidence, job_id_of

__all__ = ["crash_of", "log_crash"]

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


def crash_of(state, runs, now):
    """Returns the `Crash` of an upstream.

    Args:
        state: Its `UpstreamState`.
        runs: `Run` of each run that was lost.
        now: Time, seconds.
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
    return Crash(state.key, state.service, now, jobs)


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
