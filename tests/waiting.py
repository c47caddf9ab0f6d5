"""
tests.waiting
~~~~~~~~~~~~~

Waiting for a condition in tests whose process may not run for seconds.
"""

import time

import gevent

__all__ = ["holds_within"]

_STEP_S = 0.002
# A step that takes longer shows that the process did not run.
_STOPPED_S = 0.01


def holds_within(condition, seconds):
    """Returns whether a condition holds within a time in which this process can run.

    Of a step of the wait that takes much longer than it should, only the processor time
    that this process used in it counts. For the rest of the step the machine did not
    run the process, nor the system under test in it.

    Args:
        condition: Function without arguments.
        seconds: The time, seconds.
    """
    counted_s = 0.0
    while not condition():
        if counted_s >= seconds:
            return False
        began_at, used_s = time.monotonic(), time.process_time()
        gevent.sleep(_STEP_S)
        step_s = time.monotonic() - began_at
        if step_s > _STOPPED_S:
            step_s = max(_STOPPED_S, time.process_time() - used_s)
        counted_s += step_s
    return True
