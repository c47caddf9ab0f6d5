"""
papayaward.transport.connection_reader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Input and output of one connection of an HTTP server, within the server's limits.
"""

import io

from gevent import socket

from .. import clock

__all__ = [
    "BudgetExhausted",
    "ConnectionReader",
    "HeadTooLarge",
    "IntakeError",
    "RequestTooLong",
]

# Largest part that is read at once; other connections are served in between.
_READ_BYTES = 64 * 1024


class IntakeError(OSError):
    """A request that exceeds a limit, so that the rest of it is not read."""


class HeadTooLarge(IntakeError):
    """The head of the request exceeds its limit."""


class RequestTooLong(IntakeError):
    """More of the request has arrived than its content explains."""


class BudgetExhausted(IntakeError):
    """The budget that all connections share is used up."""


class ConnectionReader(io.RawIOBase):
    """Raw input of one connection that counts the bytes of each request.

    Args:
        sock: Connected socket.
        intake: `RequestIntake` of the server.
        now: Time, seconds.

    Attributes:
        opened_at: Time at which the connection was accepted, seconds.
        request_bytes: Bytes received since the current request began.
        since: Time at which the current request or the pause before it began, seconds.
        sending_since: Time at which a part of a response began to be sent, seconds;
            None while the client has taken all parts.
    """

    def __init__(self, sock, intake, now):
        super().__init__()
        self._sock = sock
        self._intake = intake
        self._reserved_bytes = 0
        self._has_begun = False
        self._in_head = True
        self._is_complete = False
        self._max_request_bytes = None
        self.opened_at = now
        self.request_bytes = 0
        self.since = now
        self.sending_since = None

    @property
    def is_in_head(self):
        """Whether the head of the request has not been received whole."""
        return self._in_head

    @property
    def is_idle(self):
        """Whether the connection is between two requests."""
        return not self._has_begun

    @property
    def is_unfinished(self):
        """Whether a part of a request has been received and the rest has not."""
        return self._has_begun and not self._is_complete

    @property
    def max_decoded_bytes(self):
        """Memory that the values of the body may take."""
        return self._intake.limits.max_decoded_bytes

    @property
    def is_in_progress(self):
        """Whether the client has to send or to take something."""
        return self.is_unfinished or self.sending_since is not None

    def begin_request(self, now):
        """Starts counting a request, of which nothing may have arrived yet."""
        self._release()
        self.request_bytes = 0
        self._has_begun = False
        self._in_head = True
        self._is_complete = False
        self._max_request_bytes = None
        self.since = now

    def on_first_bytes(self, now):
        """Records that a part of the request has arrived, maybe with the last one."""
        if not self._has_begun:
            self._has_begun = True
            self.since = now
            self._intake.on_progress_begun()

    def limit_request(self, max_bytes):
        """Sets the number of bytes of the current request after which reading fails."""
        self._max_request_bytes = max_bytes

    def end_head(self):
        """Ends the head of the request; its body follows."""
        self._in_head = False

    def complete_request(self):
        """Records that nothing more of the request is read."""
        self._is_complete = True

    def readable(self):
        """Returns True, as `io.RawIOBase` asks for."""
        return True

    def readinto(self, buffer):
        """Reads into a buffer and returns the number of bytes.

        Raises:
            IntakeError: The request exceeds a limit.
        """
        if self._in_head and self.request_bytes > self._intake.limits.max_head_bytes:
            raise HeadTooLarge("the head of the request is too large")
        most = self._max_request_bytes
        if most is not None and self.request_bytes > most:
            raise RequestTooLong("the framing of the request is too large")
        received = self._sock.recv_into(memoryview(buffer)[:_READ_BYTES])
        if received:
            self._count(received)
        return received

    def _count(self, received):
        if self.request_bytes:
            # The first block is read in the turn of the request.
            self._intake.take_turn()
        self.on_first_bytes(clock.now())
        self.request_bytes += received
        missing = (
            self.request_bytes - self._intake.limits.small_bytes - self._reserved_bytes
        )
        if missing > 0:
            if not self._intake.reserve(missing):
                raise BudgetExhausted("too many large requests")
            self._reserved_bytes += missing

    def _release(self):
        self._intake.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def send(self, data):
        """Sends a part of a response and waits until the client has taken it.

        Raises:
            OSError: The client has disconnected or was too slow.
        """
        self.sending_since = clock.now()
        self._intake.on_progress_begun()
        try:
            self._sock.sendall(data)
        finally:
            self.sending_since = None

    def abort(self):
        """Ends the input, and the output if the client doesn't take it.

        A blocked read returns as if the client had closed, a blocked send fails.
        """
        side = socket.SHUT_RD if self.sending_since is None else socket.SHUT_RDWR
        try:
            self._sock.shutdown(side)
        except OSError:
            # The client has disconnected.
            pass

    def close(self):
        """Closes the reader and returns its reservation."""
        if not self.closed:
            self._release()
            self._intake.disconnect(self)
        super().close()
