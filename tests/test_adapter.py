"""
tests.test_adapter
~~~~~~~~~~~~~~~~~~

Decoding of jobs, reports and settings in the adapter, and rejection of bad input.
"""

import io
import json
import socket
import sys
from pathlib import Path
from unittest.mock import Mock, patch

import gevent
import gevent.socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer
from testtools import TestCase

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from adapter.callers import CallerApi, UnsupportedJob, read_job  # noqa: E402
from adapter.configuration import parse_routing  # noqa: E402
from adapter.settings import read_settings  # noqa: E402
from adapter.store import PlatformStore  # noqa: E402
from adapter.upstream import PlatformUpstream, read_state  # noqa: E402

from papayaward import clock  # noqa: E402
from papayaward.coordination.upstream_requests import (  # noqa: E402
    ConnectionBroken,
    NoReply,
    PollRequest,
)
from papayaward.leased_entry import LeasedEntry  # noqa: E402
from papayaward.leased_node import NodeSettings  # noqa: E402
from papayaward.protocol.config_text import ConfigError  # noqa: E402
from papayaward.protocol.jobs import (  # noqa: E402
    RequestLimits,
    Resources,  # noqa: E402
    SharingPolicy,
)
from papayaward.protocol.options import OptionError  # noqa: E402
from papayaward.protocol.store_errors import StoreConflict  # noqa: E402
from papayaward.transport.http_server import serve_http  # noqa: E402
from standins.fleet import free_port  # noqa: E402
from standins.platform_fleet import HOST  # noqa: E402
from standins.platform_store import PlatformStoreStandIn  # noqa: E402
from tests.leased_case import job_queue  # noqa: E402

_JOB_ID = "0123456789abcdef"


def _report(**changes):
    report = {
        "service": "dispatch",
        "address": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpus": 0},
        "labels": ["a", "r1-3"],
        "seq_no": 4,
        "born": 1_700_000_000_000,
    }
    return {**report, **changes}


def _route(**changes):
    route = {"name": "q", "host": "h", "prefix": "/a/", "service": "dispatch"}
    return {**route, **changes}


class CallersTest(TestCase):
    def read(self, document, headers=None):
        body = json.dumps({"best_effort": True, "spec": "x", **document}).encode()
        return read_job(_JOB_ID, body, headers or {}, job_queue(timeout_s=7.0))

    def test_job_is_decoded(self):
        """Guards against wrong units or swapped fields in a decoded job."""
        phases = [
            {"count": 4, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900},
            {
                "cpu": 2000,
                "gpus": 1,
                "after": [0],
                "affinity": "r1",
                "constraints": "a",
            },
        ]
        job = self.read({"phases": phases}, {"deadline": "1500", "request-id": "r"})
        self.assertEqual(1.5, job.timeout_s)
        first, second = job.phases
        self.assertEqual((4, 0.9), (first.count, first.expected_s))
        self.assertEqual(Resources(500, 256, 0), first.need)
        self.assertEqual(((0,), "r1", "a"), (second.after, second.rack, second.label))

    def test_queue_supplies_the_timeout_if_the_caller_states_none(self):
        """Guards against a job without a timeout if the header is invalid."""
        job = self.read({"phases": [{"cpu": 1}]}, {"deadline": "soon"})
        self.assertEqual(7.0, job.timeout_s)

    def test_malformed_jobs_are_rejected(self):
        """Guards against an unhandled exception in the entry on malformed jobs."""
        for phases in (None, [], [3], [{"cpu": -1}], [{"after": [0]}], [{"count": 0}]):
            self.assertRaises(OptionError, self.read, {"phases": phases})
        self.assertRaises(OptionError, read_job, "short", b"{}", {}, job_queue())

    def test_unsupported_options_are_rejected(self):
        """Guards against running a job without an option that it requests."""
        phase = {"cpu": 1}
        for document in (
            {"phases": [phase], "best_effort": False},
            {"phases": [{**phase, "long_running": True}]},
            {"phases": [{**phase, "gang": True}]},
            {"phases": [phase], "repeat_count": 3},
        ):
            self.assertRaises(UnsupportedJob, self.read, document)


class UpstreamTest(TestCase):
    def test_report_is_decoded(self):
        """Guards against a capacity in wrong units."""
        state = read_state("i-1", _report(state="draining"))
        self.assertEqual(Resources(16000, 32768, 0), state.capacity)
        self.assertTrue(state.draining)
        self.assertEqual(("a", "r1-3"), state.labels)

    def test_report_in_another_format_is_rejected(self):
        """Guards against taking an upstream's state from an invalid report."""
        for changes in (
            {"state": "gone"},
            {"capacity": 5},
            {"seq_no": "4"},
            {"labels": None},
            {"zone": 7},
        ):
            self.assertRaises(OptionError, read_state, "i-1", _report(**changes))


