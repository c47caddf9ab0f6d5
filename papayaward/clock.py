"""
papayaward.clock
~~~~~~~~~~~~~~~~

The clock of all decisions that other processes depend on.
"""

import time

__all__ = ["now"]


def now():
    """Returns seconds since boot, with the time in which the VM was suspended.

    The monotonic clock leaves suspended time out, so a process that slept through
    the end of a lease would believe that the lease is still in force.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
