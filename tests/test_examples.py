"""
tests.test_examples
~~~~~~~~~~~~~~~~~~~

The files in `examples/`, checked with the programs that read them.
"""

import contextlib
import io
import json
from pathlib import Path

from testtools import TestCase

from papayaward import cli, daemon
from papayaward.protocol.config_text import parse_config

from .fleet_case import FleetCase

__all__ = []

_EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
_CONFIGS = ("oberland", "cabinetline")
_SETTINGS = ("entry", "runner")


def read(name):
    """Returns an example as a document."""
    return json.loads((_EXAMPLES / f"{name}.json").read_text(encoding="utf-8"))


class ExamplesTest(TestCase):
    def test_programs_accept_every_example(self):
        """Guards against examples that the programs no longer accept."""
        self.assertEqual(
            sorted(f"{name}.json" for name in _CONFIGS + _SETTINGS),
            sorted(path.name for path in _EXAMPLES.iterdir()),
        )
        with contextlib.redirect_stdout(io.StringIO()):
            for name in _CONFIGS:
                path = str(_EXAMPLES / f"{name}.json")
                self.assertEqual(0, cli.main(["config", "check", path]), name)
        for name in _SETTINGS:
            path = str(_EXAMPLES / f"{name}.json")
            self.assertEqual(0, daemon.main(["--check", "--settings", path]), name)

    def test_examples_fit_together(self):
        """Guards against settings with names that the configuration lacks."""
        config = parse_config((_EXAMPLES / "oberland.json").read_text())
        entry, runner = read("entry"), read("runner")
        self.assertIn(entry["listen"], runner["entries"])
        self.assertIn(runner["service"], config.services)
        self.assertIn(runner["domain"], config.domains)
        self.assertIn(entry["domain"], config.domains)


class ExampleFleetTest(FleetCase):
    def test_a_job_of_each_customer_is_complete(self):
        """Guards against example configurations under which no job can run."""
        for name in _CONFIGS:
            config = read(name)
            service = config["services"][0]["name"]
            dependent = config["services"][1]["name"]
            domain = config["domains"][0]
            fleet = self.start_fleet(
                config,
                entries=1,
                runners=[
                    {"domain": domain, "service": service},
                    {"domain": domain, "service": dependent},
                ],
            )
            reply = fleet.submit(
                [{"work_ms": 5}],
                service=dependent,
                tenant=config["tenants"][0]["name"],
                **{"class": config["classes"][0]["name"]},
            )
            self.assertEqual("complete", reply.json["outcome"], reply.body)
