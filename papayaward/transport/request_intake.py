"""
papayaward.transport.request_intake
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds what clients can make an HTTP server read and keep.

A server answers clients that it does not control. Each connection may keep a small
request; larger ones reserve the rest from a budget that all connections share, so that
the memory of a server does not grow with the number of its clients. Connections that
do not finish a request are closed, sooner while connections or the budget run short.
"""

import io
from dataclasses import dataclass, replace
from enum import StrEnum

from gevent import socket
from gevent.event import Event

from .. import clock
from .turns import Turns

__all__ = [
    "CloseReason",
    "ConnectionReader",
    "HeadTooLarge",
    "IntakeError",
    "IntakeLimits",
    "RequestIntake",
    "RequestTooLong",
    "decoded_limit",
    "limits_of_other_listener",
    "limits_of_vm",
    "other_connections_of_vm",
]

_MIB = 1024 * 1024
# Largest part that is read at once; other connections are served in between.
_READ_BYTES = 64 * 1024
# Connections without a turn yet above which no further ones are accepted. Clients that
# leave and come back at once would otherwise be accepted faster than they are read.
_MAX_NEWCOMERS = 16
# Share of the connections or of the budget from which the server is crowded.
_CROWDED_SHARE = 0.75

# Memory of a connection with a small request: reader, handler and greenlet.
_HANDLER_BYTES = 48 * 1024
# Set for each direction; the kernel keeps up to twice as much.
_VM_SOCKET_BUFFER_BYTES = 12 * 1024
_CONNECTION_BYTES = _HANDLER_BYTES + 2 * 2 * _VM_SOCKET_BUFFER_BYTES
# Shares of a VM's memory for connections with small requests, and for the budget.
_CONNECTIONS_SHARE = 0.5
_BUDGET_SHARE = 0.125
# Share of a VM's memory for the values of the body that is being decoded.
_DECODED_SHARE = 0.125
# Multiple of its bytes that the values of a job may take: the most that a job has whose
# phases have all fields takes 17.
_DECODED_FACTOR = 20
# Descriptors of a process that the platform reserves for files.
_FILE_DESCRIPTORS = 200
# The rest is for links, the store and other servers of the process.
_DESCRIPTORS_SHARE = 0.75
# Share for each other listener.
_OTHER_DESCRIPTORS_SHARE = 0.04
_MIN_OTHER_CONNECTIONS = 2


@dataclass(frozen=True)
class IntakeLimits:
    """Limits of one server.

    Attributes:
        max_connections: Connections that are open at once.
        socket_buffer_bytes: Buffer of the kernel for each direction of a connection;
            the kernel keeps up to twice as much.
        max_head_bytes: Request line and headers of one request.
        small_bytes: Part of each request that needs no reservation.
        budget_bytes: Reservations of all requests together.
        max_decoded_bytes: Memory of the values of one body; one body at a time is
            decoded.
        max_handshake_s: Time from the acceptance of a connection to the end of its TLS
            handshake, seconds.
        max_head_s: Time from the first byte of a request to the end of its head,
            seconds.
        max_read_s: Time from the first byte of a request to its last, seconds.
        crowded_read_s: The same while the server is crowded.
        max_send_s: Time in which a client takes a response, seconds.
        crowded_send_s: The same while the server is crowded.
        crowded_idle_s: Time without a request after which a connection is closed while
            the server is crowded, seconds.
        full_connection_s: Time after which a connection is closed with its next
            response, or between two requests, while no further one can be opened,
            seconds.
    """

    max_connections: int = 1000
    socket_buffer_bytes: int = 64 * 1024
    max_head_bytes: int = 32 * 1024
    small_bytes: int = 16 * 1024
    budget_bytes: int = 64 * _MIB
    max_decoded_bytes: int = 160 * _MIB
    max_handshake_s: float = 5.0
    max_head_s: float = 60.0
    max_read_s: float = 60.0
    crowded_read_s: float = 2.0
    max_send_s: float = 60.0
    crowded_send_s: float = 5.0
    crowded_idle_s: float = 15.0
    full_connection_s: float = 1.0


def limits_of_vm(memory_mb, max_descriptors, most):
    """Returns the limits of a server whose process has a VM's memory to itself.

    Args:
        memory_mb: Memory of the VM, MB; 0 if unknown.
        max_descriptors: Descriptors of a process; 0 if unknown.
        most: `IntakeLimits` of a large VM.
    """
    connections, budget = most.max_connections, most.budget_bytes
    decoded, buffer = most.max_decoded_bytes, most.socket_buffer_bytes
    if memory_mb:
        memory = memory_mb * _MIB
        connections = min(
            connections, int(memory * _CONNECTIONS_SHARE) // _CONNECTION_BYTES
        )
        budget = min(budget, int(memory * _BUDGET_SHARE))
        decoded = min(decoded, int(memory * _DECODED_SHARE))
        buffer = min(buffer, _VM_SOCKET_BUFFER_BYTES)
    if max_descriptors:
        sockets = max(0, max_descriptors - _FILE_DESCRIPTORS)
        connections = min(connections, int(sockets * _DESCRIPTORS_SHARE))
    return replace(
        most,
        max_connections=max(1, connections),
        budget_bytes=budget,
        max_decoded_bytes=decoded,
        socket_buffer_bytes=buffer,
    )


