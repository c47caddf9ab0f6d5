"""
papayaward.transport.upstream_http
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP requests to the upstream, each sent at most once.

`geventhttpclient.HTTPClient` may send a request again when a pooled connection
turns out to be closed. A task must not be sent twice, so this module
sends on its own sockets and uses the library's response parser.
"""

from urllib.parse import quote

from gevent import socket
from gevent.select import select

from .http_parser import read_response

__all__ = ["NotSent", "UpstreamClient", "UpstreamConnectionLost"]

_CONNECT_TIMEOUT_S = 1.0
_KEEPALIVE_S = 1
_KEEPALIVE_PROBES = 2
_HEADER_SAFE = " !#$&'()*+,/:;<=>?@[]^`{|}~"


class NotSent(Exception):
    """No connection was made, so the upstream has not seen the request."""


class UpstreamConnectionLost(Exception):
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

    def post(self, path, body, headers, check=lambda: None):
        """Sends one POST request; see `request`."""
        return self.request("POST", path, body, headers, check)

    def request(self, method, path, body, headers, check=lambda: None):
        """Sends one request and returns its status and body.

        Args:
            method: Method of the request, but for HEAD.
            path: Path of the request, with the query.
            body: bytes.
            headers: Header values by name.
            check: Function that is called last before the request is sent; raises
                `NotSent` to prevent that.

        Returns:
            tuple: Status code and body, bytes.

        Raises:
            NotSent: The upstream cannot be reached.
            UpstreamConnectionLost: The connection failed before the response was
                complete.
        """
        sock = self._connect()
        keep = False
        try:
            check()
            sock.sendall(self._request(method, path, body, headers))
            status, content, keep = read_response(sock)
            return status, content
        except NotSent:
            keep = True
            raise
        except Exception as error:
            raise UpstreamConnectionLost(str(error) or type(error).__name__) from error
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
        # Finds a connection that went silent while a request waits for long.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        return sock

    def _release(self, sock, keep):
        if keep and len(self._idle) < self._max_idle:
            self._idle.append(sock)
        else:
            sock.close()

    def _request(self, method, path, body, headers):
        host, port = self._address
        headers = {
            "Host": f"{host}:{port}",
            "Content-Type": "application/json",
            "Content-Length": len(body),
            **headers,
        }
        lines = [f"{method} {path} HTTP/1.1"]
        # Names of tenants and classes come from callers; a line break in one would
        # let it write a second request.
        lines += [
            f"{name}: {quote(str(value), safe=_HEADER_SAFE)}"
            for name, value in headers.items()
        ]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
