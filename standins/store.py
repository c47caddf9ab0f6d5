"""
standins.store
~~~~~~~~~~~~~~

Stand-in of the platform's key-value service, with the JSON interface of etcd v3.

Faults are set with `POST /control`: `mode` is `ok`, `down` (503), `slow` (executes
calls after `delay_s`, even if the client has timed out) or `lose` (writes take
effect but are not answered). `paths` limits the fault to some calls.
`wipe` removes every key, as in a store restored from an empty backup.
"""

import argparse
import json
import sys
import time
from base64 import b64decode, b64encode
from http import HTTPStatus

import gevent
from gevent import socket
from gevent.pywsgi import WSGIServer

__all__ = ["Store", "main"]

_MAX_VALUE_BYTES = 1_000_000
_LOST_ANSWER_S = 30.0


class _BadRequest(Exception):
    """Request that the store rejects."""


class Store:
    """Keys with revisions and leases, and the faults that are set."""

    def __init__(self):
        self._values = {}
        self._revision = 1
        self._leases = {}
        self._mode = "ok"
        self._delay_s = 0.0
        self._paths = None
        self.calls = {}

    def handle(self, environ, start_response):
        """WSGI application."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        document = json.loads(environ["wsgi.input"].read(length) or b"{}")
        if path == "/control":
            return _reply(start_response, 200, self._control(document))
        self.calls[path] = self.calls.get(path, 0) + 1
        faulty = self._paths is None or path in self._paths
        mode = self._mode if faulty else "ok"
        if mode == "down":
            return _reply(start_response, 503, {"error": "unavailable"})
        if mode == "slow":
            gevent.sleep(self._delay_s)
        operation = {
            "/v3/kv/range": self._range,
            "/v3/kv/deleterange": self._delete,
            "/v3/kv/txn": self._execute_txn,
            "/v3/lease/grant": self._grant_lease,
        }.get(path)
        if operation is None:
            return _reply(start_response, 404, {"error": "no such call"})
        try:
            answer = operation(document)
        except _BadRequest as error:
            return _reply(start_response, 400, {"error": str(error), "code": 3})
        if mode == "lose" and path == "/v3/kv/txn":
            # Longer than every client time-out: the write has taken effect, but the
            # client gets no answer.
            gevent.sleep(_LOST_ANSWER_S)
        return _reply(start_response, 200, answer)

    def _control(self, document):
        if "mode" in document:
            self._mode = document["mode"]
            self._delay_s = document.get("delay_s", 0.0)
            self._paths = document.get("paths")
        if document.get("wipe"):
            self._values.clear()
        return {"mode": self._mode, "calls": self.calls, "revision": self._revision}

    def _get_live(self, key):
        entry = self._values.get(key)
        if entry is None:
            return None
        expires = self._leases.get(entry[2])
        if entry[2] and (expires is None or expires < time.monotonic()):
            del self._values[key]
            return None
        return entry

    def _live_keys(self, document):
        """Returns the live keys of a range, in order."""
        first = b64decode(document["key"])
        end = b64decode(document.get("range_end", ""))
        if not end:
            return [first] if self._get_live(first) else []
        found = [key for key in self._values if first <= key < end]
        return sorted(key for key in found if self._get_live(key))

    def _range(self, document):
        keys = self._live_keys(document)
        if document.get("sort_order") == "DESCEND":
            keys.reverse()
        count = len(keys)
        limit = int(document.get("limit") or 0) or count
        found = []
        for key in keys[:limit]:
            value, revision, _ = self._values[key]
            item = {"key": b64encode(key).decode(), "mod_revision": str(revision)}
            found.append(
                item if document.get("keys_only") else {**item, "value": value}
            )
        answer = {"header": {"revision": str(self._revision)}}
        if found:
            answer.update(kvs=found, count=str(count))
        return {**answer, "more": True} if count > limit else answer

    def _delete(self, document):
        keys = self._live_keys(document)
        if keys:
            self._revision += 1
        for key in keys:
            del self._values[key]
        header = {"revision": str(self._revision)}
        return {"header": header, "deleted": str(len(keys))}

    def _execute_txn(self, document):
        matches = True
        for compare in document.get("compare", ()):
            entry = self._get_live(b64decode(compare["key"]))
            revision = 0 if entry is None else entry[1]
            matches = matches and revision == int(compare["mod_revision"])
        operations = document.get("success" if matches else "failure", ())
        _check_operations(operations)
        # All changes of a transaction have the same revision.
        revision = self._revision + 1
        responses = []
        for operation in operations:
            ((kind, body),) = operation.items()
            if kind == "request_put":
                self._put(body, revision)
                responses.append({"response_put": {}})
            elif kind == "request_delete_range":
                responses.append({"response_delete_range": self._delete(body)})
                self._revision = min(self._revision, revision)
            else:
                responses.append({"response_range": self._range(body)})
        return {"succeeded": matches, "responses": responses}

    def _put(self, put, revision):
        self._revision = revision
        lease = int(put.get("lease") or 0)
        self._values[b64decode(put["key"])] = (put["value"], revision, lease)

    def _grant_lease(self, document):
        lease = len(self._leases) + 1
        self._leases[lease] = time.monotonic() + int(document["TTL"])
        return {"ID": str(lease), "TTL": document["TTL"]}


def _check_operations(operations):
    """Raises `_BadRequest` for operations that the real store rejects in advance."""
    puts = [o["request_put"] for o in operations if "request_put" in o]
    keys = [b64decode(put["key"]) for put in puts]
    if len(set(keys)) < len(keys):
        raise _BadRequest("duplicate key given in txn request")
    for operation in operations:
        delete = operation.get("request_delete_range")
        if delete is not None:
            first = b64decode(delete["key"])
            end = b64decode(delete.get("range_end", "")) or first + b"\0"
            if any(first <= key < end for key in keys):
                raise _BadRequest("duplicate key given in txn request")
    if any(len(b64decode(put["value"])) > _MAX_VALUE_BYTES for put in puts):
        raise _BadRequest("request is too large")


def _reply(start_response, status, document):
    body = json.dumps(document).encode()
    phrase = HTTPStatus(status).phrase
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status} {phrase}", headers)
    return [body]


def main(args):
    """Runs the stand-in until it is killed."""
    parser = argparse.ArgumentParser(prog="standins.store")
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args(args)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # The server sends head and body separately; without TCP_NODELAY each answer
    # waits 40 ms for the client's delayed acknowledgement.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind(("127.0.0.1", options.port))
    listener.listen(256)
    WSGIServer(listener, Store().handle, log=None, error_log=None).serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
