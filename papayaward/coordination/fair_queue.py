"""
papayaward.coordination.fair_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queue of tasks that shares the slots among tenants.
"""

import heapq
from itertools import count

__all__ = ["FairQueue"]


class FairQueue:
    """Tasks that wait for a slot, by tenant.

    The next task comes from the tenant with the least use relative to its share;
    within a tenant the order is class priority, then arrival.
    """

    def __init__(self):
        self._heaps = {}
        self._in_use = {}
        self._sequence = count()
        self._size = 0

    def __len__(self):
        return self._size

    def in_use(self, tenant):
        """Returns the number of slots that a tenant uses."""
        return self._in_use.get(tenant, 0)

    def push(self, tenant, priority, item, front=False):
        """Adds a task; `front` puts it before others of its priority."""
        number = next(self._sequence)
        order = (priority, -number if front else number)
        heapq.heappush(self._heaps.setdefault(tenant, []), (order, item))
        self._size += 1

    def pop(self, shares, is_live):
        """Removes and returns the next task, or None.

        Args:
            shares: Function of a tenant's name that returns its (quota in slots,
                weight).
            is_live: Function of a task; tasks that are not live are dropped.
        """
        while True:
            tenant = self._next_tenant(shares)
            if tenant is None:
                return None
            heap = self._heaps[tenant]
            _, item = heapq.heappop(heap)
            self._size -= 1
            if not heap:
                del self._heaps[tenant]
            if is_live(item):
                return item

    def take_slot(self, tenant):
        """Counts a slot as used by a tenant."""
        self._in_use[tenant] = self._in_use.get(tenant, 0) + 1

    def give_slot(self, tenant):
        """Counts a slot as no longer used by a tenant."""
        self._in_use[tenant] -= 1
        if not self._in_use[tenant]:
            del self._in_use[tenant]

    def prune(self, is_live):
        """Drops the tasks that are not live."""
        for tenant, heap in list(self._heaps.items()):
            kept = [entry for entry in heap if is_live(entry[1])]
            self._size -= len(heap) - len(kept)
            if kept:
                heapq.heapify(kept)
                self._heaps[tenant] = kept
            else:
                del self._heaps[tenant]

    def _next_tenant(self, shares):
        if len(self._heaps) == 1:
            return next(iter(self._heaps))

        def rank(tenant):
            quota, weight = shares(tenant)
            used = self.in_use(tenant)
            # Tenants below their quota go first, then by use over weight.
            return (used >= quota, used / weight, self._heaps[tenant][0][0])

        return min(self._heaps, key=rank, default=None)
