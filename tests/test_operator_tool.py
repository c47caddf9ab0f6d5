"""
tests.test_operator_tool
~~~~~~~~~~~~~~~~~~~~~~~~

`papayawardctl` with fleets of real processes.
"""

import contextlib
import io
import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

import gevent
from testtools import TestCase

from papayaward import cli
from papayaward.cli_commands import Exit
from papayaward.cli_format import format_status, table
from papayaward.protocol.config_schema import config_reference
from standins.fleet import call, free_port
from standins.proxy import TcpProxy

from .fleet_case import FleetCase, small_config
from .test_config_writes import paused

__all__ = []


def run_tool(*args):
    """Runs the tool in this process; returns exit code, output and errors."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = cli.main(list(args))
    return code, out.getvalue(), err.getvalue()


class ToolCase(FleetCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.scratch = Path(scratch.name)

    def file(self, document):
        """Writes a JSON document or a text to a file and returns its path."""
        path = self.scratch / "file.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return str(path)

    def tool(self, fleet, *args, code=Exit.DONE):
        """Runs the tool with both entries; returns the JSON output."""
        entries = [f"--entry={address}" for address in fleet.entry_http.values()]
        found, out, err = run_tool(*entries, "--json", *args)
        self.assertEqual(code, found, out + err)
        return json.loads(out)


class ConfigCommandsTest(ToolCase):
    def test_check_works_without_entries_and_shows_positions(self):
        """Guards against a check that needs a fleet or omits error positions."""
        code, out, err = run_tool("config", "check", self.file(small_config()))
        self.assertEqual((Exit.DONE, ""), (code, err))
        path = self.file('{"services": [{"name": "s", "cells": 0}],\n "x": 1}')
        code, out, err = run_tool("config", "check", path)
        self.assertEqual((Exit.REFUSED, ""), (code, out))
        self.assertIn("1:38: services[0].cells: found 0, allowed is an integer", err)
        self.assertIn('2:2: x: found the unknown key "x", allowed is one of', err)
        code, out, err = run_tool("--json", "config", "check", path)
        self.assertEqual(2, len(json.loads(out)["findings"]))
        self.assertEqual(Exit.REFUSED, run_tool("config", "check", "/nonexistent")[0])

    def test_apply_diff_show_history_and_conflict(self):
        """Guards against commands that lose a version or hide a concurrent change."""
        fleet = self.start_fleet()
        path = self.file(small_config(domains_out=["b"], tenants=[{"name": "t1"}]))
        changes = self.tool(fleet, "config", "diff", path)["changes"]
        self.assertEqual(
            ["tenants.t2", "domains_out"], [change["place"] for change in changes]
        )
        preview = self.tool(fleet, "config", "apply", "--dry-run", path)
        self.assertEqual((2, changes), (preview["version"], preview["changes"]))
        self.assertEqual(1, fleet.version())
        state = self.tool(fleet, "config", "apply", path, "--author", "anna")
        names = ["entry e1", "entry e2", "r1", "r2", "r3"]
        self.assertEqual((2, names), (state["version"], state["confirmed"]))
        for index in (0, 1):
            self.assertEqual(2, fleet.version(index))
        shown = self.tool(fleet, "config", "show")
        self.assertEqual((2, Path(path).read_text()), (shown["version"], shown["text"]))

        late = self.file(small_config(domains_out=["c"]))
        found = self.tool(
            fleet, "config", "apply", "--base", "1", late, code=Exit.CONFLICT
        )
        self.assertEqual(
            ["anna"], [entry["author"] for entry in found["changes_since"]]
        )
        entry = f"--entry={fleet.entry()}"
        code, out, err = run_tool(entry, "config", "apply", "--base", "1", late)
        self.assertEqual((Exit.CONFLICT, ""), (code, out))
        self.assertIn("anna", err)
        self.assertIn("+ domains_out b", err)
        self.assertIn("\n+ domains_out c", err)
        code, out, err = run_tool(entry, "config", "history")
        self.assertLessEqual(max(map(len, out.splitlines())), 80)
        self.assertRegex(out, r"\n +2  \d{4}-\d\d-\d\d \S+  anna +- tenants.t2 ")

    def test_apply_names_the_processes_that_did_not_confirm(self):
        """Guards against reporting success while a process may use the old version."""
        fleet = self.start_fleet()
        path = self.file(small_config(domains_out=["b"]))
        with paused(fleet, "r2"):
            state = self.tool(
                fleet, "config", "apply", "--timeout=2", path, code=Exit.UNCONFIRMED
            )
        self.assertEqual((["r2"], True), (state["unconfirmed"], state["accepted"]))
        # An unreachable entry is reported as a process that did not confirm.
        entries = [f"--entry={fleet.entry()}", f"--entry=127.0.0.1:{free_port()}"]
        code, _, err = run_tool(*entries, "domain", "in", "b", "--timeout=2")
        self.assertEqual(Exit.UNCONFIRMED, code)
        self.assertIn(
            f"not confirmed by {entries[1].replace('--entry=', 'entry ')}", err
        )
        self.assertEqual(3, fleet.version())

    def test_lost_answer_of_an_entry_makes_one_version(self):
        """Guards against a change that is applied twice or reported as a conflict.

        This could happen when an entry's answer is lost and the tool retries the
        change at the next entry.
        """
        fleet = self.start_fleet()
        host, port = fleet.entry(0).split(":")
        proxy = TcpProxy((host, int(port)))
        self.addCleanup(proxy.close)
        path = self.file(small_config(domains_out=["b"]))
        proxy.silent_to_client = True
        gevent.spawn_later(1.0, proxy.close)
        entries = ["--entry={}:{}".format(*proxy.address), f"--entry={fleet.entry(1)}"]
        code, out, err = run_tool(
            *entries, "config", "apply", "--base=1", "--timeout=3", path
        )
        self.assertEqual(Exit.UNCONFIRMED, code, err)
        self.assertIn("version 2 is accepted", err)
        self.assertEqual([2, 2], [fleet.version(0), fleet.version(1)])
        history = call(fleet.entry(), "GET", "/admin/history").json["history"]
        self.assertEqual([2, 1], [entry["version"] for entry in history])

    def test_store_outages(self):
        """Guards against reporting a store outage as a success or as a conflict."""
        fleet = self.start_fleet(runners=[{"domain": "a"}])
        path = self.file(small_config(domains_out=["b"]))
        apply = ("config", "apply", "--timeout=1", path)
        fleet.control_store(mode="down")
        self.tool(fleet, *apply, code=Exit.UNREACHABLE)
        self.tool(fleet, "config", "history", code=Exit.UNREACHABLE)
        self.assertEqual(1, self.tool(fleet, "config", "show")["version"])
        # Writes take effect only after 12 s, when the tool has timed out; reads still
        # work.
        fleet.control_store(mode="slow", delay_s=12.0, paths=["/v3/kv/txn"])
        self.tool(fleet, *apply, code=Exit.UNKNOWN)
        fleet.control_store(mode="ok")
        fleet.wait_until(lambda: fleet.version() == 2)


class DomainCommandsTest(ToolCase):
    def test_concurrent_changes_all_take_effect(self):
        """Guards against a domain change that overwrites a concurrent one."""
        domains = [f"d{number}" for number in range(4)]
        fleet = self.start_fleet(
            small_config(domains=["a", *domains]), runners=[{"domain": "a"}]
        )
        command = [sys.executable, "-c", "from papayaward.cli import run; run()"]
        entries = ",".join(fleet.entry_http.values())
        environment = {**os.environ, "PAPAYAWARD_ENTRIES": entries}
        tools = [
            subprocess.Popen(
                [*command, "domain", "out", name],
                env=environment,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            for name in domains
        ]
        for tool in tools:
            output, _ = tool.communicate(timeout=60)
            self.assertEqual(0, tool.returncode, output)
        self.assertEqual(domains, fleet.status()["domains_out"])
        self.assertEqual(5, fleet.version())

    def test_out_in_and_list(self):
        """Guards against changes of unknown domains and unnecessary versions."""
        fleet = self.start_fleet()
        self.assertEqual(2, self.tool(fleet, "domain", "out", "a", "b")["version"])
        self.assertEqual(["a", "b"], fleet.status(1)["domains_out"])
        self.assertEqual(2, self.tool(fleet, "domain", "out", "b")["version"])
        found = self.tool(fleet, "domain", "list")["in_service"]
        self.assertEqual({"a": False, "b": False, "c": True}, found)
        self.assertEqual(3, self.tool(fleet, "domain", "in", "a", "b")["version"])
        self.tool(fleet, "domain", "out", "x", code=Exit.REFUSED)
        self.assertEqual(3, fleet.version())


class JobCommandsTest(ToolCase):
    def test_submit_explain_cancel_and_status(self):
        """Guards against commands whose output disagrees with the fleet's state."""
        fleet = self.start_fleet()
        path = self.file([{"work_ms": 5, "echo": number} for number in range(3)])
        job = ("--service=dispatch", "--tenant=t1", "--class=c1")
        [job_id] = self.tool(fleet, "ids", "--service=dispatch")["ids"]
        answers = [
            self.tool(fleet, "submit", path, *job, f"--id={job_id}") for _ in range(2)
        ]
        self.assertEqual("complete", answers[0]["outcome"])
        self.assertEqual(answers[0]["results"], answers[1]["results"])
        self.assert_started_once(fleet, job_id, 3)
        explained = self.tool(fleet, "explain", job_id)
        self.assertEqual((3, "complete"), (explained["tasks"], explained["outcome"]))
        self.tool(fleet, "explain", "nonsense", code=Exit.REFUSED)
        self.tool(fleet, "submit", path, "--service=x", *job[1:], code=Exit.REFUSED)
        slow = self.file([{"work_ms": 3000}])
        running = self.tool(fleet, "submit", slow, *job, "--no-wait")["job_id"]
        self.assertEqual(1, self.tool(fleet, "cancel", running)["cancelled"])
        entry = f"--entry={fleet.entry()}"
        for command in (("status",), ("explain", job_id)):
            code, out, _ = run_tool(entry, *command)
            self.assertEqual(Exit.DONE, code)
            self.assertLessEqual(max(map(len, out.splitlines())), 80, out)
        _, out, _ = run_tool(entry, "status")
        self.assertRegex(out, r"r1 +a +dispatch +1 +ready +8 +\d")

    def test_next_entry_is_tried(self):
        """Guards against failing while another entry could answer."""
        fleet = self.start_fleet(entries=1, runners=[{"domain": "a"}])
        unreachable = f"--entry=127.0.0.1:{free_port()}"
        code, out, err = run_tool(
            unreachable, f"--entry={fleet.entry()}", "domain", "list"
        )
        self.assertEqual(Exit.DONE, code, err)
        self.assertEqual(Exit.UNREACHABLE, run_tool(unreachable, "domain", "list")[0])
        self.assertEqual(Exit.USAGE, run_tool("--entry=x", "domain", "list")[0])


