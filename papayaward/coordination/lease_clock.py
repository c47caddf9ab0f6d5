"""
papayaward.coordination.lease_clock
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Converts the end of a lease from the executor's clock to its upstream's clock.
"""

__all__ = ["LeaseClock"]

# Lowest assumed rate of an upstream's monotonic clock relative to the executor's. A
# lease on a slower clock would last longer than its nominal time.
_SLOWEST_CLOCK = 0.98


class LeaseClock:
    """Clock of one upstream instance, and the end of its latest lease."""

    def __init__(self):
        self._clock_ms = None
        self._read_at = 0.0
        self._until = 0.0

    @property
    def clock_ms(self):
        """Latest reading of the upstream's clock, milliseconds."""
        return self._clock_ms

    @property
    def until(self):
        """Local time by which every lease that was sent has expired, seconds."""
        return self._until

    def continues(self, clock_ms, sent_at):
        """Returns whether a reading is of the same clock as the earlier ones.

        The clock of another lifetime starts anew, so that it is behind.

        Args:
            clock_ms: Reading in a reply, milliseconds; 0 if not given.
            sent_at: Time at which the request was sent, seconds.
        """
        if not clock_ms or self._clock_ms is None:
            return False
        elapsed_ms = (sent_at - self._read_at) * 1000.0 * _SLOWEST_CLOCK
        return clock_ms >= int(self._clock_ms + elapsed_ms)

    def on_reply(self, clock_ms, now):
        """Updates the clock from a reply that arrived now.

        The upstream's clock has advanced since it sent the reply, so leases computed
        from the reading expire too early rather than too late.

        Args:
            clock_ms: Reading of the upstream's clock, milliseconds; 0 if not given.
            now: Time, seconds.
        """
        if clock_ms and (self._clock_ms is None or clock_ms >= self._clock_ms):
            self._clock_ms = clock_ms
            self._read_at = now

    def lease_ms(self, until):
        """Returns the end of a lease on the upstream's clock, milliseconds.

        Args:
            until: Local time by which the lease must have expired, seconds.
        """
        self._until = max(self._until, until)
        return int(self._clock_ms + (until - self._read_at) * 1000.0 * _SLOWEST_CLOCK)
