"""
papayaward.caller_api
~~~~~~~~~~~~~~~~~~~~~

HTTP interface for callers: jobs and single requests.
"""

from hashlib import blake2b

import gevent

from . import clock
from .caller_responses import (
    is_not_run,
    outcome_of_refusal,
    outcome_response,
    running_response,
)
from .coordination.coordinator_client import CoordinatorUnavailable
from .coordination.idempotency_keys import IdempotencyKeys, KeyWriteLimiter
from .job_requests import RequestError, parse_body, parse_job
from .protocol.gen.ttypes import Cancel, Fetch, Refuse, Submit
from .protocol.identifiers import IdentifierError, parse_job_id
from .protocol.options import (
    OptionError,
    get_int,
    get_string,
    get_string_list,
)
from .protocol.outcomes import JobOutcome, Outcome, Reason
from .protocol.store_errors import StoreError
from .transport.http_api import json_response, problem_response, read_numbers

__all__ = ["CallerApi"]

_MAX_IDS = 1000
_MAX_KEY_LENGTH = 255

_POLL_S = 0.02

# Coordinators tried for a job without an identifier before it is refused.
_MAX_COORDINATORS = 3

# Time after the deadline in which the coordinator's answer may still arrive.
_ANSWER_MARGIN_S = 2.0


