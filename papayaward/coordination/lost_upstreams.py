"""
papayaward.coordination.lost_upstreams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices that an upstream has crashed together with the executor's process.

Nobody is left then to tell what ran there. An entry that lost the link remembers its
own tasks, and finds another upstream instance when the executor is back.
"""

from dataclasses import dataclass, replace

from .upstream_crashes import LostRun, crash_of

__all__ = ["LostUpstreams"]

# Time in which a VM is expected to return.
_RETURN_S = 20.0
_MAX_UPSTREAMS = 500


@dataclass(frozen=True)
class _Lost:
    upstream: str
    service: str
    runs: tuple
    lost_at: float


class LostUpstreams:
    """Upstreams of executors whose link was lost while they ran tasks of this entry."""

    def __init__(self):
        self._lost = {}

    def remember(self, view, tasks, now):
        """Remembers what ran on an upstream.

        Args:
            view: `LeasedView` of the executor.
            tasks: `Task` of each task that was sent there and has not ended.
            now: Time, seconds.
        """
        self._lost = {
            name: lost
            for name, lost in self._lost.items()
            if now - lost.lost_at < _RETURN_S
        }
        if view.upstream and len(self._lost) < _MAX_UPSTREAMS:
            runs = tuple(_to_run(task) for task in tasks)
            self._lost[view.name] = _Lost(view.upstream, view.service, runs, now)

    def crash_of_previous(self, view, now):
        """Returns the `Crash` of the upstream before the present one, if it crashed.

        Args:
            view: `LeasedView` of an executor that has reported its upstream.
            now: Time, seconds.
        """
        lost = self._lost.get(view.name)
        if lost is None or not view.upstream:
            return None
        is_same = lost.upstream == view.upstream
        if is_same and not view.accepting:
            # The report may be a stored one. The upstream is known to be still running
            # when the executor accepts tasks for it.
            return None
        del self._lost[view.name]
        if is_same or now - lost.lost_at >= _RETURN_S:
            return None
        crash = crash_of(lost.upstream, lost.service, lost.runs, lost.lost_at)
        # The executor has taken over the instance for which it accepts tasks.
        return replace(crash, is_known=view.accepting)


def _to_run(task):
    return LostRun(
        task.name,
        task.job.queue.name,
        task.phase.expected_s,
        task.sent_at,
    )
