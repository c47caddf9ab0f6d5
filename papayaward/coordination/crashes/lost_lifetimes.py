"""
papayaward.coordination.crashes.lost_lifetimes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an executor tells all processes of a lifetime of its upstream that it has lost.
"""

from ... import clock
from ..upstream_requests import LossEvidence
from .upstream_crashes import crash_of_loss, log_crash

__all__ = ["LostLifetimes"]


class LostLifetimes:
    """Publishes crashes, and connections that are refused, with the runs concerned.

    Args:
        suspected: `SuspectedCrashes`.
        runs: `Run` by the name of its task; the executor changes this dict.
        late_starts: `LateStarts`.
    """

    def __init__(self, suspected, runs, late_starts):
        self._suspected = suspected
        self._runs = runs
        self._late_starts = late_starts

    def on_lost(self, state, session, loss, now):
        """Tells all processes what the upstream may have been running.

        The notice precedes the ends of the runs, so that an entry knows why they were
        lost. A crash without runs is published as well, since it shows an outage.

        Args:
            state: `UpstreamState`.
            session: `UpstreamSession` with the lifetime.
            loss: `InstanceLoss`.
            now: Time, seconds.
        """
        late_runs = self._late_starts.lost_runs(session, state.born_ms)
        runs = self._runs.values()
        log_crash(state.key, loss, runs)
        crash = crash_of_loss(state, loss, runs, clock.unix_ms(), late_runs)
        publish_at = None
        if loss.evidence is LossEvidence.REPORTED:
            publish_at = session.all_ended_at
        self._suspected.add(state, crash, now, publish_at)

    def check_refusal(self, state, session, now):
        """Tells all processes whether the upstream refuses connections.

        Args:
            state: `UpstreamState`, None before the first report.
            session: `UpstreamSession`, or None.
            now: Time, seconds.
        """
        if session is None or not session.silent or state.draining:
            self._suspected.withdraw_refusal(now)
        elif session.is_refused(now):
            loss = session.loss(LossEvidence.SILENT, "connections are refused", now)
            runs = self._runs.values()
            crash = crash_of_loss(state, loss, runs, clock.unix_ms())
            self._suspected.on_refused(crash, now)
