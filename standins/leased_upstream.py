"""
standins.leased_upstream
~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of an upstream that runs tasks under a lease and checks fencing tokens.

It is used in-process, as the client object of `UpstreamSession`, or over HTTP with
`serve`. Runs only wait: the spec of a job is the run time in milliseconds, or
`fail:MS` for a run that fails after that time. With `deadly:MS:INDEX,...` the tasks
with these indexes crash the upstream after that time; the others end then.
"""

import json
import time
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from papayaward.coordination.upstream_requests import (
    ConnectionBroken,
    NoReply,
    RunEnd,
    Unreachable,
    UpstreamReply,
)

__all__ = ["LeasedUpstream", "StartRecord", "serve"]

_STOP_DELAY_S = 0.01
# Time until a connection to a crashed instance is refused.
_REFUSAL_DELAY_S = 0.001
_POLL_S = 0.005
_MAX_CONNECTIONS = 2048
_PREFIX = "/papayaward/"


@dataclass
class StartRecord:
    """One started run, for checks in tests."""

    task: str
    run: int
    started_at: float
    ended_at: float | None = None
    outcome: str = ""


@dataclass
class _Fault:
    """Injected fault: requests get no reply and are executed late or never."""

    name: str
    delay_s: float | None = None
    times: int = 1


