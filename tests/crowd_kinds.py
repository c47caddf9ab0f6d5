"""
tests.crowd_kinds
~~~~~~~~~~~~~~~~~

Crowds of clients that use up turns, connections or memory within each single limit, as
a program.

Usage: `python -m tests.crowd_kinds HOST:PORT PATH KIND`, as for `tests.client_crowd`.
The bytes are not counted, so the line that it prints is 0. Each kind is a function that
plays one connection until a time and returns the socket, or None if the client
reconnects.
"""

import json
import random
import struct
import sys
import time
from dataclasses import dataclass
from functools import partial
from typing import Callable

import gevent
from gevent import socket

__all__ = ["PLAYS", "Play", "main"]

_CROWD_S = 6.0
_PAUSE_S = 0.02
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


def _repeated(send, address, path, until):
    """Opens connection after connection; `send` plays one and closes it."""
    while time.monotonic() < until:
        sock = _open(address)
        try:
            send(sock, path, until)
        finally:
            sock.close()
        gevent.sleep(0)


def _reset(sock, path, until):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    _send(sock, _head(path) + b"Content-Length: 1000\r\n\r\nx", until)


def _connect_only(sock, path, until):
    pass


def _garbage(sock, path, until):
    _send(sock, b"\x16\x03\x01 what\r\n\r\n", until)
    sock.recv(_MAX_REPLY_BYTES)


def _abandoned_job(sock, path, until):
    _send(sock, _job_request(path, "200"), until)


def _half_closed_job(sock, path, until):
    _send(sock, _job_request(path, "200"), until)
    sock.shutdown(socket.SHUT_WR)
    sock.recv(_MAX_REPLY_BYTES)


def _malformed_job(sock, path, until):
    body = b'{"phases":"' + b"x" * 8000 + b'"}'
    request = _head(path) + b"Content-Length: %d\r\n\r\n" % len(body) + body
    for _ in range(100):
        _send(sock, request, until)
        sock.recv(_MAX_REPLY_BYTES)


def _long_paths(sock, path, until):
    request = b"GET /" + b"x" * 8000 + b" HTTP/1.1\r\nHost: q.example\r\n\r\n"
    for _ in range(100):
        _send(sock, request, until)
        sock.recv(_MAX_REPLY_BYTES)


def _half_closed_body(address, path, until):
    sock = _open(address)
    _send(sock, _head(path) + b"Content-Length: 1000\r\n\r\nx", until)
    sock.shutdown(socket.SHUT_WR)
    return sock


def _pipelined_start(rest, address, path, until):
    """Sends a whole request and the start of another one at once."""
    sock = _open(address)
    _send(sock, _SMALL_REQUEST + rest(path), until)
    return sock


def _unfinished_body(path):
    return _head(path) + b"Content-Length: 1000\r\n\r\n"


def _slow_reader(address, path, until):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(_TIMEOUT_S)
    sock.connect(address)

    def read():
        try:
            while sock.recv(1):
                gevent.sleep(0.1)
        except OSError:
            # The connection has ended.
            pass

    gevent.spawn(read)
    while _send(sock, _SMALL_REQUEST * 100, until):
        gevent.sleep(0)
    return sock


def _unread_continue(address, path, until):
    """Asks for interim responses and reads none of them."""
    sock = _open(address)
    head = _head(path) + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n{}"
    while _send(sock, head * 500, until):
        gevent.sleep(0)
    return sock


def _upgrade(address, path, until):
    sock = _open(address)
    head = _head(path) + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    while _send(sock, head * 500, until):
        gevent.sleep(0)
    return sock


def _waiting_job(address, path, until):
    """Submits a job that no upstream can run, with a deadline of a day."""
    sock = _open(address)
    _send(sock, _job_request(path, "50", label="nowhere", deadline=b"86400000"), until)
    while time.monotonic() < until:
        try:
            if not sock.recv(_MAX_REPLY_BYTES):
                return None
        except TimeoutError:
            continue
    return sock


def _job_request(path, spec, label="", deadline=b"2000"):
    phase = {"count": 1, "cpu": 1000, "est_runtime_ms": 100, "constraints": label}
    job = {"spec": spec, "best_effort": True, "phases": [phase]}
    body = json.dumps(job).encode()
    # Each client has jobs of its own.
    path = path[:-12] + f"{random.getrandbits(48):012x}"
    head = _head(path) + b"Deadline: " + deadline + b"\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _mixed(address, path, until):
    play = random.choice([play for name, play in PLAYS.items() if name != "mixed"])
    return play.connect(address, path, until)


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
    "resets": Play(100, partial(_repeated, _reset)),
    "connects": Play(100, partial(_repeated, _connect_only)),
    "garbage": Play(100, partial(_repeated, _garbage)),
    "abandoned_jobs": Play(20, partial(_repeated, _abandoned_job)),
    "half_closed_jobs": Play(20, partial(_repeated, _half_closed_job)),
    "malformed_jobs": Play(100, partial(_repeated, _malformed_job)),
    "long_paths": Play(100, partial(_repeated, _long_paths)),
    "half_closed_bodies": Play(100, _half_closed_body),
    "pipelined_heads": Play(300, partial(_pipelined_start, _head)),
    "pipelined_bodies": Play(300, partial(_pipelined_start, _unfinished_body)),
    "slow_readers": Play(100, _slow_reader),
    "unread_continue": Play(100, _unread_continue),
    "upgrades": Play(100, _upgrade),
    "waiting_jobs": Play(100, _waiting_job),
    "mixed": Play(150, _mixed),
}


def _run_client(play, address, path, until):
    """Plays one client, which reconnects when it is refused; returns its socket."""
    while time.monotonic() < until:
        try:
            sock = play.connect(address, path, until)
        except OSError:
            sock = None
        if sock is not None:
            return sock
        gevent.sleep(_PAUSE_S)
    return None


def main(args):
    """Runs the crowd against an address.

    Args:
        args: `HOST:PORT`, the path of the requests and the name of a kind.
    """
    address, path, kind = args
    host, _, port = address.rpartition(":")
    play, until = PLAYS[kind], time.monotonic() + _CROWD_S
    clients = [
        gevent.spawn(_run_client, play, (host, int(port)), path, until)
        for _ in range(play.clients)
    ]
    gevent.joinall(clients)
    print(0, flush=True)
    # The clients' sockets stay open until the input ends.
    sys.stdin.read()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