class CallerApi:
    """Handles callers' requests.

    Args:
        entry: `Entry`.
    """

    def __init__(self, entry):
        self._entry = entry
        self._open_count = 0
        self._keys = IdempotencyKeys(entry.store)
        self._key_write_limiter = KeyWriteLimiter(entry.settings.key_writes_per_s)

    @property
    def open_requests(self):
        """Number of requests that are being served."""
        return self._open_count

    def add_routes(self, api):
        """Adds the routes to an `HttpApi`."""
        for kind, single in (("jobs", False), ("requests", True)):
            api.add("POST", f"/v1/{kind}", self._counted(self._post, single))
            api.add("PUT", f"/v1/{kind}/", self._counted(self._put, single))
            api.add("GET", f"/v1/{kind}/", self._counted(self._get, single))
            api.add("DELETE", f"/v1/{kind}/", self._counted(self._delete, single))
        api.add("POST", "/v1/ids", self._counted(self._ids, False))
        api.add("POST", "/v1/cancel", self._counted(self._cancel, False))

    def _counted(self, handler, single):
        def handle(request):
            self._open_count += 1
            try:
                return handler(request, single)
            finally:
                self._open_count -= 1

        return handle

    # Handlers.

    def _ids(self, request, single):
        try:
            document = parse_body(request)
            count = get_int(document, "count", 1, low=1, high=_MAX_IDS)
            service = self._service(get_string(document, "service"))
            ids = self._new_ids(service, count)
        except (OptionError, RequestError) as error:
            return self._refusal(error)
        return json_response(200, {"ids": [str(job_id) for job_id in ids]})

    def _post(self, request, single):
        if "idempotency-key" in request.headers:
            return self._post_with_key(request, single)
        try:
            job = self._parse_job(request, single)
            self._check_capacity()
            return self._submit_with_new_id(job, request)
        except (OptionError, RequestError) as error:
            return self._refusal(error)

    def _submit_with_new_id(self, job, request):
        """Submits a job under a new identifier; tries other coordinators on failure."""
        service = self._service(job.service)
        for _ in range(_MAX_COORDINATORS):
            job_id = self._new_ids(service, 1)[0]
            try:
                return self._submit(job_id, job, request, fresh=True)
            except CoordinatorUnavailable:
                continue
        raise RequestError(Reason.NO_HOME, "no home could be reached", 500)

    def _post_with_key(self, request, single):
        key = request.headers["idempotency-key"]
        try:
            job = self._parse_job(request, single)
            if not 0 < len(key) <= _MAX_KEY_LENGTH:
                detail = f"the key must have 1 to {_MAX_KEY_LENGTH} characters"
                raise RequestError(Reason.BAD_REQUEST, detail)
        except (OptionError, RequestError) as error:
            return self._refuse_keyed(error)
        fingerprint = blake2b(request.body, digest_size=16).hexdigest()
        try:
            mapping = self._map_key(job, key, fingerprint)
        except StoreError as error:
            detail = f"the key cannot be looked up: {error}"
            return self._refuse_keyed(
                RequestError(Reason.STORE_UNAVAILABLE, detail, 1000)
            )
        except RequestError as error:
            return self._refuse_keyed(error)
        if mapping.fingerprint != fingerprint:
            # The key is mapped to a job with another body, so this one has not run
            # and will not.
            detail = "the key was used with another body"
            return self._refusal(RequestError(Reason.KEY_REUSED, detail))
        response = self._submit(mapping.job_id, job, request)
        if mapping.revision and is_not_run(response):
            return self._resubmit_with_new_id(job, key, mapping, request)
        return response

    def _map_key(self, job, key, fingerprint):
        """Returns the mapping of a key; creates it if there is none."""
        self._check_capacity()
        mapping = self._keys.find(job.account, key)
        if mapping is not None:
            return mapping
        return self._create_mapping(job, key, fingerprint, 0)

    def _create_mapping(self, job, key, fingerprint, revision):
        now = clock.now()
        if not self._key_write_limiter.take(now):
            raise RequestError(Reason.OVERLOADED, "too many new keys", 1000)
        job_id = self._new_ids(self._service(job.service), 1)[0]
        return self._keys.create(job.account, key, job_id, fingerprint, now, revision)

    def _resubmit_with_new_id(self, job, key, mapping, request):
        """Submits a job whose mapped identifier was permanently refused."""
        try:
            mapping = self._create_mapping(
                job, key, mapping.fingerprint, mapping.revision
            )
        except (RequestError, StoreError) as error:
            return self._refuse_keyed(
                RequestError(Reason.STORE_UNAVAILABLE, str(error), 1000)
            )
        return self._submit(mapping.job_id, job, request)

    def _refuse_keyed(self, error):
        """Answers `unknown`, since an earlier request with the key may have run."""
        reason = getattr(error, "reason", Reason.BAD_REQUEST)
        detail = f"{error}; an earlier submission with this key may have run"
        retry_after_ms = getattr(error, "retry_after_ms", 0)
        outcome = JobOutcome(
            Outcome.UNKNOWN, reason, detail, retry_after_ms=retry_after_ms
        )
        return self._answer(None, outcome, False)

    def _put(self, request, single):
        try:
            job_id = parse_job_id(request.argument)
        except IdentifierError as error:
            return self._refusal(RequestError(Reason.IDENTIFIER_UNKNOWN, str(error)))
        try:
            job = self._parse_job(request, single)
            self._check_capacity()
        except (OptionError, RequestError) as error:
            return self._refuse_identified(job_id, error, single)
        return self._submit(job_id, job, request)

    def _get(self, request, single):
        try:
            job_id = parse_job_id(request.argument)
            wait_ms = get_int(read_numbers(request.query), "wait_ms", 0, high=600_000)
        except IdentifierError as error:
            return self._refusal(RequestError(Reason.IDENTIFIER_UNKNOWN, str(error)))
        except OptionError as error:
            return problem_response(
                400, {"detail": str(error), "reason": Reason.BAD_REQUEST}
            )
        now = clock.now()
        outcome = self._entry.coordinator_client.await_outcome(
            job_id,
            lambda number: Fetch(number, str(job_id), wait_ms > 0),
            now + (wait_ms / 1000 if wait_ms else 1.0),
            accepted_only=not wait_ms,
        )
        return self._answer(job_id, outcome, single)

    def _delete(self, request, single):
        try:
            job_id = parse_job_id(request.argument)
        except IdentifierError as error:
            return self._refusal(RequestError(Reason.IDENTIFIER_UNKNOWN, str(error)))
        return json_response(200, self._cancel_ids([job_id]))

    def _cancel(self, request, single):
        try:
            texts = get_string_list(parse_body(request), "ids", max_length=20_000)
            ids = [parse_job_id(text) for text in texts]
        except (OptionError, RequestError, IdentifierError) as error:
            return problem_response(
                400, {"detail": str(error), "reason": Reason.BAD_REQUEST}
            )
        return json_response(200, self._cancel_ids(ids))

    def _cancel_ids(self, ids):
        by_coordinator = {}
        for job_id in ids:
            coordinator = (job_id.member, job_id.incarnation)
            by_coordinator.setdefault(coordinator, []).append(str(job_id))
        cancelled, unreachable = 0, []
        until = clock.now() + 2.0
        for (member, incarnation), texts in by_coordinator.items():
            try:
                reply = self._entry.coordinator_client.request_once(
                    member,
                    incarnation,
                    lambda number, texts=texts: Cancel(number, texts),
                    until,
                )
                cancelled += reply.cancelled
            except (CoordinatorUnavailable, TimeoutError):
                unreachable += texts
        return {"cancelled": cancelled, "unreachable": unreachable}

    # Submission.

    def _submit(self, job_id, job, request, fresh=False):
        no_wait = request.query.get("wait") == "0"
        now = clock.now()
        deadline = now + job.deadline_ms / 1000

        def build(number):
            # A submission that is sent again carries only the remaining time.
            remaining_ms = max(0, int((deadline - clock.now()) * 1000))
            return Submit(
                number,
                str(job_id),
                job.service,
                job.account,
                job.job_class,
                remaining_ms,
                job.idempotent,
                list(job.tasks),
            )

        view = self._entry.members.get(job_id.member)
        if view is not None and view.hello.incarnation == job_id.incarnation:
            self._entry.activate_coordinator(view)
        outcome = self._entry.coordinator_client.await_outcome(
            job_id,
            build,
            deadline + _ANSWER_MARGIN_S,
            accepted_only=no_wait,
            fresh=fresh,
        )
        if outcome is None and not no_wait:
            outcome = JobOutcome(Outcome.UNKNOWN, Reason.DEADLINE, "no answer in time")
        return self._answer(job_id, outcome, job.single)

    def _refuse_identified(self, job_id, error, single):
        """Refuses a request through its coordinator, which may already have the job."""
        reason = error.reason if isinstance(error, RequestError) else Reason.BAD_REQUEST
        outcome = self._entry.coordinator_client.await_outcome(
            job_id,
            lambda number: Refuse(number, str(job_id), reason),
            clock.now() + 1.0,
        )
        if outcome is None:
            detail = f"{error}; an earlier submission may have run"
            outcome = JobOutcome(Outcome.UNKNOWN, reason, detail)
        elif outcome.outcome is Outcome.NOT_RUN:
            return self._refusal(error)
        return self._answer(job_id, outcome, single)

    def _parse_job(self, request, single):
        config = self._entry.config.config
        return parse_job(parse_body(request), single, config, self._service)

    def _service(self, name):
        entry = self._entry
        service = entry.config.config.services.get(name)
        if service is None:
            raise RequestError(Reason.UNKNOWN_SERVICE, f"unknown service {name!r}")
        missing = entry.members.missing_dependency(entry.config.config, service)
        if missing is not None:
            detail = f"{name} depends on {missing}, which has no ready runner"
            raise RequestError(Reason.DEPENDENCY_UNAVAILABLE, detail, 500)
        return service

    def _new_ids(self, service, count):
        entry = self._entry
        view = self._wait_for_coordinator(service)
        if view is None:
            detail = f"no runner of {service.name} is ready"
            raise RequestError(Reason.NO_HOME, detail, 500)
        try:
            return entry.coordinator_client.new_ids(view, count, clock.now())
        except (CoordinatorUnavailable, TimeoutError) as error:
            raise RequestError(Reason.NO_HOME, f"no identifier: {error}", 200) from None

    def _wait_for_coordinator(self, service):
        """Returns the view of a coordinator; None after the reconnect grace period.

        An entry that was paused or has just started has no links until the runners
        have reconnected.
        """
        entry = self._entry
        deadline = clock.now() + entry.settings.reconnect_grace_s
        while True:
            view = entry.members.choose_coordinator(entry.config.config, service)
            if view is not None or clock.now() >= deadline:
                return view
            gevent.sleep(_POLL_S)

    def _check_capacity(self):
        if self._entry.draining:
            raise RequestError(Reason.DRAINING, "this entry is stopping", 100)
        if self._open_count > self._entry.settings.max_open_jobs:
            raise RequestError(Reason.OVERLOADED, "too many open requests", 500)

    # Responses.

    def _refusal(self, error):
        return self._answer(None, outcome_of_refusal(error), False)

    def _answer(self, job_id, outcome, single):
        if outcome is None:
            return running_response(job_id)
        next_id = None if job_id is None else self._next_id(job_id)
        return outcome_response(job_id, outcome, single, next_id)

    def _next_id(self, job_id):
        """Returns a cached identifier for the caller's next job, or None."""
        entry = self._entry
        coordinator = entry.members.get(job_id.member)
        if coordinator is None:
            return None
        service = entry.config.config.services.get(coordinator.hello.service_name)
        if service is None:
            return None
        view = entry.members.choose_coordinator(entry.config.config, service)
        if view is None:
            return None
        next_id = entry.coordinator_client.take_cached_id(view, clock.now())
        return None if next_id is None else str(next_id)
