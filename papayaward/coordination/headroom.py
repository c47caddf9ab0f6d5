"""
papayaward.coordination.headroom
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Capacity that an executor keeps free for queues that are more urgent.

A queue with long tasks can fill all executors, and a more urgent one then finds no
capacity for as long as these tasks run, whatever the order in which jobs wait. So each
executor keeps capacity for a task of each more urgent queue that has lately sent it
tasks. Jobs that have begun may use it: they end sooner, and what they hold is freed.

The load that this answers: more work than capacity for some seconds, most of it of a
queue whose tasks take longer than a more urgent job may wait.
"""

import logging

from ..protocol.gen import ttypes
from ..state import metrics

__all__ = ["Headroom", "kept_cpu"]

log = logging.getLogger(__name__)

# Time for which capacity is kept after the latest start of a queue's priority.
_RECENT_S = 5.0
# Largest part of an upstream's CPU that is kept; a few large tasks of an urgent queue
# would else exclude the other queues.
_MAX_SHARE = 0.25
# Weight of a task that is smaller than the larger ones before it.
_SIZE_WEIGHT = 0.05


def kept_cpu(kept, priority):
    """Returns the CPU that is kept for queues more urgent than a priority.

    Args:
        kept: Thousandths of a core by priority.
        priority: Priority of a queue; lower values are more urgent.
    """
    return sum(cpu for other, cpu in kept.items() if other < priority)


class Headroom:
    """What one executor keeps for the more urgent queues of all entries."""

    def __init__(self):
        # Size of the larger tasks, thousandths of a core, and time of the latest start,
        # seconds, by the priority of their queue.
        self._tasks = {}
        self._logged = ()

    def record(self, priority, cpu_millis, now):
        """Records a start.

        Args:
            priority: Priority of the task's queue, None if its entry doesn't tell.
            cpu_millis: CPU that the task needs, thousandths of a core.
            now: Time, seconds.
        """
        if priority is None:
            return
        size, at = self._tasks.get(priority, (0.0, now))
        if cpu_millis >= size or now - at > _RECENT_S:
            size = cpu_millis
        else:
            size += _SIZE_WEIGHT * (cpu_millis - size)
        self._tasks[priority] = (size, now)

    def kept(self, capacity, now):
        """Returns the CPU that is kept by priority, thousandths of a core.

        Nothing is kept for the least urgent priority, and so nothing at all if all
        queues have the same one.

        Args:
            capacity: `Resources` of the upstream.
            now: Time, seconds.
        """
        recent = sorted(
            (priority, int(size))
            for priority, (size, at) in self._tasks.items()
            if now - at <= _RECENT_S
        )
        left = int(_MAX_SHARE * capacity.cpu_millis)
        kept = {}
        for priority, size in recent[:-1]:
            kept[priority] = min(size, left)
            left -= kept[priority]
        self._log_change(kept)
        return kept

    def _log_change(self, kept):
        if tuple(kept) != self._logged:
            self._logged = tuple(kept)
            metrics.KEPT_CPU.set(sum(kept.values()) / 1000)
            log.info("headroom_changed", extra={"kept_millis": dict(kept)})

    def refuses(self, group, need, free, capacity, now):
        """Returns whether a start would take what is kept for a more urgent queue.

        Args:
            group: Its `StartGroup`.
            need: `Resources` of the task.
            free: Free `Resources` of the upstream.
            capacity: `Resources` of the upstream.
            now: Time, seconds.
        """
        if group.priority is None or group.may_use_kept:
            return False
        kept = kept_cpu(self.kept(capacity, now), group.priority)
        return kept > 0 and free.cpu_millis - need.cpu_millis < kept

    def to_wire(self, capacity, now):
        """Returns the `ttypes.KeptCpu` rows for a report, None if nothing is kept."""
        kept = self.kept(capacity, now)
        return [ttypes.KeptCpu(priority, cpu) for priority, cpu in kept.items()] or None
