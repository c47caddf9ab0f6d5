"""
papayaward.transport.http_parser
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads one HTTP response from a socket with geventhttpclient's parser.

Importing the package also loads its client, cookie, TLS and compression modules:
1.3 MiB of a runner's 32 MB, which loopback requests do not need. So only the parser,
a C extension, is loaded. This depends on the layout of the package, whose version is
pinned.
"""

import sys
from importlib.machinery import PathFinder
from importlib.util import find_spec, module_from_spec

__all__ = ["BrokenResponse", "read_response"]

_RECEIVE_BYTES = 65536
# Limits the memory that a server can make this process allocate.
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_FIRST_FINAL_STATUS = 200


def _import_parser():
    name = "geventhttpclient._parser"
    if name not in sys.modules:
        search_path = find_spec("geventhttpclient").submodule_search_locations
        spec = PathFinder.find_spec(name, search_path)
        module = module_from_spec(spec)
        # A later import of the whole package then uses the same module.
        sys.modules[name] = module
        spec.loader.exec_module(module)
    return sys.modules[name]


_parser = _import_parser()


class BrokenResponse(Exception):
    """The response is incomplete or too long, or a second response followed it."""


class _Response(_parser.HTTPResponseParser):
    """Collects the body; the methods below are callbacks of the parser."""

    def __init__(self):
        super().__init__()
        self.body = bytearray()
        self.complete = False
        self.extra_response = False

    def _on_message_begin(self):
        if self.complete and self.get_code() >= _FIRST_FINAL_STATUS:
            self.extra_response = True
        self.complete = False

    def _on_status(self, text):
        pass

    def _on_header_field(self, text):
        pass

    def _on_header_value(self, text):
        pass

    def _on_headers_complete(self):
        pass

    def _on_body(self, data):
        self.body += data

    def _on_message_complete(self):
        self.complete = True


def read_response(sock):
    """Reads the response to a request other than HEAD.

    Args:
        sock: Connected gevent socket.

    Returns:
        tuple: Status code, body (bytes), and whether the connection may be used again.

    Raises:
        BrokenResponse: The connection ended early, or sent more than one response or
            one that is too long.
        HTTPException: The response is malformed.
        OSError: The connection failed.
    """
    response = _Response()
    received = 0
    # Interim responses (1xx) are complete messages before the final one.
    while not response.complete or response.get_code() < _FIRST_FINAL_STATUS:
        data = sock.recv(_RECEIVE_BYTES)
        received += len(data)
        if received > _MAX_RESPONSE_BYTES:
            raise BrokenResponse(f"response of more than {_MAX_RESPONSE_BYTES} bytes")
        # Empty data signals the end of the connection to the parser, which completes
        # responses without a length.
        response.feed(data)
        if response.extra_response or not (data or response.complete):
            raise BrokenResponse("incomplete response, or a second response after it")
    reusable = not response.extra_response and not response.parser_failed()
    reusable = reusable and response.should_keep_alive()
    return response.get_code(), bytes(response.body), reusable
