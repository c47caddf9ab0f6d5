"""
papayaward.coordination.early_binding
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Binds tasks to executors when they are submitted, as the baseline policies do.
"""

from .placement import REPORT_INTERVAL_S, executor_loads

__all__ = ["EarlyBinding"]


class EarlyBinding:
    """Tasks that wait in the backlogs of the executors.

    Args:
        policy: Function of `BINDING_POLICIES`; None if tasks are not bound early.
        queue: `FairQueue` from which the tasks are taken.
    """

    def __init__(self, policy, queue):
        self._policy = policy
        self._queue = queue
        self._bound = 0
        self._reports = {}
        self._reports_valid_until = 0.0

    def __len__(self):
        return self._bound

    @property
    def enabled(self):
        """Whether tasks are bound early."""
        return self._policy is not None

    def bind(self, usable, now):
        """Binds the queued tasks to usable executors, a list of `ExecutorView`."""
        if not usable:
            return
        if now >= self._reports_valid_until:
            self._reports = executor_loads(usable)
            self._reports_valid_until = now + REPORT_INTERVAL_S
        while self._queue:
            self._policy(usable, self._reports).backlog.append(self._queue.pop())
            self._bound += 1

    def take(self, view):
        """Takes the next task of an open job from a backlog.

        Returns:
            tuple: `JobRecord` and index of the task, or None.
        """
        while view.backlog:
            queued, index = view.backlog.popleft()
            self._bound -= 1
            if not queued.job.done:
                return queued.job, index
            self._queue.release_slot(queued.account)
        return None

    def unbind(self, view):
        """Returns the tasks of a backlog to the queue."""
        self._bound -= len(view.backlog)
        while view.backlog:
            queued, index = view.backlog.pop()
            self._queue.release_slot(queued.account)
            if not queued.job.done:
                self._queue.requeue(queued, index)
