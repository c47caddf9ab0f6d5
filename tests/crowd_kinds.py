"""
tests.crowd_kinds
~~~~~~~~~~~~~~~~~

Kinds of clients that use up turns, connections or memory within each single limit.

Each is a function that plays one connection until a time and returns the socket, or
None if the client reconnects. `tests.client_crowd` runs them.
"""

import struct
import time
from dataclasses import dataclass
from functools import partial
from typing import Callable

import gevent
from gevent import socket

__all__ = ["PLAYS", "Play"]

_TIMEOUT_S = 2.0
_REQUESTS = 1500
_SMALL_REQUEST = b"GET /nothing HTTP/1.1\r\nHost: q.example\r\n\r\n"
_TRAILERS = b"X-T: x\r\n" * 1024
# A body of 1.02 MB with 340,000 objects.
_OBJECTS = b'{"phases":[' + b"{}," * 340_000 + b"{}]}"
_MAX_REPLY_BYTES = 65_536
_BLOCK = b"x" * 65_536
# Length of the body and type of a message between processes.
_FRAME_HEADER = struct.pack(">IB", 60 * 1024 * 1024, 1)


@dataclass(frozen=True)
class Play:
    """What the clients of a crowd do.

    Attributes:
        clients: Number of clients.
        connect: Function that takes an address, a path and the time at which the
            client ends, monotonic seconds. It returns a socket that stays open or None.
    """

    clients: int
    connect: Callable


def _open(address):
    return socket.create_connection(address, _TIMEOUT_S)


def _send(sock, data, until):
    """Sends data for as long as the peer takes it; returns whether it took all."""
    view = memoryview(data)
    while view and time.monotonic() < until:
        try:
            view = view[sock.send(view) :]
        except TimeoutError:
            continue
    return not view


def _drop_replies(sock):
    while True:
        try:
            if not sock.recv(_MAX_REPLY_BYTES):
                return
        except TimeoutError:
            continue
        except OSError:
            # The connection has ended.
            return


def _pipelined(reads, address, path, until):
    sock = _open(address)
    if reads:
        gevent.spawn(_drop_replies, sock)
    while _send(sock, _SMALL_REQUEST * _REQUESTS, until):
        gevent.sleep(0)
    return sock


def _head(path):
    return f"POST {path} HTTP/1.1\r\nHost: q.example\r\n".encode()


def _decoded_body(address, path, until):
    """Sends a whole body and waits for its reply."""
    sock = _open(address)
    head = _head(path) + b"Content-Length: %d\r\n\r\n" % len(_OBJECTS)
    try:
        if _send(sock, head + _OBJECTS, until):
            sock.recv(_MAX_REPLY_BYTES)
    finally:
        sock.close()


def _endless_trailers(address, path, until):
    sock = _open(address)
    head = _head(path) + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
    taken = _send(sock, head, until)
    while taken:
        taken = _send(sock, _TRAILERS, until)
        gevent.sleep(0)
    return sock


def _idle(address, path, until):
    return _open(address)


def _idle_returning(address, path, until):
    """Sends nothing and comes back at once when the connection is closed."""
    sock = _open(address)
    while time.monotonic() < until:
        try:
            if not sock.recv(_MAX_REPLY_BYTES):
                return None
        except TimeoutError:
            continue
    return sock


def _large_frame(address, path, until):
    """Announces the largest frame of a link and sends it without a pause."""
    sock = _open(address)
    taken = _send(sock, _FRAME_HEADER, until)
    while taken:
        taken = _send(sock, _BLOCK, until)
        gevent.sleep(0)
    return sock


PLAYS = {
    "pipelined_unread": Play(20, partial(_pipelined, False)),
    "pipelined_read": Play(20, partial(_pipelined, True)),
    # More than the listener's connections: each waits for room for its replies.
    "unread_replies": Play(100, partial(_pipelined, False)),
    "decoded_body": Play(100, _decoded_body),
    "endless_trailers": Play(100, _endless_trailers),
    # More than the listener's connections, several times.
    "idle": Play(300, _idle),
    "idle_returning": Play(300, _idle_returning),
    "large_frames": Play(100, _large_frame),
}
