"""
papayaward.coordination.crashes.queue_guard
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits how far the jobs of a queue reach whose tasks crash upstreams.

Until a task has crashed an upstream, nothing tells it from the others of its queue. The
queue is therefore guarded for a while: its jobs are isolated from one another, so that
each crash has one cause and no bystanders of the same queue, and they use only a part
of the executors, so that the other queues keep theirs.
"""

import hashlib
import logging
import math
from dataclasses import dataclass, field

__all__ = ["QueueGuards", "executors_for_guarded"]

log = logging.getLogger(__name__)

# Time for which a queue stays guarded after one of its jobs has crashed an upstream.
_GUARD_S = 5.0
# Part of a service's executors that the guarded queues share.
_GUARDED_EXECUTOR_SHARE = 0.5
# Crashes put down to the jobs of a queue from which it is guarded if one of the jobs is
# the likely cause of one.
_MIN_QUEUE_CRASHES = 1.5
# Largest part of a queue's jobs that may be lost as bystanders of its crashes.
_BYSTANDER_SHARE = 0.1
# Crashes and jobs that are assumed when a guard begins.
_PRIOR_CRASHES = 1.0
_PRIOR_JOBS = 10.0
# Total time with waiting jobs from which the rate of a guarded queue's jobs is used.
_MIN_BACKLOG_S = 0.5
# Time in which the weight of a crash and of a job halves.
_HALF_LIFE_S = 5.0


def executors_for_guarded(names):
    """Returns the executors that the guarded queues of a service use.

    Every entry ranks the executors alike, so that entries with different views choose
    mostly the same ones.

    Args:
        names: Names of the executors of the service.

    Returns:
        frozenset: At least one name, if there is any.
    """
    ranked = sorted(names, key=lambda name: hashlib.sha256(name.encode()).digest())
    return frozenset(ranked[: math.ceil(_GUARDED_EXECUTOR_SHARE * len(ranked))])


@dataclass
class _Guard:
    """Guard of one queue, and the outcomes of its isolated jobs at this entry."""

    service: str
    until: float
    updated_at: float
    # Identifiers of the jobs that have crashed upstreams.
    causes: set = field(default_factory=set)
    # Jobs that ended while others waited, and the time that this took.
    backlog_jobs: float = 0.0
    backlog_s: float = 0.0
    had_backlog: bool = False
    crashes: float = _PRIOR_CRASHES
    jobs: float = _PRIOR_JOBS

    def add(self, crashes, waiting, now):
        """Adds an isolated job.

        Args:
            crashes: Crashes that it caused; a fraction if others may have caused it.
            waiting: Number of jobs of the queue that wait at this entry.
            now: Time, seconds.
        """
        elapsed_s = now - self.updated_at
        weight = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        self.updated_at = now
        self.backlog_jobs = self.backlog_jobs * weight + self.had_backlog
        self.backlog_s = self.backlog_s * weight + self.had_backlog * elapsed_s
        self.had_backlog = waiting > 0
        self.crashes = max(_PRIOR_CRASHES, self.crashes * weight) + crashes
        self.jobs = max(_PRIOR_JOBS, self.jobs * weight) + 1

    def jobs_per_s(self, capacity_per_s):
        """Returns how many waiting jobs start each second.

        The time without waiting jobs shows only how many arrived.

        Args:
            capacity_per_s: Jobs that the executors can run each second, the answer as
                long as few jobs have waited.
        """
        if self.backlog_s < _MIN_BACKLOG_S:
            return capacity_per_s
        return self.backlog_jobs / self.backlog_s

    @property
    def limit(self):
        """Number of jobs that may run beside each other on an executor."""
        return max(1, int(_BYSTANDER_SHARE * self.jobs / self.crashes))


class QueueGuards:
    """Guards of the queues of one entry.

    Args:
        purpose: What they decide, for the log.
    """

    def __init__(self, purpose="placement"):
        self._guards = {}
        self._purpose = purpose

    def is_guarded(self, queue, now):
        """Returns whether a queue is guarded."""
        guard = self._guards.get(queue)
        return guard is not None and now < guard.until

    def limit(self, queue, now):
        """Returns how many isolated jobs of a queue may run on one executor.

        Returns:
            int: 0 if the queue is not guarded.
        """
        return self._guards[queue].limit if self.is_guarded(queue, now) else 0

    def expected_wait_s(self, queue, waiting, capacity_per_s, now):
        """Returns how long a new job of a queue is expected to wait, seconds.

        Args:
            queue: Name of its queue.
            waiting: Number of jobs of the queue that wait at this entry.
            capacity_per_s: Jobs of the queue that its executors can run each second.
            now: Time, seconds.

        Returns:
            float: 0 if the queue is not guarded.
        """
        if not waiting or not self.is_guarded(queue, now):
            return 0.0
        jobs_per_s = self._guards[queue].jobs_per_s(capacity_per_s)
        return waiting / jobs_per_s if jobs_per_s else math.inf

    def services(self, now):
        """Returns the services with a guarded queue."""
        return {guard.service for guard in self._guards.values() if now < guard.until}

    def on_crash(self, crash, records, now):
        """Guards the queue of the job that has crashed an upstream.

        Args:
            crash: `Crash`.
            records: `CrashRecords` that hold the crash.
            now: Time, seconds.
        """
        for job in crash.jobs:
            is_guarded = self.is_guarded(job.queue, now)
            if _is_cause(job.job_id, job.queue, records, now) or (
                is_guarded and records.is_likely(job.job_id)
            ):
                self._guard(job, crash.service, now)

    def on_withdrawn(self, crash, records, now):
        """Ends the guards that only a withdrawn suspicion justified.

        Args:
            crash: `Crash` that was suspected.
            records: `CrashRecords` that do not hold the crash any more.
            now: Time, seconds.
        """
        for queue in {job.queue for job in crash.jobs}:
            if not self.is_guarded(queue, now):
                continue
            causes = self._guards[queue].causes
            if not any(_is_cause(job_id, queue, records, now) for job_id in causes):
                del self._guards[queue]
                extra = {"queue": queue, "purpose": self._purpose}
                log.info("queue_guard_ended", extra=extra)

    def add_outcome(self, queue, crashes, waiting, now):
        """Records the outcome of an isolated job of this entry.

        Args:
            queue: Name of its queue.
            crashes: Crashes that it caused; a fraction if others may have caused it.
            waiting: Number of jobs of the queue that wait at this entry.
            now: Time, seconds.
        """
        if self.is_guarded(queue, now):
            self._guards[queue].add(crashes, waiting, now)

    def _guard(self, job, service, now):
        """Guards the queue of a `CrashedJob`, or keeps it guarded."""
        queue = job.queue
        if not self.is_guarded(queue, now):
            self._guards = {
                name: guard for name, guard in self._guards.items() if now < guard.until
            }
            self._guards[queue] = _Guard(service, now + _GUARD_S, now)
            extra = {"queue": queue, "seconds": _GUARD_S, "purpose": self._purpose}
            log.warning("queue_guarded", extra=extra)
        self._guards[queue].until = now + _GUARD_S
        self._guards[queue].causes.add(job.job_id)


def _is_cause(job_id, queue, records, now):
    """Returns whether a job shows that its queue crashes upstreams.

    The second crash under a job follows the first one by the lease of its runs. Those
    under other jobs of the queue show it sooner.
    """
    if records.is_condemned_if_known(job_id):
        return True
    has_crashed = records.queue_crashes(queue, now) >= _MIN_QUEUE_CRASHES
    return has_crashed and records.is_likely_running(job_id)
