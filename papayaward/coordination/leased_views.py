"""
papayaward.coordination.leased_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an entry knows of an executor that runs tasks under a lease.
"""

from collections import deque

from ..protocol.jobs import Resources, resources_from_wire

__all__ = ["LeasedView"]


class LeasedView:
    """One executor as an entry sees it.

    Args:
        link: Link to the executor's process.
    """

    def __init__(self, link):
        self.link = link
        self.name = link.peer.member
        self.service = link.peer.service_name
        self.domain = link.peer.domain
        self.accepting = False
        self.capacity = Resources()
        self.labels = ()
        self.upstream = ""
        self.tasks = {}
        self.slow_until = 0.0
        self._free = Resources()
        self._last_batch = 0
        self._unseen = deque()

    @property
    def free(self):
        """Room that is left after every start that was sent."""
        return self._free

    @property
    def has_room(self):
        """Whether any processor time is left."""
        return self._free.cpu_millis > 0

    def next_batch(self):
        """Returns the number of the next batch of starts."""
        self._last_batch += 1
        return self._last_batch

    def reserve(self, task):
        """Takes the room of a task that goes out with the next batch."""
        need = task.phase.need
        self._free = self._free - need
        self._unseen.append((self._last_batch + 1, need))
        self.tasks[task.name] = task

    def on_room(self, room):
        """Takes a report of the executor's room.

        Starts that the executor had not seen when it reported are taken off again.
        """
        while self._unseen and self._unseen[0][0] <= room.last_batch:
            self._unseen.popleft()
        free = resources_from_wire(room.free)
        for _, need in self._unseen:
            free = free - need
        self._free = free
        self.capacity = resources_from_wire(room.capacity)
        self.accepting = bool(room.accepting)
        self.labels = tuple(room.labels or ())
        self.upstream = room.upstream
