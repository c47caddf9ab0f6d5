"""
papayaward.job_requests
~~~~~~~~~~~~~~~~~~~~~~~

Parses and checks the submissions of callers.
"""

import json
from dataclasses import dataclass

from .protocol.options import OptionError, get_bool, get_int, get_string, read_object
from .protocol.outcomes import Reason
from .transport.request_body import BodyFault

__all__ = ["JobRequest", "RequestError", "parse_body", "parse_job"]

# Reason of the refusal and the suggested delay before another attempt, milliseconds.
_REFUSALS = {
    BodyFault.TOO_LONG: (Reason.BODY_TOO_LARGE, 0),
    BodyFault.TOO_COMPLEX: (Reason.BODY_TOO_LARGE, 0),
    BodyFault.INCOMPLETE: (Reason.BAD_REQUEST, 0),
    BodyFault.BUSY: (Reason.OVERLOADED, 2000),
}

# Parsed JSON has no cycles; checking for them takes a fifth of the encoding time.
_encode = json.JSONEncoder(check_circular=False, separators=(",", ":")).encode


@dataclass(frozen=True)
class JobRequest:
    """A validated submission.

    Attributes:
        service: Name of the service.
        account: Name of the client account.
        job_class: Name of the class.
        deadline_ms: Time until the answer is due, milliseconds.
        idempotent: Whether a task may be started again after its run was lost.
        tasks: One JSON document per task, bytes.
        single: Whether it is a single request rather than a job.
    """

    service: str
    account: str
    job_class: str
    deadline_ms: int
    idempotent: bool
    tasks: tuple
    single: bool


class RequestError(Exception):
    """A submission that is refused before it reaches a coordinator.

    Attributes:
        reason: `Reason`.
        retry_after_ms: Suggested delay before another attempt, milliseconds.
    """

    def __init__(self, reason, detail, retry_after_ms=0):
        super().__init__(detail)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


def parse_body(request):
    """Returns the JSON object in the body of an HTTP request."""
    if request.body_fault is not None:
        reason, retry_after_ms = _REFUSALS[request.body_fault]
        detail = request.body_fault.replace("_", " ")
        raise RequestError(reason, detail, retry_after_ms)
    return read_object(request.body)


def parse_job(document, single, config, find_service):
    """Returns the `JobRequest` of a submission.

    Args:
        document: JSON object in its body.
        single: Whether it is a single request rather than a job.
        config: `Config` in force.
        find_service: Function that returns a service by its name, or raises
            `RequestError`.

    Raises:
        RequestError: The submission is refused.
        OptionError: A value is missing or of another type.
    """
    account = get_string(document, "tenant")
    job_class = get_string(document, "class")
    if config.accounts and account not in config.accounts:
        raise RequestError(Reason.BAD_REQUEST, f"unknown tenant {account!r}")
    if config.classes and job_class not in config.classes:
        raise RequestError(Reason.BAD_REQUEST, f"unknown class {job_class!r}")
    class_config = config.classes.get(job_class)
    default_ms = class_config.deadline_ms if class_config is not None else 30_000
    deadline_ms = get_int(
        document, "deadline_ms", default_ms, high=config.limits.max_deadline_ms
    )
    if deadline_ms == 0:
        raise RequestError(Reason.DEADLINE, "the deadline has passed")
    return JobRequest(
        find_service(get_string(document, "service")).name,
        account,
        job_class,
        deadline_ms,
        get_bool(document, "idempotent", False) if single else False,
        _parse_tasks(document, single, config.limits.max_tasks),
        single,
    )


def _parse_tasks(document, single, max_tasks):
    if single:
        if "body" not in document:
            raise OptionError("body", None, "a JSON value")
        return (_encode(document["body"]).encode(),)
    tasks = document.get("tasks")
    if not isinstance(tasks, list) or not tasks:
        raise OptionError("tasks", tasks, "a list of at least one JSON value")
    if len(tasks) > max_tasks:
        detail = f"{len(tasks)} tasks, at most {max_tasks} are allowed"
        raise RequestError(Reason.IMPOSSIBLE, detail)
    return tuple(_encode(task).encode() for task in tasks)
