"""
papayaward.transport.http_handler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles the requests of one connection within the limits of its server.
"""

import io
from http import HTTPStatus
from http.client import HTTPException

import gevent
from gevent import socket
from gevent.pywsgi import Input, WSGIHandler

from .. import clock
from .connection_reader import BudgetExhausted, HeadTooLarge
from .request_body import ON_REJECTED, READER
from .request_intake import CloseReason

__all__ = ["CONNECTION", "RequestHandler"]

# Key of the WSGI environment: the socket of the connection.
CONNECTION = "papayaward.connection"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# A client that is refused while it sends reads the response only if the connection
# stays open for a while.
_LINGER_BYTES = 10 * 1024 * 1024
_LINGER_S = 2.0
_LINGER_READ_BYTES = 16 * 1024


class _BoundedInput(Input):
    """Body of a request of which the part that nobody reads is not read either."""

    __slots__ = ()

    @property
    def has_more(self):
        """Whether a part of the body has not been read."""
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self):
        # The connection is closed instead.
        pass

    def _send_100_continue(self):
        if self.socket is not None:
            self.rfile.raw.send(_CONTINUE)
            self.socket = None


class RequestHandler(WSGIHandler):
    """Registers with its server from a request's header to the end of its response."""

    def __init__(self, sock, address, server):
        self._reader = server.intake.connect(sock, clock.now())
        self._has_answered = False
        # Whether the connection is closed in favour of another client.
        self._is_passed_on = False
        super().__init__(sock, address, server, io.BufferedReader(self._reader))

    def handle(self):
        try:
            self.server.intake.take_first_turn()
            super().handle()
        finally:
            self._reader.close()

    def handle_one_request(self):
        if self._has_answered:
            # The next request may have arrived with the last one.
            self.server.intake.take_turn()
        self._reader.begin_request(clock.now())
        if not self._wait_for_request():
            return None
        result = super().handle_one_request()
        if isinstance(result, tuple):
            self._reject(*result)
            return None
        self._has_answered = True
        return result

    def _wait_for_request(self):
        """Waits for a part of a request; returns whether one has arrived."""
        try:
            # Returns at once if it has arrived with the last request.
            has_data = bool(self.rfile.peek(1))
        except OSError:
            return False
        if has_data:
            self._reader.on_first_bytes(clock.now())
        return has_data

    def _reject(self, status, response):
        self._on_rejected(status)
        try:
            self._reader.send(response)
        except OSError:
            # The client has disconnected.
            return
        self._linger()

    def _on_rejected(self, reason):
        self.server.on_rejected(reason, self.client_address)

    def read_request(self, raw_requestline):
        complete = super().read_request(raw_requestline)
        self._reader.end_head()
        return complete

    def _handle_client_error(self, ex):
        if isinstance(ex, (HeadTooLarge, HTTPException)):
            return _error_response(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if isinstance(ex, BudgetExhausted):
            return _error_response(HTTPStatus.SERVICE_UNAVAILABLE)
        return _error_response(HTTPStatus.BAD_REQUEST)

    def get_environ(self):
        environ = super().get_environ()
        source = self.wsgi_input
        self.wsgi_input = environ["wsgi.input"] = _BoundedInput(
            source.rfile, source.content_length, source.socket, source.chunked_input
        )
        environ[CONNECTION] = self.socket
        environ[READER] = self._reader
        environ[ON_REJECTED] = self._on_rejected
        if not self.wsgi_input.has_more:
            self._reader.complete_request()
        return environ

    def _sendall(self, data):
        try:
            self._reader.send(data)
        except OSError:
            # The response is incomplete, so that nothing may follow it.
            self.close_connection = True
            raise
        self.response_length += len(data)

    def start_response(self, status, headers, exc_info=None):
        self._is_passed_on = self.server.intake.passes_on(self._reader, clock.now())
        if self._is_passed_on:
            self.server.count_rejections(CloseReason.PASSED_ON, 1)
        if self.wsgi_input.has_more or self._is_passed_on:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self):
        self.server.open_requests.add(self)
        if self.server.draining:
            # The caller has to reconnect, so its next request goes to another entry.
            self.close_connection = True
        try:
            super().handle_one_response()
        finally:
            self.server.open_requests.discard(self)
        if self.wsgi_input.has_more or self._is_passed_on:
            self.close_connection = True
            self._linger()

    def _linger(self):
        """Reads and drops a part of what the client still sends."""
        self._reader.begin_request(clock.now())
        buffer = bytearray(_LINGER_READ_BYTES)
        dropped = 0
        try:
            with gevent.Timeout(_LINGER_S, False):
                self.socket.shutdown(socket.SHUT_WR)
                while dropped < _LINGER_BYTES:
                    received = self.socket.recv_into(buffer)
                    if not received:
                        return
                    dropped += received
                    gevent.sleep(0)
        except OSError:
            # The client has disconnected.
            pass


def _error_response(status):
    """Returns the status code and a response without a body."""
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\n"
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        head += "Retry-After: 2\r\n"
    return str(status.value), f"{head}Content-Length: 0\r\n\r\n".encode()
