"""
papayaward.clock
~~~~~~~~~~~~~~~~

Clock for the leases and time-outs that other processes depend on.
"""

import time

__all__ = ["now"]


def now():
    """Returns seconds since boot, including the time in which the VM was suspended.

    The monotonic clock excludes suspended time, so a process that was suspended past
    the end of a lease would still treat the lease as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
