"""
papayaward.coordination.fair_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fair queue of tasks, which shares the slots among tenants.
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
        tenant: Name of the tenant.
        priority: Class priority; lower values go first.
        deadline: Monotonic time, seconds.
        work_us: Expected service time of one task, whole microseconds.
        sizes: Size of each task in bytes.
    """

    __slots__ = (
        "job",
        "tenant",
        "priority",
        "deadline",
        "work_us",
        "sizes",
        "pending",
        "arrival_number",
        "in_heap",
    )

    def __init__(self, job, tenant, priority, deadline, work_us, sizes):
        self.job = job
        self.tenant = tenant
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


class _Tenant:
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
    """Queued tasks by tenant.

    Tenants below their quota go first, then the tenant with the fewest slots in
    use relative to its weight. Within a tenant the order is class priority, then
    deadline, then arrival. Each job is a single heap entry, so that a task costs a
    few microseconds regardless of the queue's length.
    """

    def __init__(self):
        self._tenants = {}
        self._tenant_heap = []
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
        """Sets the function that maps a tenant's name to (quota in slots, weight)."""
        self._shares = shares
        self._tenant_heap = []
        for tenant in self._tenants.values():
            tenant.quota, tenant.weight = shares(tenant.name)
            self._schedule(tenant)

    def in_use(self, name):
        """Returns the number of slots that a tenant uses."""
        tenant = self._tenants.get(name)
        return 0 if tenant is None else tenant.in_use

    def demands(self):
        """Returns the demands of the tenants for `fair_share`.

        Returns:
            list: Tuples (name, slots in use plus queued tasks, quota in slots,
                weight).
        """
        return [
            (tenant.name, tenant.in_use + tenant.tasks, tenant.quota, tenant.weight)
            for tenant in self._tenants.values()
        ]

    def queued_tasks(self, name):
        """Returns the number of a tenant's queued tasks."""
        tenant = self._tenants.get(name)
        return 0 if tenant is None else tenant.tasks

    def queued_work(self, name):
        """Returns a tenant's queued work in microseconds by `QueuedJob.bucket`."""
        tenant = self._tenants.get(name)
        return {} if tenant is None else tenant.work

    def add(self, queued, indices):
        """Adds tasks of a job; a job that was added before keeps its position."""
        tenant = self._tenant(queued.tenant)
        if not queued.arrival_number:
            queued.arrival_number = next(self._sequence)
        queued.pending.extend(indices)
        self._update_totals(
            tenant, queued, len(indices), sum(map(queued.sizes.__getitem__, indices))
        )
        self._push_job(tenant, queued)

    def requeue(self, queued, index):
        """Returns a removed task to the queue, ahead of its job's other tasks."""
        tenant = self._tenant(queued.tenant)
        queued.pending.appendleft(index)
        self._update_totals(tenant, queued, 1, queued.sizes[index])
        self._push_job(tenant, queued)

    def pop(self):
        """Removes the next task and counts a slot as used by its tenant.

        Returns:
            tuple: `QueuedJob` and index of the task, or None if the queue is empty.
        """
        tenant = self._next_tenant()
        if tenant is None:
            return None
        queued = tenant.jobs[0][-1]
        index = queued.pending.popleft()
        self._update_totals(tenant, queued, -1, -queued.sizes[index])
        tenant.in_use += 1
        if not queued.pending:
            heapq.heappop(tenant.jobs)
            queued.in_heap = False
        self._schedule(tenant)
        return queued, index

    def acquire_slot(self, name):
        """Counts a slot as used by a tenant for a task that was not queued."""
        tenant = self._tenant(name)
        tenant.in_use += 1
        self._schedule(tenant)

    def release_slot(self, name):
        """Counts a slot as no longer used by a tenant."""
        tenant = self._tenants[name]
        tenant.in_use -= 1
        if tenant.tasks:
            self._schedule(tenant)
        else:
            self._remove_if_unused(tenant)

    def remove(self, queued):
        """Removes all queued tasks of a job and returns their number."""
        removed = len(queued.pending)
        if not removed:
            return 0
        tenant = self._tenants[queued.tenant]
        self._update_totals(
            tenant,
            queued,
            -removed,
            -sum(map(queued.sizes.__getitem__, queued.pending)),
        )
        queued.pending.clear()
        # The heap entry is removed when it reaches the top, or when the heap is
        # rebuilt because most entries are empty.
        self._prune_empty_jobs(tenant)
        self._schedule(tenant)
        self._remove_if_unused(tenant)
        return removed

    def _tenant(self, name):
        tenant = self._tenants.get(name)
        if tenant is None:
            tenant = self._tenants[name] = _Tenant(name, *self._shares(name))
        return tenant

    def _remove_if_unused(self, tenant):
        if not tenant.in_use and not tenant.tasks:
            for entry in tenant.jobs:
                entry[-1].in_heap = False
            del self._tenants[tenant.name]
            # Invalidates the tenant's entry in the heap of tenants.
            tenant.entry_id = -1

    def _update_totals(self, tenant, queued, tasks, size):
        work_us = tasks * queued.work_us
        self._size += tasks
        self._bytes += size
        self._work_us += work_us
        tenant.tasks += tasks
        bucket = queued.bucket
        remaining = tenant.work.get(bucket, 0) + work_us
        if remaining:
            tenant.work[bucket] = remaining
        else:
            tenant.work.pop(bucket, None)

    def _push_job(self, tenant, queued):
        if not queued.in_heap:
            queued.in_heap = True
            order = (queued.priority, queued.deadline, queued.arrival_number)
            heapq.heappush(tenant.jobs, (*order, queued))
        self._schedule(tenant)

    def _prune_empty_jobs(self, tenant):
        jobs = tenant.jobs
        while jobs and not jobs[0][-1].pending:
            heapq.heappop(jobs)[-1].in_heap = False
        if len(jobs) > tenant.tasks + _MAX_STALE_ENTRIES:
            for entry in jobs:
                entry[-1].in_heap = bool(entry[-1].pending)
            tenant.jobs = [entry for entry in jobs if entry[-1].in_heap]
            heapq.heapify(tenant.jobs)

    def _schedule(self, tenant):
        """Replaces a tenant's entry in the heap of tenants after its rank changed."""
        self._prune_empty_jobs(tenant)
        if not tenant.jobs:
            tenant.entry_id = -1
            return
        tenant.entry_id = entry_id = next(self._sequence)
        used = tenant.in_use
        rank = (used >= tenant.quota, used / tenant.weight, tenant.jobs[0][:3])
        heapq.heappush(self._tenant_heap, (*rank, entry_id, tenant))
        if len(self._tenant_heap) > 2 * len(self._tenants) + _MAX_STALE_ENTRIES:
            self._tenant_heap = [
                entry for entry in self._tenant_heap if entry[-1].entry_id == entry[-2]
            ]
            heapq.heapify(self._tenant_heap)

    def _next_tenant(self):
        while self._tenant_heap:
            entry_id, tenant = self._tenant_heap[0][-2:]
            if tenant.entry_id == entry_id:
                return tenant
            heapq.heappop(self._tenant_heap)
        return None
