"""
papayaward.coordination.crashes.lost_upstreams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices that an upstream has crashed together with the executor's process.

Nobody is left then to tell what ran there. An entry that lost the link remembers its
own tasks, and finds another upstream instance when the executor is back.
"""

from dataclasses import dataclass, replace

from .upstream_crashes import LostRun, crash_of

__all__ = ["LostUpstreams", "with_late_starts"]

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
        # `_Lost` by the executor's name and the key of the upstream.
        self._lost = {}

    def remember(self, view, tasks, now):
        """Remembers what ran on an executor's upstreams.

        The executor may have reported the next lifetime before the runs at the one that
        crashed were over, so that each run counts for the lifetime it was sent to.

        Args:
            view: `LeasedView` of the executor.
            tasks: `Task` of each task that was sent there and has not ended.
            now: Time, seconds.
        """
        self._lost = {
            key: lost
            for key, lost in self._lost.items()
            if now - lost.lost_at < _RETURN_S
        }
        by_upstream = {}
        for task in tasks:
            by_upstream.setdefault(task.upstream, []).append(_to_run(task))
        for upstream, runs in by_upstream.items():
            if upstream and len(self._lost) < _MAX_UPSTREAMS:
                lost = _Lost(upstream, view.service, tuple(runs), now)
                self._lost[view.name, upstream] = lost

    def crashes_of_previous(self, view, now):
        """Returns the `Crash` of each upstream before the present one that crashed.

        Args:
            view: `LeasedView` of an executor that has reported its upstream.
            now: Time, seconds.
        """
        if not self._lost or not view.upstream:
            return []
        keys = [key for key in self._lost if key[0] == view.name]
        crashes = [self._crash_of(key, view, now) for key in keys]
        return [crash for crash in crashes if crash is not None]

    def _crash_of(self, key, view, now):
        """Returns the `Crash` of a lost upstream, or None if it is not known to be."""
        lost = self._lost[key]
        is_same = lost.upstream == view.upstream
        if is_same and not view.accepting:
            # The report may be a stored one. Only an executor that accepts tasks for
            # the upstream shows that it is still running.
            return None
        del self._lost[key]
        if is_same or now - lost.lost_at >= _RETURN_S:
            return None
        crash = crash_of(lost.upstream, lost.service, lost.runs, lost.lost_at)
        # The executor has taken over the instance for which it accepts tasks.
        return replace(crash, is_known=view.accepting)


def with_late_starts(crash, tasks):
    """Returns a `Crash` of the tasks that the upstream may have started late.

    Args:
        crash: `Crash` of which the executor has told.
        tasks: `Task` of each start that the executor does not know.
    """
    runs = [_to_run(task) for task in tasks]
    jobs = crash_of(crash.upstream, crash.service, runs, crash.at).jobs
    return replace(crash, jobs=jobs)


def _to_run(task):
    return LostRun(
        task.name,
        task.job.queue.name,
        task.phase.expected_s,
        task.sent_at,
    )
