"""
papayaward.coordination.run_numbers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Numbers of the runs that an upstream may reject as old.

A job that is submitted again begins with low numbers, which the upstream rejects as
old. If such a request had no reply, no request under a higher number could follow
before it can't be executed any more: the next lifetime might execute both. The executor
refuses such a start and tells the number, so that the entry always knows under which
one a request may be open.
"""

from .upstream_requests import MAX_START_DELAY_S

__all__ = ["RunNumbers"]

# Callers submit a job again within seconds. A number that was forgotten costs a request
# that is rejected.
_KEEP_S = 2 * MAX_START_DELAY_S


class RunNumbers:
    """The highest number of each task's recent runs."""

    def __init__(self):
        # (number, time of the end) by task, in the order of the ends.
        self._last = {}

    def next(self, task, number):
        """Returns the lowest number from a given one on that no run of a task had.

        Args:
            task: Name of the task.
            number: Number that its entry has given to the run.
        """
        last, _ = self._last.get(task, (0, 0.0))
        return max(number, last + 1)

    def on_run_over(self, run, now):
        """Records the number of a run that is over.

        Args:
            run: `Run`.
            now: Time, seconds.
        """
        self.add(run.task, run.run, now)

    def add(self, task, number, now):
        """Records a number that runs of a task have had.

        Args:
            task: Name of the task.
            number: The number.
            now: Time, seconds.
        """
        last, _ = self._last.pop(task, (0, 0.0))
        self._last[task] = max(last, number), now

    def forget_old(self, now):
        """Forgets the runs that ended too long ago.

        Args:
            now: Time, seconds.
        """
        while self._last:
            task, (_, ended_at) = next(iter(self._last.items()))
            if now - ended_at < _KEEP_S:
                return
            del self._last[task]
