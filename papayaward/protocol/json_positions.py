"""
papayaward.protocol.json_positions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Positions of the keys and values of a JSON text that `json.loads` accepts.
"""

import json
import re
from bisect import bisect_right

__all__ = ["JsonPositions"]

_TOKEN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"'  # string
    r"|[{}\[\],:]"
    r'|[^\s{}\[\],:"]+'  # number or literal
)

# Maximum length of the recorded paths. The configuration text needs four levels; the
# limit avoids quadratic time on a deeply nested text.
_MAX_DEPTH = 8


class JsonPositions:
    """Positions in one JSON text.

    Args:
        text: str that `json.loads` accepts.
    """

    def __init__(self, text):
        self._line_starts = [0, *(match.end() for match in re.finditer("\n", text))]
        self._values = {}
        self._keys = {}
        self._duplicates = []
        self._scan(text)

    @property
    def duplicates(self):
        """Paths of repeated keys of an object, each with its (line, column)."""
        return [(path, self._position(offset)) for path, offset in self._duplicates]

    def value(self, path):
        """Returns (line, column) of a value, or of its nearest existing parent.

        Args:
            path: Tuple of keys and indices.
        """
        while path not in self._values and path:
            path = path[:-1]
        return self._position(self._values.get(path, 0))

    def key(self, path):
        """Returns (line, column) of the last key of a path."""
        offset = self._keys.get(path)
        return self.value(path) if offset is None else self._position(offset)

    def _position(self, offset):
        line = bisect_right(self._line_starts, offset)
        return line, offset - self._line_starts[line - 1] + 1

    def _scan(self, text):
        path = []
        # One item for each unclosed object (the set of its keys) or list (None).
        seen = []
        expects_key = False
        for match in _TOKEN.finditer(text):
            token, offset = match.group(), match.start()
            if token in ("}", "]"):
                seen.pop()
                path.pop()
                expects_key = False
            elif token == ",":
                expects_key = seen[-1] is not None
                if not expects_key:
                    path[-1] += 1
            elif expects_key:
                path[-1] = json.loads(token, strict=False)
                self._add_key(path, seen[-1], offset)
                expects_key = False
            elif token != ":":
                if len(path) <= _MAX_DEPTH:
                    self._values.setdefault(tuple(path), offset)
                if token in ("{", "["):
                    expects_key = token == "{"
                    seen.append(set() if expects_key else None)
                    path.append(0)

    def _add_key(self, path, seen, offset):
        key = path[-1]
        if key in seen:
            self._duplicates.append((tuple(path[: _MAX_DEPTH + 1]), offset))
        elif len(path) <= _MAX_DEPTH:
            self._keys[tuple(path)] = offset
        seen.add(key)
