"""
papayaward.state.invariants
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that are asserted while the program runs.
"""

import logging

from . import metrics

__all__ = ["check", "violations"]

log = logging.getLogger(__name__)

_violations = {}


def check(name, holds, **details):
    """Records a violation of an invariant when it does not hold.

    A violation is logged and counted rather than raised: the process goes on
    serving, and tests fail on the counter.

    Args:
        name: Name of the invariant.
        holds: Whether it holds.
        **details: Values for the log event.

    Returns:
        bool: Whether it holds.
    """
    if not holds:
        _violations[name] = _violations.get(name, 0) + 1
        metrics.INVARIANT_VIOLATIONS.labels(name).inc()
        log.error("invariant_violated", extra={"invariant": name, **details})
    return holds


def violations():
    """Returns the number of violations by name."""
    return dict(_violations)
