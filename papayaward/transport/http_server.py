"""
papayaward.transport.http_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

WSGI server that drains before it stops and bounds what its clients can send.
"""

import logging
from collections import Counter
from contextlib import closing
from dataclasses import replace

import gevent
from gevent import socket
from gevent.pywsgi import WSGIServer

from .. import clock
from ..loops import repeat
from .http_handler import CONNECTION, RequestHandler
from .intake_limits import IntakeLimits, decoded_limit
from .request_intake import RequestIntake

__all__ = [
    "HttpServer",
    "has_disconnected",
    "serve_http",
    "watch_disconnect",
]

log = logging.getLogger(__name__)

_DRAIN_POLL_S = 0.05
_FINAL_REQUEST_WAIT_S = 0.2
_GUARD_INTERVAL_S = 0.5
_BACKLOG = 1024
_LOG_INTERVAL_S = 1.0
_NO_HANDSHAKE = "tls_handshake"


class _HandshakeTimeout(OSError):
    """A TLS handshake that was not finished in time."""


class HttpServer(WSGIServer):
    """WSGI server that can stop without aborting requests in progress.

    Attributes:
        intake: `RequestIntake`.
        count_rejections: Function that takes a reason for which requests were refused
            or connections closed, and their number.
        draining: Whether the server is stopping.
        open_requests: Handlers of the requests in progress.

    Args:
        listener: Listening socket.
        application: WSGI application.
        limits: `IntakeLimits`.
        count_rejections: As the attribute.
        **options: Further options of `WSGIServer`.
    """

    def __init__(self, listener, application, limits, count_rejections, **options):
        self.count_rejections = count_rejections
        self.intake = RequestIntake(limits)
        self._max_decoded_bytes = limits.max_decoded_bytes
        self.draining = False
        self._has_stopped_accepting = False
        self.open_requests = set()
        self._logged_at = {}
        super().__init__(listener, application, spawn=limits.max_connections, **options)
        self.full = self._is_full
        self._guard = gevent.spawn(repeat, self._close_overdue)

    def _is_full(self):
        return self.pool.full() or not self.intake.accepts

    def start_accepting(self):
        """Accepts connections, unless the server has stopped for good."""
        # Also called by the base class whenever a connection has ended.
        if not self._has_stopped_accepting:
            super().start_accepting()

    def stop(self, timeout=None):
        """Stops accepting and closes all connections."""
        self._guard.kill()
        super().stop(timeout)

    def wrap_socket_and_handle(self, client_socket, address):
        """Performs the TLS handshake of a connection and serves it."""
        limit_s = self.intake.limits.max_handshake_s
        try:
            with gevent.Timeout(limit_s, _HandshakeTimeout(limit_s)):
                tls_socket = self.wrap_socket(client_socket, **self.ssl_args)
        except OSError as error:
            log.debug("handshake_failed", extra={"error": str(error)})
            self.count_rejections(_NO_HANDSHAKE, 1)
            return
        with closing(tls_socket):
            self.handle(tls_socket, address)

    def set_request_limits(self, request_limits):
        """Applies the limits that the operators have configured.

        Args:
            request_limits: `RequestLimits`.
        """
        self.intake.limits = replace(
            self.intake.limits,
            max_head_bytes=request_limits.max_head_bytes,
            max_head_s=request_limits.head_timeout_s,
            crowded_idle_s=request_limits.idle_timeout_s,
            max_decoded_bytes=min(
                self._max_decoded_bytes, decoded_limit(request_limits.max_body_bytes)
            ),
        )

    def on_rejected(self, reason, address):
        """Counts a refused client and logs it, at most once a second a reason.

        Args:
            reason: Status code or `BodyFault`.
            address: (host, port) of the client.
        """
        self.count_rejections(reason, 1)
        now = clock.now()
        if now - self._logged_at.get(reason, -_LOG_INTERVAL_S) >= _LOG_INTERVAL_S:
            self._logged_at[reason] = now
            log.info(
                "client_rejected",
                extra={
                    "reason": reason,
                    "client": "%s:%d" % address[:2],
                    "connections": self.intake.connections,
                    "reserved_bytes": self.intake.reserved_bytes,
                },
            )

    def _close_overdue(self):
        self.intake.wait_for_work()
        gevent.sleep(_GUARD_INTERVAL_S)
        overdue = self.intake.overdue(clock.now())
        for reader in overdue:
            reader.abort()
        for reason, number in Counter(overdue.values()).items():
            self.count_rejections(reason, number)
            log.info(
                "connections_closed",
                extra={
                    "reason": reason,
                    "closed": number,
                    "connections": self.intake.connections,
                    "reserved_bytes": self.intake.reserved_bytes,
                },
            )

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
        self._has_stopped_accepting = True
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


def serve_http(
    address,
    application,
    limits=IntakeLimits(),
    count_rejections=lambda reason, number: None,
    **options,
):
    """Starts a WSGI server and returns it.

    Args:
        address: (host, port) to listen on.
        application: WSGI application.
        limits: `IntakeLimits`.
        count_rejections: Function that takes a reason for which requests were refused
            and their number.
        **options: Further options of `WSGIServer`.

    Returns:
        HttpServer: The running server.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit these options. The server writes the header and the
    # body separately; with Nagle's algorithm the body would wait 40 ms for the peer's
    # delayed ACK.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # The kernel's memory is the VM's as well, and by default it grows to megabytes for
    # a client that sends faster than it is read, or that does not read.
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, limits.socket_buffer_bytes)
    listener.bind(address)
    listener.listen(_BACKLOG)
    options.setdefault("handler_class", RequestHandler)
    server = HttpServer(
        listener,
        application,
        limits,
        count_rejections,
        log=None,
        error_log=log,
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
    sock = environ[CONNECTION]
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
    sock = environ[CONNECTION]

    def watch():
        try:
            disconnected = not sock.recv(1, socket.MSG_PEEK)
        except OSError:
            disconnected = True
        if disconnected:
            on_disconnect()

    return gevent.spawn(watch)
