"""
papayaward.coordination.executor_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a coordinator knows of each executor of its cell.
"""

from collections import deque

__all__ = ["ExecutorView", "Placed"]

# Rejections in a row, beyond one for each slot, after which an executor gets no
# grants for a while: each costs two messages and starts nothing.
_REJECTIONS = 8
_REJECTION_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 2.0


class Placed:
    """One grant: a task that was given to an executor.

    Args:
        record: `JobRecord`.
        index: Index of the task.
        attempt: Number of the grant, from 1.
        now: Monotonic time of the grant, seconds.
    """

    __slots__ = ("record", "index", "attempt", "granted")

    def __init__(self, record, index, attempt, now):
        self.record = record
        self.index = index
        self.attempt = attempt
        self.granted = now


class ExecutorView:
    """One executor as its coordinator sees it.

    Args:
        member: Name of the runner.
        incarnation: Incarnation of the runner.
        domain: Failure domain of the runner.
    """

    def __init__(self, member, incarnation, domain):
        self.member = member
        self.incarnation = incarnation
        self.domain = domain
        self.link = None
        self.disconnected_at = None
        self.heard = 0.0
        # Last time at which this home sent it a batch.
        self.active = float("-inf")
        # Whether an entry lists the runner; an unlisted one gets no new tasks.
        self.listed = True
        self.slots = 0
        self.used_by_others = 0
        self.accepting = False
        self.in_service = True
        self.limit = 0
        # Order of placement: rank by speed, free slots with the sign changed, name.
        self.order = (0, 0, member)
        self.paused_until = 0.0
        # A new executor counts as one that was away for long.
        self.absent_since = float("-inf")
        # Executors that are faster: their tasks per task of an average executor's
        # time, and their mean slowness.
        self.faster_rate = 0.0
        self.faster_slowness = 0.0
        self.outstanding = {}
        # Tasks that a baseline policy has bound to this executor.
        self.backlog = deque()
        self._rejections = 0

    @property
    def outranked(self):
        """Whether faster executors are known."""
        return self.faster_rate > 0.0

    @property
    def usable(self):
        """Whether grants may be sent to the executor at all."""
        return (
            self.link is not None
            and self.listed
            and self.accepting
            and self.in_service
            and self.limit > 0
        )

    @property
    def free(self):
        """Slots that a new grant may take; 0 or less when none is free."""
        if not self.usable:
            return 0
        own = len(self.outstanding)
        return min(self.slots - self.used_by_others, self.limit) - own

    def on_report(self, report):
        """Takes a slot report of the executor."""
        self.slots = report.slots
        self.used_by_others = report.used_by_others
        self.accepting = report.accepting

    def on_start(self):
        """Notes that a grant led to a start."""
        self._rejections = 0

    def on_rejection(self, now):
        """Notes a rejected grant; many in a row pause the executor."""
        self._rejections += 1
        excess = self._rejections - max(_REJECTIONS, self.slots)
        if excess > 0:
            pause_s = _REJECTION_PAUSE_S * 2 ** min(excess, 10)
            self.paused_until = now + min(_LONGEST_PAUSE_S, pause_s)
