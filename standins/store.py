"""
standins.store
~~~~~~~~~~~~~~

Stand-in of the platform's key-value service, in the JSON form of etcd v3.

Faults are set with `POST /control`: `mode` is `ok`, `down` (503 after a while),
`slow` (answers after `delay_s`) or `lose` (writes take effect, their answers
never come).
"""

import argparse
import json
import sys
import time
from base64 import b64decode

import gevent
from gevent.pywsgi import WSGIServer

__all__ = ["Store", "main"]


_LOST_ANSWER_S = 30.0


class Store:
    """Keys with revisions and leases, and the faults that are switched on."""

    def __init__(self):
        self._values = {}
        self._revision = 1
        self._leases = {}
        self._mode = "ok"
        self._delay_s = 0.0
        self.calls = {}

    def handle(self, environ, start_response):
        """WSGI application."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        document = json.loads(environ["wsgi.input"].read(length) or b"{}")
        if path == "/control":
            return _reply(start_response, 200, self._control(document))
        self.calls[path] = self.calls.get(path, 0) + 1
        if self._mode == "down":
            return _reply(start_response, 503, {"error": "unavailable"})
        if self._mode == "slow":
            gevent.sleep(self._delay_s)
        operation = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
        }.get(path)
        if operation is None:
            return _reply(start_response, 404, {"error": "no such call"})
        answer = operation(document)
        if self._mode == "lose" and path == "/v3/kv/txn":
            # Longer than any client waits: the write took effect unanswered.
            gevent.sleep(_LOST_ANSWER_S)
        return _reply(start_response, 200, answer)

    def _control(self, document):
        if "mode" in document:
            self._mode = document["mode"]
            self._delay_s = document.get("delay_s", 0.0)
        return {"mode": self._mode, "calls": self.calls, "revision": self._revision}

    def _live(self, key):
        entry = self._values.get(key)
        if entry is None:
            return None
        expires = self._leases.get(entry[2])
        if entry[2] and (expires is None or expires < time.monotonic()):
            del self._values[key]
            return None
        return entry

    def _range(self, document):
        key = document["key"]
        entry = self._live(key)
        if entry is None:
            return {"header": {"revision": str(self._revision)}}
        found = {"key": key, "mod_revision": str(entry[1])}
        if not document.get("keys_only"):
            found["value"] = entry[0]
        header = {"revision": str(self._revision)}
        return {"header": header, "kvs": [found], "count": "1"}

    def _txn(self, document):
        holds = True
        for compare in document.get("compare", ()):
            entry = self._live(compare["key"])
            revision = 0 if entry is None else entry[1]
            holds = holds and revision == int(compare["mod_revision"])
        responses = []
        for operation in document.get("success" if holds else "failure", ()):
            if "request_put" in operation:
                self._put(operation["request_put"])
                responses.append({"response_put": {}})
            else:
                found = self._range(operation["request_range"])
                responses.append({"response_range": found})
        return {"succeeded": holds, "responses": responses}

    def _put(self, put):
        if len(b64decode(put["value"])) > 1_000_000:
            raise ValueError("value larger than a megabyte")
        self._revision += 1
        lease = int(put.get("lease") or 0)
        self._values[put["key"]] = (put["value"], self._revision, lease)

    def _grant(self, document):
        lease = len(self._leases) + 1
        self._leases[lease] = time.monotonic() + int(document["TTL"])
        return {"ID": str(lease), "TTL": document["TTL"]}


def _reply(start_response, status, document):
    body = json.dumps(document).encode()
    phrase = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}[status]
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status} {phrase}", headers)
    return [body]


def main(args):
    """Runs the stand-in until it is killed."""
    parser = argparse.ArgumentParser(prog="standins.store")
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args(args)
    address = ("127.0.0.1", options.port)
    WSGIServer(address, Store().handle, log=None, error_log=None).serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
