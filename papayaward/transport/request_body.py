"""
papayaward.transport.request_body
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the bodies of requests within their limits.
"""

from enum import StrEnum

from .connection_reader import BudgetExhausted, RequestTooLong
from .json_size import exceeds_decoded_size

__all__ = ["ON_REJECTED", "READER", "BodyError", "BodyFault", "read_body"]

# Keys of the WSGI environment: the `ConnectionReader` of the request, and a function
# that takes the `BodyFault` of a refused one.
READER = "papayaward.reader"
ON_REJECTED = "papayaward.on_rejected"

# A body is read in parts of this size, one in chunks in smaller ones.
_PART_BYTES = 64 * 1024
_CHUNKS_BYTES = 4096
# Chunks are refused whose framing takes more than this and this part of their content.
_FRAMING_BYTES = 96 * 1024
_FRAMING_SHARE = 0.5


class BodyFault(StrEnum):
    """Reasons for which a body was not read."""

    TOO_LONG = "body_too_long"
    TOO_COMPLEX = "body_too_complex"
    INCOMPLETE = "body_incomplete"
    BUSY = "too_many_large_requests"


class BodyError(Exception):
    """A body that was not read.

    Attributes:
        fault: `BodyFault`.
    """

    def __init__(self, fault):
        super().__init__(fault.value.replace("_", " "))
        self.fault = fault


def read_body(environ, max_bytes):
    """Returns the body of a request.

    Args:
        environ: WSGI environment of the request.
        max_bytes: Maximum size.

    Raises:
        BodyError: The body is too long, its length is invalid, its values would take
            too much memory, it has not arrived whole or too many clients send large
            bodies.
    """
    try:
        body = _read_body(environ, max_bytes)
        _check_values(body, environ.get(READER))
    except BodyError as error:
        environ.get(ON_REJECTED, lambda reason: None)(error.fault)
        raise
    reader = environ.get(READER)
    if reader is not None:
        reader.complete_request()
    return body


def _read_body(environ, max_bytes):
    try:
        return _read_stream(environ, max_bytes)
    except BudgetExhausted as error:
        raise BodyError(BodyFault.BUSY) from error
    except RequestTooLong as error:
        raise BodyError(BodyFault.TOO_LONG) from error
    except OSError as error:
        raise BodyError(BodyFault.INCOMPLETE) from error


def _check_values(body, reader):
    if reader is not None and exceeds_decoded_size(body, reader.max_decoded_bytes):
        raise BodyError(BodyFault.TOO_COMPLEX)


def _read_stream(environ, max_bytes):
    stream = environ["wsgi.input"]
    length = environ.get("CONTENT_LENGTH")
    if not length:
        return _read_chunks(stream, environ.get(READER), max_bytes)
    try:
        length = int(length)
    except ValueError as error:
        raise BodyError(BodyFault.TOO_LONG) from error
    if not 0 <= length <= max_bytes:
        raise BodyError(BodyFault.TOO_LONG)
    return _read_parts(stream, length)


def _read_parts(stream, length):
    # One read of the whole length would allocate it before any of it has arrived.
    parts = []
    while length:
        part = stream.read(min(length, _PART_BYTES))
        if not part:
            raise BodyError(BodyFault.INCOMPLETE)
        parts.append(part)
        length -= len(part)
    return b"".join(parts)


def _read_chunks(stream, reader, max_bytes):
    parts, size = [], 0
    _limit_framing(reader, size)
    while part := stream.read(_CHUNKS_BYTES):
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            raise BodyError(BodyFault.TOO_LONG)
        _limit_framing(reader, size)
    return b"".join(parts)


def _limit_framing(reader, size):
    """Bounds sizes, extensions and trailers of chunks by the content read so far."""
    if reader is not None:
        content = size + _CHUNKS_BYTES
        reader.limit_request(int((1.0 + _FRAMING_SHARE) * content) + _FRAMING_BYTES)
