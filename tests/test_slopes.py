"""
tests.test_slopes
~~~~~~~~~~~~~~~~~

Cost measurements: the line fit, the output keys, and the commands in the docs.
"""

import contextlib
import importlib.util
import io
import json
import re
from pathlib import Path

from testtools import TestCase

from benchmarks import slopes
from benchmarks.sampling import CONTROL_MESSAGES, fit_line
from papayaward.protocol import codec

__all__ = []

_ROOT = Path(__file__).resolve().parent.parent
_COMMAND = re.compile(r"python -m ([A-Za-z_][\w.]*\w)")
_ONLY = re.compile(r"--only ([a-z_]+)")
_FILE = re.compile(r"`([\w./-]+\.(?:py|md|txt|json|toml|thrift))`")
# Exists only while a test is known to fail.
_OPTIONAL = {"KNOWN-RED.txt"}
_OWN_MODULES = {"tests", "benchmarks", "standins", "papayaward"}


class FitTest(TestCase):
    def test_points_on_a_line(self):
        """Guards against a wrong slope, which every extrapolation uses."""
        fit = fit_line([(50, 7.0), (100, 12.0), (200, 22.0), (400, 42.0)])
        self.assertAlmostEqual(0.1, fit.slope)
        self.assertAlmostEqual(2.0, fit.intercept)
        self.assertAlmostEqual(0.0, fit.residual)
        self.assertAlmostEqual(80.0, fit.predict(780))

    def test_residual_shows_a_curve(self):
        """Guards against reporting a quadratic cost as linear."""
        fit = fit_line([(x, x * x) for x in (1, 2, 4, 8)])
        self.assertGreater(fit.residual, 0.1)


class SeriesTest(TestCase):
    def test_every_role_and_variable_has_four_points(self):
        """Guards against a fit through two points, which always has no residual."""
        for name, series in slopes.SERIES.items():
            if name != "idle":
                self.assertGreaterEqual(len(series.points), 4, name)
        roles = {series.role for series in slopes.SERIES.values()}
        expected = {"entry", "coordinator", "executor", "store", "operators' tool"}
        self.assertEqual(set(), expected - roles)

    def test_control_messages_are_known(self):
        """Guards against counting a renamed control message as work."""
        known = set(codec.MESSAGE_CODES)
        self.assertEqual(set(), CONTROL_MESSAGES - known)

    def test_short_run_prints_the_documented_keys(self):
        """Guards against unnoticed changes of the output format."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            args = ["--short", "--json", "--only", "entry_members"]
            self.assertEqual(0, slopes.main(args))
        (series,) = json.loads(output.getvalue())["series"]
        self.assertEqual("entry_members", series["name"])
        self.assertEqual("entry", series["role"])
        self.assertEqual("members", series["variable"])
        self.assertEqual([10, 20, 30, 40], [p["x"] for p in series["points"]])
        self.assertEqual([10, 20, 30, 40], [p["linked"] for p in series["points"]])
        for key in ("cpu_core", "rss_mib", "control_messages_s", "control_bytes_s"):
            self.assertIn(key, series["points"][0])
            fit = series["fits"][key]
            self.assertEqual({"slope", "intercept", "residual"}, set(fit))
        # The number of heartbeats depends only on the number of links.
        self.assertEqual(0, series["points"][-1]["work_messages_s"])
        self.assertGreater(series["fits"]["control_messages_s"]["slope"], 5)
        for point in series["points"]:
            self.assertLess(point["store_calls_s"], 6)


class PagesTest(TestCase):
    def test_commands_on_pages_exist(self):
        """Guards against docs that name a command that was renamed or removed."""
        for page, text in self._pages():
            for module in _COMMAND.findall(text):
                if module.split(".")[0] in _OWN_MODULES:
                    self.assertIsNotNone(
                        importlib.util.find_spec(module), f"{page}: {module}"
                    )
            for name in _ONLY.findall(text):
                self.assertIn(name, slopes.SERIES, f"{page}: --only {name}")

    def test_files_on_pages_exist(self):
        """Guards against docs that name a file that was moved or removed."""
        names = {path.name for path in _ROOT.rglob("*") if ".venv" not in path.parts}
        for page, text in self._pages():
            for name in _FILE.findall(text):
                # Paths are relative to the root, the package or docs. A file name
                # alone may be anywhere.
                found = name in names | _OPTIONAL or any(
                    (base / name).exists()
                    for base in (_ROOT, _ROOT / "papayaward", _ROOT / "docs")
                )
                self.assertTrue(found, f"{page}: {name}")

    def _pages(self):
        pages = [_ROOT / "README.md", *sorted((_ROOT / "docs").rglob("*.md"))]
        return [(page.name, page.read_text(encoding="utf-8")) for page in pages]
