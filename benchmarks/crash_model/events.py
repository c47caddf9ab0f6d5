"""
benchmarks.crash_model.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Events in simulated time.
"""

import heapq
import itertools

__all__ = ["EventQueue"]


class EventQueue:
    """Actions in the order of their simulated times.

    Attributes:
        began_at: Simulated time at the beginning, seconds.
        now: Simulated time, seconds.

    Args:
        now: Simulated time at the beginning, seconds.
    """

    def __init__(self, now):
        self.began_at = self.now = now
        self._events = []
        self._numbers = itertools.count()

    @property
    def elapsed_s(self):
        """Simulated time since the beginning, seconds."""
        return self.now - self.began_at

    def after(self, seconds, action):
        """Runs an action later."""
        event = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, duration_s):
        """Runs the actions until a time after the beginning."""
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self.began_at + duration_s:
                return
            self.now = at
            action()
