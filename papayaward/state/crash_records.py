"""
papayaward.state.crash_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that ended without notice, and how likely each job there caused it.

Each crash has one cause: a job that ran there, or something outside of the jobs. The
probability of a job follows from Bayes' rule: its odds times the weight of its runs in
this crash, relative to the other jobs there and to the rate of crashes from outside.
The odds are those after earlier crashes, or those of a new job of its queue.

A crash is suspected when an upstream no longer replies, and known when another lifetime
or instance has replied in its place. The suspicion is withdrawn if the upstream replies
again.
"""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field, replace

__all__ = [
    "MAX_CRASHES_UNDER_TASK",
    "Crash",
    "CrashRecords",
    "CrashedJob",
    "Withdrawal",
    "job_id_of",
]

# Crashes are forgotten after this time; a caller that submits a job again does so
# within seconds.
_RECORD_TTL_S = 60.0
_MAX_CRASHES = 500
_MAX_WITHDRAWALS = 500
# Time in which the jobs that ran on a crashed upstream are expected to end.
_RECENT_S = 5.0
# Crashes under one running task after which its job is condemned if it is the likely
# cause.
_MIN_CRASHES = 2
# Crashes that a task may have been in after which it is not started again, and the same
# for a job that is unlikely to have caused the last one, as after several outages.
MAX_CRASHES_UNDER_TASK = 3
_MAX_UNLIKELY_CRASHES_UNDER_TASK = 4
# Rate of crashes of one upstream from outside of the jobs, for each second, and the
# factor by which each other upstream raises it that crashed at the same time without
# the job in question.
_OUTSIDE_RATE = 0.02
_OUTAGE_FACTOR = 5.0
_OUTAGE_S = 0.15
# Number of these that are looked at; more make an outage no more likely.
_MAX_OTHERS = 8
# Probability from which a job is the likely cause of a crash.
_LIKELY = 0.9
# Probability below which a job is unlikely to have caused a crash.
_UNLIKELY = 0.1
# Probability that a job crashes upstreams, if nothing is known about its queue.
_BASE_PROBABILITY = 0.003
# Part of a queue's jobs that is assumed to crash upstreams for each recent crash that
# one of its jobs has caused, and the largest part that is assumed.
_PROBABILITY_PER_CRASH = 0.02
_MAX_QUEUE_PROBABILITY = 0.1
# Time in which a crash loses half of its weight for the other jobs of the queue.
_QUEUE_HALF_LIFE_S = 5.0
_MAX_PROBABILITY = 0.999


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


@dataclass
class _JobRecord:
    """Crashes under one job.

    Attributes:
        shares: Probability that the job has caused a crash, by upstream, in the order
            of the crashes.
        upstreams: Keys of the crashed upstreams that may have run it, by task.
        started: Keys of the crashed upstreams that were running it, by task.
        known: Those of `started` whose crash is known, by task.
    """

    shares: dict = field(default_factory=dict)
    upstreams: dict = field(default_factory=dict)
    started: dict = field(default_factory=dict)
    known: dict = field(default_factory=dict)

    @property
    def probability(self):
        """Probability that the job crashes upstreams, after the last crash."""
        return next(reversed(self.shares.values()))

    @property
    def possible_crashes(self):
        """Number of crashes that the task with most of them may have been in."""
        return _most(self.upstreams)

    @property
    def running_crashes(self):
        """Number of crashes that the task with most of them was running in."""
        return _most(self.started)

    @property
    def known_crashes(self):
        """The same for crashes that are known."""
        return _most(self.known)


@dataclass
class _QueueRecord:
    """Number of recent crashes that jobs of one queue have caused."""

    crashes: float
    updated_at: float

    def at(self, now):
        """Returns the number at a time, weighted by its age."""
        return self.crashes * _queue_weight(now - self.updated_at)


def job_id_of(task):
    """Returns the identifier of the job that a task belongs to."""
    return task.partition(".")[0]


