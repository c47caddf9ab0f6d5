"""
papayaward.state.crashes
~~~~~~~~~~~~~~~~~~~~~~~~

What processes tell one another about upstreams that ended without notice.

A crash is suspected when an upstream no longer replies, and known when another lifetime
or instance has replied in its place. The suspicion is withdrawn if the upstream replies
again.
"""

from dataclasses import dataclass, replace

__all__ = [
    "Crash",
    "CrashedJob",
    "Withdrawal",
    "job_id_of",
    "may_coincide",
    "merge_crashes",
]

# Crashes of several upstreams within this time may have one cause.
_OUTAGE_S = 0.15


def job_id_of(task):
    """Returns the identifier of the job that a task belongs to."""
    return task.partition(".")[0]


@dataclass(frozen=True)
class CrashedJob:
    """The tasks of one job that ran on an upstream when it crashed.

    Attributes:
        queue: Name of the job's queue.
        tasks: Names of the tasks.
        weight: Probability density of a crash at this time if the job is the cause,
            for each second.
        started: Those of the tasks that were running if the upstream has crashed. The
            upstream may have received the starts of the others, or not.
    """

    queue: str
    tasks: tuple
    weight: float
    started: tuple = ()

    @property
    def job_id(self):
        """Identifier of the job."""
        return job_id_of(self.tasks[0])


@dataclass(frozen=True)
class Crash:
    """An upstream instance that has ended without notice, or seems to.

    Attributes:
        upstream: Key of the instance.
        service: Service of the upstream.
        at: Latest time of the crash, seconds.
        jobs: `CrashedJob` of each job that may have run there.
        uncertainty_s: Time before `at` in which the crash may have happened as well.
        is_known: Whether another lifetime or instance has replied in its place.
        noticed_ms: Wall time of the executor at which it noticed the crash,
            milliseconds; 0 if another process did.
    """

    upstream: str
    service: str
    at: float
    jobs: tuple
    uncertainty_s: float = 0.0
    is_known: bool = False
    noticed_ms: int = 0


@dataclass(frozen=True)
class Withdrawal:
    """A reply of an upstream instance that was suspected to have crashed.

    Attributes:
        upstream: Key of the instance.
        noticed_ms: `noticed_ms` of the latest suspected `Crash` that it withdraws.
        at: Time of the reply, seconds.
    """

    upstream: str
    noticed_ms: int
    at: float


def may_coincide(first, second):
    """Returns whether two crashes may have happened at the same moment."""
    earliest = max(crash.at - crash.uncertainty_s for crash in (first, second))
    latest = min(first.at, second.at)
    return earliest - latest < _OUTAGE_S


def merge_crashes(first, second):
    """Returns a `Crash` with what two notices of it tell."""
    jobs = {job.job_id: job for job in first.jobs}
    for job in second.jobs:
        jobs[job.job_id] = _merge_jobs(jobs.get(job.job_id, job), job)
    return replace(
        first,
        jobs=tuple(jobs.values()),
        is_known=first.is_known or second.is_known,
        noticed_ms=max(first.noticed_ms, second.noticed_ms),
    )


def _merge_jobs(first, second):
    tasks = tuple(dict.fromkeys(first.tasks + second.tasks))
    started = tuple(dict.fromkeys(first.started + second.started))
    return replace(first, tasks=tasks, started=started)
