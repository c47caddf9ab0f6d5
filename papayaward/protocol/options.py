"""
papayaward.protocol.options
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validating getters for untrusted values, which raise `OptionError`.
"""

import json
import math
import socket

__all__ = [
    "MAX_INT32",
    "MAX_INTEGER",
    "MAX_JSON_DEPTH",
    "OptionError",
    "check_text",
    "get_address",
    "get_bool",
    "get_choice",
    "get_int",
    "get_list",
    "get_number",
    "get_object",
    "get_peer_address",
    "get_string",
    "get_string_list",
    "read_json",
    "read_object",
]

# Largest value of the integers in messages between processes.
MAX_INT32 = 2**31 - 1

# Largest integer that every JSON program represents exactly; it fits in the 64-bit
# fields of messages.
MAX_INTEGER = 2**53

# The parser's own limit depends on the stack that is left, so that a value which one
# process accepts could fail in another, or later when it is encoded again.
MAX_JSON_DEPTH = 64

_MAX_PORT = 65535
_MAX_HOST_LENGTH = 253
_MAX_ITEM_LENGTH = 1024
# Length of the description of a rejected value.
_MAX_SHOWN = 80

_MISSING = object()


class OptionError(ValueError):
    """A value that is missing or not allowed.

    Attributes:
        name: Name of the option.
        allowed: Description of the allowed values.
    """

    def __init__(self, name, value, allowed):
        found = _describe(value)
        super().__init__(f"{name}: found {found}, allowed is {allowed}")
        self.name = name
        self.allowed = allowed


def _describe(value):
    """Returns a short text for a value that may be huge or deeply nested."""
    if value is _MISSING:
        return "nothing"
    if isinstance(value, dict):
        return f"an object with {len(value)} members"
    if isinstance(value, (list, tuple)):
        return f"a list of {len(value)}"
    if isinstance(value, str):
        value = value[:_MAX_SHOWN]
    return repr(value)[:_MAX_SHOWN]


def _parse_float(text):
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"the number {text[:20]} is too large")
    return value


def _reject_constant(text):
    # JSON has neither infinities nor NaN, so another program could not read them.
    raise ValueError(f"{text} is no JSON number")


_decode = json.JSONDecoder(
    parse_float=_parse_float, parse_constant=_reject_constant
).decode


def read_json(text):
    """Returns the value of a JSON text that another program wrote.

    The last of two equal keys of an object counts. Strings may hold lone surrogates,
    which `get_string` rejects.

    Args:
        text: str, or bytes in UTF-8.

    Raises:
        OptionError: The text is no JSON, is nested too deeply, or holds a number that
            cannot be represented.
    """
    try:
        if not isinstance(text, str):
            text = str(text, "utf-8")
        document = _decode(text)
    except (ValueError, TypeError, RecursionError) as error:
        raise OptionError("body", str(error)[:60], "JSON") from None
    if _may_be_deep(text) and _is_deep(document):
        allowed = f"JSON nested at most {MAX_JSON_DEPTH} levels deep"
        raise OptionError("body", document, allowed)
    return document


def _may_be_deep(text):
    # Counting is faster than visiting every value, and enough for most texts.
    return text.count("[") + text.count("{") > MAX_JSON_DEPTH


def _is_deep(document):
    level = [document]
    for _ in range(MAX_JSON_DEPTH):
        inner = []
        for value in level:
            if isinstance(value, dict):
                inner += value.values()
            elif isinstance(value, list):
                inner += value
        level = inner
        if not level:
            return False
    return any(isinstance(value, (dict, list)) for value in level)


def read_object(text):
    """Returns the JSON object in a text; see `read_json`.

    Raises:
        OptionError: The text is not a JSON object.
    """
    document = read_json(text)
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


def get_int(options, name, default=None, low=0, high=MAX_INTEGER):
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
    if not isinstance(value, str) or value not in choices:
        raise OptionError(name, value, "one of " + ", ".join(sorted(choices)))
    return value


def get_object(options, name, default=None):
    """Returns a JSON object."""
    value = _get(options, name, default)
    if not isinstance(value, dict):
        raise OptionError(name, value, "an object")
    return value


def get_list(options, name, default=None, max_length=100_000):
    """Returns a list of any values."""
    value = _get(options, name, default)
    if not isinstance(value, (list, tuple)) or len(value) > max_length:
        raise OptionError(name, value, f"a list of at most {max_length} items")
    return value


def get_string_list(options, name, default=None, max_length=1000):
    """Returns a tuple of strings."""
    value = get_list(options, name, default, max_length)
    if not all(
        isinstance(item, str) and len(item) <= _MAX_ITEM_LENGTH for item in value
    ):
        allowed = f"strings of at most {_MAX_ITEM_LENGTH} characters"
        raise OptionError(name, value, allowed)
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
    host, _, port = value.rpartition(":")
    if not _is_host(host) or not _is_port(port):
        raise OptionError(name, value, allowed)
    return host, int(port)


def get_peer_address(options, name):
    """Returns the (host, port) pair of another process, which is to be dialled.

    A host name is rejected: name resolution blocks the whole process.
    """
    host, port = get_address(options, name)
    if not _is_ip_number(host):
        raise OptionError(name, host, "an IP number")
    if not port:
        raise OptionError(name, port, "a port from 1")
    return host, port


def _is_ip_number(host):
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        return True
    return False


def _is_host(text):
    # A socket fails on other characters, partly with errors other than `OSError`.
    printable = text.isascii() and text.isprintable() and " " not in text
    return 0 < len(text) <= _MAX_HOST_LENGTH and printable


def _is_port(text):
    # `int` accepts digits of other scripts, and `isdigit` even more than `int`.
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(_MAX_PORT))
    return is_number and int(text) <= _MAX_PORT
