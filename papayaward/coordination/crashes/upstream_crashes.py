"""
papayaward.coordination.crashes.upstream_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What ran on an upstream when it ended without notice.
"""

import logging
import math
from dataclasses import dataclass, replace

from ...state import metrics
from ...state.crashes import Crash, CrashedJob, job_id_of
from ..upstream_requests import Delivery

__all__ = ["LostRun", "crash_of", "crash_of_loss", "log_crash"]

log = logging.getLogger(__name__)

# Usual time from the start of a task to a crash that it causes at its start.
_EARLY_CRASH_S = 0.1
_MIN_RUN_S = 0.01
# Number of runs that one log line names.
_MAX_LOGGED_RUNS = 20


def log_crash(upstream, loss, runs):
    """Logs the runs of an upstream that has crashed, the latest start first.

    Args:
        upstream: Identifier of the upstream instance.
        loss: `InstanceLoss`.
        runs: `Run` of each run that the executor had there.
    """
    latest_first = sorted(_sent(runs), key=lambda run: -run.started_at)
    metrics.UPSTREAM_CRASHES.inc()
    log.warning(
        "upstream_crashed",
        extra={
            "upstream": upstream,
            "reason": loss.reason,
            "known": loss.is_replaced,
            "lost_runs": len(latest_first),
            "runs": [
                {
                    "task": run.task,
                    "run": run.run,
                    "request_id": run.request_id,
                    "age_s": round(loss.at - run.started_at, 3),
                    "delivery": run.delivery.value,
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
        declared_s: Declared run time, seconds.
        started_at: Time of the start, seconds.
        delivery: `Delivery` of the start.
        stop_requested_at: Time at which the run was to be stopped, None if it is
            wanted.
        session_closed: Whether it was on an earlier lifetime of the upstream.
    """

    task: str
    queue: str
    declared_s: float
    started_at: float
    delivery: Delivery = Delivery.UNANSWERED
    stop_requested_at: float | None = None
    session_closed: bool = False


def crash_of(upstream, service, runs, at, uncertainty_s=0.0, witnessed=False):
    """Returns the `Crash` of an upstream.

    Args:
        upstream: Key of the upstream instance.
        service: Its service.
        runs: `LostRun` or `Run` of each run that was lost.
        at: Latest time of the crash, seconds.
        uncertainty_s: Time before `at` in which it may have crashed as well.
        witnessed: Whether the upstream was in touch until it crashed, so that the runs
            that it has started did not end before.
    """
    by_job = {}
    for run in runs:
        by_job.setdefault(job_id_of(run.task), []).append(run)
    jobs = tuple(
        CrashedJob(
            job_runs[0].queue,
            tuple(run.task for run in job_runs),
            max(_weight(run, at) for run in job_runs),
            tuple(run.task for run in job_runs if witnessed and _was_running(run, at)),
        )
        for job_runs in by_job.values()
    )
    return Crash(upstream, service, at, jobs, uncertainty_s)


def crash_of_loss(state, loss, runs, noticed_ms, late_runs=()):
    """Returns the `Crash` of an upstream.

    A start that the upstream has not received cannot be the cause.

    Args:
        state: `UpstreamState` of the instance.
        loss: `InstanceLoss`.
        runs: `Run` of each run that the executor had there.
        noticed_ms: Wall time, milliseconds.
        late_runs: `LostRun` of each start that the instance may have executed late.
    """
    crash = crash_of(
        state.key,
        state.service,
        [*_sent(runs), *late_runs],
        loss.at,
        loss.uncertainty_s,
        loss.witnessed,
    )
    return replace(crash, is_known=loss.is_replaced, noticed_ms=noticed_ms)


def _sent(runs):
    return [run for run in runs if run.delivery is not Delivery.NOT_DELIVERED]


def _was_running(run, at):
    """Returns whether a run is known to have begun and was not being stopped at a time.

    One whose session was closed before has begun at an earlier lifetime.
    """
    has_begun = run.delivery is Delivery.STARTED and not run.session_closed
    stop_at = run.stop_requested_at
    return has_begun and (stop_at is None or stop_at > at)


def _weight(run, at):
    """Returns the probability density of a crash at a time, if a run is its cause.

    A task may crash the upstream soon after its start, or at any time of its run: a
    run that has gone on for long, or that takes long, is less likely the cause.
    """
    run_s = max(_MIN_RUN_S, run.declared_s)
    age_s = max(0.0, at - run.started_at)
    early = math.exp(-age_s / _EARLY_CRASH_S) / _EARLY_CRASH_S
    return (early + 1.0 / run_s) / 2.0
