"""
papayaward.coordination.fair_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fair queue of tasks, which shares the slots among client accounts.
"""

import heapq
from collections import deque
from itertools import count

__all__ = ["BUCKET_S", "FairQueue", "QueuedJob"]

# Width of the deadline buckets in which queued work is summed for admission.
BUCKET_S = 0.25

# Number of stale heap entries tolerated before a heap is rebuilt.
_MAX_STALE_ENTRIES = 64


class QueuedJob:
    """The queued tasks of one job.

    The work and size of a task are fixed when the job arrives, so that the queue's
    totals are reduced by the same amounts by which they were increased.

    Args:
        job: The job's record, opaque to the queue.
        account: Name of the client account.
        priority: Class priority; lower values go first.
        deadline: Monotonic time, seconds.
        work_us: Expected service time of one task, whole microseconds.
        sizes: Size of each task in bytes.
    """

    __slots__ = (
        "job",
        "account",
        "priority",
        "deadline",
        "work_us",
        "sizes",
        "pending",
        "arrival_number",
        "in_heap",
    )

    def __init__(self, job, account, priority, deadline, work_us, sizes):
        self.job = job
        self.account = account
        self.priority = priority
        self.deadline = deadline
        self.work_us = work_us
        self.sizes = sizes
        self.pending = deque()
        self.arrival_number = 0
        self.in_heap = False

    @property
    def bucket(self):
        """Key of the job's work in the totals: priority and deadline bucket."""
        return self.priority, int(self.deadline / BUCKET_S)

    def size_of(self, indices):
        """Returns the total size of the tasks with the given indices, in bytes."""
        return sum(map(self.sizes.__getitem__, indices))


class _Account:
    __slots__ = (
        "name",
        "jobs",
        "in_use",
        "tasks",
        "work",
        "quota",
        "weight",
        "entry_id",
    )

    def __init__(self, name, quota, weight):
        self.name = name
        self.jobs = []
        self.in_use = 0
        self.tasks = 0
        self.work = {}
        self.quota = quota
        self.weight = weight
        self.entry_id = 0


