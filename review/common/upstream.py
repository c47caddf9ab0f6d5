"""Stand-in of a runner of the platform (an upstream), as PROTOCOL.md describes it.

The `spec` of a job is the run time of its tasks in milliseconds.
"""

import json
import random
import time
from dataclasses import dataclass

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from papayaward.transport.upstream_http import (
    NotSent,
    UpstreamClient,
    UpstreamConnectionLost,
)

_MAX_HOLD_MS = 1000
_KILL_S = 0.02
_HEARTBEAT_S = 1.5
# Orders that are carried out late, seconds (`applied_late`).
_LATE_S = (2.0, 12.0)
_NO_ANSWER_S = 600.0


@dataclass
class RunRecord:
    """One run of a task, for the check."""

    upstream: str
    task: str
    run: int
    started_at: float
    work_s: float
    ended_at: float | None = None
    how: str = ""

    def percent(self, now):
        """Returns the share of its work that is done."""
        return min(99, int(100 * (now - self.started_at) / max(self.work_s, 0.001)))


class Lifetime:
    """One life of an upstream: what it runs, its ends, its lease and its clock."""

    def __init__(self, name, records, clock_ms=0):
        self.name = name
        self._first_clock_ms = clock_ms
        self.born_ms = int(time.time() * 1000)
        self.records = records
        self.crashed = False
        self._started = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._running = {}
        self._highest = {}
        self._ends = []
        self._count = 0
        self._changed = Event()
        self._lease = gevent.spawn(self._watch_lease)

    @property
    def clock_ms(self):
        elapsed_ms = int((time.monotonic() - self._started) * 1000)
        return self._first_clock_ms + elapsed_ms

    def end_all(self):
        """Ends what runs, as a crash does."""
        self.crashed = True
        self._lease.kill(block=False)
        for record in self._running.values():
            record.ended_at, record.how = time.monotonic(), "crashed"
        self._running.clear()

    def handle(self, call, body):
        """Returns the status and the reply to a call."""
        if self.crashed:
            return 503, {}
        token = body.get("fencing_token", 0)
        if token < self._token:
            return 409, self._reply(reason="fence")
        self._token = token
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        if call == "hold":
            return self._hold(body)
        return 400, self._reply()

    def _reply(self, **fields):
        return {"clock_ms": self.clock_ms, "born": self.born_ms, **fields}

    def _extend(self, deadline_ms):
        latest = self.clock_ms + _MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def _start(self, body):
        task, run = body["task"], body["run_id"]
        if body["deadline_ms"] <= self.clock_ms:
            return 409, self._reply(reason="late")
        self._extend(body["deadline_ms"])
        if (task, run) in self._running:
            return 200, self._reply()
        if run <= self._highest.get(task, 0):
            return 409, self._reply(reason="old")
        work_s = int(body["spec"]) / 1000.0
        record = RunRecord(self.name, task, run, time.monotonic(), work_s)
        self.records.append(record)
        self._running[task, run] = record
        gevent.spawn_later(work_s, self._end, task, run, "done")
        return 200, self._reply()

    def _stop(self, body):
        task, run = body["task"], body["run_id"]
        self._highest[task] = max(run, self._highest.get(task, 0))
        gevent.spawn_later(_KILL_S, self._end, task, run, "stopped")
        return 200, self._reply()

    def _hold(self, body):
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        seen = body.get("last_seen", 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        while not self._ends and time.monotonic() < until and not self.crashed:
            self._changed.clear()
            self._changed.wait(max(0.0, until - time.monotonic()))
        now = time.monotonic()
        running = [
            [task, run, "", record.percent(now), 0]
            for (task, run), record in self._running.items()
        ]
        return 200, self._reply(running=running, ended=self._ends[:500])

    def _end(self, task, run, how):
        record = self._running.pop((task, run), None)
        if record is None:
            return
        record.ended_at, record.how = time.monotonic(), how
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._count += 1
        self._ends.append([self._count, task, run, how, ""])
        self._changed.set()

    def _watch_lease(self):
        while True:
            gevent.sleep(0.005)
            if self._running and self.clock_ms > self._deadline_ms:
                for task, run in list(self._running):
                    self._end(task, run, "lapsed")


class Upstream:
    """An upstream on its machine: serves its calls and sends its liveness reports.

    Attributes:
        records: `RunRecord` of each run of all its lifetimes.
        late_share: Share of the orders (starts and stops) that get no answer and are
            carried out late.
        first_report_s: Time from the start of a lifetime to its first report, seconds.
        clock_ms: Clock of the next lifetime when it starts, milliseconds.
    """

    def __init__(self, name, settings, cores, labels=("a", "r1-1")):
        self.name = name
        self.records = []
        self.late_share = 0.0
        self.first_report_s = 0.0
        self.clock_ms = 0
        self._random = random.Random(name)
        self._settings = settings
        self._cores = cores
        self._labels = list(labels)
        self._life = None
        self._server = None
        self._reporter = None

    @property
    def address(self):
        """(host, port) that it serves; a proxy stands at its own address."""
        host, port = self._settings["app"].split(":")
        return host, int(port) + 1000

    def start(self):
        """Begins a lifetime, under the same id."""
        self._life = Lifetime(self.name, self.records, self.clock_ms)
        self._server = WSGIServer(self.address, self._handle, log=None)
        self._server.start()
        self._reporter = gevent.spawn(self._report, self._life)

    def stop(self):
        """Ends the lifetime, as a crash does."""
        if self._reporter is not None:
            self._reporter.kill()
            self._life.end_all()
            self._server.stop(timeout=0)

    def _handle(self, environ, start_response):
        life = self._life
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        call = environ["PATH_INFO"].removeprefix("/papayaward/")
        if environ.get("HTTP_EXPECT_INSTANCE", life.name) != life.name:
            status, reply = 421, {"clock_ms": life.clock_ms, "born": life.born_ms}
        elif call != "hold" and self._random.random() < self.late_share:
            delay_s = self._random.uniform(*_LATE_S)
            gevent.spawn_later(delay_s, life.handle, call, body)
            gevent.sleep(_NO_ANSWER_S)
            return []
        else:
            status, reply = life.handle(call, body)
        content = json.dumps(reply).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        start_response(f"{status} Status", headers)
        return [content]

    def _report(self, life):
        host, port = self._settings["listen_addrs"]["control"].split(":")
        client = UpstreamClient(host, int(port))
        number = 0
        gevent.sleep(self.first_report_s)
        while True:
            number += 1
            document = {
                "service": self._settings["service"],
                "address": self._settings["app"],
                "zone": self._settings["zone"],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": 1000 * self._cores, "mem_mb": 32768, "gpus": 0},
                "labels": self._labels,
                "clock_ms": life.clock_ms,
                "seq_no": number,
                "born": life.born_ms,
            }
            path = f"/papayaward/instances/{life.name}"
            try:
                client.request("PUT", path, json.dumps(document).encode(), {})
                gevent.sleep(_HEARTBEAT_S)
            except (NotSent, UpstreamConnectionLost):
                # The process on this machine is not up yet.
                gevent.sleep(0.2)
