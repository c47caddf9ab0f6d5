"""
papayaward.protocol.outcomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outcomes of jobs and tasks, and their reasons.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

__all__ = ["JobOutcome", "Outcome", "Reason", "TaskStatus"]


class Outcome(StrEnum):
    """Outcome of a job, as reported to callers."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class TaskStatus(IntEnum):
    """Status of one task in a `TaskResult`; values are part of the wire format."""

    OK = 0
    FAILED = 1
    # The executor guarantees that the task did not start.
    REJECTED = 2
    # The task may have run; its result is permanently unknown.
    LOST = 3
    CANCELLED = 4


class Reason(StrEnum):
    """Reasons that accompany an outcome or a rejected grant."""

    NONE = ""
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CANCELLED = "cancelled"
    CONFIG_STALE = "config_stale"
    DEADLINE = "deadline"
    DEPENDENCY_UNAVAILABLE = "dependency_unavailable"
    DOMAIN_OUT = "domain_out"
    DRAINING = "draining"
    DUPLICATE = "duplicate"
    HOME_GONE = "home_gone"
    IDENTIFIER_EXPIRED = "identifier_expired"
    IDENTIFIER_UNKNOWN = "identifier_unknown"
    IMPOSSIBLE = "impossible"
    KEY_REUSED = "key_reused"
    NO_HOME = "no_home"
    NO_SLOT = "no_slot"
    NOT_SUBMITTED = "not_submitted"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    RECORD_EXPIRED = "record_expired"
    RETRY_BUDGET = "retry_budget"
    STORE_UNAVAILABLE = "store_unavailable"
    TASK_FAILED = "task_failed"
    TASK_LOST = "task_lost"
    UNKNOWN_SERVICE = "unknown_service"
    UPSTREAM_GONE = "upstream_gone"
    UPSTREAM_LEAVING = "upstream_leaving"
    WRONG_INCARNATION = "wrong_incarnation"


@dataclass(frozen=True)
class JobOutcome:
    """Final outcome of a job.

    Attributes:
        outcome: `Outcome`.
        reason: Machine-readable reason, empty when complete.
        detail: Human-readable explanation.
        results: One bytes value per task when complete, else empty.
        retry_after_ms: Suggested delay before a retry; 0 for none.
        started: Number of tasks known to have started.
        queue_us: Longest time that a task waited for a slot.
        service_us: Longest service time of a task.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    detail: str = ""
    results: tuple = ()
    retry_after_ms: int = 0
    started: int = 0
    queue_us: int = 0
    service_us: int = 0