@dataclass
class LeasedUpstream:
    """One instance of an upstream.

    Attributes:
        instance: Identifier of the instance.
        max_lease_s: Maximum duration of a lease, in seconds.
        records: `StartRecord` of every run.
        token: Highest fencing token seen.
        silent: Whether requests, also those that wait for an end, get no reply.
        on_crash: Function called when a run has crashed the instance.
        loss: Function that returns after how many seconds the next request is executed
            without a reply; it returns None for a request that is handled as usual.
        order_loss: The same for starts and stops only.
        is_losing_starts: Whether starts get no reply and are not executed.
        is_unhealthy: Function that takes `start`, `stop` or `poll` and returns whether
            the next such request is refused without being executed.
        born_ms: Start of the lifetime, milliseconds, which replies tell; 0 if they
            don't.
        names_lifetime_in_lists_only: Whether only replies to polls tell `born_ms`.
        first_clock_ms: Clock at the start of the lifetime, milliseconds.
        clock_rate: Speed of the clock, relative to real time.
        next_lifetime: `LeasedUpstream` that executes the delayed requests once this
            instance has crashed; None if they are lost.
    """

    instance: str = "i-1"
    max_lease_s: float = 1.0
    records: list = field(default_factory=list)
    token: int = 0
    running: dict = field(default_factory=dict)
    last_runs: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    delayed_outcomes: list = field(default_factory=list)
    crashed: bool = False
    silent: bool = False
    loss: object = lambda: None
    order_loss: object = lambda: None
    on_crash: object = lambda: None
    is_losing_starts: bool = False
    is_unhealthy: object = lambda name: False
    born_ms: int = 0
    names_lifetime_in_lists_only: bool = False
    first_clock_ms: int = 1000
    clock_rate: float = 1.0
    next_lifetime: object = None

    def __post_init__(self):
        self._started = time.monotonic()
        self._lease_ms = 0
        self._end_count = 0
        gevent.spawn(self._enforce_lease)

    @property
    def clock_ms(self):
        """The monotonic clock of this instance, in milliseconds."""
        elapsed_ms = (time.monotonic() - self._started) * 1000 * self.clock_rate
        return int(elapsed_ms) + self.first_clock_ms

    def fail_request(self, name, delay_s=None, times=1):
        """Leaves the next requests of one type without a reply.

        Args:
            name: `start`, `stop` or `poll`.
            delay_s: Time after which a request is executed, in seconds; None for never.
            times: Number of requests.
        """
        self.faults.append(_Fault(name, delay_s, times))

    def mute(self, seconds, refuses_stops=False):
        """Executes requests without a reply for some time.

        Args:
            seconds: Duration, seconds.
            refuses_stops: Whether to refuse stops instead of executing them.
        """
        until = time.monotonic() + seconds
        self.loss = lambda: 0.0 if time.monotonic() < until else None
        if refuses_stops:
            self.is_unhealthy = lambda name: name == "stop" and time.monotonic() < until

    def crash(self):
        """Ends every run at once, without reporting the ends, and refuses requests."""
        for record in self.running.values():
            record.ended_at, record.outcome = time.monotonic(), "crashed"
        self.running.clear()
        self.crashed = True

    def end_run(self, task, outcome):
        """Ends the active run of a task.

        Args:
            task: Name of the task.
            outcome: Outcome that the upstream reports.
        """
        (record,) = [r for r in self.running.values() if r.task == task]
        self._end(record, outcome)

    # The requests, as `UpstreamSession` sends them.

    def start(self, instance, request, timeout_s=0.0, may_send=lambda: True):
        return self._handle_request(
            "start", lambda upstream: upstream._start(request), timeout_s, may_send
        )

    def stop(self, instance, task, run, fencing_token, timeout_s=0.0):
        return self._handle_request(
            "stop",
            lambda upstream: upstream._stop(task, run, fencing_token),
            timeout_s,
        )

    def poll(self, instance, request, timeout_s=0.0, may_send=lambda: True):
        times_out_at = time.monotonic() + timeout_s
        reply = self._handle_request(
            "poll", lambda upstream: upstream._poll(request), timeout_s, may_send
        )
        if reply.outcome != "ok":
            return reply
        until = time.monotonic() + request.wait_ms / 1000.0
        while request.wait_ms and not reply.ends and time.monotonic() < until:
            gevent.sleep(_POLL_S)
            if self.silent:
                gevent.sleep(max(0.0, times_out_at - time.monotonic()))
                raise NoReply("no reply to poll")
            if self.crashed:
                raise ConnectionBroken("connection closed")
            reply = self._poll(request)
        return reply

    def _handle_request(self, name, handle, timeout_s, may_send=lambda: True):
        if self.crashed and not self.silent:
            gevent.sleep(_REFUSAL_DELAY_S)
            raise Unreachable("connection refused")
        if not may_send():
            raise NoReply("not sent")
        if self.is_unhealthy(name) and not self.silent:
            return UpstreamReply("unhealthy")
        delay_s = self.loss()
        if delay_s is None and name != "poll":
            delay_s = self.order_loss()
        if delay_s is not None:
            gevent.spawn_later(delay_s, self._handle_delayed, handle)
        if self.silent or delay_s is not None:
            gevent.sleep(timeout_s)
            raise NoReply(f"no reply to {name}")
        if name == "start" and self.is_losing_starts:
            raise NoReply("no reply to start")
        for fault in self.faults:
            if fault.name == name and fault.times:
                fault.times -= 1
                if fault.delay_s is not None:
                    gevent.spawn_later(fault.delay_s, self._handle_delayed, handle)
                raise NoReply(f"no reply to {name}")
        return handle(self)

    def _handle_delayed(self, handle):
        if not self.crashed:
            self.delayed_outcomes.append(handle(self).outcome)
        elif self.next_lifetime is not None:
            self.next_lifetime._handle_delayed(handle)

    def _reply(self, outcome, **lists):
        tells_lifetime = lists or not self.names_lifetime_in_lists_only
        born_ms = self.born_ms if tells_lifetime else 0
        return UpstreamReply(outcome, self.clock_ms, born_ms=born_ms, **lists)

    def _is_fenced(self, token):
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend_lease(self, lease_ms):
        latest_ms = self.clock_ms + int(self.max_lease_s * 1000)
        self._lease_ms = max(self._lease_ms, min(lease_ms, latest_ms))

    def _start(self, request):
        if request.lease_ms <= self.clock_ms:
            return self._reply("late")
        if self._is_fenced(request.fencing_token):
            return self._reply("fenced")
        self._extend_lease(request.lease_ms)
        if (request.task, request.run) in self.running:
            return self._reply("ok")
        if request.run <= self.last_runs.get(request.task, 0):
            return self._reply("old_run")
        record = StartRecord(request.task, request.run, time.monotonic())
        self.records.append(record)
        self.running[request.task, request.run] = record
        work_s, outcome = _read_spec(request.spec, request.task)
        gevent.spawn_later(work_s, self._end, record, outcome)
        return self._reply("ok")

    def _stop(self, task, run, token):
        if self._is_fenced(token):
            return self._reply("fenced")
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        record = self.running.get((task, run))
        if record is not None:
            gevent.spawn_later(_STOP_DELAY_S, self._end, record, "stopped")
        return self._reply("ok")

    def _poll(self, request):
        if self._is_fenced(request.fencing_token):
            return self._reply("fenced")
        if request.lease_ms is not None:
            self._extend_lease(request.lease_ms)
        self.ends = [end for end in self.ends if end.number > request.ends_acked]
        running = {key: 0 for key in self.running}
        return self._reply("ok", running=running, ends=tuple(self.ends))

    def _end(self, record, outcome):
        if (record.task, record.run) not in self.running:
            return
        if outcome == "crashed":
            self.crash()
            self.on_crash()
            return
        del self.running[record.task, record.run]
        record.ended_at, record.outcome = time.monotonic(), outcome
        self._end_count += 1
        self.last_runs[record.task] = max(
            record.run, self.last_runs.get(record.task, 0)
        )
        self.ends.append(RunEnd(self._end_count, record.task, record.run, outcome))

    def _enforce_lease(self):
        while True:
            gevent.sleep(_POLL_S)
            if self.crashed:
                return
            if self.running and self.clock_ms > self._lease_ms:
                for record in list(self.running.values()):
                    self._end(record, "lapsed")


