"""
tests.test_placement_report
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' question where a job would go now.
"""

import io
import json
from contextlib import redirect_stdout
from types import SimpleNamespace
from unittest.mock import Mock

from testtools import TestCase

from papayaward import cli_commands, clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.placement_api import PlacementApi
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import Routing, SharingPolicy
from papayaward.transport.entry_client import EntryReply
from papayaward.transport.http_api import Request
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

__all__ = []


class PlacementReportTest(TestCase):
    def setUp(self):
        super().setUp()
        self.domains_out = set()
        self.scheduler = JobScheduler(self.domains_out.__contains__)

    def executor(self, name, cores, free=None, domain="a", kept=()):
        link = FakeLink(name, "runner", domain=domain)
        report = capacity_report(cores=cores)
        if free is not None:
            report.room.free.cpu_millis = free * 1000
        report.room.kept = [ttypes.KeptCpu(0, cpu) for cpu in kept] or None
        self.scheduler.on_link_up(link, clock.now())
        self.scheduler.on_message(link, report, clock.now())
        return link

    def report(self, priority=0, sharing=SharingPolicy(), **options):
        queue = job_queue(priority=priority, sharing=sharing)
        return self.scheduler.reports.report(job_request(**options), queue, clock.now())

    def test_each_executor_has_its_verdict_and_nothing_is_started(self):
        """Guards against an explanation that differs from the placement."""
        self.domains_out.add("out")
        links = [
            self.executor("roomy", 8),
            self.executor("full", 8, free=0),
            self.executor("small", 1, free=0),
            self.executor("away", 8, domain="out"),
            self.executor("keeps", 8, free=1, kept=[4000]),
        ]
        report = self.report(priority=1, tasks=9)
        (phase,) = report.phases
        verdicts = {row.executor: row.verdict for row in phase.executors}
        self.assertEqual(
            {
                "roomy": "fits",
                "full": "no free capacity",
                "small": "no free capacity",
                "away": "failure domain out of service",
                "keeps": "fits",
            },
            verdicts,
        )
        self.assertEqual(("start", ""), (report.decision, report.reason))
        self.assertEqual(({"roomy": 8, "keeps": 1}, 0), (phase.starts, phase.waiting))
        self.assertEqual("roomy", phase.executors[0].executor)
        self.assertEqual(0, self.scheduler.jobs)
        self.assertEqual([], [start for link in links for start in link.starts()])

    def test_headroom_is_named_as_the_reason(self):
        """Guards against a wait that the operator cannot explain."""
        self.executor("keeps", 8, free=2, kept=[2000])
        report = self.report(priority=1, tasks=1)
        row = report.phases[0].executors[0]
        self.assertEqual("kept for more urgent queues", row.verdict)
        self.assertEqual(2000, row.kept_millis)
        self.assertEqual("wait", report.decision)
        self.assertEqual("start", self.report(priority=0, tasks=1).decision)
        off = SharingPolicy(headroom=False)
        report = self.report(priority=1, sharing=off, tasks=1)
        self.assertEqual("start", report.decision)

    def test_job_that_would_be_refused_says_so(self):
        """Guards against an answer that promises a start."""
        self.executor("r1", 8)
        report = self.report(expected_s=100.0, timeout_s=1.0)
        self.assertEqual(("refuse", "too_long"), (report.decision, report.reason))
        self.assertEqual(1.0, report.retry_after_s)


class PlacementApiTest(TestCase):
    def ask(self, document, read_job=None):
        queue = job_queue()
        entry = Mock()
        entry.config.config = Routing(1, (queue,))
        entry.scheduler = JobScheduler(lambda domain: False)
        api = PlacementApi(entry, read_job or (lambda *args: job_request()))
        body = json.dumps(document).encode()
        return api.explain(Request("/placement", "", {}, {}, body))

    def test_answers_and_errors(self):
        """Guards against a question that fails or ends the process."""
        queue = job_queue()
        question = {"host": queue.host, "path": queue.prefix + "0" * 16, "job": {}}
        response = self.ask(question)
        self.assertEqual(200, response.status)
        self.assertEqual("wait", json.loads(response.body)["decision"])
        self.assertEqual(404, self.ask({**question, "host": "other"}).status)
        for wrong in ({}, {**question, "job": 1}, {**question, "path": 3}):
            self.assertEqual(400, self.ask(wrong).status)

    def test_tool_prints_the_verdicts(self):
        """Guards against a table that lacks what the entry says."""
        queue = job_queue()
        question = {"host": queue.host, "path": queue.prefix + "0" * 16, "job": {}}
        answer = self.ask(question).body
        client = Mock()
        client.request.return_value = EntryReply("e1", 200, answer)
        options = SimpleNamespace(file="-", host="h", path="/q/1", json=False)
        output = io.StringIO()
        with redirect_stdout(output):
            stdin = SimpleNamespace(buffer=io.BytesIO(b"{}"))
            self.patch(cli_commands.sys, "stdin", stdin)
            self.assertEqual(0, cli_commands.where(client, options))
        self.assertIn("wait: queue q", output.getvalue())
        self.assertIn("1 tasks wait", output.getvalue())