class PagesTest(TestCase):
    def test_operations_manual_matches_the_code(self):
        """Guards against wrongly documented configuration keys and exit codes."""
        page = Path(__file__).resolve().parent.parent / "docs" / "OPERATIONS.md"
        text = page.read_text(encoding="utf-8")
        self.assertIn(config_reference(), text)
        for code in Exit:
            self.assertIn(f"| {code.value} | {code.help} |", text)


class FormatTest(TestCase):
    def test_long_names_fit_the_terminal(self):
        """Guards against tables that wrap on an 80-column terminal."""
        member = {
            "member": "runner.rosenheim.rack17.vm0042." + "x" * 30,
            "domain": "garmisch-partenkirchen",
            "service": "spare-part-reservations",
            "config_version": 123456,
            "draining": False,
            "ready": True,
            "queued": 20000,
            "heard_ms": 123456,
        }
        status = {
            "entry": "entry.rosenheim.1",
            "config_version": 123456,
            "evidence_age_ms": 100000,
            "domains_out": [],
            "members": [member],
            "coordinators": [
                {
                    "member": member["member"],
                    "ejected": [member["member"]],
                    "executors": [
                        {"member": member["member"], "slots": 8, "outstanding": 3}
                    ],
                }
            ],
            "violations": {},
        }
        text = format_status({"10.10.10.10:10000": status, "10.10.10.11:1": "refused"})
        self.assertLessEqual(max(map(len, text.splitlines())), 80, text)
        self.assertTrue(
            re.search(r"runner.*\.\.x+ .* ejected +8 +3 +20000 ", text), text
        )
        self.assertEqual("A  BB\n1  xy", table(("A", "BB"), [[1, "xy"]]))
