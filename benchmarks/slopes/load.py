"""
benchmarks.slopes.load
~~~~~~~~~~~~~~~~~~~~~~

Load of the measured processes.
"""

import json
import time
from http.client import HTTPException

import gevent
from geventhttpclient import HTTPClient

__all__ = ["LOAD_DEFAULTS", "Callers", "OpenLoop"]

LOAD_DEFAULTS = {"executors": 50, "tasks_s": 1000, "job_size": 100, "tenants": 68}


class OpenLoop:
    """Calls a function at a fixed rate (open loop) until it is stopped."""

    def __init__(self, rate, function):
        self.called = 0
        self._task = gevent.spawn(self._run, rate, function)

    def stop(self):
        """Ends the calls."""
        self._task.kill()

    def _run(self, rate, function):
        due = time.monotonic()
        while True:
            due += 1 / rate
            gevent.sleep(max(0.0, due - time.monotonic()))
            function(self.called)
            self.called += 1


class Callers:
    """Callers of an entry that submit jobs over persistent connections."""

    def __init__(self, address, job_size, tenants, connections=64):
        host, _, port = address.rpartition(":")
        self._client = HTTPClient(
            host, int(port), concurrency=connections, network_timeout=30.0
        )
        tasks = [{"work_ms": 0}] * job_size
        self._bodies = [
            json.dumps(
                {
                    "service": "dispatch",
                    "tenant": f"t{n}",
                    "class": "c1",
                    "tasks": tasks,
                }
            ).encode()
            for n in range(tenants)
        ]
        self.answered = 0
        self.refused = 0

    def submit(self, number):
        """Submits one job in a new greenlet."""
        gevent.spawn(self._submit, number)

    def _submit(self, number):
        body = self._bodies[number % len(self._bodies)]
        try:
            response = self._client.post("/v1/jobs", body=body)
            response.read()
        except (OSError, HTTPException):
            # At the end of a window the entry is stopped while callers wait.
            self.refused += 1
            return
        if response.status_code == 200:
            self.answered += 1
        else:
            self.refused += 1
