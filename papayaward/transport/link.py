"""
papayaward.transport.link
~~~~~~~~~~~~~~~~~~~~~~~~~

One multiplexed connection between two processes, with heartbeats.
"""

import logging

import gevent
from gevent import socket
from gevent.event import Event

from .. import clock
from ..protocol import mechanisms
from ..protocol.codec import HEADER, MAX_FRAME_BYTES, FrameError, decode, encode
from ..protocol.gen.ttypes import Heartbeat, Hello

__all__ = ["PROTOCOL_VERSION", "Link", "LinkClosed", "LinkStats"]

log = logging.getLogger(__name__)

PROTOCOL_VERSION = 3

_RECEIVE_BYTES = 65536
# Multiple of the heartbeat interval on a link without work. Heartbeats stay frequent
# enough that work can be sent at any time.
_RELAXED_FACTOR = 2
_HELLO_TIMEOUT_S = 1.0
# Anybody who reaches the port can send a first message.
_MAX_HELLO_BYTES = 16 * 1024

# Above this the link is closed, so that a peer that reads too slowly cannot exhaust
# the memory of this process.
_MAX_UNSENT_BYTES = 128 * 1024 * 1024


# Fields of a `Hello` without which a peer cannot be handled; link_number is optional.
_HELLO_FIELDS = (
    "member",
    "incarnation",
    "role",
    "region",
    "domain",
    "service_name",
    "address",
    "config_version",
    "draining",
)


class LinkClosed(Exception):
    """The link was closed before or while a message was sent."""


class LinkStats:
    """Message and byte counters of all links of a process, by message type."""

    def __init__(self):
        self.sent = {}
        self.received = {}
        self.sent_bytes = {}
        self.received_bytes = {}

    @property
    def bytes_sent(self):
        """Total bytes sent."""
        return sum(self.sent_bytes.values())

    @property
    def bytes_received(self):
        """Total bytes received."""
        return sum(self.received_bytes.values())

    def count_sent(self, name, size):
        self.sent[name] = self.sent.get(name, 0) + 1
        self.sent_bytes[name] = self.sent_bytes.get(name, 0) + size

    def count_received(self, name, size):
        self.received[name] = self.received.get(name, 0) + 1
        self.received_bytes[name] = self.received_bytes.get(name, 0) + size


