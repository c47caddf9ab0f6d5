"""
papayaward.operator_api
~~~~~~~~~~~~~~~~~~~~~~~

HTTP interface for operators: status and job timelines.
"""

from gevent.pool import Pool

from . import clock
from .coordination.coordinator_client import CoordinatorUnavailable
from .coordination.evidence import age_ms
from .protocol.gen.ttypes import Query
from .protocol.identifiers import IdentifierError, parse_job_id
from .protocol.options import OptionError, read_object
from .state import invariants
from .transport.http_api import Response, json_response, problem_response

__all__ = ["OperatorApi"]

# Coordinators that are queried for their status concurrently.
_MAX_CONCURRENT_QUERIES = 64


class OperatorApi:
    """Handles operators' requests.

    Args:
        entry: `Entry`.
    """

    def __init__(self, entry):
        self._entry = entry

    def add_routes(self, api):
        """Adds the routes to an `HttpApi`."""
        api.add("GET", "/admin/status", self._status)
        api.add("GET", "/admin/explain/", self._explain)

    def _status(self, request):
        entry = self._entry
        now = clock.now()
        views = sorted(entry.members, key=lambda view: view.hello.member)
        coordinators = []
        if request.query.get("detail") == "1":
            query_all = Pool(_MAX_CONCURRENT_QUERIES).map
            coordinators = query_all(
                lambda v: self._query(v.hello, "status", ""), views
            )
        return json_response(
            200,
            {
                "entry": entry.settings.member,
                "config_version": entry.config.version,
                "evidence_age_ms": age_ms(entry.evidence.latest(now), now),
                "domains_out": sorted(entry.config.config.domains_out),
                "members": [_member_status(view, now) for view in views],
                "coordinators": [c for c in coordinators if c],
                "violations": invariants.violations(),
            },
        )

    def _explain(self, request):
        try:
            job_id = parse_job_id(request.argument)
        except IdentifierError as error:
            return problem_response(400, {"detail": str(error)})
        try:
            reply = self._entry.coordinator_client.request_once(
                job_id.member,
                job_id.incarnation,
                lambda number: Query(number, "explain", str(job_id)),
                clock.now() + 1.0,
            )
        except (CoordinatorUnavailable, TimeoutError) as error:
            return problem_response(504, {"detail": f"the job's home is gone: {error}"})
        return Response(200, reply.document, "application/json")

    def _query(self, hello, kind, argument):
        try:
            reply = self._entry.coordinator_client.request_once(
                hello.member,
                hello.incarnation,
                lambda number: Query(number, kind, argument),
                clock.now() + 1.0,
            )
            document = read_object(reply.document)
        except (CoordinatorUnavailable, TimeoutError, OptionError):
            return None
        return {"member": hello.member, **document}


def _member_status(view, now):
    hello = view.hello
    return {
        "member": hello.member,
        "incarnation": f"{hello.incarnation:x}",
        "region": hello.region,
        "domain": hello.domain,
        "service": hello.service_name,
        "address": hello.address,
        "config_version": view.config_version,
        "ready": view.ready,
        "draining": view.draining,
        "queued": view.queued,
        "heard_ms": int((now - view.last_seen) * 1000),
    }
