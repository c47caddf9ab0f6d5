"""
papayaward.protocol.config_findings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Collects the findings in a configuration text and adds their positions.
"""

import json
import re

from .config_model import Finding
from .json_positions import JsonPositions

__all__ = ["MISSING", "Findings", "describe"]

MISSING = object()

_MAX_VALUE_CHARACTERS = 80


class Findings:
    """Findings by path; positions are computed only on export.

    Args:
        allow_unknown: Whether unknown keys are ignored.
    """

    def __init__(self, allow_unknown=False):
        self.allow_unknown = allow_unknown
        self._items = []

    def __bool__(self):
        return bool(self._items)

    def add(self, path, value, allowed, at_key=False):
        """Adds a finding for a JSON value, or for `MISSING`."""
        self.add_text(path, describe(value), allowed, at_key)

    def add_text(self, path, found, allowed, at_key=False):
        """Adds a finding with a description of the value."""
        self._items.append((path, found, allowed, at_key))

    def export(self, text, duplicate_keys):
        """Returns the `Finding`s, ordered by position.

        Args:
            text: Text that `json.loads` accepts.
            duplicate_keys: Whether an object of the text contains a key twice.
        """
        positions = JsonPositions(text)
        found = []
        for path, shown, allowed, at_key in self._items:
            line, column = (positions.key if at_key else positions.value)(path)
            found.append(Finding(_format_path(path), line, column, shown, allowed))
        for path, (line, column) in positions.duplicates if duplicate_keys else ():
            shown = f"the key {describe(path[-1])} again"
            found.append(
                Finding(_format_path(path), line, column, shown, "each key once")
            )
        return sorted(found, key=lambda finding: (finding.line, finding.column))


def _format_path(path):
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
    if isinstance(value, str) and len(value) > _MAX_VALUE_CHARACTERS:
        return json.dumps(value[:_MAX_VALUE_CHARACTERS]) + "..."
    shown = json.dumps(value)
    if len(shown) > _MAX_VALUE_CHARACTERS and not isinstance(value, str):
        return shown[:_MAX_VALUE_CHARACTERS] + "..."
    return shown
