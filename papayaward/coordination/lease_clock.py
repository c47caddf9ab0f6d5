"""
papayaward.coordination.lease_clock
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Translates the end of a lease between the clocks of an executor and its upstream.
"""

__all__ = ["LeaseClock"]

# An upstream's steady clock may be this much slower than ours, so a lease may last
# longer than its nominal time.
_SLOWEST_CLOCK = 0.98


class LeaseClock:
    """Clock of one life of an upstream, and the latest lease that it was given."""

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
        """Own time at which the latest lease that was sent has surely ended."""
        return self._until

    def on_reply(self, clock_ms, now):
        """Takes the clock of a reply that arrived now.

        The upstream's clock was at least this far on, so leases computed from it end
        rather too early than too late.
        """
        if clock_ms and (self._clock_ms is None or clock_ms >= self._clock_ms):
            self._clock_ms = clock_ms
            self._read_at = now

    def lease_ms(self, until):
        """Returns the end of a lease on the upstream's clock, milliseconds.

        Args:
            until: Own time at which the lease must have ended, seconds.
        """
        self._until = max(self._until, until)
        return int(self._clock_ms + (until - self._read_at) * 1000.0 * _SLOWEST_CLOCK)