class Link:
    """One connection to a peer.

    The dialling side sends a heartbeat at every interval and the accepting side
    replies at once, so that both sides receive traffic while the connection works.

    Args:
        sock: Connected gevent socket.
        node: The local process; provides `hello()`, `heartbeat(link, now)`,
            `on_heartbeat(link, heartbeat, now)` and `on_message(link, message, now)`.
        dialled: Whether this side opened the connection.
    """

    def __init__(self, sock, node, dialled):
        self._sock = sock
        self._node = node
        self._dialled = dialled
        self._buffer = bytearray()
        self._unsent = []
        self._unsent_bytes = 0
        self._wakeup = Event()
        self._closed = Event()
        self._last_received = clock.now()
        self._peer = None
        self.last_stamp_us = 0
        self._echoed_us = int(self._last_received * 1e6)
        self.state = None
        self._relaxed = False
        self._interval_changed = Event()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def peer(self):
        """The peer's `Hello`."""
        return self._peer

    @property
    def echoed_us(self):
        """Latest local timestamp echoed by the peer; initially the link's creation.

        Everything that the peer sent before it received that timestamp has arrived.
        """
        return self._echoed_us

    @property
    def closed(self):
        """Whether the link is closed."""
        return self._closed.is_set()

    @property
    def relaxed(self):
        """Whether heartbeats may be rarer because no work depends on the link."""
        return self._relaxed

    @relaxed.setter
    def relaxed(self, relaxed):
        if self._relaxed and not relaxed:
            self._interval_changed.set()
        self._relaxed = relaxed

    @property
    def dialled(self):
        """Whether this side opened the connection."""
        return self._dialled

    def run(self):
        """Performs the handshake and serves the link until it closes.

        Raises:
            LinkClosed: The handshake failed or timed out.
        """
        self.shake_hands()
        self.serve()

    def shake_hands(self):
        """Exchanges the first messages.

        Raises:
            LinkClosed: The handshake failed or timed out.
        """
        try:
            with gevent.Timeout(_HELLO_TIMEOUT_S, LinkClosed("handshake timed out")):
                self._handshake()
        except (OSError, FrameError) as error:
            self.close(str(error))
            raise LinkClosed(str(error)) from error
        except LinkClosed as error:
            self.close(str(error))
            raise

    def serve(self):
        """Serves the link until it closes."""
        writer = gevent.spawn(self._write)
        heartbeats = gevent.spawn(self._run_heartbeats)
        try:
            self._node.on_link_up(self, clock.now())
            self._read()
        except (OSError, FrameError) as error:
            self.close(str(error))
        finally:
            self.close("closed by the peer")
            gevent.killall([writer, heartbeats], block=False)
            self._node.on_link_down(self, clock.now())

    def send(self, message, frame=None):
        """Queues a message.

        Args:
            message: Message to send.
            frame: Its frame, if it was encoded already for several links.

        Raises:
            LinkClosed: The link is closed.
        """
        if self._closed.is_set():
            raise LinkClosed("the link is closed")
        if frame is None:
            frame = encode(message)
        self._unsent.append(frame)
        self._unsent_bytes += len(frame)
        self._node.stats.count_sent(type(message).__name__, len(frame))
        if self._unsent_bytes > _MAX_UNSENT_BYTES:
            self.close("send queue full: the peer reads too slowly")
            raise LinkClosed("send queue full: the peer reads too slowly")
        self._wakeup.set()

    def try_send(self, message, frame=None):
        """Queues a message and returns whether the link was open."""
        try:
            self.send(message, frame)
        except LinkClosed:
            return False
        return True

    def close(self, reason):
        """Closes the link; later calls have no effect."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._wakeup.set()
        if self._peer is not None:
            log.info(
                "link_closed", extra={"peer": self._peer.member, "reason": str(reason)}
            )
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()

    def _handshake(self):
        self._sock.sendall(encode(self._node.hello()))
        message = self._next_message()
        if not isinstance(message, Hello):
            raise FrameError("the first message is not a Hello")
        if message.protocol_version != PROTOCOL_VERSION:
            raise FrameError(f"unsupported protocol version {message.protocol_version}")
        missing = [n for n in _HELLO_FIELDS if getattr(message, n) is None]
        if missing:
            raise FrameError(f"the Hello lacks {', '.join(missing)}")
        self._peer = message
        self._last_received = clock.now()

    def _next_message(self):
        while True:
            message = self._take_message()
            if message is not None:
                return message
            if not self._receive():
                raise FrameError("closed by the peer")

    def _take_message(self):
        if len(self._buffer) < HEADER.size:
            return None
        length, code = HEADER.unpack_from(self._buffer)
        if length > (_MAX_HELLO_BYTES if self._peer is None else MAX_FRAME_BYTES):
            raise FrameError(f"frame of {length} bytes is too large")
        end = HEADER.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(memoryview(self._buffer)[HEADER.size : end])
        del self._buffer[:end]
        message = decode(code, body)
        self._node.stats.count_received(type(message).__name__, end)
        return message

    def _receive(self):
        data = self._sock.recv(_RECEIVE_BYTES)
        if data:
            self._last_received = clock.now()
            self._buffer += data
        return bool(data)

    def _read(self):
        while not self._closed.is_set():
            message = self._take_message()
            while message is not None and not self._closed.is_set():
                self._dispatch(message, clock.now())
                message = self._take_message()
            if not self._receive():
                return

    def _dispatch(self, message, now):
        try:
            if isinstance(message, Heartbeat):
                self._on_heartbeat(message, now)
            else:
                self._node.on_message(self, message, now)
        except Exception as error:
            # Caused by missing fields or by a fault in the handler. Only this link is
            # closed; the other links of this process are not affected.
            name = type(message).__name__
            log.exception(
                "message_failed", extra={"peer": self._peer.member, "type": name}
            )
            raise FrameError(f"cannot handle {name}: {error}") from error

    def _on_heartbeat(self, heartbeat, now):
        self.last_stamp_us = heartbeat.stamp_us
        # A stamp that was not sent yet would show the peer as alive until then.
        if heartbeat.echo_us <= now * 1e6:
            self._echoed_us = max(self._echoed_us, heartbeat.echo_us)
        self._node.on_heartbeat(self, heartbeat, now)
        if not self._dialled:
            self.try_send(self._node.heartbeat(self, now))

    def _write(self):
        while not self._closed.is_set():
            self._wakeup.wait()
            self._wakeup.clear()
            if not self._unsent:
                continue
            data = b"".join(self._unsent)
            self._unsent.clear()
            self._unsent_bytes = 0
            try:
                self._sock.sendall(data)
            except OSError as error:
                self.close(str(error))

    def _run_heartbeats(self):
        while not self._closed.is_set():
            now = clock.now()
            if self._dialled:
                self.try_send(self._node.heartbeat(self, now))
            factor = _RELAXED_FACTOR if self._relaxed else 1
            interval = self._node.heartbeat_interval_s * factor
            limit = interval * self._node.heartbeat_misses
            if self._interval_changed.wait(interval):
                self._interval_changed.clear()
                continue
            awake = clock.now()
            wakeup_delay = awake - now - interval
            if wakeup_delay > interval:
                # This process was paused or busy and could not receive, so the peer
                # gets one more interval before the link times out.
                self._last_received = max(self._last_received, awake - limit + interval)
            elif awake - self._last_received > limit and mechanisms.is_enabled(
                "watchdog"
            ):
                self.close(f"nothing received for {awake - self._last_received:.2f} s")
