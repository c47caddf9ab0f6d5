"""
papayaward.state.started_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Record of the tasks that an executor started, to detect duplicate grants.
"""

from collections import OrderedDict

__all__ = ["StartedTasks"]


class StartedTasks:
    """Keeps task starts and recent results, both for a limited time.

    A coordinator resends a grant only within its reconnect grace period of about
    1 s, so a start is kept far longer than a duplicate of its grant can arrive.

    Args:
        start_ttl_s: Time for which a start is kept, in seconds.
        result_ttl_s: Time for which a result is kept for resending, in seconds.
        max_result_bytes: Bound on the bytes of kept results.
    """

    def __init__(self, start_ttl_s=60.0, result_ttl_s=10.0, max_result_bytes=8 << 20):
        self._start_ttl_s = start_ttl_s
        self._result_ttl_s = result_ttl_s
        self._max_result_bytes = max_result_bytes
        self._starts = OrderedDict()
        self._results = OrderedDict()
        self._result_bytes = 0

    def __len__(self):
        return len(self._starts)

    def __contains__(self, key):
        return key in self._starts

    def record_start(self, key, now):
        """Records the start of a task; key is (job id, index, attempt)."""
        self._expire(now)
        self._starts[key] = now

    def record_result(self, key, result, now):
        """Records the result of a started task, and renews the time of its start."""
        # A duplicate grant may arrive until the coordinator has received the result,
        # regardless of how long the task ran.
        self._starts[key] = now
        self._starts.move_to_end(key)
        self._results[key] = (now, result)
        self._result_bytes += len(result.body or b"")
        self._expire(now)

    def result(self, key):
        """Returns the kept result of a task, or None."""
        entry = self._results.get(key)
        return None if entry is None else entry[1]

    def _expire(self, now):
        while self._starts:
            key, started = next(iter(self._starts.items()))
            if now - started < self._start_ttl_s:
                break
            del self._starts[key]
        while self._results:
            key, (kept, result) = next(iter(self._results.items()))
            fits = self._result_bytes <= self._max_result_bytes
            if fits and now - kept < self._result_ttl_s:
                break
            del self._results[key]
            self._result_bytes -= len(result.body or b"")
