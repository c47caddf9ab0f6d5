"""
papayaward.transport.json_size
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Memory that a JSON text takes once it is decoded, estimated before it is.

The values of a text may take many times its bytes: an empty object takes two bytes of
text and 72 of memory. Their number follows from the brackets, colons and commas
outside strings.
"""

import re

__all__ = ["exceeds_decoded_size"]

# Memory of a value or a member in CPython, with its place in its container, bytes.
_CONTAINER_BYTES = 72
_MEMBER_BYTES = 64
_ITEM_BYTES = 32

_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)


def exceeds_decoded_size(text, max_bytes):
    """Returns whether a JSON text takes more memory than allowed once it is decoded.

    Args:
        text: JSON text, bytes.
        max_bytes: Allowed memory, bytes.
    """
    # Counts the marks in strings as well, which is enough for most texts.
    if _decoded_bytes(text, len(text)) <= max_bytes:
        return False
    return _decoded_bytes(_STRING.sub(b"", text), len(text)) > max_bytes


def _decoded_bytes(text, size):
    containers = text.count(b"[") + text.count(b"{")
    return (
        size
        + containers * _CONTAINER_BYTES
        + text.count(b":") * _MEMBER_BYTES
        + text.count(b",") * _ITEM_BYTES
    )