def limits_of_other_listener(memory_mb, max_descriptors, most):
    """Returns the limits of a listener that callers don't connect to.

    Args:
        memory_mb: As for `limits_of_vm`.
        max_descriptors: As for `limits_of_vm`.
        most: `IntakeLimits` of a large VM.
    """
    limits = limits_of_vm(memory_mb, max_descriptors, most)
    connections = other_connections_of_vm(max_descriptors, most.max_connections)
    return replace(limits, max_connections=connections)


def other_connections_of_vm(max_descriptors, most):
    """Returns how many connections a listener has that callers don't connect to.

    Args:
        max_descriptors: Descriptors of a process; 0 if unknown.
        most: Number of a large VM.
    """
    if not max_descriptors:
        return most
    sockets = max(0, max_descriptors - _FILE_DESCRIPTORS)
    connections = int(sockets * _OTHER_DESCRIPTORS_SHARE)
    return max(_MIN_OTHER_CONNECTIONS, min(most, connections))


def decoded_limit(max_body_bytes):
    """Returns the memory that the values of a body may take, bytes.

    Args:
        max_body_bytes: Largest accepted body.
    """
    return _DECODED_FACTOR * max_body_bytes


class IntakeError(OSError):
    """A request that exceeds a limit, so that the rest of it is not read."""


class HeadTooLarge(IntakeError):
    """The head of the request exceeds its limit."""


class RequestTooLong(IntakeError):
    """More of the request has arrived than its content explains."""


class BudgetExhausted(IntakeError):
    """The budget that all connections share is used up."""


class CloseReason(StrEnum):
    """Reasons for which a connection is closed without a fault of its request."""

    UNFINISHED = "unfinished"
    IDLE = "idle"
    UNREAD_RESPONSE = "unread_response"
    PASSED_ON = "passed_on"


class RequestIntake:
    """Connections of one server and what they reserve.

    Args:
        limits: `IntakeLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        self._reserved_bytes = 0
        # In the order in which the connections were accepted.
        self._readers = {}
        self._has_work = Event()
        self._turns = Turns()

    @property
    def reserved_bytes(self):
        """Reservations of all requests together."""
        return self._reserved_bytes

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._readers)

    @property
    def is_crowded(self):
        """Whether connections or the budget run short."""
        limits = self.limits
        return (
            len(self._readers) >= _CROWDED_SHARE * limits.max_connections
            or self._reserved_bytes >= _CROWDED_SHARE * limits.budget_bytes
        )

    @property
    def is_full(self):
        """Whether no further connection can be opened."""
        return len(self._readers) >= self.limits.max_connections

    def passes_on(self, reader, now):
        """Returns whether a connection is closed with its response for another client.

        Args:
            reader: `ConnectionReader`.
            now: Time, seconds.
        """
        return self.is_full and now - reader.opened_at > self.limits.full_connection_s

    def connect(self, sock, now):
        """Adds a connection and returns its `ConnectionReader`."""
        reader = ConnectionReader(sock, self, now)
        self._readers[reader] = None
        if self.is_crowded:
            self._has_work.set()
        return reader

    def disconnect(self, reader):
        """Removes a connection."""
        self._readers.pop(reader, None)

    @property
    def accepts(self):
        """Whether the connections accepted last have had their first turn."""
        return self._turns.newcomers < _MAX_NEWCOMERS

    def take_first_turn(self):
        """Waits until a connection may begin to read."""
        self._turns.take_first()

    def take_turn(self):
        """Waits until a connection may read or answer on."""
        self._turns.take()

    def on_progress_begun(self):
        """Records that a client has to send or to take something from now on."""
        self._has_work.set()

    def reserve(self, size):
        """Reserves a number of bytes; returns whether the budget had them left."""
        if self._reserved_bytes + size > self.limits.budget_bytes:
            return False
        self._reserved_bytes += size
        return True

    def release(self, size):
        """Returns a reservation."""
        self._reserved_bytes -= size

    def overdue(self, now):
        """Returns the connections to close.

        Args:
            now: Time, seconds.

        Returns:
            dict: `CloseReason` by `ConnectionReader`.
        """
        crowded = self.is_crowded
        reasons = {
            reader: self._close_reason(reader, crowded, now) for reader in self._readers
        }
        return {reader: reason for reader, reason in reasons.items() if reason}

    def _close_reason(self, reader, crowded, now):
        limits = self.limits
        if reader.sending_since is not None:
            limit_s = limits.crowded_send_s if crowded else limits.max_send_s
            is_late = now - reader.sending_since > limit_s
            return CloseReason.UNREAD_RESPONSE if is_late else None
        age_s = now - reader.since
        if reader.is_unfinished:
            limit_s = limits.max_head_s if reader.is_in_head else limits.max_read_s
            limit_s = min(limit_s, limits.crowded_read_s) if crowded else limit_s
            return CloseReason.UNFINISHED if age_s > limit_s else None
        if not (crowded and reader.is_idle):
            return None
        limit_s = limits.crowded_idle_s
        if self.is_full:
            limit_s = min(limit_s, limits.full_connection_s)
        return CloseReason.IDLE if age_s > limit_s else None

    def wait_for_work(self):
        """Waits until a connection may become overdue."""
        if not self.is_crowded and not any(r.is_in_progress for r in self._readers):
            self._has_work.clear()
            self._has_work.wait()


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
        self.on_first_bytes(clock.now())
        self.request_bytes += received
        self._intake.take_turn()
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
