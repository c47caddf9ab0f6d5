"""
papayaward.protocol.codec
~~~~~~~~~~~~~~~~~~~~~~~~~

Registry of the messages between processes and their binary form.
"""

import struct

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from .gen import ttypes

__all__ = [
    "HEADER",
    "MAX_FRAME_BYTES",
    "MESSAGE_CODES",
    "FrameError",
    "decode",
    "encode",
]

# Frame header: length of the body in bytes, then the message's type code.
HEADER = struct.Struct(">IB")

# Limits the memory that a peer can make this process allocate with one length field.
MAX_FRAME_BYTES = 64 * 1024 * 1024

# Codes are part of the wire format: new ones are added, existing ones never change.
MESSAGE_CODES = {
    "Hello": 1,
    "Heartbeat": 2,
    "ConfigPull": 3,
    "ConfigPush": 4,
    "Members": 5,
    "IdBlockRequest": 6,
    "IdBlock": 7,
    "Submit": 8,
    "Accepted": 9,
    "Fetch": 10,
    "Refuse": 11,
    "Answer": 12,
    "Cancel": 13,
    "CancelReply": 14,
    "Query": 15,
    "QueryReply": 16,
    "RunBatch": 17,
    "ResultBatch": 18,
    "CancelTasks": 19,
    "SlotReport": 20,
    "StartBatch": 21,
    "StopBatch": 22,
    "EndBatch": 23,
    "RunningTasks": 24,
    "DomainsPush": 25,
    "CrashNotices": 26,
}
_CODE_BY_CLASS = {getattr(ttypes, name): code for name, code in MESSAGE_CODES.items()}
_CLASS_BY_CODE = {code: cls for cls, code in _CODE_BY_CLASS.items()}


class FrameError(Exception):
    """A frame with an invalid length, type or body."""


def encode(message):
    """Returns the frame of a message.

    Args:
        message: An instance of a generated struct in the registry.

    Returns:
        bytes: Header and body.
    """
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    body = buffer.getvalue()
    return HEADER.pack(len(body), _CODE_BY_CLASS[type(message)]) + body


def decode(code, body):
    """Returns the message with the given type code.

    Args:
        code: Type code from the frame header.
        body: Body of the frame, bytes.

    Raises:
        FrameError: The code is unknown or the body is malformed.
    """
    cls = _CLASS_BY_CODE.get(code)
    if cls is None:
        raise FrameError(f"unknown message type {code}")
    message = cls()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(body)))
    except Exception as error:
        raise FrameError(f"malformed {cls.__name__}: {error}") from error
    return message
