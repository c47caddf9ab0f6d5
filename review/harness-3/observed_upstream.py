"""Upstream stand-in that reports the progress of its runs and records its calls.

The project's stand-in always lists a progress of 0 percent, which a sound runner does
not.
"""

import json
import time

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from papayaward.coordination.upstream_requests import (
    NoReply,
    PollRequest,
    StartRequest,
)
from standins import leased_upstream, platform_fleet

_PREFIX = "/papayaward/"
_MAX_CONNECTIONS = 2048
_REASONS = {"fenced": "fence", "old_run": "old", "late": "late", "no_room": "room"}


class ObservedUpstream(leased_upstream.LeasedUpstream):
    """`LeasedUpstream` that records the `hold` calls and the ends taken note of."""

    def __post_init__(self):
        super().__post_init__()
        self.last_hold_at = None
        self.last_renewal_at = None
        self.noted_end = 0
        self.work_s = {}

    def _start(self, request):
        work_s, _ = leased_upstream._read_spec(request.spec, request.task)
        self.work_s[request.task, request.run] = work_s
        return super()._start(request)

    def poll(self, instance, request, timeout_s=0.0, may_send=lambda: True):
        self.last_hold_at = time.monotonic()
        self.noted_end = max(self.noted_end, request.ends_acked)
        if request.lease_ms is not None:
            self.last_renewal_at = self.last_hold_at
        return super().poll(instance, request, timeout_s, may_send)

    @property
    def listed_ends(self):
        """Number of ends of this lifetime."""
        return self._end_count

    def percent(self, key):
        """Returns the progress of an active run, percent."""
        record = self.running.get(key)
        if record is None:
            return 100
        elapsed_s = time.monotonic() - record.started_at
        return min(99, int(100 * elapsed_s / max(0.001, self.work_s[key])))


def serve(upstream, address):
    """Serves an upstream over HTTP with the platform's protocol."""

    def handle(name, body):
        token = body.get("fencing_token", 0)
        task, run = body.get("task"), body.get("run_id")
        if name == "run-start":
            request = StartRequest(task, run, body["spec"], body["deadline_ms"], token)
            return upstream.start("", request)
        if name == "run-stop":
            return upstream.stop("", task, run, token)
        seen, lease = body.get("last_seen", 0), body.get("deadline_ms")
        request = PollRequest(token, seen, lease, body.get("wait_ms", 0))
        return upstream.poll("", request)

    def application(environ, start_response):
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        if environ.get("HTTP_EXPECT_INSTANCE", upstream.instance) != upstream.instance:
            start_response("421 Misdirected Request", [("Content-Length", "2")])
            return [b"{}"]
        try:
            reply = handle(environ["PATH_INFO"].removeprefix(_PREFIX), body)
        except NoReply:
            gevent.sleep(3600)
        document = {"clock_ms": reply.clock_ms, "born": upstream.born_ms}
        reason = _REASONS.get(reply.outcome)
        if reason:
            document["reason"] = reason
        else:
            document["running"] = [
                [task, run, "", upstream.percent((task, run)), 0]
                for task, run in reply.running
            ]
            document["ended"] = [
                [end.number, end.task, end.run, end.outcome, ""]
                for end in reply.ends[:500]
            ]
        content = json.dumps(document).encode()
        status = "409 Conflict" if reason else "200 OK"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        start_response(status, headers)
        return [content]

    server = WSGIServer(address, application, log=None, spawn=Pool(_MAX_CONNECTIONS))
    server.start()
    return server


def install():
    """Has fleets that are started from now on use `ObservedUpstream`."""
    platform_fleet.LeasedUpstream = ObservedUpstream
    platform_fleet.serve = serve
