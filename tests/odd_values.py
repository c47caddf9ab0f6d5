"""
tests.odd_values
~~~~~~~~~~~~~~~~

Values that another program may write where the readers expect others.

All readers are tested with this table. Values are fragments of JSON text, since
`json.dumps` cannot write some of them.
"""

import json
import logging
import random

__all__ = [
    "ADDRESSES",
    "ALIVE_S",
    "LogRecorder",
    "NUMBERS",
    "OBJECTS",
    "PEER_ADDRESSES",
    "TEXTS",
    "TEXT_VALUES",
    "incomplete_texts",
    "mutated_texts",
    "not_rejected",
    "odd_texts",
    "with_fragment",
]

# Time within which a reader has to go on after an odd value, seconds.
ALIVE_S = 2.0

_MANY_DIGITS = "9" * 30
# More digits than `int` converts.
_TOO_MANY_DIGITS = "9" * 5000
# The parser accepts this depth if it is called near the bottom of the stack.
_DEEP = "[" * 900 + "]" * 900
_TOO_DEEP = "[" * 200_000
_LONG_TEXT = json.dumps("x" * (1 << 20))
_SURROGATE = r'"\ud800"'

# Whole texts that are no JSON object.
TEXTS = {
    "empty": b"",
    "cut off": b'{"a": ',
    "nested lists": _TOO_DEEP.encode(),
    "nested objects": b'{"a":' * 200_000,
    "nested member": b'{"a": ' + _DEEP.encode() + b"}",
    "not UTF-8": b'{"a": "\xff\xfe"}',
    "surrogate in UTF-8": b'{"a": "\xed\xa0\x80"}',
    "too many digits": b'{"a": ' + _TOO_MANY_DIGITS.encode() + b"}",
    "infinity": b'{"a": -Infinity}',
    "not a number": b'{"a": NaN}',
    "overflowing number": b'{"a": 1e999}',
    "null bytes": b"\0\0",
    "list": b"[]",
    "number": b"5",
}

_OTHER_TYPES = {
    "null": "null",
    "boolean": "true",
    "list": "[]",
    "object": "{}",
    "nested": _DEEP,
    "infinity": "1e999",
    "not a number": "NaN",
}
NUMBERS = {
    **_OTHER_TYPES,
    "negative infinity": "-1e999",
    "many digits": _MANY_DIGITS,
    "too many digits": _TOO_MANY_DIGITS,
    "negative": "-7",
    "fraction": "0.5",
    "text": '"7"',
}
TEXT_VALUES = {
    **_OTHER_TYPES,
    "number": "7",
    "surrogate": _SURROGATE,
    "long text": _LONG_TEXT,
}
ADDRESSES = {
    **TEXT_VALUES,
    "no port": '"10.0.0.1"',
    "no host": '":7000"',
    "port out of range": '"10.0.0.1:70000"',
    "negative port": '"10.0.0.1:-1"',
    "port with many digits": f'"10.0.0.1:{_TOO_MANY_DIGITS}"',
    "port of other digits": r'"10.0.0.1:\u00b2"',
    "null byte": r'"10.0.0\u0000.1:7000"',
    "line break": r'"10.0.0.1\r\n:7000"',
    "surrogate in the host": r'"\ud800:7000"',
    "long host": json.dumps("h" * 5000 + ":7000"),
}
# A peer is dialled by its IP number; resolving a name would block the process.
PEER_ADDRESSES = {
    **ADDRESSES,
    "port 0": '"10.0.0.1:0"',
    "name": '"no-such-host.invalid:7000"',
}
OBJECTS = {
    name: fragment for name, fragment in _OTHER_TYPES.items() if name != "object"
} | {"number": "7", "text": '"x"'}

_PLACEHOLDER = "@odd@"
_MAX_MUTATIONS = 6
_ODD_BYTES = (b"[", b"{", b"]", b'"', b"\\ud800", b"1e999", b"NaN", b"\xff", b"-", b"0")


def with_fragment(document, path, fragment):
    """Returns a document as a JSON text with one value replaced by a fragment.

    Args:
        document: JSON document.
        path: Keys and indices that lead to the value.
        fragment: JSON text of the new value, str.

    Returns:
        bytes: The text.
    """
    copy = json.loads(json.dumps(document))
    inner = copy
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = _PLACEHOLDER
    text = json.dumps(copy).replace(json.dumps(_PLACEHOLDER), fragment)
    return text.encode()


def odd_texts(document, fields):
    """Yields (description, text) for each odd text, and each odd value of a field.

    Args:
        document: JSON document that the reader accepts.
        fields: Fragments by description (one of the tables above), by path.
    """
    yield from TEXTS.items()
    for path, fragments in fields.items():
        for name, fragment in fragments.items():
            yield f"{path}: {name}", with_fragment(document, path, fragment)


def incomplete_texts(document, paths):
    """Yields (description, text) of a document without one value each.

    Args:
        document: JSON document that the reader accepts.
        paths: Keys and indices that lead to each of the values.
    """
    for path in paths:
        copy = json.loads(json.dumps(document))
        inner = copy
        for step in path[:-1]:
            inner = inner[step]
        del inner[path[-1]]
        yield f"{path}: missing", json.dumps(copy).encode()


def mutated_texts(document, seed, count):
    """Yields texts of a document with random changes.

    Args:
        document: JSON document that the reader accepts.
        seed: Seed of the random numbers.
        count: Number of texts.
    """
    rng = random.Random(seed)
    text = json.dumps(document).encode()
    for _ in range(count):
        changed = bytearray(text)
        for _ in range(rng.randint(1, _MAX_MUTATIONS)):
            start = rng.randrange(len(changed) + 1)
            end = start + rng.choice((0, 1, 1, 5))
            changed[start:end] = rng.choice((*_ODD_BYTES, rng.randbytes(1)))
        yield bytes(changed)


def not_rejected(read, error, cases):
    """Returns which cases are accepted, or end with another error.

    Args:
        read: Function that takes a text.
        error: Class of the reader's own error.
        cases: (description, text) pairs.

    Returns:
        list: A line for each case.
    """
    lines = []
    for name, text in cases:
        try:
            result = read(text)
        except error:
            continue
        except Exception as other:
            lines.append(f"{name}: {type(other).__name__}: {str(other)[:60]}")
        else:
            lines.append(f"{name}: accepted as {str(type(result))}")
    return lines


class LogRecorder(logging.Handler):
    """Keeps the log records of a logger while it is in use as a context."""

    def __init__(self, name="papayaward"):
        super().__init__()
        self.records = []
        self._loggers = [logging.getLogger(name), logging.getLogger("adapter")]

    def emit(self, record):
        self.records.append(record)

    def events(self, name):
        """Returns the records of an event."""
        return [record for record in self.records if record.getMessage() == name]

    def __enter__(self):
        for logger in self._loggers:
            logger.addHandler(self)
        return self

    def __exit__(self, *error):
        for logger in self._loggers:
            logger.removeHandler(self)
