"""
papayaward.protocol.mechanisms
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Protection mechanisms; tests disable each one to prove that its absence is detected.
"""

__all__ = ["MECHANISMS", "PERFORMANCE_MECHANISMS", "disable", "is_enabled"]

# Name of each mechanism and the failure that it prevents.
MECHANISMS = {
    "start_dedup": "a second start when a grant arrives twice",
    "record_dedup": "a second run when a caller resubmits a job",
    "block_expiry": "a run of an identifier that was used or has expired",
    "incarnation_check": "a run at a coordinator that did not issue the identifier",
    "refusal_kept": "a run of a submission that was refused before",
    "whole_answers": "an answer that lacks results",
    "answer_matching": "an answer that is delivered to another caller",
    "domain_gate": "a start in a failure domain that is out of service",
    "evidence": "a start under a configuration that may be stale",
    "retry_guard": "a second start of a request that is not idempotent",
    "leaving_gate": "a start on an upstream that is shutting down",
    "drain": "requests aborted by a planned stop",
    "watchdog": "callers that wait on an unresponsive connection",
    "version_order": "a return to an older configuration version",
}

# Mechanisms that affect only performance; benchmarks compare runs with and without
# them.
PERFORMANCE_MECHANISMS = {
    "ejection": "removes executors whose tasks all fail",
    "hedging": "starts second copies of slow idempotent requests",
}

_disabled = set()


def is_enabled(name):
    """Returns whether a mechanism is enabled; tests may disable any of them."""
    return name not in _disabled


def disable(names):
    """Disables mechanisms in this process.

    Raises:
        ValueError: A name is not in the registry.
    """
    unknown = sorted(set(names) - set(MECHANISMS) - set(PERFORMANCE_MECHANISMS))
    if unknown:
        raise ValueError(f"unknown mechanisms: {', '.join(unknown)}")
    _disabled.update(names)
