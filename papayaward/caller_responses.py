"""
papayaward.caller_responses
~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP responses to callers: results, outcomes and refusals.
"""

import json

from .protocol.outcomes import JobOutcome, Outcome, Reason
from .transport.http_api import Response, json_response, problem_response

__all__ = ["is_not_run", "outcome_of_refusal", "outcome_response", "running_response"]

_STATUS_BY_OUTCOME = {
    Outcome.COMPLETE: 200,
    Outcome.CANCELLED: 410,
    Outcome.FAILED: 502,
}
_UNKNOWN_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NOT_SUBMITTED: 404,
    Reason.OVERLOADED: 429,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.UNKNOWN_SERVICE: 422,
}
_NOT_RUN_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.CANCELLED: 410,
    Reason.DEADLINE: 408,
    Reason.IDENTIFIER_UNKNOWN: 404,
    Reason.IMPOSSIBLE: 422,
    Reason.KEY_REUSED: 422,
    Reason.QUOTA: 429,
    Reason.UNKNOWN_SERVICE: 422,
}


def outcome_of_refusal(error):
    """Returns the `JobOutcome` of a submission that was refused with an exception."""
    reason = getattr(error, "reason", Reason.BAD_REQUEST)
    retry_after_ms = getattr(error, "retry_after_ms", 0)
    return JobOutcome(
        Outcome.NOT_RUN, reason, str(error), retry_after_ms=retry_after_ms
    )


def running_response(job_id):
    """Returns the `Response` about a job without an outcome."""
    return json_response(202, {"job_id": str(job_id), "state": "running"})


def outcome_response(job_id, outcome, single, next_id):
    """Returns the `Response` with the outcome of a job.

    Args:
        job_id: Identifier of the job, None if it has none.
        outcome: `JobOutcome`.
        single: Whether the submission is a single request rather than a job.
        next_id: Identifier for the caller's next job, or None.
    """
    if outcome.outcome is Outcome.COMPLETE:
        return _complete(job_id, outcome, single, next_id)
    document = {"outcome": outcome.outcome, "reason": outcome.reason}
    document["detail"] = outcome.detail
    if job_id is not None:
        document["job_id"] = str(job_id)
    if outcome.started:
        document["tasks_started"] = outcome.started
    headers = {}
    if outcome.retry_after_ms:
        document["retry_after_ms"] = outcome.retry_after_ms
        headers["Retry-After"] = str(-(-outcome.retry_after_ms // 1000))
    if next_id is not None:
        document["next_id"] = next_id
    return problem_response(_status(outcome), document, headers)


def is_not_run(response):
    """Returns whether a `Response` says that the job has not run."""
    # The results in a complete answer are arbitrary JSON, so it is not inspected.
    if response.status == _STATUS_BY_OUTCOME[Outcome.COMPLETE]:
        return False
    return json.loads(response.body).get("outcome") == Outcome.NOT_RUN


def _status(outcome):
    if outcome.outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUS_BY_REASON.get(outcome.reason, 503)
    if outcome.outcome is Outcome.UNKNOWN:
        return _UNKNOWN_STATUS_BY_REASON.get(outcome.reason, 504)
    return _STATUS_BY_OUTCOME[outcome.outcome]


def _complete(job_id, outcome, single, next_id):
    document = {
        "job_id": str(job_id),
        "outcome": outcome.outcome,
        "queue_ms": outcome.queue_us / 1000,
        "service_ms": outcome.service_us / 1000,
    }
    if next_id is not None:
        document["next_id"] = next_id
    head = json.dumps(document).encode()
    if single:
        results = b'"result":' + outcome.results[0]
    else:
        results = b'"results":[' + b",".join(outcome.results) + b"]"
    # The results are already JSON; parsing them again would double the entry's
    # CPU time per task.
    body = head[:-1] + b"," + results + b"}\n"
    return Response(200, body, "application/json")
