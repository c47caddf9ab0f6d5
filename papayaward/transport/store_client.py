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

from ..protocol.store_errors import StoreError, StoreRefused

__all__ = [
    "StoreClient",
    "StoreValue",
    "delete_operation",
    "put_operation",
]

_TIMEOUT_S = 1.0


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
        reply = self._call("/v3/kv/range", {"key": _encode(key), "keys_only": True})
        values = reply.get("kvs", ())
        return int(values[0]["mod_revision"]) if values else 0

    def get(self, key):
        """Returns the `StoreValue` of a key, or None.

        Raises:
            StoreError: The store did not answer.
        """
        reply = self._call("/v3/kv/range", {"key": _encode(key)})
        return _first_value(reply)

    def list(self, first, end, limit):
        """Returns the values of the last keys in [first, end), in descending order.

        Args:
            first: First key, str.
            end: End of the range, exclusive, str.
            limit: Maximum number of values.

        Returns:
            list: bytes.

        Raises:
            StoreError: The store did not answer.
        """
        reply = self._call(
            "/v3/kv/range",
            {
                "key": _encode(first),
                "range_end": _encode(end),
                "limit": str(limit),
                "sort_order": "DESCEND",
                "sort_target": "KEY",
            },
        )
        return [b64decode(item.get("value", "")) for item in reply.get("kvs", ())]

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
        reply = self._call(
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
        )
        if reply.get("succeeded"):
            return True, None
        responses = reply.get("responses", [{}])
        return False, _first_value(responses[0].get("response_range", {}))

    def grant_lease(self, ttl_s):
        """Returns the identifier of a new lease.

        Raises:
            StoreError: The store did not answer.
        """
        reply = self._call("/v3/lease/grant", {"TTL": str(int(ttl_s)), "ID": "0"})
        return int(reply["ID"])

    def _call(self, path, document):
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
            return json.loads(content)
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


def _first_value(reply):
    values = reply.get("kvs", ())
    if not values:
        return None
    first = values[0]
    return StoreValue(b64decode(first.get("value", "")), int(first["mod_revision"]))
