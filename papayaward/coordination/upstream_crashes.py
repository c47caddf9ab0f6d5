"""
papayaward.coordination.upstream_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What ran on an upstream when it ended without notice.
"""

import logging

from ..state import metrics
from ..state.crash_records import Crash, CrashedJob, job_id_of

__all__ = ["crash_of", "log_crash"]

log = logging.getLogger(__name__)

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


def crash_of(upstream, runs, now):
    """Returns the `Crash` of an upstream.

    Args:
        upstream: Key of the upstream instance.
        runs: `Run` of each run that was lost.
        now: Time, seconds.
    """
    by_job = {}
    for run in runs:
        by_job.setdefault(job_id_of(run.task), []).append(run)
    jobs = tuple(
        CrashedJob(
            runs[0].queue,
            tuple(run.task for run in runs),
            any(run.isolated for run in runs),
        )
        for runs in by_job.values()
    )
    return Crash(upstream, now, jobs)
