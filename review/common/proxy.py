"""TCP proxy that resets, silences or stops forwarding connections."""

import random
import struct

import gevent
from gevent import socket
from gevent.server import StreamServer

_CHUNK_BYTES = 65536
_RESET = struct.pack("ii", 1, 0)


class Channel:
    """One forwarded connection."""

    def __init__(self, client, target):
        self.client = client
        self.target = target
        self.silent = False

    def reset(self):
        """Ends both sides with a TCP reset."""
        self.silent = False
        _reset(self.client)
        _reset(self.target)


class Proxy:
    """Forwards connections from one address to another.

    Attributes:
        channels: Open `Channel`s.
        silent: Whether nothing passes: bytes wait, and new connections are lost.
    """

    def __init__(self, listen, target):
        self.channels = []
        self.silent = False
        self._target = target
        self._server = StreamServer(listen, self._accept)
        self._server.start()

    def close(self):
        self._server.stop()
        for channel in list(self.channels):
            channel.reset()

    def _accept(self, client, _):
        if self.silent:
            # Its opening packet was lost; nothing that it sends may arrive later.
            while self.silent:
                gevent.sleep(0.01)
            _reset(client)
            return
        try:
            target = socket.create_connection(self._target, 2.0)
        except OSError:
            _reset(client)
            return
        target.settimeout(None)
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = Channel(client, target)
        self.channels.append(channel)
        forwarders = [
            gevent.spawn(self._forward, channel, client, target),
            gevent.spawn(self._forward, channel, target, client),
        ]
        gevent.joinall(forwarders)
        self.channels.remove(channel)
        client.close()
        target.close()

    def _forward(self, channel, source, sink):
        try:
            while True:
                data = source.recv(_CHUNK_BYTES)
                while self.silent or channel.silent:
                    gevent.sleep(0.01)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            # One side is gone; the other one learns it as well.
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        # It is closed already.
        pass
    sock.close()


def reset_together(channels, seed):
    """Resets channels at one moment, in a random order."""
    channels = list(channels)
    random.Random(seed).shuffle(channels)
    for channel in channels:
        channel.reset()
