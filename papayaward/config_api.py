"""
papayaward.config_api
~~~~~~~~~~~~~~~~~~~~~

HTTP interface for operators: the configuration, its changes and its history.
"""

import re
import secrets
import time
from dataclasses import asdict

import gevent

from . import clock
from .coordination.acceptance import check_acceptance
from .coordination.config_writer import Submission
from .protocol.config_diff import diff_texts
from .protocol.config_text import ConfigError, parse_config
from .protocol.options import OptionError, get_bool, get_int, get_string, read_object
from .protocol.store_errors import StoreError
from .transport.http_api import (
    Response,
    json_response,
    problem_response,
    read_numbers,
)

__all__ = ["ConfigApi"]

_POLL_S = 0.02
_WRITE_ID = re.compile("[0-9a-f]{16,64}")
_MAX_TEXT_CHARACTERS = 1_000_000
_MAX_HISTORY = 1000

# Maximum number of versions listed in the reply to a conflict.
_MAX_CONFLICT_HISTORY = 50


class ConfigApi:
    """Handles requests that read or change the configuration.

    Args:
        entry: `Entry`.
        now: Monotonic time at which the entry started to listen, in seconds.
    """

    def __init__(self, entry, now):
        self._entry = entry
        self._started_at = now

    def add_routes(self, api):
        """Adds the routes to an `HttpApi`."""
        api.add("GET", "/admin/config", self._get_config)
        api.add("POST", "/admin/config", self._post_config)
        api.add("GET", "/admin/config/confirmed", self._get_confirmed)
        api.add("GET", "/admin/history", self._get_history)

    def _get_config(self, request):
        config = self._entry.config
        headers = {"Papayaward-Version": str(config.version)}
        return Response(200, config.text, "application/json", headers)

    def _get_confirmed(self, request):
        try:
            version = get_int(read_numbers(request.query), "version", low=1)
        except OptionError as error:
            return problem_response(400, {"detail": str(error)})
        return json_response(200, self._rollout_state(version))

    def _get_history(self, request):
        try:
            limit = get_int(
                read_numbers(request.query), "limit", 20, low=1, high=_MAX_HISTORY
            )
            entries = self._entry.config_writer.read_history(limit)
        except OptionError as error:
            return problem_response(400, {"detail": str(error)})
        except StoreError as error:
            return problem_response(
                503, {"detail": str(error), "result": "unavailable"}
            )
        return json_response(200, {"history": [asdict(entry) for entry in entries]})

    def _post_config(self, request):
        try:
            document = read_object(request.body)
            text = get_string(document, "text", max_length=_MAX_TEXT_CHARACTERS)
            wait_ms = get_int(document, "wait_ms", 5000, high=60_000)
            dry_run = get_bool(document, "dry_run", False)
            submission = Submission(
                text,
                get_int(document, "expected_version", high=2**53 - 1),
                get_string(document, "author"),
                get_string(document, "write_id", secrets.token_hex(8)),
            )
            if not _WRITE_ID.fullmatch(submission.write_id):
                raise OptionError("write_id", submission.write_id, _WRITE_ID.pattern)
            if not submission.author.isprintable():
                raise OptionError("author", submission.author, "printable characters")
            parse_config(text)
        except ConfigError as error:
            findings = [asdict(finding) for finding in error.findings]
            return problem_response(
                422, {"detail": "invalid text", "findings": findings}
            )
        except ValueError as error:
            return problem_response(400, {"detail": str(error)})
        if dry_run:
            return self._preview(submission)
        return self._apply(submission, clock.now() + wait_ms / 1000)

    def _preview(self, submission):
        entry = self._entry
        result = entry.config_writer.preview(submission, entry.config.version)
        if result.status != "written":
            return self._write_error_response(submission, result)
        before = "" if result.found is None else result.found.text
        changes = [asdict(change) for change in diff_texts(before, submission.text)]
        return json_response(
            200, {"dry_run": True, "version": result.version, "changes": changes}
        )

    def _apply(self, submission, deadline):
        entry = self._entry
        result = entry.config_writer.write(
            submission, entry.config.version, time.time(), deadline
        )
        if result.status != "written":
            return self._write_error_response(submission, result)
        entry.config.offer(result.version, submission.text.encode(), clock.now())
        while True:
            document = self._rollout_state(result.version)
            if document["in_force_everywhere"] or clock.now() >= deadline:
                document["write_id"] = submission.write_id
                return json_response(200, document)
            gevent.sleep(_POLL_S)

    def _write_error_response(self, submission, result):
        document = {"result": result.status, "version": result.version}
        document["write_id"] = submission.write_id
        if result.status == "conflict":
            return problem_response(
                409, {**document, **self._describe_conflict(submission, result)}
            )
        document["detail"] = result.detail
        status = {"too_large": 413, "unavailable": 503}.get(result.status, 504)
        return problem_response(status, document)

    def _describe_conflict(self, submission, result):
        document = {"detail": "the configuration was changed meanwhile"}
        found = result.found
        if found is not None:
            changes = diff_texts(found.text, submission.text)
            document.update(author=found.author, text=found.text)
            document["differences"] = [asdict(change) for change in changes]
        try:
            entries = self._entry.config_writer.read_history(
                _MAX_CONFLICT_HISTORY, after=submission.expected_version
            )
        except StoreError:
            entries = []
        document["changes_since"] = [asdict(entry) for entry in entries]
        return document

    def _rollout_state(self, version):
        entry = self._entry
        views = {name: entry.members.get(name) for name in entry.evidence.members}
        versions = {
            name: None if view is None else view.config_version
            for name, view in views.items()
        }
        acceptance = check_acceptance(version, versions, clock.now() - self._started_at)
        own = entry.config.version
        return {
            "entry": entry.settings.member,
            "entry_version": own,
            "version": version,
            "accepted": acceptance.accepted,
            "in_force_everywhere": acceptance.in_force_everywhere and own >= version,
            "confirmed": acceptance.confirmed,
            "unconfirmed": acceptance.unconfirmed,
        }