class UpstreamReplyTest(TestCase):
    def reply(self, status, content):
        address = "127.0.0.1", free_port()

        def application(environ, start_response):
            start_response(f"{status} Status", [("Content-Length", str(len(content)))])
            return [content]

        server = WSGIServer(address, application, log=None)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        upstream = PlatformUpstream(address)
        return upstream.poll("i-1", PollRequest(1, 0), timeout_s=2.0)

    def test_reply_without_a_clock_is_none(self):
        """Guards against an empty reply that is taken for an empty list of runs."""
        for content in (b"", b"{}", b'{"running":[],"ended":[]}'):
            self.assertRaises(NoReply, self.reply, 200, content)

    def test_reply_without_a_list_is_none(self):
        """Guards against runs that count as over since no list names them."""
        lists = {"running": [], "ended": []}
        for name in lists:
            document = {"clock_ms": 5, **lists}
            del document[name]
            content = json.dumps(document).encode()
            self.assertRaises(NoReply, self.reply, 200, content)
        document = {"clock_ms": 5, **lists}
        self.assertEqual("ok", self.reply(200, json.dumps(document).encode()).outcome)

    def test_refusal_without_a_body_is_told_from_a_list_of_runs(self):
        """Guards against an unhealthy upstream that is taken for an idle one."""
        for status in (429, 503):
            self.assertEqual("unhealthy", self.reply(status, b"").outcome)

    def test_request_that_times_out_is_told_from_a_connection_that_breaks(self):
        """Guards against a silent path that is taken for a crash that was seen."""
        is_reset = False

        def handle(sock, address):
            if not is_reset:
                gevent.sleep(2.0)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        upstream = PlatformUpstream(server.address)
        for is_reset, kind in ((False, NoReply), (True, ConnectionBroken)):
            error = self.assertRaises(
                NoReply, upstream.poll, "i-1", PollRequest(1, 0), timeout_s=0.1
            )
            self.assertIs(kind, type(error))


class ConfigurationTest(TestCase):
    def test_longest_matching_prefix_of_the_host_is_used(self):
        """Guards against routing a request to the wrong queue."""
        routes = [
            _route(),
            _route(name="longer", prefix="/a/b/"),
            _route(name="other", host="i", prefix="/a/b/c/"),
        ]
        routing = parse_routing(json.dumps({"version": 3, "routes": routes}))
        self.assertEqual("longer", routing.find("h", "/a/b/c/d").name)
        self.assertEqual("q", routing.find("h", "/a/x").name)
        self.assertIsNone(routing.find("h", "/b"))

    def test_limits_and_switches_of_the_operators(self):
        """Guards against fields that are ignored, or taken whatever their type."""
        route = _route()
        document = {"version": 3, "routes": [route]}
        routing = parse_routing(json.dumps(document))
        self.assertEqual(RequestLimits(), routing.limits)
        self.assertEqual(SharingPolicy(), routing.queues[0].sharing)
        service = {"name": route["service"], "headroom": False, "interference": False}
        limits = {"max_header_bytes": 16384, "header_timeout_ms": 3000}
        document.update(services=[{"name": "other"}, service], limits=limits)
        routing = parse_routing(json.dumps(document))
        self.assertEqual(SharingPolicy(False, True, False), routing.queues[0].sharing)
        self.assertEqual(RequestLimits(16384, head_timeout_s=3.0), routing.limits)
        unset = {"limits": {"max_body_bytes": 0, "idle_timeout_ms": 15000.0}}
        routing = parse_routing(json.dumps({**document, **unset}))
        self.assertEqual(RequestLimits(), routing.limits)
        for wrong in (
            {"services": [{**service, "headroom": 1}]},
            {"services": [1]},
            {"limits": {"max_body_bytes": "1"}},
            {"limits": {"idle_timeout_ms": -1}},
        ):
            text = json.dumps({**document, **wrong})
            self.assertRaises(ConfigError, parse_routing, text)

    def test_invalid_configuration_is_rejected(self):
        """Guards against a process that exits on an invalid configuration."""
        for text in (b"{", b"[]", b'{"version": 1, "routes": [{"name": 1}]}', b"\xff"):
            self.assertRaises(ConfigError, parse_routing, text)


