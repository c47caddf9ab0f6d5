"""
papayaward.coordination.current_upstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The upstream instance that an executor uses: its latest report and the session with it.
"""

import logging
from dataclasses import asdict, replace

from .. import clock
from .upstream_requests import MAX_START_DELAY_S, LossEvidence

__all__ = ["CurrentUpstream", "log_capacity_change"]

log = logging.getLogger(__name__)


class CurrentUpstream:
    """Follows the reports of the upstream, and opens and closes the sessions with it.

    Args:
        open_session: Function that takes an `UpstreamState`, a function to be called
            with the `InstanceLoss`, the lowest fencing token and whether the instance
            is known to be up, and returns an `UpstreamSession`.
        on_crash: Function that takes an `InstanceLoss` and the current time, called
            before a session is closed because its instance has crashed.
        on_closed: Function that takes the `UpstreamSession` that was closed, or None,
            the `LossEvidence` and the reason for the log.

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
        # Whether the session is with the lifetime that replies first, whichever it is.
        self._is_awaiting = False
        # Time until which an upstream without replies is expected back, seconds.
        self._awaited_until = 0.0
        # Key of the state and of the outdated report that was logged last.
        self._logged_outdated = None

    @property
    def refusal_reason(self):
        """Reason why no task may start on the upstream, empty if one may."""
        reason = self.reported_refusal
        if not reason and (self.session is None or not self.session.ready):
            return "upstream_silent"
        return reason

    @property
    def reported_refusal(self):
        """The same as far as the reports tell, whether the upstream replies or not."""
        if self.state is None:
            return "no_upstream"
        if self.state.draining:
            return "draining"
        if not self._is_reported or not self._is_session_reported:
            return "not_reported"
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
        if self._is_outdated(state):
            self._log_outdated(state)
            return False
        if self._is_current_lifetime(state):
            self.is_deregistered = False
            self.state = state
            self._is_awaiting = False
            if self.session is None:
                self._open()
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
        self._close(LossEvidence.UNUSED, "the upstream deregistered")
        self.is_deregistered = False
        self.state = None

    def check(self, now):
        """Notices that the lease of an upstream without replies has ended.

        Args:
            now: Time, seconds.
        """
        if self.session is not None:
            self.session.check(now)

    def stop_awaiting(self, now):
        """Closes a session that polls in vain for an upstream to return.

        Args:
            now: Time, seconds.
        """
        if self.session is None or self.session.is_up or now < self._awaited_until:
            return
        self._close(LossEvidence.UNUSED, "the upstream has not returned")

    def _is_outdated(self, state):
        """Returns whether a report is older than what is known of the upstream."""
        last = self.state
        if last is None:
            return False
        if self.session is None and state.instance != last.instance:
            # Another instance is in the place of the last one, or none returned there.
            return False
        replied_born_ms = self._replied_born_ms if state.born_ms else 0
        is_replied = replied_born_ms and replied_born_ms == state.born_ms
        if not is_replied and state.born_ms < max(last.born_ms, replied_born_ms):
            return True
        if _instance_key(last) != _instance_key(state):
            return False
        return state.sequence < last.sequence or self.is_deregistered

    def _log_outdated(self, state):
        """Logs that a report is ignored, once for each pair of instances.

        An instance goes on reporting for as long as it runs.
        """
        keys = self.state.key, state.key
        if keys == self._logged_outdated:
            return
        self._logged_outdated = keys
        log.info(
            "report_outdated",
            extra={
                "upstream": state.key,
                "sequence": state.sequence,
                "latest": self.state.key,
                "latest_sequence": self.state.sequence,
                "latest_is_up": self.session is not None and self.session.is_up,
            },
        )

    def _is_current_lifetime(self, state):
        """Returns whether a report is that of the lifetime which the session is for."""
        last = self.state
        if last is None or last.instance != state.instance:
            return False
        replied_born_ms = self._replied_born_ms if state.born_ms else 0
        return state.born_ms == (replied_born_ms or last.born_ms)

    @property
    def _is_session_reported(self):
        """Whether the state may be a report of the lifetime that replies."""
        replied_born_ms, born_ms = self._replied_born_ms, self.state.born_ms
        if not replied_born_ms or not born_ms:
            return not self._is_awaiting
        return replied_born_ms == born_ms

    @property
    def _replied_born_ms(self):
        """Start of the lifetime that replies, milliseconds; 0 if it is not known."""
        return 0 if self.session is None else self.session.born_ms

    def _replace(self, state, now):
        last, session = self.state, self.session
        evidence, reason = LossEvidence.REPORTED, "the upstream restarted"
        if session is not None and session.is_up and not last.draining:
            self._on_crash(session.loss(evidence, reason, now), now)
        self._close(evidence, reason)
        self.is_deregistered = False
        self.state = state
        self._open()

    def _open(self, is_up=True):
        self._is_awaiting = not is_up
        # Above the tokens of earlier processes of this VM, which late requests carry
        # that the upstream's lifetime has not received yet.
        lowest_token = max(self._lowest_token, clock.unix_ms())
        self.session = self._open_session(
            self.state, self._on_session_lost, lowest_token, is_up
        )

    def _close(self, evidence, reason):
        session, self.session = self.session, None
        if session is not None:
            session.close()
            self._lowest_token = session.next_token
        self._on_closed(session, evidence, reason)

    def _on_session_lost(self, loss):
        session = self.session
        if session.born_ms and not self._is_session_reported:
            # The lifetime has replied, but never reported.
            self.state = replace(self.state, born_ms=session.born_ms, sequence=0)
        now = clock.now()
        if session.is_up and not self.state.draining:
            self._on_crash(loss, now)
        self._close(loss.evidence, loss.reason)
        if loss.evidence is not LossEvidence.OTHER_INSTANCE:
            # Whichever lifetime replies first is taken over, so that it rejects late
            # starts, and is used again at once if it is the one that was lost.
            self._awaited_until = now + MAX_START_DELAY_S
            self._open(is_up=False)


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
