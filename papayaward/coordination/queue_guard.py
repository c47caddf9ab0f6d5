"""
papayaward.coordination.queue_guard
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits how far the jobs of a queue reach whose tasks crash upstreams.

Until a task has crashed an upstream, nothing tells it from the others of its queue. The
queue is therefore guarded for a while: its jobs are isolated from one another, so that
each crash has one cause and no bystanders of the same queue, and they use only a part
of the executors, so that the other queues keep theirs.
"""

import hashlib
import logging
import math
from dataclasses import dataclass

__all__ = ["QueueGuards", "shard"]

log = logging.getLogger(__name__)

# Time for which a queue stays guarded after one of its jobs has crashed an upstream.
_GUARD_S = 10.0
# Part of a service's executors that the guarded queues share.
_SHARD_SHARE = 0.5
# Largest part of a queue's jobs that may be lost as bystanders of its crashes.
_BYSTANDER_SHARE = 0.1
# Crashes and jobs that are assumed when a guard begins.
_PRIOR_CRASHES = 1.0
_PRIOR_JOBS = 10.0
# Time after which the rate of a guarded queue's jobs is known.
_MIN_RATE_TIME_S = 1.0
_MIN_RATE = 0.01
# Time in which the weight of a crash and of a job halves.
_HALF_LIFE_S = 5.0


def shard(names):
    """Returns the executors that the guarded queues of a service use.

    Every entry ranks the executors alike, so that entries with different views choose
    mostly the same ones.

    Args:
        names: Names of the executors of the service.

    Returns:
        frozenset: At least one name, if there is any.
    """
    ranked = sorted(names, key=lambda name: hashlib.sha256(name.encode()).digest())
    return frozenset(ranked[: math.ceil(_SHARD_SHARE * len(ranked))])


@dataclass
class _Guard:
    """Guard of one queue, and the outcomes of its isolated jobs at this entry."""

    service: str
    since: float
    until: float
    updated_at: float
    ended: float = 0.0
    crashes: float = _PRIOR_CRASHES
    jobs: float = _PRIOR_JOBS

    def add(self, crashes, now):
        """Adds an isolated job and the number of crashes that it caused."""
        weight = _weight_after(now - self.updated_at)
        self.updated_at = now
        self.ended = self.ended * weight + 1
        self.crashes = max(_PRIOR_CRASHES, self.crashes * weight) + crashes
        self.jobs = max(_PRIOR_JOBS, self.jobs * weight) + 1

    def jobs_per_s(self, now):
        """Returns how many isolated jobs have ended each second, weighted by age."""
        ended = self.ended * _weight_after(now - self.updated_at)
        # The weight of the same time with one job each second.
        at_one_per_s = 1.0 - _weight_after(now - self.since)
        return ended / (at_one_per_s * _HALF_LIFE_S / math.log(2.0))

    @property
    def limit(self):
        """Number of jobs that may run beside each other on an executor."""
        return max(1, int(_BYSTANDER_SHARE * self.jobs / self.crashes))


def _weight_after(seconds):
    return 0.5 ** (seconds / _HALF_LIFE_S)


class QueueGuards:
    """Guards of the queues of one entry."""

    def __init__(self):
        self._guards = {}

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

    def expected_wait_s(self, queue, waiting, now):
        """Returns how long a new job of a queue is expected to wait, seconds.

        Args:
            queue: Name of its queue.
            waiting: Number of jobs of the queue that wait at this entry.
            now: Time, seconds.

        Returns:
            float: 0 if the queue is not guarded or its rate is not known yet.
        """
        if not self.is_guarded(queue, now):
            return 0.0
        guard = self._guards[queue]
        if now - guard.since < _MIN_RATE_TIME_S:
            return 0.0
        return waiting / max(_MIN_RATE, guard.jobs_per_s(now))

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
            if records.is_repeatedly_likely(job.job_id) or (
                is_guarded and records.is_likely(job.job_id)
            ):
                self._guard(job.queue, crash.service, now)

    def add_outcome(self, queue, crashes, now):
        """Records the outcome of an isolated job of this entry.

        Args:
            queue: Name of its queue.
            crashes: Crashes that it caused; a fraction if others may have caused it.
            now: Time, seconds.
        """
        if self.is_guarded(queue, now):
            self._guards[queue].add(crashes, now)

    def _guard(self, queue, service, now):
        if self.is_guarded(queue, now):
            self._guards[queue].until = now + _GUARD_S
            return
        self._guards = {
            name: guard for name, guard in self._guards.items() if now < guard.until
        }
        self._guards[queue] = _Guard(service, now, now + _GUARD_S, now)
        log.warning("queue_guarded", extra={"queue": queue, "seconds": _GUARD_S})