class SettingsTest(TestCase):
    def test_seeds_become_link_addresses(self):
        """Guards against a process that finds no peers while the store is down."""
        document = {
            "node_name": "n",
            "ip": "10.0.0.1",
            "zone": "a",
            "region": "r",
            "port_range": [7720, 7735],
            "seeds": ["10.0.0.2:8166"],
            "platform": {"address": "10.0.0.3:8169"},
        }
        settings = read_settings(json.dumps(document), "runner")
        self.assertEqual((("10.0.0.2", 7720),), settings.node.entries)
        self.assertEqual(("10.0.0.3", 8169), settings.store)
        self.assertIsNone(settings.callers)


class ConditionalWriteTest(TestCase):
    def test_write_over_another_revision_is_refused(self):
        """Guards against a condition that the store does not check."""
        address = (HOST, free_port())
        stand_in = PlatformStoreStandIn(address)
        self.addCleanup(stand_in.stop)
        store = PlatformStore(address)
        first = store.put("k", b"1", 0, revision=0)
        conflict = self.assertRaises(StoreConflict, store.put, "k", b"2", 0, 0)
        self.assertEqual(first, conflict.revision)
        self.assertGreater(store.put("k", b"3", 0, conflict.revision), first)
        self.assertEqual({"k": b"3"}, store.read("k").values)


class StartTest(TestCase):
    _ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s"}

    def setUp(self):
        super().setUp()
        settings = NodeSettings("e1", "entry", "r", "a", "", ("h", 1), (), 3.0)
        self.entry = LeasedEntry(settings, parse_routing, None, None)
        self.api = CallerApi(self.entry)

    def configure(self):
        text = json.dumps({"version": 1, "routes": [self._ROUTE]}).encode()
        self.entry.config.offer(1, text, clock.now())

    def status(self):
        """Returns the HTTP status of a request for the number of waiting jobs."""
        environ = {
            "wsgi.input": io.BytesIO(),
            "HTTP_HOST": "h:1",
            "PATH_INFO": "/q/",
            "REQUEST_METHOD": "GET",
        }
        statuses = []
        self.api(environ, lambda status, headers: statuses.append(status[:3]))
        return statuses[0]

    def test_request_waits_for_the_first_configuration(self):
        """Guards against refusals by an entry that has just started."""
        request = gevent.spawn(self.status)
        gevent.sleep(0.05)
        self.configure()
        self.assertEqual("200", request.get(timeout=1.0))

    def test_wait_for_the_first_configuration_counts_towards_the_deadline(self):
        """Guards against answers that are late by the wait for the configuration.

        The deadline began only after the wait of up to 0.3 s.
        """
        body = json.dumps({"best_effort": True, "phases": [{"cpu": 1}]}).encode()
        caller_side, entry_side = gevent.socket.socketpair()
        self.addCleanup(caller_side.close)
        self.addCleanup(entry_side.close)
        environ = {
            "wsgi.input": io.BytesIO(body),
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_HOST": "h:1",
            "HTTP_DEADLINE": "2000",
            "PATH_INFO": f"/q/{_JOB_ID}",
            "REQUEST_METHOD": "POST",
            "papayaward.connection": entry_side,
        }
        job = Mock(**{"outcome.kind": "completed"})
        with patch.object(self.entry.scheduler, "submit", return_value=job) as submit:
            caller = gevent.spawn(self.api, environ, lambda status, headers: None)
            gevent.sleep(0.05)
            configured_at = clock.now()
            self.configure()
            caller.get(timeout=1.0)
        request, _, now = submit.call_args.args
        self.assertLess(now + request.timeout_s, configured_at + 2.0)

    def test_job_of_a_caller_that_has_left_is_not_started(self):
        """Guards against a run beside that of the entry that the job was sent to next.

        An entry that was stopped for seconds reads the job only after its caller has
        left and submitted it elsewhere.
        """
        self.configure()
        address = HOST, free_port()
        server = serve_http(address, self.api)
        self.addCleanup(server.stop)
        body = json.dumps({"best_effort": True, "phases": [{"cpu": 1}]}).encode()
        head = f"POST /q/{_JOB_ID} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
        job = Mock(**{"outcome.kind": "completed"})
        with patch.object(self.entry.scheduler, "submit", return_value=job) as submit:
            for stays in (False, True):
                # The server does not run before the connection is closed.
                caller = socket.create_connection(address)
                self.addCleanup(caller.close)
                caller.sendall(head.encode() + b"\r\n\r\n" + body)
                if not stays:
                    caller.close()
                gevent.sleep(0.2)
                self.assertEqual(stays, submit.called)

    def test_wait_for_the_first_configuration_is_bounded(self):
        """Guards against requests that block while the store is unavailable."""
        request = gevent.spawn(self.status)
        self.assertEqual("503", request.get(timeout=1.0))
