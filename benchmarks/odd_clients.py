"""
benchmarks.odd_clients
~~~~~~~~~~~~~~~~~~~~~~

Clients of the soak that don't behave, a few at a time beside its ordinary callers.

Each kind is a function that plays one open connection until a time. The connection is
kept until then unless the entry closes it.
"""

import struct
import time

import gevent
from gevent import socket

__all__ = ["ODD_CLIENTS", "play_odd_clients"]

_CLIENTS = (1, 5)
_SECONDS = (0.3, 2.0)
_GAP_S = (0.2, 1.5)
_TIMEOUT_S = 0.5
_PAUSE_S = 0.02
_SMALL_REQUESTS = b"GET /nothing HTTP/1.1\r\nHost: q.example\r\n\r\n" * 200
_HEAD = b"POST /q/00000000000000aa HTTP/1.1\r\nHost: q.example\r\n"
_RESET = struct.pack("ii", 1, 0)


def _send_all(sock, block, until):
    while time.monotonic() < until:
        sock.sendall(block)
        gevent.sleep(_PAUSE_S)


def _pipeline(sock, until):
    """Sends requests without a pause and reads no reply."""
    _send_all(sock, _SMALL_REQUESTS, until)


def _stay(sock, until):
    """Sends nothing."""


def _unfinished_body(sock, until):
    sock.sendall(_HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 100_000)


def _endless_trailers(sock, until):
    sock.sendall(_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n")
    _send_all(sock, b"X-T: x\r\n" * 500, until)


def _many_values(sock, until):
    body = b'{"phases":[' + b"{}," * 300_000 + b"{}]}"
    sock.sendall(_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    sock.recv(1000)


def _reset(sock, until):
    sock.sendall(_HEAD + b"Content-Length: 100\r\n\r\nx")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()


ODD_CLIENTS = {
    "pipeline": _pipeline,
    "silent": _stay,
    "unfinished body": _unfinished_body,
    "endless trailers": _endless_trailers,
    "many values": _many_values,
    "reset": _reset,
}


def _run_client(address, play, until):
    while time.monotonic() < until:
        sock = socket.socket()
        sock.settimeout(_TIMEOUT_S)
        try:
            sock.connect(address)
            play(sock, until)
            gevent.sleep(max(0.0, until - time.monotonic()))
        except OSError:
            # The entry is down, or has closed the connection.
            gevent.sleep(_PAUSE_S)
        finally:
            sock.close()


def play_odd_clients(soak):
    """A few clients of one kind connect to one address of an entry for a while.

    Args:
        soak: The soak.
    """
    rng = soak.odd_rng
    kind, entry = rng.choice(sorted(ODD_CLIENTS)), rng.choice(soak.entries)
    listener = rng.choice(("front", "front", "ready"))
    clients, seconds = rng.randint(*_CLIENTS), rng.uniform(*_SECONDS)
    gap_s = rng.uniform(*_GAP_S)
    host, _, port = soak.fleet.settings[entry]["listen_addrs"][listener].rpartition(":")
    soak.note(f"{clients} odd clients at {entry} {listener}: {kind}, {seconds:.1f} s")
    until = time.monotonic() + seconds
    address = (host, int(port))
    gevent.joinall(
        [
            gevent.spawn(_run_client, address, ODD_CLIENTS[kind], until)
            for _ in range(clients)
        ]
    )
    gevent.sleep(gap_s)
