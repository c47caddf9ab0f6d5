"""
papayaward.coordination.usable_slots
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How many tasks an upstream really takes at once, learned from its refusals.
"""

__all__ = ["UsableSlots"]

_FIRST_RAISE_S = 1.0
_LONGEST_RAISE_S = 60.0
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 5.0


class UsableSlots:
    """Usable slots of one upstream: at most what it announced.

    A refusal (HTTP 429) lowers the limit to the tasks that run.
    One slot is added after a time without refusals, and this time doubles with
    each addition that was refused. An upstream that refuses although it runs
    nothing, or that cannot be reached, gets no task during a pause that doubles,
    then a single one.
    """

    def __init__(self):
        self._announced = 0
        self._limit = 0
        self._raise_s = _FIRST_RAISE_S
        self._raise_at = None
        self._pause_s = _FIRST_PAUSE_S
        self._paused_until = 0.0
        self._raised = False
        self._probing = False

    def announce(self, slots):
        """Takes the number of slots that the upstream announced."""
        if slots != self._announced:
            self._announced = self._limit = slots
            self._raise_s = _FIRST_RAISE_S
            self._raise_at = None

    def usable(self, running, now):
        """Returns the number of tasks that may run at once.

        Args:
            running: Tasks that run now; a slot is added only while all are in use,
                since an addition is otherwise neither needed nor tried.
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
            self._raise_at = now + self._raise_s
            if self._limit >= self._announced:
                self._limit = self._announced
                self._raise_at = None
        return self._limit

    def on_refused(self, running, now):
        """Notes a refusal while the given number of other tasks ran."""
        if self._raised:
            self._raised = False
            self._raise_s = min(_LONGEST_RAISE_S, 2 * self._raise_s)
        self._limit = min(self._limit, max(1, running))
        self._raise_at = now + self._raise_s
        if not running:
            self.on_unreachable(now)

    def on_unreachable(self, now):
        """Notes that the upstream could not take a single task."""
        if now < self._paused_until:
            # Tasks of the same burst fail together and count once.
            return
        self._probing = True
        self._paused_until = now + self._pause_s
        self._pause_s = min(_LONGEST_PAUSE_S, 2 * self._pause_s)

    def on_served(self):
        """Notes that the upstream ran a task."""
        self._pause_s = _FIRST_PAUSE_S
        self._probing = False
