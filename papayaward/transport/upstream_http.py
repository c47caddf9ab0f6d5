"""
papayaward.transport.upstream_http
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP requests to the upstream, each sent at most once.

`geventhttpclient.HTTPClient` may resend a request when a pooled connection turns
out to be closed. A task must not be sent twice, so this module manages its own
sockets and uses only the library's response parser.
"""

from urllib.parse import quote

from gevent import socket

from .http_parser import read_response

__all__ = ["NotSent", "UpstreamClient", "UpstreamConnectionLost"]

_CONNECT_TIMEOUT_S = 1.0
_KEEPALIVE_S = 1
_KEEPALIVE_PROBES = 2
_HEADER_SAFE = " !#$&'()*+,/:;<=>?@[]^`{|}~"


class NotSent(Exception):
    """The request was not sent, so the upstream cannot have run it."""


class UpstreamConnectionLost(Exception):
    """The connection failed after the request was sent, which may have run."""


class UpstreamClient:
    """HTTP client for one upstream, with a pool of idle connections.

    Args:
        host: IP address of the upstream.
        port: Port of the upstream.
        max_idle: Maximum number of idle connections.
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
            method: HTTP method other than HEAD.
            path: Path with query.
            body: bytes.
            headers: Header values by name.
            check: Function that is called immediately before the request is sent;
                raises `NotSent` to prevent the request.

        Returns:
            tuple: Status code and body, bytes.

        Raises:
            NotSent: No connection could be made, or `check` prevented the request.
            UpstreamConnectionLost: The connection failed before the response was
                complete.
        """
        sock = self._connect()
        reusable = False
        try:
            check()
            sock.sendall(self._request(method, path, body, headers))
            status, content, reusable = read_response(sock)
            return status, content
        except NotSent:
            reusable = True
            raise
        except Exception as error:
            # The upstream may be gone without having closed its other connections.
            self.close()
            raise UpstreamConnectionLost(str(error) or type(error).__name__) from error
        finally:
            # Closing the connection also signals a cancellation to the upstream.
            self._release(sock, reusable)

    def close(self):
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _connect(self):
        while self._idle:
            sock = self._idle.pop()
            if _is_open(sock):
                return sock
            sock.close()
        try:
            sock = socket.create_connection(self._address, _CONNECT_TIMEOUT_S)
        except (OSError, OverflowError, ValueError) as error:
            # The last two are raised for a port or a host that no address can have.
            raise NotSent(str(error)) from error
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Detects a dead connection during a long request.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        return sock

    def _release(self, sock, reusable):
        if reusable and len(self._idle) < self._max_idle:
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
        # Names of client accounts and classes come from callers; an unescaped line
        # break in a name would allow request smuggling.
        lines += [
            f"{name}: {quote(str(value), safe=_HEADER_SAFE)}"
            for name, value in headers.items()
        ]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _is_open(sock):
    """Returns whether an idle connection is open and has nothing to read.

    Other greenlets don't run during the test, as they would with gevent's `select`:
    the upstream could close the connection before the request is sent, and the
    request would count as one that may have run.
    """
    sock.settimeout(0.0)
    try:
        # Data, too, makes the connection unusable: it answers no request.
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(None)
    return False
