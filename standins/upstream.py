"""
standins.upstream
~~~~~~~~~~~~~~~~~

Stand-in of an upstream: runs tasks as sleeps and records each start.

A task is a JSON object; `work_ms` is its service time on an upstream of speed 1
and `echo` is returned in the result. Tests check the start records
(`GET /records`). A task with `crash` ends the process after its service time. Faults
are set with `POST /control`: `mode` is `ok`, `fail` (500 at once), `hang`, `busy` (429)
or `slow` (service times multiplied by `factor`).
"""

import argparse
import json
import os
import sys
import time

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler
from geventhttpclient import HTTPClient

from papayaward.transport.http_server import serve_http

__all__ = ["Upstream", "main"]

_PHRASES = {200: "OK", 404: "Not Found", 429: "Too Many Requests", 500: "Failed"}


class Upstream:
    """One upstream and its start records.

    Args:
        options: Command-line options.
    """

    def __init__(self, options):
        self._options = options
        self._mode = "ok"
        self._factor = 1.0
        self._running = 0
        self._leaving = False
        self._announcing = True
        self.records = []

    def handle(self, environ, start_response):
        """WSGI application."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if path == "/run":
            status, document = self._run(environ, body)
        elif path == "/records":
            status, document = 200, {"records": self.records}
        elif path == "/control":
            status, document = 200, self._control(json.loads(body))
        else:
            status, document = 404, {}
        content = json.dumps(document).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        start_response(f"{status} {_PHRASES[status]}", headers)
        return [content]

    def announce_forever(self):
        """Announces the upstream to its runner every half second."""
        host, _, port = self._options.runner.rpartition(":")
        while True:
            if self._announcing:
                document = {
                    "service": self._options.service,
                    "address": f"127.0.0.1:{self._options.port}",
                    "slots": self._options.declared or self._options.slots,
                    "leaving": self._leaving,
                    "instance": str(id(self)),
                }
                client = HTTPClient(host, int(port), connection_timeout=1.0)
                try:
                    client.post("/announce", body=json.dumps(document)).read()
                except Exception:
                    gevent.sleep(0.05)
                finally:
                    client.close()
            gevent.sleep(0.5)

    def _run(self, environ, body):
        if self._mode == "busy" or self._running >= self._options.slots:
            return 429, {"error": "no free slot"}
        task = json.loads(body)
        record = {
            "job": environ["HTTP_PAPAYAWARD_JOB"],
            "task": int(environ["HTTP_PAPAYAWARD_TASK"]),
            "attempt": int(environ["HTTP_PAPAYAWARD_ATTEMPT"]),
            "tenant": environ["HTTP_PAPAYAWARD_TENANT"],
            "domain": self._options.domain,
            "upstream": self._options.name,
            "start": time.time(),
            "end": None,
        }
        self.records.append(record)
        self._running += 1
        try:
            return self._execute(task, record, environ)
        finally:
            self._running -= 1

    def _execute(self, task, record, environ):
        if self._mode == "fail" or task.get("fail"):
            return 500, {"error": "failed on purpose"}
        if self._mode == "hang":
            gevent.sleep(3600)
        seconds = task.get("work_ms", 0) / 1000 / self._options.speed * self._factor
        if not _sleep_while_connected(environ, seconds):
            record["aborted"] = time.time()
            return 500, {"error": "the client went away"}
        if task.get("crash"):
            os._exit(1)
        record["end"] = time.time()
        return 200, {"echo": task.get("echo"), "upstream": self._options.name}

    def _control(self, document):
        self._mode = document.get("mode", self._mode)
        self._factor = document.get("factor", self._factor)
        self._leaving = document.get("leaving", self._leaving)
        self._announcing = document.get("announcing", self._announcing)
        return {"mode": self._mode, "running": self._running}


class _Handler(WSGIHandler):
    def get_environ(self):
        return {**super().get_environ(), "standin.socket": self.socket}


def _sleep_while_connected(environ, seconds):
    """Sleeps and returns whether the client was still connected at the end."""
    sock = environ["standin.socket"]
    try:
        with gevent.Timeout(max(seconds, 0.0001), False):
            # During a request the socket becomes readable only when the client closes
            # the connection.
            gevent.socket.wait_read(sock.fileno())
            return sock.recv(1, socket.MSG_PEEK) != b""
    except OSError:
        return False
    return True


def main(args):
    """Runs the stand-in until it is killed."""
    parser = argparse.ArgumentParser(prog="standins.upstream")
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--runner", required=True, help="HTTP address of the runner")
    parser.add_argument("--service", default="dispatch")
    parser.add_argument("--domain", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument(
        "--declared", type=int, help="number of slots that it announces"
    )
    parser.add_argument("--speed", type=float, default=1.0)
    options = parser.parse_args(args)
    upstream = Upstream(options)
    gevent.spawn(upstream.announce_forever)
    address = ("127.0.0.1", options.port)
    serve_http(address, upstream.handle, handler_class=_Handler)
    gevent.sleep(1e9)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
