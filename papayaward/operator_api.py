"""
papayaward.operator_api
~~~~~~~~~~~~~~~~~~~~~~~

HTTP interface for operators: configuration, status and job timelines.
"""

import json
import time

import gevent

from .coordination.evidence import age_ms
from .coordination.home_calls import HomeGone
from .protocol.config_text import ConfigError, parse_config
from .protocol.gen.ttypes import Query
from .protocol.identifiers import IdentifierError, parse_job_id
from .protocol.options import OptionError, get_int, get_string, read_object
from .state import invariants
from .transport.http_api import Response, json_response, problem

__all__ = ["OperatorApi"]

_POLL_S = 0.02


class OperatorApi:
    """Handlers of the operators' requests.

    Args:
        entry: The entry.
    """

    def __init__(self, entry):
        self._entry = entry

    def add_routes(self, api):
        """Adds the routes to an `HttpApi`."""
        api.add("GET", "/admin/config", self._get_config)
        api.add("POST", "/admin/config", self._post_config)
        api.add("GET", "/admin/status", self._status)
        api.add("GET", "/admin/explain/", self._explain)

    def _get_config(self, request):
        config = self._entry.config
        headers = {"Papayaward-Version": str(config.version)}
        return Response(200, config.text, "application/json", headers)

    def _post_config(self, request):
        try:
            document = read_object(request.body)
            text = get_string(document, "text", longest=1_000_000)
            expected = get_int(document, "expected_version")
            author = get_string(document, "author")
            wait_ms = get_int(document, "wait_ms", 5000, high=60_000)
            parse_config(text)
        except ConfigError as error:
            findings = [finding.__dict__ for finding in error.findings]
            return problem(422, {"detail": "invalid text", "findings": findings})
        except OptionError as error:
            return problem(400, {"detail": str(error)})
        return self._apply(text, expected, author, wait_ms)

    def _apply(self, text, expected, author, wait_ms):
        result = self._entry.config_writer.write(text, expected, author)
        if result.status == "conflict":
            found = result.found
            document = {"detail": "the configuration was changed meanwhile"}
            document["version"] = result.version
            if found is not None:
                document.update(author=found.author, text=found.text)
            return problem(409, document)
        if result.status != "written":
            document = {"detail": "the store did not answer", "status": result.status}
            return problem(503, {**document, "version": result.version})
        self._entry.config.offer(result.version, text.encode(), time.monotonic())
        confirmed, missing = self._wait_confirmed(result.version, wait_ms)
        accepted = len(confirmed) * 2 > len(confirmed) + len(missing) or not missing
        return json_response(
            200,
            {
                "version": result.version,
                "accepted": accepted,
                "in_force_everywhere": not missing,
                "confirmed": confirmed,
                "unconfirmed": missing,
            },
        )

    def _wait_confirmed(self, version, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            confirmed, missing = self._confirmations(version)
            if not missing or time.monotonic() >= until:
                return confirmed, missing
            gevent.sleep(_POLL_S)

    def _confirmations(self, version):
        members = self._entry.members
        confirmed, missing = [], []
        for name in sorted(self._entry.evidence.members):
            view = members.get(name)
            in_force = view is not None and view.config_version >= version
            (confirmed if in_force else missing).append(name)
        return confirmed, missing

    def _status(self, request):
        entry = self._entry
        now = time.monotonic()
        members = []
        coordinators = []
        for view in sorted(entry.members, key=lambda view: view.hello.member):
            hello = view.hello
            members.append(
                {
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
                    "heard_ms": int((now - view.heard) * 1000),
                }
            )
            if request.query.get("detail") == "1":
                coordinators.append(self._query(hello, "status", ""))
        return json_response(
            200,
            {
                "entry": entry.settings.member,
                "config_version": entry.config.version,
                "evidence_age_ms": age_ms(entry.evidence.latest(now), now),
                "domains_out": sorted(entry.config.config.domains_out),
                "members": members,
                "coordinators": [c for c in coordinators if c],
                "violations": invariants.violations(),
            },
        )

    def _explain(self, request):
        try:
            job_id = parse_job_id(request.argument)
        except IdentifierError as error:
            return problem(400, {"detail": str(error)})
        try:
            reply = self._entry.calls.ask_once(
                job_id.member,
                job_id.incarnation,
                lambda number: Query(number, "explain", str(job_id)),
                time.monotonic() + 1.0,
            )
        except (HomeGone, TimeoutError) as error:
            return problem(504, {"detail": f"the job's home is gone: {error}"})
        return Response(200, reply.document, "application/json")

    def _query(self, hello, kind, argument):
        try:
            reply = self._entry.calls.ask_once(
                hello.member,
                hello.incarnation,
                lambda number: Query(number, kind, argument),
                time.monotonic() + 1.0,
            )
        except (HomeGone, TimeoutError):
            return None
        return {"member": hello.member, **json.loads(reply.document)}
