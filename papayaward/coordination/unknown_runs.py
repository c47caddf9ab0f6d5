"""
papayaward.coordination.unknown_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs on an upstream that no entry wants.

A late start of an earlier process, or of an earlier run of a task, may have begun one.
It uses capacity that is not counted, and the lease of the other runs keeps it active.
"""

import logging

import gevent

__all__ = ["UnknownRuns"]

log = logging.getLogger(__name__)


class UnknownRuns:
    """Stops the runs that the upstream lists and the executor does not know."""

    def __init__(self):
        # (task, number) of each run that is being stopped.
        self._stopping = set()

    def stop(self, session, task, number):
        """Stops a run, unless that is under way or the take-over will do it.

        Args:
            session: `UpstreamSession`.
            task: Name of the task.
            number: Number of the run.
        """
        if not session.taken_over:
            return
        if (task, number) in self._stopping:
            return
        log.warning("unknown_run_stopped", extra={"task": task, "run": number})
        self._stopping.add((task, number))
        gevent.spawn(self._stop, session, task, number)

    def _stop(self, session, task, number):
        try:
            session.stop(task, number)
        finally:
            self._stopping.discard((task, number))
