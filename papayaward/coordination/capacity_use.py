"""
papayaward.coordination.capacity_use
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the runs of one executor use of its upstream, and what ran beside each.
"""

from ..protocol.gen import ttypes
from ..protocol.jobs import Resources

__all__ = ["CapacityUse", "queue_cpu_to_wire"]


class CapacityUse:
    """Capacity that the runs of one executor use."""

    def __init__(self):
        self._used = Resources()
        self._isolated = 0
        # Thousandths of a core in use by queue, and the same times the time, seconds.
        self._cpu = {}
        self._cpu_time = {}
        self._updated_at = 0.0

    @property
    def used(self):
        """`Resources` in use."""
        return self._used

    @property
    def isolated_runs(self):
        """Number of runs of isolated jobs."""
        return self._isolated

    def add(self, run, now):
        """Adds a `Run`.

        Args:
            run: `Run` that has been accepted.
            now: Time, seconds.
        """
        self._advance(now)
        self._used = self._used + run.need
        self._isolated += run.isolated
        self._cpu[run.queue] = self._cpu.get(run.queue, 0) + run.need.cpu_millis
        run.use_mark = (now, dict(self._cpu_time))

    def remove(self, run, now):
        """Removes a `Run` that is over.

        Returns:
            dict: Mean CPU in use beside it by queue, thousandths of a core.
        """
        self._advance(now)
        self._used = self._used - run.need
        self._isolated -= run.isolated
        beside = self._beside(run, now)
        self._cpu[run.queue] -= run.need.cpu_millis
        if not self._cpu[run.queue]:
            del self._cpu[run.queue]
        return beside

    def _beside(self, run, now):
        accepted_at, before = run.use_mark
        elapsed_s = now - accepted_at
        found = {}
        for queue, total in self._cpu_time.items():
            cpu_time = total - before.get(queue, 0.0)
            if queue == run.queue:
                cpu_time -= run.need.cpu_millis * elapsed_s
            if cpu_time > elapsed_s > 0:
                found[queue] = int(cpu_time / elapsed_s)
        return found

    def _advance(self, now):
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        for queue, cpu in self._cpu.items():
            self._cpu_time[queue] = self._cpu_time.get(queue, 0.0) + cpu * elapsed_s

    def to_wire(self):
        """Returns the `ttypes.QueueCpu` rows of what is in use now."""
        return queue_cpu_to_wire(self._cpu)


def queue_cpu_to_wire(cpu_by_queue):
    """Returns `ttypes.QueueCpu` rows, None if there are none.

    Args:
        cpu_by_queue: Thousandths of a core by queue.
    """
    rows = [ttypes.QueueCpu(queue, cpu) for queue, cpu in cpu_by_queue.items()]
    return rows or None
