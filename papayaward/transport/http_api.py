"""
papayaward.transport.http_api
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Minimal WSGI application with routing.
"""

import json
import logging
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl

from .request_body import BodyError, BodyFault, read_body

__all__ = [
    "HttpApi",
    "Request",
    "Response",
    "json_response",
    "problem_response",
    "read_numbers",
]

log = logging.getLogger(__name__)

# More than any number in a query has; `int` rejects numbers of thousands of digits.
_MAX_DIGITS = 15


@dataclass(frozen=True)
class Request:
    """An HTTP request.

    Attributes:
        path: Path without the query.
        argument: Rest of the path after a route that ends with a slash.
        query: Query parameters by name.
        headers: Header values by lower-case name.
        body: bytes; None if it was not read.
        body_fault: `BodyFault` if it was not read, else None.
    """

    path: str
    argument: str
    query: dict
    headers: dict
    body: bytes | None
    body_fault: BodyFault | None = None


@dataclass(frozen=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes
    content_type: str = "text/plain; charset=utf-8"
    headers: dict = field(default_factory=dict)


def json_response(status, document, headers=None):
    """Returns a response with a JSON document."""
    body = json.dumps(document).encode() + b"\n"
    return Response(status, body, "application/json", headers or {})


def problem_response(status, document, headers=None):
    """Returns an error response in the format of RFC 9457."""
    title = HTTPStatus(status).phrase
    document = {"type": "about:blank", "title": title, "status": status, **document}
    body = json.dumps(document).encode() + b"\n"
    return Response(status, body, "application/problem+json", headers or {})


def read_numbers(query):
    """Returns query parameters with their decimal numbers as int, for `get_int`.

    Args:
        query: Texts by name.
    """
    return {
        name: int(text) if _is_number(text) else text for name, text in query.items()
    }


def _is_number(text):
    # `int` rejects some of the characters that `isdigit` accepts.
    return text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS


class HttpApi:
    """WSGI application that dispatches requests to handlers by route.

    Args:
        max_body_bytes: Maximum size of a request body.
    """

    def __init__(self, max_body_bytes):
        self._max_body_bytes = max_body_bytes
        self._routes = {}

    def add(self, method, path, handler):
        """Adds a route; a path that ends with a slash matches one more segment."""
        self._routes[method, path] = handler

    def __call__(self, environ, start_response):
        try:
            response = self._respond(environ)
        except Exception:
            log.exception("request_failed", extra={"path": environ["PATH_INFO"]})
            response = problem_response(
                500, {"detail": "internal error", "outcome": "unknown"}
            )
        status = HTTPStatus(response.status)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers.items(),
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return [response.body]

    def _respond(self, environ):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        handler = self._routes.get((method, path))
        argument = ""
        if handler is None:
            prefix, _, argument = path.rpartition("/")
            handler = self._routes.get((method, prefix + "/"))
        if handler is None:
            known = any(p in (path, prefix + "/") for _, p in self._routes)
            status = 405 if known else 404
            return problem_response(status, {"detail": f"no route {method} {path}"})
        body, fault = None, None
        try:
            body = read_body(environ, self._max_body_bytes)
        except BodyError as error:
            fault = error.fault
        request = Request(
            path,
            argument,
            dict(parse_qsl(environ.get("QUERY_STRING", ""))),
            {
                name[5:].replace("_", "-").lower(): value
                for name, value in environ.items()
                if name.startswith("HTTP_")
            },
            body,
            fault,
        )
        return handler(request)
