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

    def on_ends(self, ends, now):
        """Ends the runs that the upstream lists as ended.

        Args:
            ends: List of the ends.
            now: Time, seconds.
        """
        for end in ends:
            run = self._runs.get(end.task)
            if run is not None and end.run >= run.run:
                run.on_listed()
                self._activity.on_listed_end(run, end.outcome, now)
            elif run is None and self._session() is not None:
                session = self._session()
                self._late_starts.on_listed(end.task, end.run, session, session.born_ms)

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
                self._on_unknown(task, number, born_ms)
            else:
                self._on_listed(run, percent, born_ms, now)

    def _on_unknown(self, task, number, born_ms):
        session = self._session()
        if session is not None:
            self._late_starts.on_listed(task, number, session, born_ms)
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
