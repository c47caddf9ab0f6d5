"""
papayaward.coordination.crashes.suspected_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Crashes of an executor's upstream until a reply shows whether they have happened.

An upstream that does not reply until its lease has ended may have crashed, or run on
behind a path that refuses connections. The first lifetime that replies decides it. If
another lifetime has reported, its reply is awaited before anybody is told.

While it refuses connections before the end of the lease, this counts only for the
guards of queues.
"""

from dataclasses import dataclass, replace

from ...state.crashes import Crash
from ..upstream_requests import UpstreamState

__all__ = ["SuspectedCrashes"]

# An upstream that has reported and not replied, again and again, is lost as often.
_MAX_SUSPECTED = 20


@dataclass(frozen=True)
class _Suspected:
    state: UpstreamState
    crash: Crash
    # Time at which it is published, seconds; None if it has been.
    publish_at: float | None
    # Whether the refused connections were published to all processes.
    is_refusal_published: bool = False


class SuspectedCrashes:
    """Publishes the crashes of one executor's upstream, and what becomes of them.

    Args:
        relay: `CrashRelay` of the process.
    """

    def __init__(self, relay):
        self._relay = relay
        self._suspected = {}
        # `Crash` of the present session's upstream while it refuses connections.
        self._refusal = None

    def on_refused(self, crash, now):
        """Tells all processes that the upstream refuses connections.

        Args:
            crash: `Crash` of the upstream if it does not run on.
            now: Time, seconds.
        """
        if self._refusal is None:
            self._refusal = crash
            self._relay.publish_refusal(crash, now)

    def withdraw_refusal(self, now):
        """Withdraws a refusal: the upstream has replied, or has not crashed.

        Args:
            now: Time, seconds.
        """
        if self._refusal is not None:
            refusal, self._refusal = self._refusal, None
            self._relay.withdraw(refusal, now)

    def add(self, state, crash, now, publish_at=None):
        """Tells all processes of a crash.

        Args:
            state: `UpstreamState` of the instance.
            crash: Its `Crash`.
            now: Time, seconds.
            publish_at: Time until which a reply is awaited before, seconds.
        """
        self._suspected.pop(crash.upstream, None)
        is_refusal_published, self._refusal = self._refusal is not None, None
        if crash.is_known:
            self._relay.publish(crash, now)
            return
        self._suspected[crash.upstream] = _Suspected(
            state, crash, publish_at or now, is_refusal_published
        )
        self.check(now)
        if len(self._suspected) > _MAX_SUSPECTED:
            del self._suspected[next(iter(self._suspected))]

    def check(self, now):
        """Publishes the suspicions that no reply has decided in time.

        Args:
            now: Time, seconds.
        """
        for key, suspected in list(self._suspected.items()):
            if suspected.publish_at is not None and now >= suspected.publish_at:
                self._suspected[key] = replace(suspected, publish_at=None)
                self._relay.publish(suspected.crash, now)

    def on_taken_over(self, instance, born_ms, now):
        """Confirms or withdraws the suspicions: a lifetime has replied.

        It does not replace a later lifetime, which may have reported by mistake.

        Args:
            instance: Identifier of the instance that has replied.
            born_ms: Start of its lifetime, milliseconds; 0 if it is not known.
            now: Time, seconds.
        """
        for suspected in list(self._suspected.values()):
            state, crash = suspected.state, suspected.crash
            is_same = state.instance == instance
            if is_same and not (born_ms and state.born_ms):
                # Whether it is the same lifetime is not known.
                continue
            del self._suspected[crash.upstream]
            if not is_same or born_ms > state.born_ms:
                self._relay.publish(replace(crash, is_known=True), now)
            elif suspected.publish_at is None or suspected.is_refusal_published:
                self._relay.withdraw(crash, now)
