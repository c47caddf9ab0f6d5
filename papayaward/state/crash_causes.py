"""
papayaward.state.crash_causes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How likely each job on crashed upstreams caused the crashes.

Each crash has one cause: a job that ran there, or something outside of the jobs. The
probability of a job follows from Bayes' rule: its odds times the weight of its runs in
this crash, relative to the other jobs there and to the rate of crashes from outside.
The odds are those after earlier crashes, or those of a new job of its queue.
"""

from .queue_crashes import (
    BASE_PROBABILITY,
    QueueCrashes,
    lowered_probability,
    queue_weight,
)

__all__ = ["CrashCauses"]

# Rate of crashes of one upstream from outside of the jobs, for each second, and the
# factor by which each other upstream raises it that crashed at the same time without
# the job in question.
_OUTSIDE_RATE = 0.02
_OUTAGE_FACTOR = 5.0
_MAX_PROBABILITY = 0.999


class CrashCauses:
    """Probabilities of the jobs as causes of the crashes.

    Attributes:
        queues: `QueueCrashes`.

    Args:
        crashes: `RecentCrashes`, which hold each crash while it counts here.
    """

    def __init__(self, crashes):
        self.queues = QueueCrashes()
        self._crashes = crashes
        # Probability that each job crashes upstreams as a new job of its queue, by
        # upstream.
        self._base_probabilities = {}
        # Time at which each crash was added, by upstream, seconds.
        self._added_at = {}
        # Probability that each job has caused a crash, by job and then by upstream in
        # the order of the crashes.
        self._shares = {}

    def probability(self, job_id):
        """Returns the probability that a job crashes upstreams, after its last one."""
        shares = self._shares.get(job_id)
        return next(reversed(shares.values())) if shares else 0.0

    def crashes_under(self, job_id):
        """Returns the number of crashes under a job."""
        return len(self._shares.get(job_id, ()))

    def add(self, crash, now):
        """Relates the jobs of a new `Crash`, or of one of which more is known."""
        self._added_at.setdefault(crash.upstream, now)
        base = self._base_probabilities.setdefault(crash.upstream, {})
        for job in crash.jobs:
            if job.job_id not in base:
                base[job.job_id] = self.queues.probability(job.queue, now)
            self._shares.setdefault(job.job_id, {}).setdefault(crash.upstream, 0.0)
        for other in (*self._crashes.others_at(crash), crash):
            self._relate_jobs(other, now)

    def remove(self, crash):
        """Forgets a `Crash` that is not remembered any more.

        What the queues are known for stays as long as any crash is remembered.
        """
        del self._base_probabilities[crash.upstream]
        del self._added_at[crash.upstream]
        for job in crash.jobs:
            shares = self._shares[job.job_id]
            del shares[crash.upstream]
            if not shares:
                del self._shares[job.job_id]
        if not self._crashes.all():
            self.queues.clear()

    def withdraw(self, crash, now):
        """Forgets a `Crash` that has not happened, and what was concluded from it."""
        added_at = self._added_at[crash.upstream]
        related = {other.upstream for other in self._crashes.others_at(crash)}
        by_queue = {}
        for job in crash.jobs:
            shares = self._shares[job.job_id]
            related.update(shares)
            share = shares[crash.upstream]
            by_queue[job.queue] = by_queue.get(job.queue, 0.0) + share
        for queue, share in by_queue.items():
            self.queues.add(queue, -share * queue_weight(now - added_at), now)
        self.remove(crash)
        for other in self._crashes.all():
            if self._lower_base(other, by_queue, added_at) or other.upstream in related:
                self._relate_jobs(other, now)

    def _relate_jobs(self, crash, now):
        """Relates the jobs of a crash to one another and to causes from outside.

        A job explains the crashes of other upstreams at the same time only if it ran
        there too; an outage explains them all.
        """
        others_at = self._crashes.others_at(crash)
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
        for key, share in self._shares[job.job_id].items():
            if key == upstream:
                break
            probability = max(self._base_probabilities[upstream][job.job_id], share)
        return probability / (1.0 - probability) * job.weight

    def _set_share(self, job, upstream, share, now):
        """Sets the probability that a `CrashedJob` has caused a crash."""
        shares = self._shares[job.job_id]
        self.queues.add(job.queue, share - shares[upstream], now)
        shares[upstream] = share

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
            if job.queue not in by_queue or base[job.job_id] == BASE_PROBABILITY:
                continue
            crashes = by_queue[job.queue] * queue_weight(elapsed_s)
            base[job.job_id] = lowered_probability(base[job.job_id], crashes)
            has_changed = True
        return has_changed