class FairQueue:
    """Queued tasks by client account.

    Client accounts below their quota go first, then the client account with the
    fewest slots in use relative to its weight. Within a client account the order is
    class priority, then deadline, then arrival. Each job is a single heap entry, so
    that a task costs a few microseconds regardless of the queue's length.
    """

    def __init__(self):
        self._accounts = {}
        self._account_heap = []
        self._sequence = count(1)
        self._shares = lambda name: (0.0, 1.0)
        self._size = 0
        self._bytes = 0
        self._work_us = 0

    def __len__(self):
        return self._size

    @property
    def bytes(self):
        """Total size of the queued tasks, in bytes."""
        return self._bytes

    @property
    def work_us(self):
        """Total expected service time of the queued tasks, microseconds."""
        return self._work_us

    def set_shares(self, shares):
        """Sets the function from an account's name to (quota in slots, weight)."""
        self._shares = shares
        self._account_heap = []
        for account in self._accounts.values():
            account.quota, account.weight = shares(account.name)
            self._schedule(account)

    def in_use(self, name):
        """Returns the number of slots that a client account uses."""
        account = self._accounts.get(name)
        return 0 if account is None else account.in_use

    def demands(self):
        """Returns the demands of the client accounts for `fair_share`.

        Returns:
            list: Tuples (name, slots in use plus queued tasks, quota in slots,
                weight).
        """
        return [
            (
                account.name,
                account.in_use + account.tasks,
                account.quota,
                account.weight,
            )
            for account in self._accounts.values()
        ]

    def queued_tasks(self, name):
        """Returns the number of a client account's queued tasks."""
        account = self._accounts.get(name)
        return 0 if account is None else account.tasks

    def queued_work(self, name):
        """Returns an account's queued work in microseconds by `QueuedJob.bucket`."""
        account = self._accounts.get(name)
        return {} if account is None else account.work

    def add(self, queued, indices):
        """Adds tasks of a job; a job that was added before keeps its position."""
        account = self._account(queued.account)
        if not queued.arrival_number:
            queued.arrival_number = next(self._sequence)
        queued.pending.extend(indices)
        self._update_totals(
            account, queued, len(indices), sum(map(queued.sizes.__getitem__, indices))
        )
        self._push_job(account, queued)

    def requeue(self, queued, index):
        """Returns a removed task to the queue, ahead of its job's other tasks."""
        account = self._account(queued.account)
        queued.pending.appendleft(index)
        self._update_totals(account, queued, 1, queued.sizes[index])
        self._push_job(account, queued)

    def pop(self):
        """Removes the next task and counts a slot as used by its client account.

        Returns:
            tuple: `QueuedJob` and index of the task, or None if the queue is empty.
        """
        account = self._next_account()
        if account is None:
            return None
        queued = account.jobs[0][-1]
        index = queued.pending.popleft()
        self._update_totals(account, queued, -1, -queued.sizes[index])
        account.in_use += 1
        if not queued.pending:
            heapq.heappop(account.jobs)
            queued.in_heap = False
        self._schedule(account)
        return queued, index

    def acquire_slot(self, name):
        """Counts a slot as used by a client account for a task that was not queued."""
        account = self._account(name)
        account.in_use += 1
        self._schedule(account)

    def release_slot(self, name):
        """Counts a slot as no longer used by a client account."""
        account = self._accounts[name]
        account.in_use -= 1
        if account.tasks:
            self._schedule(account)
        else:
            self._remove_if_unused(account)

    def remove(self, queued):
        """Removes all queued tasks of a job and returns their number."""
        removed = len(queued.pending)
        if not removed:
            return 0
        account = self._accounts[queued.account]
        self._update_totals(
            account,
            queued,
            -removed,
            -sum(map(queued.sizes.__getitem__, queued.pending)),
        )
        queued.pending.clear()
        # The heap entry is removed when it reaches the top, or when the heap is
        # rebuilt because most entries are empty.
        self._prune_empty_jobs(account)
        self._schedule(account)
        self._remove_if_unused(account)
        return removed

    def _account(self, name):
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(name, *self._shares(name))
        return account

    def _remove_if_unused(self, account):
        if not account.in_use and not account.tasks:
            for entry in account.jobs:
                entry[-1].in_heap = False
            del self._accounts[account.name]
            # Invalidates the client account's entry in the heap of client accounts.
            account.entry_id = -1

    def _update_totals(self, account, queued, tasks, size):
        work_us = tasks * queued.work_us
        self._size += tasks
        self._bytes += size
        self._work_us += work_us
        account.tasks += tasks
        bucket = queued.bucket
        remaining = account.work.get(bucket, 0) + work_us
        if remaining:
            account.work[bucket] = remaining
        else:
            account.work.pop(bucket, None)

    def _push_job(self, account, queued):
        if not queued.in_heap:
            queued.in_heap = True
            order = (queued.priority, queued.deadline, queued.arrival_number)
            heapq.heappush(account.jobs, (*order, queued))
        self._schedule(account)

    def _prune_empty_jobs(self, account):
        jobs = account.jobs
        while jobs and not jobs[0][-1].pending:
            heapq.heappop(jobs)[-1].in_heap = False
        if len(jobs) > account.tasks + _MAX_STALE_ENTRIES:
            for entry in jobs:
                entry[-1].in_heap = bool(entry[-1].pending)
            account.jobs = [entry for entry in jobs if entry[-1].in_heap]
            heapq.heapify(account.jobs)

    def _schedule(self, account):
        """Replaces an account's entry in the heap after its rank changed."""
        self._prune_empty_jobs(account)
        if not account.jobs:
            account.entry_id = -1
            return
        account.entry_id = entry_id = next(self._sequence)
        used = account.in_use
        rank = (used >= account.quota, used / account.weight, account.jobs[0][:3])
        heapq.heappush(self._account_heap, (*rank, entry_id, account))
        if len(self._account_heap) > 2 * len(self._accounts) + _MAX_STALE_ENTRIES:
            self._account_heap = [
                entry for entry in self._account_heap if entry[-1].entry_id == entry[-2]
            ]
            heapq.heapify(self._account_heap)

    def _next_account(self):
        while self._account_heap:
            entry_id, account = self._account_heap[0][-2:]
            if account.entry_id == entry_id:
                return account
            heapq.heappop(self._account_heap)
        return None
