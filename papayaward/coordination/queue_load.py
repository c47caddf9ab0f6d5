"""
papayaward.coordination.queue_load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Load and shares of a coordinator's queue, and what a job demands of it.
"""

from .admission import Demand, Load, fair_share

__all__ = ["QueueLoad"]

_DEFAULT_PRIORITY = 10
_SHARE_TTL_S = 0.05


class QueueLoad:
    """Shares of the client accounts in the slots, and estimates for admission.

    Args:
        node: The runner.
        records: `JobRecords`, whose open bytes count towards the admission limit.
        queue: `FairQueue`.
        speeds: `SpeedEstimates`.
    """

    def __init__(self, node, records, queue, speeds):
        self._node = node
        self._records = records
        self._queue = queue
        self._speeds = speeds
        self._slots = 0
        self._config_version = None
        self._shares = {}

    @property
    def slots(self):
        """Total slots of the usable executors."""
        return self._slots

    def set_slots(self, slots):
        """Sets the total slots; updates the shares if they may have changed."""
        version = self._node.config.version
        if slots == self._slots and version == self._config_version:
            return
        self._slots = slots
        self._config_version = version
        self._shares = {}
        self._queue.set_shares(self._quota_and_weight)

    def demand(self, spec, size):
        """Returns the `Demand` of a job for admission.

        Args:
            spec: `JobSpec`.
            size: Size of the tasks, bytes.
        """
        task_s = best_s = 0.0
        if self._speeds.knows(spec.job_class):
            task_s = self._speeds.expected_s(spec.job_class)
            best_s = task_s * self._speeds.min_slowness()
        return Demand(
            len(spec.tasks),
            size,
            task_s,
            best_s,
            self._speeds.fastest_s(spec.job_class),
            self.priority(spec.job_class),
            spec.deadline,
        )

    def load(self, account, queued, known_slots, now):
        """Returns the `Load` of this coordinator for a job of a client account.

        Args:
            account: Name of the client account.
            queued: Number of tasks waiting for a slot.
            known_slots: Total slots of all executors, usable or not.
            now: Monotonic time, seconds.
        """
        return Load(
            queued,
            self._records.open_bytes,
            self._queue.queued_tasks(account),
            self._records.account_bytes(account),
            self._slots,
            known_slots,
            self._share(account, now),
            self._queue.queued_work(account),
        )

    def priority(self, name):
        """Returns the priority of a class of jobs."""
        job_class = self._node.config.config.classes.get(name)
        return _DEFAULT_PRIORITY if job_class is None else job_class.priority

    def will_miss_deadline(self, queued, free, now):
        """Returns whether the estimates show that a job will miss its deadline.

        Tasks that take longer than earlier ones make the queue longer than
        admission assumed. A job that cannot be completed in time is rejected
        before it uses any slots.

        Args:
            queued: `QueuedJob` of a job none of whose tasks was granted.
            free: Number of slots that are free.
            now: Monotonic time, seconds.
        """
        spec = queued.job.spec
        remaining_s = spec.deadline - now
        tasks = queued.job.tasks
        needed_s = self._speeds.fastest_s(spec.job_class)
        if tasks > 1 and self._speeds.knows(spec.job_class):
            task_s = self._speeds.expected_s(spec.job_class)
            last_task_s = task_s * self._speeds.min_slowness()
            slots = max(1.0, self._share(spec.account, now))
            wait_s = _last_start_s(tasks, free, slots, task_s)
            needed_s = max(wait_s + last_task_s, tasks * task_s / slots)
        return needed_s > remaining_s

    def _quota_and_weight(self, name):
        account = self._node.config.config.accounts.get(name)
        if account is None:
            return 0.0, 1.0
        return account.quota * self._slots, account.weight

    def _share(self, name, now):
        share, until = self._shares.get(name, (0.0, 0.0))
        if now >= until:
            quota, weight = self._quota_and_weight(name)
            demands = self._queue.demands()
            share = fair_share(self._slots, name, quota, weight, demands)
            self._shares[name] = (share, now + _SHARE_TTL_S)
        return share


def _last_start_s(tasks, free, slots, task_s):
    """Returns the time until the last of several tasks starts, seconds.

    Args:
        tasks: Number of tasks; the first ones start at once on the free slots.
        free: Number of free slots.
        slots: Number of slots that the tasks may use, free or not.
        task_s: Run time of a task, seconds. The slots that are not free become free
            evenly spread over this time, the free ones again at its end.
    """
    rounds, rest = divmod(max(0, tasks - free), slots)
    if rest:
        rounds += min(1.0, rest / max(rest, slots - free))
    return rounds * task_s
