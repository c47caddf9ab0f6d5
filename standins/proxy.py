"""
standins.proxy
~~~~~~~~~~~~~~

Fault-injecting TCP proxy: delays data, holds it back in one or both directions, closes
or resets connections, or has the kernel refuse new ones.

`python -m standins.proxy --delay-ms 1 --route LISTEN=TARGET` runs one or
several delaying proxies as a separate process.
"""

import argparse
import struct
import sys

import gevent
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer

__all__ = ["TcpProxy", "main"]

_CHUNK_BYTES = 65536
_QUEUED_CHUNKS = 1024
# Enabled, with a linger time of 0 s: a close sends RST and discards unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class TcpProxy:
    """Forwards connections from a local port to a target.

    Args:
        target: (host, port) to forward to.
        delay_s: One-way delay in each direction, in seconds.
        listen: (host, port) to listen on; port 0 picks a free one.

    Attributes:
        refuse: Whether new connections are accepted and closed at once. With
            `close_listener`, the kernel refuses them instead.
    """

    def __init__(self, target, delay_s=0.0, listen=("127.0.0.1", 0)):
        self.delay_s = delay_s
        self.delay_to_client_s = 0.0
        self.silent_to_target = False
        self.silent_to_client = False
        self.refuse = False
        self._target = target
        self._pairs = set()
        # Silenced directions by connection: True is to the target, False to the client.
        self._silenced = {}
        self._closers = set()
        self._server = StreamServer(listen, self._accept)
        self._server.start()
        self._address = self._server.server_host, self._server.server_port

    @property
    def address(self):
        """The proxy's (host, port)."""
        return self._address

    @property
    def open_connections(self):
        """Number of open connections."""
        return len(self._pairs)

    def cut(self):
        """Closes every open connection."""
        for pair in list(self._pairs):
            _close(pair)

    def reset(self):
        """Resets every open connection, without an orderly shutdown."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    def close_listener(self, closer):
        """Closes the listening socket, so that the kernel refuses connections.

        Open connections are not affected.

        Args:
            closer: Who closes it; it stays closed until each has called
                `open_listener`.
        """
        self._closers.add(closer)
        self._server.stop()

    def open_listener(self, closer):
        """Listens on the same port again, unless somebody else keeps it closed.

        Args:
            closer: As for `close_listener`; nothing is done if it didn't close it.
        """
        if closer not in self._closers:
            return
        self._closers.discard(closer)
        if not self._closers:
            self._server = StreamServer(self._address, self._accept)
            self._server.start()

    def silence_open(self, to_target=True, to_client=True):
        """Silences the open connections; those opened later are not affected.

        Data and the end of stream on a silenced connection are held back until
        `release` is called.
        """
        for pair in self._pairs:
            directions = self._silenced.setdefault(pair, set())
            directions |= {True} if to_target else set()
            directions |= {False} if to_client else set()

    def release(self):
        """Delivers the data held back on the silenced connections."""
        self._silenced.clear()

    def close(self):
        """Stops listening and closes every connection."""
        self.close_listener(self)
        self.cut()

    def _accept(self, client, _):
        if self.refuse:
            client.close()
            return
        try:
            target = socket.create_connection(self._target, 2.0)
        except OSError:
            client.close()
            return
        target.settimeout(None)
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, target)
        self._pairs.add(pair)
        forwarders = [
            gevent.spawn(self._forward, pair, client, target, True),
            gevent.spawn(self._forward, pair, target, client, False),
        ]
        gevent.joinall(forwarders)
        _close(pair)
        self._pairs.discard(pair)
        self._silenced.pop(pair, None)

    def _forward(self, pair, source, sink, to_target):
        queue = Queue(_QUEUED_CHUNKS)
        sender = gevent.spawn(self._send, pair, queue, sink, to_target)
        loop = gevent.get_hub().loop
        data = True
        while data:
            try:
                data = source.recv(_CHUNK_BYTES)
            except OSError:
                data = b""
            delay_s = self.delay_s + (0.0 if to_target else self.delay_to_client_s)
            loop.update_now()
            queue.put((loop.now() + delay_s, data))
        sender.join()

    def _send(self, pair, queue, sink, to_target):
        loop = gevent.get_hub().loop
        while True:
            due, data = queue.get()
            loop.update_now()
            if due > loop.now():
                gevent.sleep(due - loop.now())
            while self._is_silent(pair, to_target):
                gevent.sleep(0.02)
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                _close(pair)
                return

    def _is_silent(self, pair, to_target):
        if to_target in self._silenced.get(pair, ()):
            return True
        return self.silent_to_target if to_target else self.silent_to_client


def _close(pair):
    for sock in pair:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        # The connection is closed already.
        return
    sock.close()


def main(args):
    """Runs delaying proxies until the process is killed."""
    parser = argparse.ArgumentParser(prog="standins.proxy")
    parser.add_argument("--delay-ms", type=float, default=0.0)
    parser.add_argument("--route", action="append", required=True)
    options = parser.parse_args(args)
    proxies = []
    for route in options.route:
        listen, target = (_address(text) for text in route.split("="))
        proxies.append(TcpProxy(target, options.delay_ms / 1000, listen))
    gevent.sleep(1e9)
    return 0


def _address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
