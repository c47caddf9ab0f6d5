"""
papayaward.transport.request_intake
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds what clients can make an HTTP server read and keep.

A server answers clients that it does not control. Each connection may keep a small
request; larger ones reserve the rest from a budget that all connections share, so that
the memory of a server does not grow with the number of its clients. Connections that
do not finish a request are closed, sooner while connections or the budget run short.
"""

from enum import StrEnum

from gevent.event import Event

from .connection_reader import ConnectionReader
from .turns import Turns

__all__ = ["CloseReason", "RequestIntake"]

# Connections without a turn yet above which no further ones are accepted. Clients that
# leave and come back at once would otherwise be accepted faster than they are read.
_MAX_NEWCOMERS = 16
# Share of the connections or of the budget from which the server is crowded.
_CROWDED_SHARE = 0.75


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
