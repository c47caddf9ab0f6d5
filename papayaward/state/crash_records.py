"""
papayaward.state.crash_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that ended without notice, and what follows for the jobs that ran there.

`recent_crashes` holds the crashes, `crash_counts` the upstreams under each task, and
`crash_causes` the probability of each job as the cause.
"""

from dataclasses import replace

from .crash_causes import CrashCauses
from .crash_counts import CrashCounts
from .crashes import merge_crashes
from .recent_crashes import RecentCrashes

__all__ = ["MAX_CRASHES_UNDER_TASK", "CrashRecords"]

# Crashes under one running task after which its job is condemned if it is the likely
# cause.
_MIN_CRASHES = 2
# Crashes that a task may have been in after which it is not started again, and the same
# for a job that is unlikely to have caused the last one, as after several outages.
MAX_CRASHES_UNDER_TASK = 3
_MAX_UNLIKELY_CRASHES_UNDER_TASK = 4
# Probability from which a job is the likely cause of a crash.
_LIKELY = 0.9
# Probability below which a job is unlikely to have caused a crash.
_UNLIKELY = 0.1


class CrashRecords:
    """Recent crashes, by upstream and by job. The number of records is bounded."""

    def __init__(self):
        self._crashes = RecentCrashes()
        self._counts = CrashCounts()
        self._causes = CrashCauses(self._crashes)

    def add(self, crash, now):
        """Adds a crash and returns whether it holds anything new.

        If the executor ended with its upstream, several entries report the same crash,
        each with its own jobs. A suspected crash is reported again when it is known.

        Args:
            crash: `Crash`.
            now: Time, seconds.
        """
        self.expire(now)
        if self._crashes.is_void(crash, now):
            return False
        previous = self._crashes.find(crash.upstream)
        crash = merge_crashes(previous or replace(crash, jobs=()), crash)
        if crash == previous:
            return False
        self._crashes.put(crash)
        self._counts.add(crash)
        self._causes.add(crash, now)
        surplus = self._crashes.surplus()
        if surplus is not None:
            self._remove(surplus)
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
        if not self._crashes.put_withdrawal(withdrawal, now):
            return False
        crash = self._crashes.find(withdrawal.upstream)
        if crash is not None and self._crashes.is_withdrawn(crash):
            self._crashes.remove(crash)
            self._counts.remove(crash)
            self._causes.withdraw(crash, now)
        return True

    def expire(self, now):
        """Forgets old crashes and withdrawals."""
        self._crashes.forget_withdrawals(now)
        for crash in self._crashes.expired(now):
            self._remove(crash)

    def _remove(self, crash):
        self._crashes.remove(crash)
        self._counts.remove(crash)
        self._causes.remove(crash)

    def find(self, upstream):
        """Returns the `Crash` of an upstream, or None."""
        return self._crashes.find(upstream)

    def all(self):
        """Returns each `Crash` that is remembered, in the order of their arrival."""
        return self._crashes.all()

    def withdrawals(self):
        """Returns each `Withdrawal` that is remembered, in the order of arrival."""
        return self._crashes.withdrawals()

    def has_recent(self, now):
        """Returns whether an upstream crashed in the last seconds."""
        return self._crashes.has_recent(now)

    def is_condemned(self, job_id):
        """Returns whether a job has a task that has crashed upstreams.

        Only known crashes under a task that was running count, so that a job is not
        shown as failed because of starts that reached no upstream, or of connections
        that were refused while the upstream ran on.
        """
        return self._counts.known(job_id) >= _MIN_CRASHES and self.is_likely(job_id)

    def is_condemned_if_known(self, job_id):
        """Returns whether a job is condemned if all suspected crashes become known."""
        return self._counts.running(job_id) >= _MIN_CRASHES and self.is_likely(job_id)

    def is_exhausted(self, job_id):
        """Returns whether a job has a task that must not be started again.

        The crashes that the task may have been in count as well, so that the number of
        starts is bounded for a task that crashes upstreams before they confirm it.
        """
        is_unlikely = self.probability(job_id) < _UNLIKELY
        limit = (
            _MAX_UNLIKELY_CRASHES_UNDER_TASK if is_unlikely else MAX_CRASHES_UNDER_TASK
        )
        return self._counts.possible(job_id) >= limit

    def is_likely(self, job_id):
        """Returns whether a job has probably crashed an upstream."""
        return self.probability(job_id) >= _LIKELY

    def is_likely_running(self, job_id):
        """Returns whether a job has probably crashed an upstream that was running it.

        Unlike `is_likely`, this leaves out starts that may have reached no upstream.
        """
        return self._counts.running(job_id) > 0 and self.is_likely(job_id)

    def is_repeatedly_likely(self, job_id):
        """Returns whether a job has probably crashed several upstreams.

        Unlike for `is_condemned`, different tasks of the job may have been running, and
        the crashes may be suspected.
        """
        upstreams = self._counts.running_upstreams(job_id)
        return len(upstreams) >= _MIN_CRASHES and self.is_likely(job_id)

    def probability(self, job_id):
        """Returns the probability that a job crashes upstreams."""
        return self._causes.probability(job_id)

    def queue_crashes(self, queue, now):
        """Returns how many recent crashes are put down to the jobs of a queue.

        Args:
            queue: Name of the queue.
            now: Time, seconds.

        Returns:
            float: Sum of the probabilities, each with a weight that falls with its age.
        """
        return self._causes.queues.number(queue, now)

    def crashes_under(self, job_id):
        """Returns the number of crashes under a job."""
        return self._causes.crashes_under(job_id)

    def upstreams_of(self, task):
        """Returns the keys of the crashed upstreams that may have run a task."""
        return self._counts.upstreams_of(task)
