"""
papayaward.coordination.peer_starts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts for other entries that executors report as unsettled.
"""

from dataclasses import dataclass, replace

from ..state.crashes import job_id_of
from .pinned_tasks import Pin
from .upstream_requests import MAX_LATE_RUN_S, instance_of_key

__all__ = ["PeerStarts"]


@dataclass
class _Listed:
    """Tasks that one process of an executor has listed.

    Attributes:
        tasks: Names of the tasks.
        starts: `ttypes.LateStart` by name of those whose requests are known.
        job_ids: Identifiers of their jobs.
        upstream: Key of the upstream instance.
        until: Time at which their starts have no effect any more, seconds; None while
            the executor is linked.
    """

    tasks: frozenset
    starts: dict
    job_ids: frozenset
    upstream: str
    until: float | None = None


class PeerStarts:
    """Jobs with tasks that may still be started for another entry.

    A caller whose entry died submits its job again to another one. Its tasks must not
    start there while a request to start them for the dead entry may be executed.

    Args:
        pinned: `PinnedTasks`, which gets the tasks whose requests are rejected by the
            present lifetime of the upstream only.
    """

    def __init__(self, pinned):
        self._pinned = pinned
        # `_Listed` by the executor's name and the incarnation of its process.
        self._listed = {}

    def __contains__(self, job_id):
        return any(job_id in listed.job_ids for listed in self._listed.values())

    def on_capacity_report(self, view, now):
        """Takes over the list of a report.

        After a take-over, the starts of earlier processes of the executor are rejected.

        Args:
            view: `LeasedView` of the executor.
            now: Time, seconds.
        """
        if view.unsettled_peer_tasks:
            tasks = frozenset(view.unsettled_peer_tasks)
            job_ids = frozenset(map(job_id_of, tasks))
            starts = view.unsettled_starts
            self._listed[view.process] = _Listed(tasks, starts, job_ids, view.upstream)
        else:
            self._listed.pop(view.process, None)
        if self._listed and view.taken_over:
            for process in view.earlier_processes(self._listed):
                self._release(view, process, self._listed.pop(process), now)

    def _release(self, view, process, listed, now):
        instance = instance_of_key(listed.upstream)
        if instance == instance_of_key(view.upstream):
            until = listed.until or now + MAX_LATE_RUN_S
            for task in listed.tasks:
                pin = Pin(instance, until, process[1])
                start = listed.starts.get(task)
                if start is not None:
                    pin = replace(
                        pin,
                        run=start.run or 0,
                        requests=start.requests or 1,
                        born_ms=start.born_ms or 0,
                    )
                self._pinned.pin(task, view.name, pin)

    def on_link_down(self, view, now):
        """Keeps the list of a lost executor for as long as a late run may last."""
        listed = self._listed.get(view.process)
        if listed is not None:
            listed.until = now + MAX_LATE_RUN_S

    def forget_expired(self, now):
        """Removes the lists whose starts have no effect any more."""
        for process, listed in list(self._listed.items()):
            if listed.until is not None and listed.until <= now:
                del self._listed[process]
