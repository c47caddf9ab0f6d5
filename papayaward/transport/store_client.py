"""
papayaward.transport.store_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's key-value service, in the JSON form of the etcd v3 protocol.
"""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass

import gevent
from geventhttpclient import HTTPClient

from ..protocol.options import (
    OptionError,
    get_int,
    get_list,
    get_object,
    get_string,
    read_object,
)
from ..protocol.store_errors import StoreError, StoreRefused

__all__ = [
    "StoreClient",
    "StoreValue",
    "delete_operation",
    "put_operation",
]

_TIMEOUT_S = 1.0
_MAX_INT64 = 2**63 - 1
_MAX_INT64_DIGITS = 19
# Base64 text of the largest value, with a margin.
_MAX_VALUE_CHARACTERS = 4 << 20


@dataclass(frozen=True)
class StoreValue:
    """A value of the store.

    Attributes:
        value: bytes.
        revision: Revision of its last change, for compare-and-swap.
    """

    value: bytes
    revision: int


def put_operation(key, value, lease=0):
    """Returns the operation that writes a value, for `StoreClient.compare_and_swap`."""
    value = b64encode(value).decode()
    return {"request_put": {"key": _encode(key), "value": value, "lease": str(lease)}}


def delete_operation(first, end):
    """Returns the operation that deletes the keys in the range [first, end)."""
    keys = {"key": _encode(first), "range_end": _encode(end)}
    return {"request_delete_range": keys}


class StoreClient:
    """Client of the store; switches to the next address after a failed call.

    Args:
        addresses: (host, port) pairs.
    """

    def __init__(self, addresses):
        self._clients = [
            HTTPClient(
                host,
                port,
                concurrency=16,
                connection_timeout=_TIMEOUT_S,
                network_timeout=_TIMEOUT_S,
            )
            for host, port in addresses
        ]
        self._current = 0

    def revision(self, key):
        """Returns the revision of a key's last change, 0 if it is absent.

        Raises:
            StoreError: The store did not answer.
        """
        query = {"key": _encode(key), "keys_only": True}
        return self._call("/v3/kv/range", query, _read_revision)

    def get(self, key):
        """Returns the `StoreValue` of a key, or None.

        Raises:
            StoreError: The store did not answer.
        """
        return self._call("/v3/kv/range", {"key": _encode(key)}, _read_first_value)

    def list(self, first, end, limit):
        """Returns the values of the last keys in [first, end), the last key first.

        Args:
            first: First key, str.
            end: End of the range, exclusive, str.
            limit: Maximum number of values.

        Returns:
            dict: bytes by key.

        Raises:
            StoreError: The store did not answer.
        """
        query = {
            "key": _encode(first),
            "range_end": _encode(end),
            "limit": str(limit),
            "sort_order": "DESCEND",
            "sort_target": "KEY",
        }
        return self._call("/v3/kv/range", query, _read_values)

    def compare_and_swap(self, key, value, revision, lease=0, operations=()):
        """Writes a value if the key's revision is still the given one.

        Args:
            key: str.
            value: bytes.
            revision: Expected revision, 0 for an absent key.
            lease: Lease that the value is bound to, 0 for none.
            operations: Further operations, applied atomically with the write.

        Returns:
            tuple: Whether the write took effect, and the `StoreValue` found if not.

        Raises:
            StoreRefused: The store refused the write.
            StoreError: The store did not answer; the write may have taken effect.
        """
        encoded = _encode(key)
        return self._call(
            "/v3/kv/txn",
            {
                "compare": [
                    {
                        "key": encoded,
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": str(revision),
                    }
                ],
                "success": [put_operation(key, value, lease), *operations],
                "failure": [{"request_range": {"key": encoded}}],
            },
            _read_swap,
        )

    def grant_lease(self, ttl_s):
        """Returns the identifier of a new lease.

        Raises:
            StoreError: The store did not answer.
        """
        query = {"TTL": str(int(ttl_s)), "ID": "0"}
        return self._call("/v3/lease/grant", query, _read_lease)

    def _call(self, path, document, read_reply):
        """Sends a request and returns its decoded reply.

        Args:
            path: Path of the request.
            document: JSON document to send.
            read_reply: Function that takes the object in the reply and returns the
                result, or raises `OptionError`.
        """
        body = json.dumps(document)
        client = self._clients[self._current]
        try:
            with gevent.Timeout(_TIMEOUT_S, StoreError("the store did not answer")):
                response = client.post(path, body=body)
                content = response.read()
            if response.status_code == 400:
                raise StoreRefused(f"the store refused the call: {content[:200]}")
            if response.status_code != 200:
                raise StoreError(f"the store answered {response.status_code}")
            return read_reply(read_object(bytes(content)))
        except StoreError:
            self._switch_address()
            raise
        except Exception as error:
            self._switch_address()
            raise StoreError(str(error) or type(error).__name__) from error

    def _switch_address(self):
        self._current = (self._current + 1) % len(self._clients)


def _encode(key):
    return b64encode(key.encode()).decode()


def _read_items(reply):
    items = get_list(reply, "kvs", ())
    return [get_object({"kvs": item}, "kvs") for item in items]


def _read_revision(reply):
    items = _read_items(reply)
    return _get_int64(items[0], "mod_revision") if items else 0


def _read_first_value(reply):
    items = _read_items(reply)
    if not items:
        return None
    return StoreValue(
        _get_bytes(items[0], "value"), _get_int64(items[0], "mod_revision")
    )


def _read_values(reply):
    return {
        _get_bytes(item, "key").decode("utf-8", "replace"): _get_bytes(item, "value")
        for item in _read_items(reply)
    }


def _read_swap(reply):
    """Returns whether a write took effect, and the `StoreValue` found if not."""
    if reply.get("succeeded"):
        return True, None
    responses = get_list(reply, "responses", [{}])
    if not responses:
        raise OptionError("responses", responses, "a list of at least one object")
    response = get_object({"responses": responses[0]}, "responses")
    return False, _read_first_value(get_object(response, "response_range", {}))


def _read_lease(reply):
    return _get_int64(reply, "ID")


def _get_int64(item, name):
    """Returns a 64-bit integer, which the JSON form of the protocol writes as text."""
    value = item.get(name)
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value[: _MAX_INT64_DIGITS + 1])
    return get_int({name: value}, name, high=_MAX_INT64)


def _get_bytes(item, name):
    text = get_string(item, name, "", _MAX_VALUE_CHARACTERS)
    try:
        return b64decode(text, validate=True)
    except ValueError as error:
        raise OptionError(name, str(error), "base64 text") from error
