"""
papayaward.loops
~~~~~~~~~~~~~~~~

Loops that go on for as long as the process runs.
"""

import logging

import gevent

__all__ = ["repeat"]

log = logging.getLogger(__name__)

# Pause after a failed step, so that a step that fails at once does not use the CPU.
_FAILURE_PAUSE_S = 0.05


def repeat(step):
    """Calls a function again and again; does not return.

    An exception is logged and ends only that call: one message or record that a step
    cannot handle would otherwise end the work on all others.

    Args:
        step: Function without arguments that waits until there is something to do.
    """
    while True:
        try:
            step()
        except Exception:
            log.exception("step_failed", extra={"step": step.__qualname__})
            gevent.sleep(_FAILURE_PAUSE_S)
