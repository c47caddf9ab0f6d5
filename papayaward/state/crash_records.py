"""
papayaward.state.crash_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that ended without notice, and the evidence against the tasks that ran there.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Crash", "CrashRecords", "CrashedJob", "Evidence", "job_id_of"]

# Crashes are forgotten after this time; a caller that submits a job again does so
# within seconds.
_RECORD_TTL_S = 60.0
_MAX_CRASHES = 500
# Number of crashes under a task after which the task is not started again, if at
# least one of them is strong evidence.
_CONDEMNING_CRASHES = 2


class Evidence(IntEnum):
    """How strongly one crash points to a task that ran on the upstream."""

    # An isolated job ran beside the task and is the more likely cause.
    BYSTANDER = 0
    SUSPECT = 1
    # The task's job was the only isolated one on the upstream.
    STRONG = 2


@dataclass(frozen=True)
class CrashedJob:
    """The tasks of one job that ran on an upstream when it crashed.

    Attributes:
        queue: Name of the job's queue.
        tasks: Names of the tasks.
        isolated: Whether the job was isolated there.
    """

    queue: str
    tasks: tuple
    isolated: bool = False

    @property
    def job_id(self):
        """Identifier of the job."""
        return job_id_of(self.tasks[0])


@dataclass(frozen=True)
class Crash:
    """An upstream instance that ended without notice.

    Attributes:
        upstream: Key of the instance.
        at: Time of the crash, seconds.
        jobs: `CrashedJob` of each job that ran there.
    """

    upstream: str
    at: float
    jobs: tuple

    def evidence(self, job):
        """Returns the `Evidence` against one of the jobs."""
        isolated = sum(other.isolated for other in self.jobs)
        if not isolated:
            return Evidence.SUSPECT
        if not job.isolated:
            return Evidence.BYSTANDER
        return Evidence.STRONG if isolated == 1 else Evidence.SUSPECT


def job_id_of(task):
    """Returns the identifier of the job that a task belongs to."""
    return task.partition(".")[0]


class CrashRecords:
    """Recent crashes, by upstream and by task. The number of records is bounded."""

    def __init__(self):
        self._crashes = OrderedDict()
        # Evidence by upstream, by task, by job identifier.
        self._jobs = {}

    def add(self, crash, now):
        """Adds a crash and returns whether it was not known yet.

        Args:
            crash: `Crash`.
            now: Time, seconds.
        """
        self.expire(now)
        if crash.upstream in self._crashes or now - crash.at > _RECORD_TTL_S:
            return False
        self._crashes[crash.upstream] = crash
        for job in crash.jobs:
            tasks = self._jobs.setdefault(job.job_id, {})
            for task in job.tasks:
                tasks.setdefault(task, {})[crash.upstream] = crash.evidence(job)
        if len(self._crashes) > _MAX_CRASHES:
            self._remove_oldest()
        return True

    def expire(self, now):
        """Forgets old crashes."""
        while self._crashes:
            if now - next(iter(self._crashes.values())).at <= _RECORD_TTL_S:
                return
            self._remove_oldest()

    def all(self):
        """Returns each `Crash` that is remembered."""
        return tuple(self._crashes.values())

    def is_condemned(self, job_id):
        """Returns whether a job has a task that is not to be started again."""
        return any(
            len(evidence) >= _CONDEMNING_CRASHES
            and max(evidence.values()) is Evidence.STRONG
            for evidence in self._jobs.get(job_id, {}).values()
        )

    def suspicion(self, job_id):
        """Returns the strongest `Evidence` against a job.

        A job that was a bystander of several crashes is a suspect.
        """
        strongest = Evidence.BYSTANDER
        for evidence in self._jobs.get(job_id, {}).values():
            if len(evidence) >= _CONDEMNING_CRASHES:
                strongest = max(strongest, Evidence.SUSPECT)
            strongest = max(strongest, *evidence.values())
        return strongest

    def _remove_oldest(self):
        upstream, crash = self._crashes.popitem(last=False)
        for job in crash.jobs:
            tasks = self._jobs.get(job.job_id, {})
            for task in job.tasks:
                evidence = tasks.get(task, {})
                evidence.pop(upstream, None)
                if not evidence:
                    tasks.pop(task, None)
            if not tasks:
                self._jobs.pop(job.job_id, None)
