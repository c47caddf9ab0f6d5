"""
tests.client_crowd
~~~~~~~~~~~~~~~~~~

A crowd of clients that exceed the limits of an HTTP server, as a program.

Usage: `python -m tests.client_crowd HOST:PORT PATH KIND`. Every client reconnects when
it is refused, until its bytes or its time are used up. The program prints one line with
the largest number of bytes that one connection took, and then keeps the connections
that are still open until its standard input ends.
"""

import itertools
import sys
import time
from functools import partial

import gevent
from gevent import socket

__all__ = ["CLIENTS", "KINDS", "main"]

CLIENTS = 100
_CROWD_S = 6.0
# Bytes that one client sends over all its connections.
_MAX_BYTES = 24 * 1024 * 1024
_SEND_TIMEOUT_S = 2.0
_PAUSE_S = 0.02
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LINE = b"X-Filler: " + b"x" * 60_000 + b"\r\n"
_SHORT_LINES = b"X-F: xxxxxxxx\r\n" * 4096
_BLOCK = b"x" * 65_536
_UNFINISHED_BYTES = 1_000_000


def _endless(start, block):
    return itertools.chain([start], itertools.repeat(block))


def _unfinished(head):
    head += b"Content-Length: %d\r\n\r\n" % (_UNFINISHED_BYTES + 1)
    return [head, b"x" * _UNFINISHED_BYTES]


# Each returns the blocks that a client sends on one connection after the start of a
# head.
KINDS = {
    "long_header_lines": lambda head: _endless(head, _LINE),
    "short_header_lines": lambda head: _endless(head, _SHORT_LINES),
    "endless_header_line": lambda head: _endless(head + b"X-Filler: ", _BLOCK),
    "endless_request_line": lambda head: _endless(b"POST /q/", _BLOCK),
    "empty_lines": lambda head: itertools.repeat(b"\r\n" * 32_768),
    "announced_body": lambda head: _endless(
        head + b"Content-Length: 100000000000\r\n\r\n", _BLOCK
    ),
    "chunked_body": lambda head: _endless(
        head + _CHUNKED, b"10000\r\n" + _BLOCK + b"\r\n"
    ),
    "small_chunks": lambda head: _endless(head + _CHUNKED, b"1\r\nx\r\n" * 8192),
    "chunk_extension": lambda head: _endless(head + _CHUNKED + b"1;", _BLOCK),
    "unfinished_bodies": _unfinished,
    "unfinished_heads": lambda head: [head],
}


class _Client:
    def __init__(self, address, blocks, until):
        self._address = address
        self._blocks = blocks
        self._until = until
        self._sent = 0
        self.max_sent = 0
        self.sock = None

    def run(self):
        while time.monotonic() < self._until and self._sent < _MAX_BYTES:
            try:
                self.sock = socket.create_connection(self._address, _SEND_TIMEOUT_S)
                self._send_blocks()
                return
            except OSError:
                # Refused or disconnected; the client tries again.
                gevent.sleep(_PAUSE_S)

    def _send_blocks(self):
        sent = 0
        for block in self._blocks():
            if time.monotonic() >= self._until or self._sent >= _MAX_BYTES:
                return
            self.sock.sendall(block)
            sent += len(block)
            self._sent += len(block)
            self.max_sent = max(self.max_sent, sent)
            gevent.sleep(0)


def main(args):
    """Runs the crowd against an address.

    Args:
        args: `HOST:PORT`, the path of the requests and the name of a kind.
    """
    address, path, kind = args
    host, _, port = address.rpartition(":")
    head = f"POST {path} HTTP/1.1\r\nHost: q.example\r\n".encode()
    blocks = partial(KINDS[kind], head)
    until = time.monotonic() + _CROWD_S
    clients = [_Client((host, int(port)), blocks, until) for _ in range(CLIENTS)]
    gevent.joinall([gevent.spawn(client.run) for client in clients])
    print(max(client.max_sent for client in clients), flush=True)
    sys.stdin.read()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
