"""
papayaward.coordination.reply_tracker
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Learns how soon an upstream replies, and whether it has stopped replying.

A request without a reply does not show that the upstream is down: it may have lost
only this one. So an unanswered request is repeated soon, and the upstream is regarded
as silent only if nothing at all was answered for a while.
"""

__all__ = ["ReplyTracker"]

_MIN_TIMEOUT_S = 0.04
_MAX_TIMEOUT_S = 0.2
# The timeout is the mean reply time plus this many times its mean deviation.
_TIMEOUT_DEVIATIONS = 6.0
_MEAN_WEIGHT = 0.1
# Factors of the timeout for the first and the later attempts of one request.
_ATTEMPT_FACTORS = (1.0, 1.0, 2.0, 4.0)
# The upstream is silent after this many requests without a reply in a row, if the
# first of them failed at least the given time ago.
_SILENT_FAILURES = 3
_SILENT_S = 0.3
# Time after a request without a reply in which further ones are expected.
_LOSSY_S = 3.0
# Longest time from the first connection that breaks to the first that is refused for
# which both are taken for the same crash. Connections that break for longer show an
# upstream that is alive, and whose runs may end unnoticed.
_MAX_BREAK_S = 0.3


class ReplyTracker:
    """Reply times and failures of the requests to one upstream instance."""

    def __init__(self):
        self._mean_s = 0.01
        self._deviation_s = 0.01
        self._failures = 0
        self._failing_since = 0.0
        self._last_failure = None
        self._last_reply = None
        self._timed_out = False
        # Time of the first of the refused connections since any other event, or None.
        self._refused_since = None

    def on_reply(self, elapsed_s, now):
        """Records a reply.

        Args:
            elapsed_s: Time from the request to the reply, seconds.
            now: Time, seconds.
        """
        error_s = elapsed_s - self._mean_s
        self._mean_s += _MEAN_WEIGHT * error_s
        self._deviation_s += _MEAN_WEIGHT * (abs(error_s) - self._deviation_s)
        self.on_delayed_reply(now)

    def on_delayed_reply(self, now):
        """Records a reply that the upstream was asked to delay."""
        self._failures = 0
        self._last_reply = now
        self._timed_out = False
        self._refused_since = None

    def on_no_reply(self, now, timed_out=True, is_refused=False):
        """Records a request without a reply.

        Args:
            now: Time, seconds.
            timed_out: Whether there was no sign of the upstream, as opposed to a
                connection that broke or was refused.
            is_refused: Whether the connection was refused.
        """
        self._timed_out = self._timed_out or timed_out
        if not is_refused:
            self._refused_since = None
        elif self._refused_since is None:
            self._refused_since = now
        if not self._failures:
            self._failing_since = now
        self._failures += 1
        self._last_failure = now

    def timeout_s(self, attempt=0):
        """Returns how long to wait for the reply to a request, seconds.

        Args:
            attempt: Number of earlier attempts of the same request without a reply.
        """
        factor = _ATTEMPT_FACTORS[min(attempt, len(_ATTEMPT_FACTORS) - 1)]
        timeout_s = self._mean_s + _TIMEOUT_DEVIATIONS * self._deviation_s
        return min(_MAX_TIMEOUT_S, factor * max(_MIN_TIMEOUT_S, timeout_s))

    def is_silent(self, now):
        """Returns whether the upstream has stopped replying."""
        return (
            self._failures >= _SILENT_FAILURES
            and now - self._failing_since >= _SILENT_S
        )

    def was_in_touch(self, now):
        """Returns whether the upstream replied until it stopped replying at all.

        Connections broke shortly before now, or were refused since shortly after. An
        upstream that crashes is seen like that, but also one that runs on behind a path
        that refuses connections.
        """
        if self._timed_out:
            return False
        since = now if self._refused_since is None else self._refused_since
        return since - self.failed_at(since) < _MAX_BREAK_S

    def is_refused(self, now):
        """Returns whether connections are refused since the upstream was in touch."""
        if self._last_reply is None or self._refused_since is None:
            return False
        return self.was_in_touch(now)

    def is_failing(self):
        """Returns whether the latest request had no reply."""
        return self._failures > 0

    def is_lossy(self, now):
        """Returns whether a request had no reply recently."""
        return self._last_failure is not None and now - self._last_failure < _LOSSY_S

    def failing_s(self, now):
        """Returns for how long no request has been answered, seconds.

        Returns 0 if the latest request was answered, however long ago.
        """
        return now - self._failing_since if self._failures else 0.0

    def failed_at(self, now):
        """Returns when the first request after the last reply failed, seconds.

        Returns `now` if the last request was answered.
        """
        return self._failing_since if self._failures else now

    def silence_s(self, until):
        """Returns the time from the last reply until another time, seconds."""
        return 0.0 if self._last_reply is None else max(0.0, until - self._last_reply)

    def log_fields(self, now):
        """Returns what is known of the time at which an upstream was lost.

        Returns:
            dict: Seconds since the last reply, and since the first request without a
                reply after it.
        """
        return {
            "last_reply_s": round(self.silence_s(now), 3),
            "failing_s": round(self.failing_s(now), 3),
        }