class CrashRecords:
    """Recent crashes, by upstream and by job. The number of records is bounded."""

    def __init__(self):
        self._crashes = OrderedDict()
        self._withdrawals = OrderedDict()
        # Probability that each job crashes upstreams as a new job of its queue, by
        # upstream.
        self._base_probabilities = {}
        # Time at which each crash was added, by upstream, seconds.
        self._added_at = {}
        self._jobs = {}
        self._queues = {}

    def add(self, crash, now):
        """Adds a crash and returns whether it holds anything new.

        If the executor ended with its upstream, several entries report the same crash,
        each with its own jobs. A suspected crash is reported again when it is known.

        Args:
            crash: `Crash`.
            now: Time, seconds.
        """
        self.expire(now)
        if now - crash.at > _RECORD_TTL_S or self._is_withdrawn(crash):
            return False
        previous = self._crashes.get(crash.upstream)
        crash = _merge(previous or replace(crash, jobs=()), crash)
        if crash == previous:
            return False
        self._crashes[crash.upstream] = crash
        self._added_at.setdefault(crash.upstream, now)
        base = self._base_probabilities.setdefault(crash.upstream, {})
        for job in crash.jobs:
            if job.job_id not in base:
                base[job.job_id] = self._queue_probability(job.queue, now)
            self._add_job(job, crash)
        for other in (*self._others_at(crash), crash):
            self._relate_jobs(other, now)
        if len(self._crashes) > _MAX_CRASHES:
            self._remove_crash(self._least_needed())
        return True

    def withdraw(self, withdrawal, now):
        """Forgets a suspected crash, and returns whether the withdrawal is new.

        Notices of the crash that arrive later are ignored. A crash that is known is not
        withdrawn.

        Args:
            withdrawal: `Withdrawal`.
            now: Time, seconds.
        """
        self.expire(now)
        upstream = withdrawal.upstream
        last = self._withdrawals.get(upstream)
        if now - withdrawal.at > _RECORD_TTL_S:
            return False
        if last is not None and last.noticed_ms >= withdrawal.noticed_ms:
            return False
        self._withdrawals[upstream] = withdrawal
        self._withdrawals.move_to_end(upstream)
        if len(self._withdrawals) > _MAX_WITHDRAWALS:
            self._withdrawals.popitem(last=False)
        crash = self._crashes.get(upstream)
        if crash is not None and self._is_withdrawn(crash):
            self._remove_suspicion(crash, now)
        return True

    def find(self, upstream):
        """Returns the `Crash` of an upstream, or None."""
        return self._crashes.get(upstream)

    def expire(self, now):
        """Forgets old crashes and withdrawals."""
        while self._withdrawals:
            oldest = next(iter(self._withdrawals.values()))
            if now - oldest.at <= _RECORD_TTL_S:
                break
            del self._withdrawals[oldest.upstream]
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            if now - oldest.at <= _RECORD_TTL_S:
                return
            self._remove_crash(oldest)

    def all(self):
        """Returns each `Crash` that is remembered, in the order of their arrival."""
        return tuple(self._crashes.values())

    def withdrawals(self):
        """Returns each `Withdrawal` that is remembered, in the order of arrival."""
        return tuple(self._withdrawals.values())

    def has_recent(self, now):
        """Returns whether an upstream crashed in the last seconds."""
        return any(now - crash.at < _RECENT_S for crash in self._crashes.values())

    def is_condemned(self, job_id):
        """Returns whether a job has a task that has crashed upstreams.

        Only known crashes under a task that was running count, so that a job is not
        shown as failed because of starts that reached no upstream, or of connections
        that were refused while the upstream ran on.
        """
        record = self._jobs.get(job_id)
        if record is None:
            return False
        return record.known_crashes >= _MIN_CRASHES and self.is_likely(job_id)

    def is_condemned_if_known(self, job_id):
        """Returns whether a job is condemned if all suspected crashes become known."""
        record = self._jobs.get(job_id)
        if record is None:
            return False
        return record.running_crashes >= _MIN_CRASHES and self.is_likely(job_id)

    def is_exhausted(self, job_id):
        """Returns whether a job has a task that must not be started again.

        The crashes that the task may have been in count as well, so that the number of
        starts is bounded for a task that crashes upstreams before they confirm it.
        """
        record = self._jobs.get(job_id)
        if record is None:
            return False
        is_unlikely = record.probability < _UNLIKELY
        limit = (
            _MAX_UNLIKELY_CRASHES_UNDER_TASK if is_unlikely else MAX_CRASHES_UNDER_TASK
        )
        return record.possible_crashes >= limit

    def is_likely(self, job_id):
        """Returns whether a job has probably crashed an upstream."""
        return self.probability(job_id) >= _LIKELY

    def is_likely_running(self, job_id):
        """Returns whether a job has probably crashed an upstream that was running it.

        Unlike `is_likely`, this leaves out starts that may have reached no upstream.
        """
        record = self._jobs.get(job_id)
        if record is None or not record.started:
            return False
        return self.is_likely(job_id)

    def is_repeatedly_likely(self, job_id):
        """Returns whether a job has probably crashed several upstreams.

        Unlike for `is_condemned`, different tasks of the job may have been running, and
        the crashes may be suspected.
        """
        record = self._jobs.get(job_id)
        if record is None or not self.is_likely(job_id):
            return False
        return len(set().union(*record.started.values())) >= _MIN_CRASHES

    def probability(self, job_id):
        """Returns the probability that a job crashes upstreams."""
        record = self._jobs.get(job_id)
        return 0.0 if record is None else record.probability

    def queue_crashes(self, queue, now):
        """Returns how many recent crashes are put down to the jobs of a queue.

        Args:
            queue: Name of the queue.
            now: Time, seconds.

        Returns:
            float: Sum of the probabilities, each with a weight that falls with its age.
        """
        record = self._queues.get(queue)
        return 0.0 if record is None else record.at(now)

    def crashes_under(self, job_id):
        """Returns the number of crashes under a job."""
        record = self._jobs.get(job_id)
        return 0 if record is None else len(record.shares)

    def upstreams_of(self, task):
        """Returns the keys of the crashed upstreams that may have run a task."""
        record = self._jobs.get(job_id_of(task))
        return set() if record is None else record.upstreams.get(task, set())

    def _others_at(self, crash):
        """Returns crashes of other upstreams at the same time as a `Crash`."""
        others = (
            other
            for other in reversed(self._crashes.values())
            if _may_coincide(other, crash) and other.upstream != crash.upstream
        )
        return list(itertools.islice(others, _MAX_OTHERS))

    def _relate_jobs(self, crash, now):
        """Relates the jobs of a crash to one another and to causes from outside.

        A job explains the crashes of other upstreams at the same time only if it ran
        there too; an outage explains them all.
        """
        others_at = self._others_at(crash)
        odds = {job.job_id: self._odds_of(job, crash.upstream) for job in crash.jobs}
        total = sum(odds.values())
        for job in crash.jobs:
            unexplained = sum(
                job.job_id not in self._base_probabilities[other.upstream]
                for other in others_at
            )
            outside_rate = _OUTSIDE_RATE * (1.0 + _OUTAGE_FACTOR * unexplained)
            share = odds[job.job_id] / (total + outside_rate)
            self._set_share(job, crash.upstream, min(_MAX_PROBABILITY, share), now)

    def _odds_of(self, job, upstream):
        """Returns the odds of a `CrashedJob` as the cause of a crash."""
        probability = self._base_probabilities[upstream][job.job_id]
        for key, share in self._jobs[job.job_id].shares.items():
            if key == upstream:
                break
            probability = max(self._base_probabilities[upstream][job.job_id], share)
        return probability / (1.0 - probability) * job.weight

    def _queue_probability(self, queue, now):
        crashes = self.queue_crashes(queue, now)
        probability = _BASE_PROBABILITY + _PROBABILITY_PER_CRASH * crashes
        return min(_MAX_QUEUE_PROBABILITY, probability)

    def _is_withdrawn(self, crash):
        """Returns whether the upstream has replied since a `Crash` was suspected."""
        withdrawal = self._withdrawals.get(crash.upstream)
        if withdrawal is None or crash.is_known:
            return False
        return crash.noticed_ms <= withdrawal.noticed_ms

    def _add_job(self, job, crash):
        upstream = crash.upstream
        record = self._jobs.setdefault(job.job_id, _JobRecord())
        record.shares.setdefault(upstream, 0.0)
        for task in job.tasks:
            record.upstreams.setdefault(task, set()).add(upstream)
        for task in job.started:
            record.started.setdefault(task, set()).add(upstream)
            if crash.is_known:
                record.known.setdefault(task, set()).add(upstream)

    def _set_share(self, job, upstream, share, now):
        """Sets the probability that a `CrashedJob` has caused a crash."""
        shares = self._jobs[job.job_id].shares
        self._add_to_queue(job.queue, share - shares[upstream], now)
        shares[upstream] = share

    def _add_to_queue(self, name, crashes, now):
        queue = self._queues.get(name, _QueueRecord(0.0, now))
        self._queues[name] = _QueueRecord(max(0.0, queue.at(now) + crashes), now)

    def _remove_suspicion(self, crash, now):
        """Removes a suspected `Crash`, and what was concluded from it."""
        added_at = self._added_at[crash.upstream]
        related = {other.upstream for other in self._others_at(crash)}
        by_queue = {}
        for job in crash.jobs:
            shares = self._jobs[job.job_id].shares
            related.update(shares)
            share = shares[crash.upstream]
            by_queue[job.queue] = by_queue.get(job.queue, 0.0) + share
        for queue, share in by_queue.items():
            weight = _queue_weight(now - added_at)
            self._add_to_queue(queue, -share * weight, now)
        self._remove_crash(crash)
        for other in list(self._crashes.values()):
            if self._lower_base(other, by_queue, added_at) or other.upstream in related:
                self._relate_jobs(other, now)

    def _lower_base(self, crash, by_queue, since):
        """Takes crashes that did not happen out of the base probabilities of a crash.

        Args:
            crash: `Crash`.
            by_queue: Number of crashes that were counted, by queue.
            since: Time since which they were, seconds.

        Returns:
            bool: Whether a probability has changed.
        """
        elapsed_s = self._added_at[crash.upstream] - since
        if elapsed_s < 0.0:
            return False
        base, has_changed = self._base_probabilities[crash.upstream], False
        for job in crash.jobs:
            if job.queue not in by_queue or base[job.job_id] == _BASE_PROBABILITY:
                continue
            crashes = by_queue[job.queue] * _queue_weight(elapsed_s)
            lower = base[job.job_id] - _PROBABILITY_PER_CRASH * crashes
            base[job.job_id] = max(_BASE_PROBABILITY, lower)
            has_changed = True
        return has_changed

    def _least_needed(self):
        """Returns the oldest `Crash` without jobs, or the oldest one.

        The crashes under jobs bound the starts of their tasks.
        """
        crashes = self._crashes.values()
        without_jobs = (crash for crash in crashes if not crash.jobs)
        return next(without_jobs, next(iter(crashes)))

    def _remove_crash(self, crash):
        upstream = crash.upstream
        del self._crashes[upstream]
        del self._base_probabilities[upstream]
        del self._added_at[upstream]
        for job in crash.jobs:
            record = self._jobs.get(job.job_id)
            if record is not None:
                self._remove(job, record, upstream)
        if not self._crashes:
            self._queues.clear()

    def _remove(self, job, record, upstream):
        del record.shares[upstream]
        for upstreams in (record.upstreams, record.started, record.known):
            for task in job.tasks:
                _remove_from(upstreams, task, upstream)
        if not record.upstreams:
            del self._jobs[job.job_id]


def _may_coincide(first, second):
    """Returns whether two crashes may have happened at the same moment."""
    earliest = max(crash.at - crash.uncertainty_s for crash in (first, second))
    latest = min(first.at, second.at)
    return earliest - latest < _OUTAGE_S


def _merge(first, second):
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


def _queue_weight(age_s):
    """Returns the weight of a crash for the other jobs of the queue."""
    return 0.5 ** (age_s / _QUEUE_HALF_LIFE_S)


def _most(upstreams):
    """Returns the number of upstreams of the task with most of them."""
    return max((len(keys) for keys in upstreams.values()), default=0)


def _remove_from(upstreams, task, upstream):
    keys = upstreams.get(task)
    if keys is None:
        return
    keys.discard(upstream)
    if not keys:
        del upstreams[task]
