"""
papayaward.coordination.listed_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles the active runs and the ends that the upstream lists.
"""

from ..protocol.gen import ttypes
from .unknown_runs import UnknownRuns

__all__ = ["ListedRuns"]


class ListedRuns:
    """Matches what the upstream lists with the runs of the executor.

    Args:
        runs: `Run` by the name of its task; the executor changes this dict.
        activity: `RunActivity` of these runs.
        reports: `CapacityReports`, which carry slow runs to the entries.
        late_starts: `LateStarts`.
        session: Function that returns the current `UpstreamSession`, or None.
    """

    def __init__(self, runs, activity, reports, late_starts, session):
        self._runs = runs
        self._activity = activity
        self._reports = reports
        self._late_starts = late_starts
        self._session = session
        self._unknown = UnknownRuns()

    def on_ends(self, ends, born_ms, now):
        """Ends the runs that the upstream lists as ended.

        Args:
            ends: List of the ends.
            born_ms: Start of the lifetime that has listed them, milliseconds.
            now: Time, seconds.
        """
        for end in ends:
            run = self._runs.get(end.task)
            if run is None:
                self._on_late_start(end.task, end.run, born_ms)
            elif end.run >= run.run and not _is_outdated(run, born_ms):
                run.on_listed()
                run.on_found(born_ms)
                run.rejected_by_ms = born_ms
                self._activity.on_listed_end(run, end.outcome, now)

    def on_progress(self, running, born_ms, now):
        """Reports slow runs to their entries, and stops the runs that none wants.

        Args:
            running: Progress of each active run, percent, by (task, number).
            born_ms: Start of the lifetime that has listed them, milliseconds.
            now: Time, seconds.
        """
        for (task, number), percent in running.items():
            run = self._runs.get(task)
            if run is None or number < run.run:
                self._on_late_start(task, number, born_ms)
                self._stop_unknown(task, number, born_ms)
            elif not _is_outdated(run, born_ms):
                self._on_listed(run, percent, born_ms, now)

    def _on_late_start(self, task, number, born_ms):
        session = self._session()
        if session is not None:
            self._late_starts.on_listed(task, number, session, born_ms)

    def _stop_unknown(self, task, number, born_ms):
        session = self._session()
        if session is not None and born_ms in (0, session.born_ms):
            self._unknown.stop(session, task, number)

    def _on_listed(self, run, percent, born_ms, now):
        run.on_listed()
        run.on_found(born_ms)
        if not run.identified and not run.session_closed:
            run.identified = True
            self._reports.on_run_settled(run.owner)
        if not run.is_slow(percent, now):
            return
        remaining_ms = int(run.remaining_s(percent, now) * 1000)
        elapsed_ms = int((now - run.started_at) * 1000)
        run.owner.slow.append(ttypes.SlowRun(run.task, remaining_ms, elapsed_ms))
        self._reports.wake()


def _is_outdated(run, born_ms):
    """Returns whether a list is of another lifetime than that which a run was sent to.

    It was sent before its lifetime ended, and may name an earlier run with the number.

    Args:
        run: `Run`.
        born_ms: Start of the lifetime that has listed it, milliseconds; 0 if it is not
            known.
    """
    if run.session_closed or not born_ms:
        return False
    return run.session.born_ms not in (0, born_ms)
