"""
papayaward.state.crash_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that ended without notice, and the evidence against the tasks that ran there.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import IntEnum

__all__ = ["Crash", "CrashRecords", "CrashedJob", "Evidence", "job_id_of"]

# Crashes are forgotten after this time; a caller that submits a job again does so
# within seconds.
_RECORD_TTL_S = 60.0
_MAX_CRASHES = 500
# Time in which the jobs that ran on a crashed upstream are expected to end.
_RECENT_S = 5.0
# Crashes under a task after which it is not started again if the evidence of one is
# strong, and regardless of the evidence: a task runs isolated after two crashes, so
# that a third is hardly a coincidence.
_CRASHES_IF_STRONG = 2
_MAX_TASK_CRASHES = 3


class Evidence(IntEnum):
    """How strongly one crash points to a job that ran on the upstream.

    The values are part of the protocol between the processes.
    """

    # Other jobs there are more likely causes.
    BYSTANDER = 0
    # One of the last to start if none was isolated there, or one of several isolated.
    SUSPECT = 1
    # The only isolated job there.
    LIKELY = 2
    # In addition, no other job ran there, or the queue's jobs have crashed upstreams.
    STRONG = 3


@dataclass(frozen=True)
class CrashedJob:
    """The tasks of one job that ran on an upstream when it crashed.

    Attributes:
        queue: Name of the job's queue.
        tasks: Names of the tasks.
        evidence: `Evidence` against the job.
    """

    queue: str
    tasks: tuple
    evidence: Evidence

    @property
    def job_id(self):
        """Identifier of the job."""
        return job_id_of(self.tasks[0])


@dataclass(frozen=True)
class Crash:
    """An upstream instance that ended without notice.

    Attributes:
        upstream: Key of the instance.
        service: Service of the upstream.
        at: Time of the crash, seconds.
        jobs: `CrashedJob` of each job that ran there.
    """

    upstream: str
    service: str
    at: float
    jobs: tuple


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
        """Adds a crash and returns whether it holds anything new.

        If the executor ended with its upstream, several entries report the same crash,
        each with its own jobs.

        Args:
            crash: `Crash`.
            now: Time, seconds.
        """
        self.expire(now)
        if now - crash.at > _RECORD_TTL_S:
            return False
        known = self._crashes.get(crash.upstream)
        if known is None:
            self._crashes[crash.upstream] = crash
        elif not self._merge(known, crash):
            return False
        for job in crash.jobs:
            tasks = self._jobs.setdefault(job.job_id, {})
            for task in job.tasks:
                evidence = tasks.setdefault(task, {})
                evidence.setdefault(crash.upstream, job.evidence)
        if len(self._crashes) > _MAX_CRASHES:
            self._remove_oldest()
        return True

    def _merge(self, known, crash):
        """Adds the jobs of a crash that is known; returns whether any is new."""
        job_ids = {job.job_id for job in known.jobs}
        new = tuple(job for job in crash.jobs if job.job_id not in job_ids)
        self._crashes[crash.upstream] = replace(known, jobs=known.jobs + new)
        return bool(new)

    def expire(self, now):
        """Forgets old crashes."""
        while self._crashes:
            if now - next(iter(self._crashes.values())).at <= _RECORD_TTL_S:
                return
            self._remove_oldest()

    def all(self):
        """Returns each `Crash` that is remembered, in the order of their arrival."""
        return tuple(self._crashes.values())

    def has_recent(self, now):
        """Returns whether an upstream crashed in the last seconds."""
        if not self._crashes:
            return False
        return now - next(reversed(self._crashes.values())).at < _RECENT_S

    def is_condemned(self, job_id):
        """Returns whether a job has a task that is not to be started again."""
        return any(
            _is_condemning(tuple(evidence.values()))
            for evidence in self._jobs.get(job_id, {}).values()
        )

    def suspicion(self, job_id):
        """Returns the strongest `Evidence` against a job.

        A job that was a bystander of several crashes is a suspect.
        """
        strongest = Evidence.BYSTANDER
        for evidence in self._jobs.get(job_id, {}).values():
            if len(evidence) > 1:
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


def _is_condemning(evidence):
    if len(evidence) >= _MAX_TASK_CRASHES:
        return True
    return len(evidence) >= _CRASHES_IF_STRONG and Evidence.STRONG in evidence