def _read_spec(spec, task):
    """Returns the run time of a task, seconds, and its outcome."""
    kind, _, work = spec.partition(":")
    if not work:
        return int(kind) / 1000.0, "done"
    work, _, indexes = work.partition(":")
    outcome = "failed" if kind == "fail" else "done"
    if kind == "deadly" and task.rpartition(".")[2] in indexes.split(","):
        outcome = "crashed"
    return int(work) / 1000.0, outcome


def serve(upstream, address):
    """Serves an upstream over HTTP with the platform's protocol.

    Args:
        upstream: `LeasedUpstream`.
        address: (host, port), or a listening socket.

    Returns:
        WSGIServer: The running server.
    """
    from papayaward.coordination.upstream_requests import PollRequest, StartRequest

    def handle(name, body):
        token = body.get("fencing_token", 0)
        if name == "run-start":
            return upstream.start(
                "",
                StartRequest(
                    body["task"],
                    body["run_id"],
                    body["spec"],
                    body["deadline_ms"],
                    token,
                ),
            )
        if name == "run-stop":
            return upstream.stop("", body["task"], body["run_id"], token)
        return upstream.poll(
            "",
            PollRequest(
                token,
                body.get("last_seen", 0),
                body.get("deadline_ms"),
                body.get("wait_ms", 0),
            ),
        )

    def application(environ, start_response):
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        if environ.get("HTTP_EXPECT_INSTANCE", upstream.instance) != upstream.instance:
            start_response("421 Misdirected Request", [("Content-Length", "2")])
            return [b"{}"]
        try:
            reply = handle(environ["PATH_INFO"].removeprefix(_PREFIX), body)
        except NoReply:
            gevent.sleep(3600)
        if reply.outcome == "unhealthy":
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        document = {"clock_ms": reply.clock_ms}
        if reply.born_ms:
            document["born"] = reply.born_ms
        reason = _REASONS.get(reply.outcome)
        if reason:
            document["reason"] = reason
        document["running"] = [[t, r, "", 0, 0] for t, r in reply.running]
        document["ended"] = [
            [end.number, end.task, end.run, end.outcome, ""] for end in reply.ends
        ]
        content = json.dumps(document).encode()
        status = "409 Conflict" if reason else "200 OK"
        start_response(status, [("Content-Length", str(len(content)))])
        return [content]

    # With a pool, stopping the server also closes its connections, as when the
    # upstream process dies.
    server = WSGIServer(address, application, log=None, spawn=Pool(_MAX_CONNECTIONS))
    server.start()
    return server


_REASONS = {"fenced": "fence", "old_run": "old", "late": "late", "no_room": "room"}
