"""
papayaward.coordination.executor_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of each executor of a cell, as known to its coordinator.
"""

from collections import deque

__all__ = ["ExecutorView", "OutstandingGrant"]

# An executor that rejects more consecutive grants than this, or than it has slots if
# that is more, gets no grants for a while. Each rejected grant costs two messages and
# starts nothing.
_MAX_REJECTIONS = 8
_REJECTION_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0


class OutstandingGrant:
    """A task that was granted to an executor and has no result yet.

    Args:
        record: `JobRecord`.
        index: Index of the task.
        attempt: Number of the grant, from 1.
        now: Monotonic time of the grant, seconds.
    """

    __slots__ = ("record", "index", "attempt", "granted_at")

    def __init__(self, record, index, attempt, now):
        self.record = record
        self.index = index
        self.attempt = attempt
        self.granted_at = now


class ExecutorView:
    """State of one executor, as known to its coordinator.

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
        # Sending time of this coordinator's latest message that the executor had
        # acknowledged when the link closed.
        self.last_echo_at = 0.0
        # Time at which this coordinator last sent it a batch.
        self.last_batch_at = float("-inf")
        # Whether the runner is in the current member list; an unlisted one gets no
        # new tasks.
        self.listed = True
        self.slots = 0
        self.used_by_others = 0
        self.accepting = False
        self.in_service = True
        self.limit = 0
        # Sort key of placement: speed rank, negated number of free slots, name.
        self.order = (0, 0, member)
        self.paused_until = 0.0
        # A new executor is treated like one that was absent for a long time.
        self.absent_since = float("-inf")
        # Total rate of the faster executors, in tasks per service time of an
        # average executor, and their mean slowness.
        self.faster_rate = 0.0
        self.faster_slowness = 0.0
        self.outstanding = {}
        # Tasks that a baseline policy has bound to this executor: tuples of
        # `QueuedJob` and task index.
        self.backlog = deque()
        self._rejections = 0

    @property
    def outranked(self):
        """Whether faster executors are known."""
        return self.faster_rate > 0.0

    @property
    def linked(self):
        """Whether a message can be sent; a closed link stays until its reader stops."""
        return self.link is not None and not self.link.closed

    @property
    def usable(self):
        """Whether grants may be sent to the executor at all."""
        return (
            self.linked
            and self.listed
            and self.accepting
            and self.in_service
            and self.limit > 0
        )

    @property
    def free(self):
        """Number of slots available for new grants; 0 or negative for none."""
        if not self.usable:
            return 0
        own = len(self.outstanding)
        return min(self.slots - self.used_by_others, self.limit) - own

    def on_report(self, report):
        """Applies a slot report of the executor."""
        self.slots = report.slots
        self.used_by_others = report.used_by_others
        self.accepting = report.accepting

    def on_start(self):
        """Resets the count of rejections after a grant led to a start."""
        self._rejections = 0

    def on_rejection(self, now):
        """Counts a rejected grant; many consecutive ones pause the executor."""
        self._rejections += 1
        excess = self._rejections - max(_MAX_REJECTIONS, self.slots)
        if excess > 0:
            pause_s = _REJECTION_PAUSE_S * 2 ** min(excess, 10)
            self.paused_until = now + min(_MAX_PAUSE_S, pause_s)
