"""
standins.platform_store
~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of the platform's metadata store, with keys, leases, watches and faults.
"""

import json
import time
from base64 import b64decode, b64encode
from urllib.parse import parse_qs

import gevent
from gevent.pywsgi import WSGIServer

__all__ = ["PlatformStoreStandIn"]

_POLL_S = 0.01
_NO_ANSWER_S = 3600


class PlatformStoreStandIn:
    """The store and its HTTP interface.

    Args:
        address: (host, port) to serve.

    Attributes:
        mode: `ok`, `busy` (503), `silent` (no answer) or `lossy` (writes are
            executed but not answered).
        compacted_revision: Watches from an earlier revision fail with 410.
        calls: Number of calls by path.
        address_map: Replacements for addresses in the values returned to readers,
            so that connections to a process go through a proxy.
    """

    def __init__(self, address):
        self.address = address
        self.mode = "ok"
        self.compacted_revision = 0
        self.calls = {}
        self.address_map = {}
        self._revision = 1
        self._items = {}
        self._history = []
        self._leases = {}
        self._server = WSGIServer(address, self._handle, log=None)
        self._server.start()
        gevent.spawn(self._expire_leases)

    def put(self, key, document):
        """Writes a key as an operator does."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key, value):
        """Writes a key as another program does, which may write any bytes."""
        self._write(key, b64encode(value).decode(), 0)

    def delete(self, key):
        """Removes a key."""
        if key in self._items:
            self._revision += 1
            del self._items[key]
            self._history.append((self._revision, key, None))

    def keys(self, prefix):
        """Returns the keys under a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def stop(self):
        """Stops the server."""
        self._server.stop(timeout=0)

    def _write(self, key, value, lease):
        self._revision += 1
        created = self._items.get(key, {}).get("created_rev", self._revision)
        item = {
            "key": key,
            "value": value,
            "rev": self._revision,
            "created_rev": created,
            "lease_id": lease,
        }
        self._items[key] = item
        self._history.append((self._revision, key, item))

    def _handle(self, environ, start_response):
        path = environ["PATH_INFO"].removeprefix("/papayaward/")
        self.calls[path] = self.calls.get(path, 0) + 1
        body = environ["wsgi.input"].read()
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        if self.mode == "silent":
            gevent.sleep(_NO_ANSWER_S)
        if self.mode == "busy":
            return _reply(start_response, "503 Busy", {})
        status, document = self._execute(path, query, json.loads(body or b"{}"))
        if self.mode == "lossy" and environ["REQUEST_METHOD"] == "POST":
            gevent.sleep(_NO_ANSWER_S)
        return _reply(start_response, status, document)

    def _execute(self, path, query, body):
        if path == "kv-range":
            items = [self._read_item(key) for key in self.keys(query["prefix"])]
            return "200 OK", {
                "items": items,
                "has_more": False,
                "at_rev": self._revision,
            }
        if path == "kv-watch":
            return self._watch(query)
        if path == "kv-txn":
            expected = body["expect"]
            if any(self._revision_of(row["key"]) != row["rev"] for row in expected):
                keys = [row["key"] for row in expected if row["key"] in self._items]
                return "412 Precondition Failed", {
                    "items": [self._read_item(key) for key in keys]
                }
            for write in body["writes"]:
                if write["lease_id"] and write["lease_id"] not in self._leases:
                    return "404 Not Found", {}
                self._write(write["key"], write["value"], write["lease_id"])
            return "200 OK", {"rev": self._revision}
        if path == "kv-lease":
            lease = len(self._leases) + 1
            self._leases[lease] = [time.monotonic(), body["ttl_ms"]]
            return "200 OK", {"lease_id": lease, "ttl_ms": body["ttl_ms"]}
        name, _, lease = path.partition("/")
        if int(lease or 0) not in self._leases:
            return "404 Not Found", {}
        if name == "kv-keep":
            self._leases[int(lease)][0] = time.monotonic()
        else:
            self.revoke_lease(int(lease))
        return "200 OK", {}

    def _revision_of(self, key):
        return self._items[key]["rev"] if key in self._items else 0

    def _read_item(self, key):
        item = self._items[key]
        value = b64decode(item["value"])
        for address, proxy in self.address_map.items():
            value = value.replace(address.encode(), proxy.encode())
        return {**item, "value": b64encode(value).decode()}

    def _watch(self, query):
        after = int(query["after"])
        if after < self.compacted_revision:
            return "410 Gone", {}
        until = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while True:
            events = [
                item or {"key": key, "rev": revision, "compacted": True}
                for revision, key, item in self._history
                if revision > after and key.startswith(query["prefix"])
            ]
            if events or time.monotonic() > until:
                return "200 OK", {"events": events, "at_rev": self._revision}
            gevent.sleep(_POLL_S)

    def revoke_lease(self, lease):
        """Revokes a lease and removes its keys."""
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease_id"] == lease:
                self.delete(key)

    def revoke_leases(self):
        """Revokes every lease, as when they expire during an outage."""
        for lease in list(self._leases):
            self.revoke_lease(lease)

    def _expire_leases(self):
        while True:
            gevent.sleep(_POLL_S)
            for lease, (renewed, ttl_ms) in list(self._leases.items()):
                if time.monotonic() > renewed + ttl_ms / 1000.0:
                    self.revoke_lease(lease)


def _reply(start_response, status, document):
    content = json.dumps(document).encode()
    start_response(status, [("Content-Length", str(len(content)))])
    return [content]
