"""
papayaward.coordination.current_upstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The upstream instance that an executor uses: its latest report and the session with it.
"""

import logging
from dataclasses import asdict, replace

from .. import clock

__all__ = ["CurrentUpstream", "log_capacity_change"]

log = logging.getLogger(__name__)


class CurrentUpstream:
    """Follows the reports of the upstream, and opens and closes the sessions with it.

    Args:
        open_session: Function that takes an `UpstreamState`, a function to be called
            with the `InstanceLoss` and the lowest fencing token, and returns an
            `UpstreamSession`.
        on_crash: Function that takes an `InstanceLoss` and the current time, called
            before a session is closed because its instance has crashed.
        on_closed: Function that takes the `UpstreamSession` that was closed, or None,
            the reason, and whether another lifetime with the same identifier has
            replaced the instance.

    Attributes:
        state: `UpstreamState`, None before the first report.
        session: `UpstreamSession`, None while there is none.
        is_deregistered: Whether the instance has deregistered and may not have ended.
    """

    def __init__(self, open_session, on_crash, on_closed):
        self.state = None
        self.session = None
        self.is_deregistered = False
        self._open_session = open_session
        self._on_crash = on_crash
        self._on_closed = on_closed
        # Above the fencing tokens of all sessions so far.
        self._lowest_token = 1
        # Whether the state is a report of the upstream to this process.
        self._is_reported = False

    @property
    def refusal_reason(self):
        """Reason why no task may start on the upstream, empty if one may."""
        if self.state is None:
            return "no_upstream"
        if self.state.draining:
            return "draining"
        if not self._is_reported:
            return "not_reported"
        if self.session is None or not self.session.ready:
            return "upstream_silent"
        return ""

    def recall(self, state):
        """Takes over the upstream that a predecessor of this process knew.

        No task starts before the upstream reports: its capacity may have shrunk since
        the stored report, and it may not guard its capacity itself.

        Args:
            state: `UpstreamState` of the stored report.
        """
        self.state = state
        self._is_reported = False
        self._open()

    def on_report(self, state, now):
        """Handles a report from the upstream; returns whether it is news.

        Args:
            state: `UpstreamState`.
            now: Time, seconds.
        """
        last = self.state
        if last is not None and _instance_key(last) == _instance_key(state):
            if state.sequence < last.sequence or self.is_deregistered:
                return False
            self.state = state
            if self.session is None:
                self._open()
        elif last is not None and state.born_ms < last.born_ms:
            return False
        else:
            self._replace(state, now)
        self._is_reported = True
        return True

    def on_deregistered(self, instance):
        """Handles a deregistration; returns whether it is that of this instance."""
        if self.state is None or self.state.instance != instance:
            return False
        self.is_deregistered = True
        self.state = replace(self.state, draining=True)
        return True

    def forget(self):
        """Closes the session of a deregistered upstream that runs nothing any more."""
        self._close("the upstream deregistered")
        self.is_deregistered = False
        self.state = None

    def _replace(self, state, now):
        last = self.state
        reason = "the upstream restarted"
        if self.session is not None and not last.draining:
            self._on_crash(self.session.loss(reason, now), now)
        replaced = last is not None and last.instance == state.instance
        self._close(reason, replaced)
        self.is_deregistered = False
        self.state = state
        self._open()

    def _open(self):
        self.session = self._open_session(
            self.state, self._on_session_lost, self._lowest_token
        )

    def _close(self, reason, replaced=False):
        session, self.session = self.session, None
        if session is not None:
            session.close()
            self._lowest_token = session.next_token
        self._on_closed(session, reason, replaced)

    def _on_session_lost(self, loss):
        if not self.state.draining:
            self._on_crash(loss, clock.now())
        # The upstream's next report opens a new session.
        self._close(loss.reason, loss.replaced)


def log_capacity_change(last, state, used, runs):
    """Logs a change of the capacity that an upstream reports.

    Args:
        last: `UpstreamState` before the change.
        state: `UpstreamState` after the change.
        used: `Resources` of the runs.
        runs: Number of runs.
    """
    log.info(
        "upstream_capacity_changed",
        extra={
            "upstream": state.instance,
            "before": asdict(last.capacity),
            "capacity": asdict(state.capacity),
            "used": asdict(used),
            "runs": runs,
        },
    )


def _instance_key(state):
    return state.instance, state.born_ms
