"""
papayaward.protocol.mechanisms
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Mechanisms that tests turn off to show that the tests would notice.
"""

__all__ = ["MECHANISMS", "PERFORMANCE_MECHANISMS", "disable", "is_enabled"]

# Name and what the mechanism prevents.
MECHANISMS = {
    "start_dedup": "a second start when a grant arrives twice",
    "record_dedup": "a second run when a caller submits again",
    "block_expiry": "a run of an identifier that was used or has expired",
    "incarnation_check": "a run at a home that did not issue the identifier",
    "refusal_kept": "a run of a submission that was refused before",
    "whole_answers": "an answer that lacks results",
    "answer_matching": "an answer that reaches another caller",
    "domain_gate": "a start in a domain out of service",
    "evidence": "a start under a configuration that may be old",
    "retry_guard": "a second start of a request that is not idempotent",
    "leaving_gate": "new work for a leaving upstream",
    "drain": "requests that a planned stop cuts",
    "watchdog": "callers that wait behind a silent connection",
    "version_order": "a configuration that reverts",
}

# Mechanisms that no promise depends on; measurements compare with and without.
PERFORMANCE_MECHANISMS = {
    "ejection": "taking executors that fail everything out of use",
    "hedging": "second starts of idempotent requests that take long",
}

_disabled = set()


def is_enabled(name):
    """Returns whether a mechanism is in use; all are unless a test turns one off."""
    return name not in _disabled


def disable(names):
    """Turns mechanisms off in this process.

    Raises:
        ValueError: A name is not in the registry.
    """
    unknown = sorted(set(names) - set(MECHANISMS) - set(PERFORMANCE_MECHANISMS))
    if unknown:
        raise ValueError(f"unknown mechanisms: {', '.join(unknown)}")
    _disabled.update(names)
