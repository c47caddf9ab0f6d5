"""
tests.test_http_parser
~~~~~~~~~~~~~~~~~~~~~~

Complete and malformed HTTP responses of upstreams.
"""

import subprocess
import sys
from http.client import HTTPException

from testtools import TestCase

from papayaward.transport.http_parser import BrokenResponse, read_response

__all__ = []

_OK = b"HTTP/1.1 200 OK\r\n"
_ODD_NUMBERS = (b"9" * 30, b"9" * 5000, b"-5", b"1e3", b"\xb2", b"0x10", b"NaN")


class _Socket:
    def __init__(self, parts):
        self._parts = list(parts)

    def recv(self, size):
        return self._parts.pop(0) if self._parts else b""


class HttpParserTest(TestCase):
    def test_complete_responses(self):
        """Guards against lost bytes, and against reuse of a closing connection."""
        length = b"Content-Length: 3\r\n"
        for parts, expected in (
            ([_OK + length + b"\r\nabc"], (200, b"abc", True)),
            ([_OK + length + b"\r\na", b"b", b"c"], (200, b"abc", True)),
            ([_OK[:5], _OK[5:] + length, b"\r\nabc"], (200, b"abc", True)),
            ([_OK + b"Connection: close\r\n\r\nabc"], (200, b"abc", False)),
            ([b"HTTP/1.0 200 OK\r\n" + length + b"\r\nabc"], (200, b"abc", False)),
            ([b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n"], (429, b"", True)),
            (
                [_OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", b"0\r\n\r\n"],
                (200, b"abc", True),
            ),
            (
                [b"HTTP/1.1 100 Continue\r\n\r\n", _OK + length + b"\r\nabc"],
                (200, b"abc", True),
            ),
            (
                [b"HTTP/1.1 100 Continue\r\n\r\n" + _OK + length + b"\r\nabc"],
                (200, b"abc", True),
            ),
        ):
            self.assertEqual(expected, read_response(_Socket(parts)), parts)

    def test_broken_responses(self):
        """Guards against accepting an incomplete or malformed response."""
        for parts in (
            [],
            [b"HTTP/1.1 200"],
            [_OK + b"Content-Length: 3\r\n\r\nab"],
            [_OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"],
            [b"HTTP/1.1 100 Continue\r\n\r\n"],
            [b"garbage\r\n\r\n"],
            [(_OK + b"Content-Length: 1\r\n\r\na") * 2],
        ):
            self.assertRaises(
                (BrokenResponse, HTTPException), read_response, _Socket(parts)
            )

    def test_endless_responses(self):
        """Guards against a server that uses up the memory of this process."""
        chunk = b"%x\r\n" % 65536 + b"x" * 65536 + b"\r\n"
        field = b"X-A: " + b"x" * 65536 + b"\r\n"
        for head, part in (
            (_OK + b"Transfer-Encoding: chunked\r\n\r\n", chunk),
            (_OK, field),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 3000),
        ):
            parts = [head, *[part] * 1500]
            self.assertRaises(BrokenResponse, read_response, _Socket(parts))

    def test_odd_numbers(self):
        """Guards against a length or status that ends in another error."""
        chunked = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
        for response in (
            *(_OK + b"Content-Length: " + n + b"\r\n\r\n" for n in _ODD_NUMBERS),
            *(b"HTTP/1.1 " + n + b" OK\r\n\r\n" for n in _ODD_NUMBERS),
            chunked + b"f" * 30 + b"\r\n",
            chunked + b"-1\r\n",
        ):
            self.assertRaises(
                (BrokenResponse, HTTPException), read_response, _Socket([response])
            )

    def test_runner_does_not_load_the_client(self):
        """Guards against imports that take megabytes of memory in every runner."""
        code = (
            "import sys, papayaward.runner;"
            "print([n for n in ('geventhttpclient', 'http.cookiejar', 'asyncio')"
            " if n in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
        )
        self.assertEqual("[]", done.stdout.strip(), done.stderr)
