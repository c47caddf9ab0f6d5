"""
tests.test_poisonous_input
~~~~~~~~~~~~~~~~~~~~~~~~~~

Input of one caller, upstream or operator that disables each process that handles it.
"""

import json
import sys
from functools import partial
from pathlib import Path

import gevent
from gevent.pywsgi import WSGIServer
from testtools import TestCase

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from adapter.callers import read_job  # noqa: E402
from adapter.configuration import parse_routing  # noqa: E402
from adapter.upstream import PlatformUpstream, read_state  # noqa: E402

from papayaward import clock  # noqa: E402
from papayaward.coordination.job_scheduler import JobScheduler  # noqa: E402
from papayaward.coordination.upstream_requests import (  # noqa: E402
    NoReply,
    PollRequest,
    RunEnd,
)
from papayaward.protocol.codec import encode  # noqa: E402
from papayaward.protocol.config_text import ConfigError  # noqa: E402
from papayaward.protocol.options import OptionError  # noqa: E402
from tests.leased_case import (  # noqa: E402
    FakeLink,
    capacity_report,
    job_queue,
    job_request,
)

NO_TEXT = "\ud800"
HUGE = 2**40


class EncodingLink(FakeLink):
    """Link that encodes each message, as one with a socket does."""

    def try_send(self, message):
        encode(message)
        return super().try_send(message)


class CallersTest(TestCase):
    def read(self, phase=(), deadline="1500", **document):
        phase = {"cpu": 1000, **dict(phase)}
        body = {"best_effort": True, "spec": "1", "phases": [phase], **document}
        headers = {"deadline": deadline}
        return read_job("0" * 16, json.dumps(body).encode(), headers, job_queue())

    def test_job_that_no_message_can_hold_is_rejected(self):
        """Guards against an entry whose other jobs wait because one cannot be sent."""
        for options in (
            {"spec": NO_TEXT},
            {"phase": {"constraints": NO_TEXT}},
            {"phase": {"affinity": NO_TEXT}},
            {"phase": {"cpu": HUGE}},
            {"phase": {"mem_mb": HUGE}},
            {"phase": {"est_runtime_ms": HUGE}},
        ):
            self.assertRaises(OptionError, self.read, **options)

    def test_longest_timeout_and_run_time_can_be_sent(self):
        """Guards against a start whose times exceed the range of the message."""
        phase = {"est_runtime_ms": 80_000_000}
        request = self.read(phase=phase, deadline=str(HUGE))
        scheduler = JobScheduler(lambda domain: False)
        link = EncodingLink("r1", "runner")
        scheduler.on_link_up(link, clock.now())
        scheduler.on_message(link, capacity_report(), clock.now())
        scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual(1, len(link.starts()))


class ReportsTest(TestCase):
    def test_report_that_no_message_can_hold_is_rejected(self):
        """Guards against an executor that cannot tell the entries its capacity."""
        report = {
            "service": "s",
            "address": "10.0.0.9:8080",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 1000, "mem_mb": 64, "gpus": 0},
            "labels": [],
            "seq_no": 1,
            "born": 1_700_000_000_000,
        }
        read_state("i-1", report)
        capacity = report["capacity"]
        for changes in (
            {"labels": [NO_TEXT]},
            {"service": NO_TEXT},
            {"capacity": {**capacity, "cpu": HUGE}},
            {"capacity": {**capacity, "mem_mb": HUGE}},
        ):
            self.assertRaises(OptionError, read_state, "i-1", {**report, **changes})
        self.assertRaises(OptionError, read_state, NO_TEXT, report)


class RepliesTest(TestCase):
    def test_malformed_reply_of_the_upstream_counts_as_none(self):
        """Guards against a poll loop that ends with the upstream's first such reply."""
        replies = []

        def application(environ, start_response):
            content = json.dumps(replies[-1]).encode()
            start_response("200 OK", [("Content-Length", str(len(content)))])
            return [content]

        server = WSGIServer(("127.0.0.1", 0), application, log=None)
        server.start()
        self.addCleanup(server.stop)
        upstream = PlatformUpstream(("127.0.0.1", server.server_port))
        for reply in (
            {"clock_ms": "soon"},
            {"ended": [["first", "a.0.0.0", 1, "done"]]},
            {"ended": [[1, "a.0.0.0", None, "done"]]},
            {"running": [["a.0.0.0", [], "", 0]]},
            {"running": [[["a"], 1, "", "half"]]},
        ):
            replies.append({"clock_ms": 5, "running": [], "ended": [], **reply})
            poll = partial(upstream.poll, "i-1", PollRequest(1, 0), 1.0)
            self.assertRaises(NoReply, poll)
        ends = [[1, "a.0.0.0", 1, "done", ""]]
        replies.append({"clock_ms": 5, "running": [], "ended": ends})
        reply = upstream.poll("i-1", PollRequest(1, 0), 1.0)
        self.assertEqual((RunEnd(1, "a.0.0.0", 1, "done"),), reply.ends)


class ConfigurationTest(TestCase):
    def test_configuration_with_unencodable_text_is_rejected(self):
        """Guards against a version that no process can pass on."""
        route = {"name": NO_TEXT, "host": "h", "prefix": "/a/", "service": "s"}
        text = json.dumps({"version": 1, "routes": [route]}).encode()
        self.assertRaises(ConfigError, parse_routing, text)


class SchedulerTest(TestCase):
    def test_job_that_cannot_be_sent_does_not_hold_up_the_others(self):
        """Guards against tasks of other jobs that count as sent and never start."""
        scheduler = JobScheduler(lambda domain: False)
        link = EncodingLink("r1", "runner")
        scheduler.on_link_up(link, clock.now())
        scheduler.on_message(link, capacity_report(), clock.now())
        jobs = [
            scheduler.submit(job_request(job_id), job_queue(), clock.now())
            for job_id in ("a" * 16, NO_TEXT * 16, "b" * 16)
        ]
        gevent.sleep(0.05)
        started = {start.task.partition(".")[0] for start in link.starts()}
        self.assertEqual({"a" * 16, "b" * 16}, started)
        self.assertEqual("failed", jobs[1].outcome.kind)
