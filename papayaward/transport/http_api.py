"""
papayaward.transport.http_api
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Minimal WSGI application with routing, and a server that drains before it stops.
"""

import json
import logging
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from .. import clock

__all__ = [
    "HttpApi",
    "HttpServer",
    "Request",
    "Response",
    "has_disconnected",
    "json_response",
    "problem_response",
    "read_body",
    "read_numbers",
    "serve_http",
    "watch_disconnect",
]

log = logging.getLogger(__name__)

_DRAIN_POLL_S = 0.05
_FINAL_REQUEST_WAIT_S = 0.2
# More than any number in a query has; `int` rejects numbers of thousands of digits.
_MAX_DIGITS = 15
_CONNECTION = "papayaward.connection"


@dataclass(frozen=True)
class Request:
    """An HTTP request.

    Attributes:
        path: Path without the query.
        argument: Rest of the path after a route that ends with a slash.
        query: Query parameters by name.
        headers: Header values by lower-case name.
        body: bytes; None if it exceeds the limit or its length is invalid.
    """

    path: str
    argument: str
    query: dict
    headers: dict
    body: bytes | None


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


class _Handler(WSGIHandler):
    """Registers with its server from a request's header to the end of its response."""

    def handle_one_response(self):
        self.server.open_requests.add(self)
        if self.server.draining:
            # The caller has to reconnect, so its next request goes to another entry.
            self.close_connection = True
        try:
            super().handle_one_response()
        finally:
            self.server.open_requests.discard(self)

    def get_environ(self):
        environ = super().get_environ()
        environ[_CONNECTION] = self.socket
        return environ


class HttpServer(WSGIServer):
    """WSGI server that can stop without aborting requests in progress."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.draining = False
        self.open_requests = set()

    def drain(self, deadline):
        """Waits for the requests in progress, then stops accepting and closes.

        Requests that arrive in the meantime still reach the application, which may
        refuse them.

        Args:
            deadline: Monotonic time at which waiting ends, seconds.

        Returns:
            bool: Whether every request was finished.
        """
        self.draining = True
        self._wait_for(set(self.open_requests), deadline)
        self.stop_accepting()
        # Leaves time for the most recently accepted connections to send a request.
        gevent.sleep(_FINAL_REQUEST_WAIT_S)
        self._wait_for(self.open_requests, deadline)
        finished = not self.open_requests
        self.stop(timeout=0)
        return finished

    def _wait_for(self, handlers, deadline):
        while handlers & self.open_requests and clock.now() < deadline:
            gevent.sleep(_DRAIN_POLL_S)


def serve_http(address, application, max_connections=1000, **options):
    """Starts a WSGI server and returns it.

    Args:
        address: (host, port) to listen on.
        application: WSGI application.
        max_connections: Maximum number of concurrent connections.
        **options: Further options of `WSGIServer`.

    Returns:
        HttpServer: The running server.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit this option. The server writes the header and the
    # body separately; with Nagle's algorithm the body would wait 40 ms for the peer's
    # delayed ACK.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind(address)
    listener.listen(1024)
    options.setdefault("handler_class", _Handler)
    server = HttpServer(
        listener,
        application,
        log=None,
        error_log=log,
        spawn=max_connections,
        # Otherwise the server resolves the host's domain name at start.
        environ={"SERVER_NAME": address[0]},
        **options,
    )
    server.start()
    return server


def has_disconnected(environ):
    """Returns whether the caller of a request is known to have disconnected.

    Other greenlets don't run during the test.

    Args:
        environ: WSGI environment of the request.
    """
    sock = environ[_CONNECTION]
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(timeout_s)


def watch_disconnect(environ, on_disconnect):
    """Detects a disconnect of the caller while its request is processed.

    Args:
        environ: WSGI environment of the request.
        on_disconnect: Function called if the caller closes the connection.

    Returns:
        gevent.Greenlet: Watcher; kill it before the response is returned.
    """
    sock = environ[_CONNECTION]

    def watch():
        try:
            disconnected = not sock.recv(1, socket.MSG_PEEK)
        except OSError:
            disconnected = True
        if disconnected:
            on_disconnect()

    return gevent.spawn(watch)


def read_body(environ, max_bytes):
    """Returns the body of a request; None if it is too long or has an invalid length.

    Args:
        environ: WSGI environment of the request.
        max_bytes: Maximum size.
    """
    try:
        length = int(environ.get("CONTENT_LENGTH") or -1)
    except ValueError:
        return None
    if length > max_bytes:
        return None
    stream = environ["wsgi.input"]
    body = stream.read(length if length >= 0 else max_bytes + 1)
    return body if len(body) <= max_bytes else None


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
        request = Request(
            path,
            argument,
            dict(parse_qsl(environ.get("QUERY_STRING", ""))),
            {
                name[5:].replace("_", "-").lower(): value
                for name, value in environ.items()
                if name.startswith("HTTP_")
            },
            read_body(environ, self._max_body_bytes),
        )
        return handler(request)
