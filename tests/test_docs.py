"""
tests.test_docs
~~~~~~~~~~~~~~~

The `curl` examples, settings and metrics in `docs/` match the code.
"""

import re
import shlex
from pathlib import Path

from testtools import TestCase

from papayaward.protocol.settings import settings_reference
from papayaward.state import metrics
from standins.fleet import call

from .fleet_case import FleetCase

__all__ = []

_DOCS = Path(__file__).resolve().parent.parent / "docs"


def _parse_curl(command):
    """Returns method, path, headers and body of a curl command."""
    words = shlex.split(command)[1:]
    method, headers, body, url = "GET", {}, b"", ""
    while words:
        word = words.pop(0)
        if word == "-X":
            method = words.pop(0)
        elif word == "-H":
            name, _, value = words.pop(0).partition(": ")
            headers[name] = value
        elif word == "-d":
            body = words.pop(0).encode()
        else:
            url = word
    return method, "/" + url.split("/", 3)[3], headers, body


class CallersPageTest(FleetCase):
    def test_curl_examples_work(self):
        """Guards against examples that the interface no longer accepts."""
        fleet = self.start_fleet()
        text = (_DOCS / "callers.md").read_text(encoding="utf-8")
        commands = re.findall(r"^curl .*$", text, re.M)
        self.assertEqual(7, len(commands))
        job_id = fleet.new_ids(1)[0]
        for command in commands:
            command = command.replace("$ID", job_id)
            method, path, headers, body = _parse_curl(command)
            reply = call(fleet.entry(), method, path, body, headers=headers)
            self.assertEqual(200, reply.status, f"{command}: {reply.body}")


class OperatorsPageTest(TestCase):
    def test_settings_reference_matches_the_code(self):
        """Guards against settings that are undocumented or described wrongly."""
        text = (_DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        self.assertIn(settings_reference(), text)

    def test_metrics_of_alerts_exist(self):
        """Guards against alerts on metrics that no process exports."""
        text = (_DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        exported = metrics.export().decode()
        for name in set(re.findall(r"`(papayaward_[a-z_]+)", text)):
            self.assertIn(name.removesuffix("_total"), exported)
