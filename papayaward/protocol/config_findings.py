"""
papayaward.protocol.config_findings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Collects the findings in an operators' text and gives each its position.
"""

import json
import re

from .config_model import Finding
from .json_positions import JsonPositions

__all__ = ["MISSING", "Findings", "describe"]

MISSING = object()

_SHOWN_CHARACTERS = 80


class Findings:
    """Findings by path; the positions are worked out only when there are any.

    Args:
        allow_unknown: Whether keys that this version does not know are ignored.
    """

    def __init__(self, allow_unknown=False):
        self.allow_unknown = allow_unknown
        self._items = []

    def __bool__(self):
        return bool(self._items)

    def add(self, path, value, allowed, at_key=False):
        """Adds a finding with the JSON value found, or `MISSING`."""
        self.add_text(path, describe(value), allowed, at_key)

    def add_text(self, path, found, allowed, at_key=False):
        """Adds a finding with a description of what was found."""
        self._items.append((path, found, allowed, at_key))

    def export(self, text, duplicate_keys):
        """Returns the `Finding`s in the order of the text.

        Args:
            text: Text that `json.loads` accepts.
            duplicate_keys: Whether an object has a key twice.
        """
        positions = JsonPositions(text)
        found = []
        for path, shown, allowed, at_key in self._items:
            line, column = (positions.key if at_key else positions.value)(path)
            found.append(Finding(_place(path), line, column, shown, allowed))
        for path, (line, column) in positions.duplicates if duplicate_keys else ():
            shown = f"the key {describe(path[-1])} again"
            found.append(Finding(_place(path), line, column, shown, "each key once"))
        return sorted(found, key=lambda finding: (finding.line, finding.column))


def _place(path):
    place = ""
    for step in path:
        if isinstance(step, int):
            place += f"[{step}]"
        elif re.fullmatch(r"\w{1,80}", step):
            place += f".{step}" if place else step
        else:
            place += f"[{describe(step)}]"
    return place or "$"


def describe(value):
    """Returns a short description of a JSON value or of `MISSING`."""
    if value is MISSING:
        return "nothing"
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if isinstance(value, str) and len(value) > _SHOWN_CHARACTERS:
        return json.dumps(value[:_SHOWN_CHARACTERS]) + "..."
    shown = json.dumps(value)
    if len(shown) > _SHOWN_CHARACTERS and not isinstance(value, str):
        return shown[:_SHOWN_CHARACTERS] + "..."
    return shown
