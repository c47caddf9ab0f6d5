"""
papayaward.coordination.usable_slots
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Number of tasks that an upstream accepts at once, learned from its refusals.
"""

__all__ = ["UsableSlots"]

_FIRST_RAISE_INTERVAL_S = 1.0
_MAX_RAISE_INTERVAL_S = 60.0
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 5.0


class UsableSlots:
    """Usable slots of one upstream, at most the number that it announced.

    A refusal (HTTP 429) lowers the limit to the number of running tasks. One slot is
    added after an interval without refusals, which doubles each time the added slot
    is refused. An upstream that refuses a task although it runs none, or that is
    unreachable, gets no tasks during a pause, which doubles each time, and then a
    single probe task.
    """

    def __init__(self):
        self._announced = 0
        self._limit = 0
        self._raise_interval_s = _FIRST_RAISE_INTERVAL_S
        self._raise_at = None
        self._pause_s = _FIRST_PAUSE_S
        self._paused_until = 0.0
        self._raised = False
        self._probing = False

    def announce(self, slots):
        """Sets the number of slots that the upstream announced."""
        if slots != self._announced:
            self._announced = self._limit = slots
            self._raise_interval_s = _FIRST_RAISE_INTERVAL_S
            self._raise_at = None

    def usable(self, running, now):
        """Returns the number of tasks that may run at once.

        Args:
            running: Number of running tasks; a slot is added only while all are in
                use, as it would otherwise be neither needed nor tested.
            now: Monotonic time, seconds.
        """
        if now < self._paused_until:
            return 0
        if self._probing:
            return min(1, self._limit)
        due = self._raise_at is not None and now >= self._raise_at
        if due and running >= self._limit:
            self._limit += 1
            self._raised = True
            self._raise_at = now + self._raise_interval_s
            if self._limit >= self._announced:
                self._limit = self._announced
                self._raise_at = None
        return self._limit

    def on_refused(self, running, now):
        """Records a refusal while the given number of other tasks ran."""
        if self._raised:
            self._raised = False
            self._raise_interval_s = min(
                _MAX_RAISE_INTERVAL_S, 2 * self._raise_interval_s
            )
        self._limit = min(self._limit, max(1, running))
        self._raise_at = now + self._raise_interval_s
        if not running:
            self.on_unreachable(now)

    def on_unreachable(self, now):
        """Records that the upstream could not accept a single task."""
        if now < self._paused_until:
            # Tasks of one burst fail together and are recorded as one failure.
            return
        self._probing = True
        self._paused_until = now + self._pause_s
        self._pause_s = min(_MAX_PAUSE_S, 2 * self._pause_s)

    def on_served(self):
        """Records that the upstream ran a task."""
        self._pause_s = _FIRST_PAUSE_S
        self._probing = False
