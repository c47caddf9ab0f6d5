"""
papayaward.coordination.fair_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queue of tasks that shares the slots among tenants.
"""

import heapq
from collections import deque
from itertools import count

__all__ = ["BUCKET_S", "FairQueue", "QueuedJob"]

# Width of the deadline buckets in which queued work is summed for admission.
BUCKET_S = 0.25

# Outdated heap entries that are tolerated before a heap is rebuilt.
_STALE_ENTRIES = 64


class QueuedJob:
    """The tasks of one job that wait for a slot.

    The work and size of a task are fixed when the job arrives, so that what is
    added to the queue's sums for a task is also what is subtracted.

    Args:
        job: The job's record; the queue does not look into it.
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
        "number",
        "listed",
    )

    def __init__(self, job, tenant, priority, deadline, work_us, sizes):
        self.job = job
        self.tenant = tenant
        self.priority = priority
        self.deadline = deadline
        self.work_us = work_us
        self.sizes = sizes
        self.pending = deque()
        self.number = 0
        self.listed = False

    @property
    def bucket(self):
        """Place of the job's work in the sums: priority and deadline bucket."""
        return self.priority, int(self.deadline / BUCKET_S)

    def size_of(self, indices):
        """Returns the size of some of the tasks together, in bytes."""
        return sum(map(self.sizes.__getitem__, indices))


class _Tenant:
    __slots__ = ("name", "jobs", "in_use", "tasks", "work", "quota", "weight", "turn")

    def __init__(self, name, quota, weight):
        self.name = name
        self.jobs = []
        self.in_use = 0
        self.tasks = 0
        self.work = {}
        self.quota = quota
        self.weight = weight
        self.turn = 0


class FairQueue:
    """Tasks that wait for a slot, by tenant.

    Tenants below their quota go first, then the tenant with the least slots in
    use relative to its weight. Within a tenant the order is class priority, then
    deadline, then arrival. A job is one heap entry, so that a task costs a few
    microseconds however many wait.
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
        """Size of the waiting tasks."""
        return self._bytes

    @property
    def work_us(self):
        """Expected service time of the waiting tasks, microseconds."""
        return self._work_us

    def set_shares(self, shares):
        """Sets the function from a tenant's name to its (quota in slots, weight)."""
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
        """Returns (name, slots in use plus waiting tasks, quota, weight) by tenant."""
        return [
            (tenant.name, tenant.in_use + tenant.tasks, tenant.quota, tenant.weight)
            for tenant in self._tenants.values()
        ]

    def waiting(self, name):
        """Returns the number of a tenant's waiting tasks."""
        tenant = self._tenants.get(name)
        return 0 if tenant is None else tenant.tasks

    def waiting_work(self, name):
        """Returns a tenant's waiting work in microseconds by `QueuedJob.bucket`."""
        tenant = self._tenants.get(name)
        return {} if tenant is None else tenant.work

    def add(self, queued, indices):
        """Adds tasks of a job; a job that was added before keeps its place."""
        tenant = self._tenant(queued.tenant)
        if not queued.number:
            queued.number = next(self._sequence)
        queued.pending.extend(indices)
        self._count(
            tenant, queued, len(indices), sum(map(queued.sizes.__getitem__, indices))
        )
        self._list(tenant, queued)

    def requeue(self, queued, index):
        """Adds a task that was removed, before the others of its job."""
        tenant = self._tenant(queued.tenant)
        queued.pending.appendleft(index)
        self._count(tenant, queued, 1, queued.sizes[index])
        self._list(tenant, queued)

    def pop(self):
        """Removes the next task, counts its slot as used by the tenant.

        Returns:
            tuple: `QueuedJob` and index of the task, or None when none waits.
        """
        tenant = self._next_tenant()
        if tenant is None:
            return None
        queued = tenant.jobs[0][-1]
        index = queued.pending.popleft()
        self._count(tenant, queued, -1, -queued.sizes[index])
        tenant.in_use += 1
        if not queued.pending:
            heapq.heappop(tenant.jobs)
            queued.listed = False
        self._schedule(tenant)
        return queued, index

    def acquire_slot(self, name):
        """Counts a slot as used by a tenant for a task that did not wait here."""
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
            self._drop_if_unused(tenant)

    def remove(self, queued):
        """Removes every waiting task of a job and returns their number."""
        removed = len(queued.pending)
        if not removed:
            return 0
        tenant = self._tenants[queued.tenant]
        self._count(
            tenant,
            queued,
            -removed,
            -sum(map(queued.sizes.__getitem__, queued.pending)),
        )
        queued.pending.clear()
        # The heap entry goes when it comes up, or when most entries are empty.
        self._drop_empty(tenant)
        self._schedule(tenant)
        self._drop_if_unused(tenant)
        return removed

    def _tenant(self, name):
        tenant = self._tenants.get(name)
        if tenant is None:
            tenant = self._tenants[name] = _Tenant(name, *self._shares(name))
        return tenant

    def _drop_if_unused(self, tenant):
        if not tenant.in_use and not tenant.tasks:
            for entry in tenant.jobs:
                entry[-1].listed = False
            del self._tenants[tenant.name]
            # Makes the entry in the order of turns stale.
            tenant.turn = -1

    def _count(self, tenant, queued, tasks, size):
        work_us = tasks * queued.work_us
        self._size += tasks
        self._bytes += size
        self._work_us += work_us
        tenant.tasks += tasks
        bucket = queued.bucket
        left = tenant.work.get(bucket, 0) + work_us
        if left:
            tenant.work[bucket] = left
        else:
            tenant.work.pop(bucket, None)

    def _list(self, tenant, queued):
        if not queued.listed:
            queued.listed = True
            order = (queued.priority, queued.deadline, queued.number)
            heapq.heappush(tenant.jobs, (*order, queued))
        self._schedule(tenant)

    def _drop_empty(self, tenant):
        jobs = tenant.jobs
        while jobs and not jobs[0][-1].pending:
            heapq.heappop(jobs)[-1].listed = False
        if len(jobs) > tenant.tasks + _STALE_ENTRIES:
            for entry in jobs:
                entry[-1].listed = bool(entry[-1].pending)
            tenant.jobs = [entry for entry in jobs if entry[-1].listed]
            heapq.heapify(tenant.jobs)

    def _schedule(self, tenant):
        """Enters a tenant anew in the order of turns after its rank changed."""
        self._drop_empty(tenant)
        if not tenant.jobs:
            tenant.turn = -1
            return
        tenant.turn = turn = next(self._sequence)
        used = tenant.in_use
        rank = (used >= tenant.quota, used / tenant.weight, tenant.jobs[0][:3])
        heapq.heappush(self._tenant_heap, (*rank, turn, tenant))
        if len(self._tenant_heap) > 2 * len(self._tenants) + _STALE_ENTRIES:
            self._tenant_heap = [
                entry for entry in self._tenant_heap if entry[-1].turn == entry[-2]
            ]
            heapq.heapify(self._tenant_heap)

    def _next_tenant(self):
        while self._tenant_heap:
            turn, tenant = self._tenant_heap[0][-2:]
            if tenant.turn == turn:
                return tenant
            heapq.heappop(self._tenant_heap)
        return None
