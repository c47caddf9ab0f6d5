"""
papayaward.protocol.options
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validating getters for untrusted values, which raise `OptionError`.
"""

import json

__all__ = [
    "MAX_INT32",
    "OptionError",
    "check_text",
    "get_address",
    "get_bool",
    "get_choice",
    "get_int",
    "get_number",
    "get_string",
    "get_string_list",
    "read_object",
]

# Largest value of the integers in messages between processes.
MAX_INT32 = 2**31 - 1

_MISSING = object()


class OptionError(ValueError):
    """A value that is missing or not allowed.

    Attributes:
        name: Name of the option.
        allowed: Description of the allowed values.
    """

    def __init__(self, name, value, allowed):
        found = "nothing" if value is _MISSING else repr(value)[:80]
        super().__init__(f"{name}: found {found}, allowed is {allowed}")
        self.name = name
        self.allowed = allowed


def read_object(text):
    """Returns the JSON object in a text, str or bytes.

    Raises:
        OptionError: The text is not a JSON object.
    """
    try:
        document = json.loads(text)
    except (ValueError, TypeError, RecursionError) as error:
        raise OptionError("body", str(error)[:60], "a JSON object") from None
    if not isinstance(document, dict):
        raise OptionError("body", document, "a JSON object")
    return document


def _get(options, name, default):
    value = options.get(name, _MISSING)
    if value is _MISSING and default is not None:
        return default
    return value


def get_bool(options, name, default=None):
    """Returns a boolean option."""
    value = _get(options, name, default)
    if not isinstance(value, bool):
        raise OptionError(name, value, "true or false")
    return value


def get_int(options, name, default=None, low=0, high=2**53):
    """Returns an integer option between low and high, both included."""
    value = _get(options, name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise OptionError(name, value, f"an integer from {low} to {high}")
    if not low <= value <= high:
        raise OptionError(name, value, f"an integer from {low} to {high}")
    return value


def get_number(options, name, default=None, low=0.0, high=1e12):
    """Returns a number between low and high, both included, as a float."""
    value = _get(options, name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise OptionError(name, value, f"a number from {low} to {high}")
    if not low <= value <= high:
        raise OptionError(name, value, f"a number from {low} to {high}")
    return float(value)


def get_string(options, name, default=None, max_length=256):
    """Returns a string of limited length, non-empty unless there is a default."""
    value = _get(options, name, default)
    if not isinstance(value, str) or len(value) > max_length:
        raise OptionError(name, value, f"a string of at most {max_length} characters")
    if not value and default is None:
        raise OptionError(name, value, "a non-empty string")
    return check_text(name, value)


def get_choice(options, name, choices, default=None):
    """Returns one of the allowed strings."""
    value = _get(options, name, default)
    if value not in choices:
        raise OptionError(name, value, "one of " + ", ".join(sorted(choices)))
    return value


def get_string_list(options, name, default=None, max_length=1000):
    """Returns a tuple of strings."""
    value = _get(options, name, default)
    if not isinstance(value, (list, tuple)) or len(value) > max_length:
        raise OptionError(name, value, f"a list of at most {max_length} strings")
    if not all(isinstance(item, str) for item in value):
        raise OptionError(name, value, "a list of strings")
    return tuple(check_text(name, item) for item in value)


def check_text(name, value):
    """Returns a string that can be encoded as UTF-8.

    JSON can express lone surrogates, which no message and no log line can hold.
    """
    try:
        value.encode()
    except UnicodeEncodeError:
        raise OptionError(name, ascii(value), "text without lone surrogates") from None
    return value


def get_address(options, name, default=None):
    """Returns a (host, port) pair from a string such as `10.0.0.1:7000`."""
    value = _get(options, name, default)
    allowed = "an IP number and a port such as 10.0.0.1:7000"
    if not isinstance(value, str):
        raise OptionError(name, value, allowed)
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise OptionError(name, value, allowed)
    return host, int(port)
