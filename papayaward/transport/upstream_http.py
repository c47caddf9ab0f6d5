"""
papayaward.transport.upstream_http
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP requests to the upstream, each sent at most once.

`geventhttpclient.HTTPClient` may send a request again when a pooled connection
turns out to be closed. A task must not be sent twice, so this module
sends on its own sockets and uses the library's response parser.
"""

from gevent import socket
from gevent.select import select

from .http_parser import read_response

__all__ = ["NotSent", "UpstreamClient", "UpstreamLost"]

_CONNECT_TIMEOUT_S = 1.0


class NotSent(Exception):
    """No connection was made, so the upstream has not seen the request."""


class UpstreamLost(Exception):
    """The connection broke after the request was sent; it may have run."""


class UpstreamClient:
    """Keeps idle connections to one upstream.

    Args:
        host: IP number of the upstream.
        port: Port of the upstream.
        max_idle: Connections that are kept without a request.
    """

    def __init__(self, host, port, max_idle=64):
        self._address = (host, port)
        self._max_idle = max_idle
        self._idle = []

    def post(self, path, body, headers):
        """Sends one POST request and returns its status and body.

        Args:
            path: Path of the request.
            body: bytes.
            headers: Header values by name.

        Returns:
            tuple: Status code and body, bytes.

        Raises:
            NotSent: The upstream cannot be reached.
            UpstreamLost: The connection broke before the response was complete.
        """
        sock = self._connect()
        keep = False
        try:
            sock.sendall(self._request(path, body, headers))
            status, content, keep = read_response(sock)
            return status, content
        except Exception as error:
            raise UpstreamLost(str(error) or type(error).__name__) from error
        finally:
            # Closing the connection also tells the upstream of a cancellation.
            self._release(sock, keep)

    def close(self):
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _connect(self):
        while self._idle:
            sock = self._idle.pop()
            # A readable idle connection was closed by the upstream.
            if not select([sock], [], [], 0)[0]:
                return sock
            sock.close()
        try:
            sock = socket.create_connection(self._address, _CONNECT_TIMEOUT_S)
        except OSError as error:
            raise NotSent(str(error)) from error
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def _release(self, sock, keep):
        if keep and len(self._idle) < self._max_idle:
            self._idle.append(sock)
        else:
            sock.close()

    def _request(self, path, body, headers):
        host, port = self._address
        lines = [f"POST {path} HTTP/1.1", f"Host: {host}:{port}"]
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
