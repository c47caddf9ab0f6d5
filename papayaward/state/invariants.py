"""
papayaward.state.invariants
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Invariants that are checked at run time.
"""

import logging

from . import metrics

__all__ = ["check", "violations"]

log = logging.getLogger(__name__)

_violations = {}


def check(name, holds, **details):
    """Logs and counts a violation if an invariant does not hold.

    No exception is raised, so that the process continues to serve; tests fail if
    the counter is not zero.

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
