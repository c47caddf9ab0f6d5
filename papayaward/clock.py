"""
papayaward.clock
~~~~~~~~~~~~~~~~

Clocks for the leases, time-outs and fencing tokens that other processes depend on.
"""

import time

__all__ = ["now", "unix_ms"]


def now():
    """Returns seconds since boot, including the time in which the VM was suspended.

    The monotonic clock excludes suspended time, so a process that was suspended past
    the end of a lease would still treat the lease as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms():
    """Returns the time of day, milliseconds since 1970. It may be set back."""
    return time.time_ns() // 1_000_000
