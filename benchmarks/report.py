"""
benchmarks.report
~~~~~~~~~~~~~~~~~

Runs every scenario with several seeds and writes docs/MEASUREMENTS.md.
"""

import argparse
import json
import os
import platform
import statistics
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from .causes import CAUSES

__all__ = ["main"]

_ROOT = Path(__file__).resolve().parent.parent
_PAGE = _ROOT / "docs" / "MEASUREMENTS.md"
_RUN_TIMEOUT_S = 120


def _steady(profile):
    return [f"{profile} --load {load}" for load in ("0.5", "0.7", "0.9")]


_COMMANDS = (
    *_steady("oberland"),
    *_steady("cabinetline"),
    "domain-cycle",
    "burst",
    "ejection",
    "entry-loss",
    "runner-loss",
    "store-outage",
    "idle",
    "entry-cpu",
    "heartbeats",
    "oberland --load 0.7 --policy random",
    "oberland --load 0.7 --policy power_of_two",
)


@dataclass(frozen=True)
class Target:
    """One performance target of the design document.

    Attributes:
        measure: What is measured.
        command: Arguments of the run that measures it.
        key: Key in the run's figures.
        bound: Limit that the figure must not exceed.
        at_least: Whether the limit is a minimum instead.
        every_run: Whether every run must meet the limit, not only the median.
    """

    measure: str
    command: str
    key: str
    bound: float
    at_least: bool = False
    every_run: bool = False

    def is_met(self, values):
        """Returns whether the values of the runs meet the target."""
        if self.every_run:
            value = min(values) if self.at_least else max(values)
        else:
            value = statistics.median(values)
        return value >= self.bound if self.at_least else value <= self.bound


def _response_targets():
    for profile in ("oberland", "cabinetline"):
        for load, p50, p99 in (
            ("0.5", 1.10, 1.15),
            ("0.7", 1.10, 1.15),
            ("0.9", 1.15, 1.25),
        ):
            command = f"{profile} --load {load}"
            text = f"response over ideal, {profile} at {load}"
            yield Target(f"{text}, median", command, "response_over_ideal_p50", p50)
            yield Target(f"{text}, p99", command, "response_over_ideal_p99", p99)


_TARGETS = (
    *_response_targets(),
    Target(
        "wasted messages per task at 0.7",
        "oberland --load 0.7",
        "wasted_messages_per_task",
        0.1,
    ),
    Target("added time, idle fleet, median, ms", "idle", "added_ms_p50", 5.0),
    Target("work done, domain cycle", "domain-cycle", "work_done_share", 0.98, True),
    Target("lost, domain cycle", "domain-cycle", "lost", 0, every_run=True),
    Target(
        "last start after domain out, s",
        "domain-cycle",
        "last_start_after_out_s",
        3.0,
        every_run=True,
    ),
    Target(
        "version in force everywhere, s",
        "domain-cycle",
        "config_in_force_s",
        2.0,
        every_run=True,
    ),
    Target(
        "killed runner: jobs answered after, s",
        "runner-loss",
        "killed_answered_s",
        2.0,
        every_run=True,
    ),
    Target("goodput at 10x capacity", "burst", "goodput_share", 0.95, True),
    Target(
        "entry processor time per task, us", "entry-cpu", "entry_cpu_us_per_task", 50.0
    ),
    Target("idle runner: share of a core", "idle", "idle_cpu_share", 0.014),
    Target("idle runner: resident MiB", "idle", "idle_rss_mib", 32.0),
    Target("idle runner: bytes per second", "idle", "idle_bytes_per_s", 26_000),
)


def _run(command, seed):
    arguments = [sys.executable, "-m", "benchmarks.run", *command.split()]
    arguments += ["--seed", str(seed), "--json"]
    try:
        done = subprocess.run(
            arguments,
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=_RUN_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return {"error": f"took more than {_RUN_TIMEOUT_S} s"}
    if done.returncode:
        return {"error": done.stderr.strip().splitlines()[-1][:200]}
    return json.loads(done.stdout)


def _spread(values):
    """Returns minimum, median and maximum as text."""
    figures = (min(values), statistics.median(values), max(values))
    return " / ".join(f"{value:g}" for value in figures)


def _render_page(results, seeds):
    lines = [
        "# Measurements",
        "",
        f"Written by `make bench` at commit `{_commit()}` on {os.cpu_count()} cores, "
        f"Python {platform.python_version()}, all processes on one shared machine. "
        f"Seeds: {', '.join(map(str, seeds))}; each run is "
        "`python -m benchmarks.run SCENARIO --seed N --json`. Figures are minimum / "
        "median / maximum of the runs. The median is compared with the target; lost "
        "jobs, double starts and the safety times are compared with it in every run.",
        "",
        "`load_lag_ms_*` is the delay of the load tool itself. It shows how busy the "
        "machine was: response times of a run with a high lag are too high.",
        "",
        "## Targets",
        "",
        "| measure | target | min / median / max | runs | met |",
        "| --- | --- | --- | --- | --- |",
    ]
    missed = []
    for target in _TARGETS:
        values = _values(results.get(target.command, ()), target.key)
        sign = ">=" if target.at_least else "<="
        if not values:
            bound = f"{sign} {target.bound:g}"
            lines.append(f"| {target.measure} | {bound} | not run | 0 | |")
            continue
        met = target.is_met(values)
        if not met:
            missed.append(target)
        lines.append(
            f"| {target.measure} | {sign} {target.bound:g} | {_spread(values)} "
            f"| {len(values)} | {'yes' if met else 'no'} |"
        )
    for key in ("lost", "double_starts"):
        values = [v for runs in results.values() for v in _values(runs, key)]
        if values:
            met = "yes" if not max(values) else "no"
            row = f"| {key}, all runs | <= 0 | {_spread(values)} "
            lines.append(f"{row}| {len(values)} | {met} |")
    lines += ["", "## Causes of the missed targets", ""]
    by_cause = {}
    for target in missed:
        cause = CAUSES.get(target.key, "not known.")
        by_cause.setdefault(cause, []).append(target.measure)
    lines += [f"- {'; '.join(names)}: {cause}" for cause, names in by_cause.items()]
    lines += ["", "## Figures", ""]
    for command, runs in results.items():
        lines += _render_section(command, runs)
    return "\n".join(lines) + "\n"


def _render_section(command, runs):
    lines = [f"### `python -m benchmarks.run {command}`", ""]
    errors = [run["error"] for run in runs if "error" in run]
    lines += [f"A run failed: {error}" for error in errors]
    keys = dict.fromkeys(key for run in runs for key in run)
    rows = []
    for key in keys:
        values = _values(runs, key)
        if key in ("seed", "load", "error") or not values:
            continue
        rows.append(f"| {key} | {_spread(values)} |")
    if rows:
        lines += ["| figure | min / median / max |", "| --- | --- |", *rows]
    return [*lines, ""]


def _values(runs, key):
    values = [run.get(key) for run in runs]
    return [v for v in values if isinstance(v, (int, float)) and v == v]


def _commit():
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=_ROOT,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip() or "unknown"


def main(args):
    """Runs the scenarios and writes the report.

    Returns:
        int: 0 if no run failed or timed out, else 1.
    """
    parser = argparse.ArgumentParser(prog="benchmarks.report", description=__doc__)
    parser.add_argument("--runs", type=int, default=3, help="runs with seeds from 1")
    parser.add_argument("--only", help="run only commands with this text")
    parser.add_argument("--raw", type=Path, help="file of figures, read and extended")
    options = parser.parse_args(args)
    seeds = range(1, options.runs + 1)
    results = {}
    recorded = {}
    if options.raw and options.raw.exists():
        for line in options.raw.read_text(encoding="utf-8").splitlines():
            document = json.loads(line)
            recorded[document["command"], document["seed"]] = document["figures"]
    # Seeds are the outer loop, so that other load on the machine does not affect all
    # runs of one scenario.
    for seed in seeds:
        for command in _COMMANDS:
            figures = recorded.get((command, seed))
            if figures is None and options.only and options.only not in command:
                continue
            if figures is None:
                figures = _run(command, seed)
                print(command, f"seed {seed}:", json.dumps(figures), flush=True)
                if options.raw:
                    line = {"command": command, "seed": seed, "figures": figures}
                    with open(options.raw, "a", encoding="utf-8") as stream:
                        stream.write(json.dumps(line) + "\n")
            results.setdefault(command, []).append(figures)
            _PAGE.write_text(_render_page(results, seeds), encoding="utf-8")
    failed = any("error" in run for runs in results.values() for run in runs)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
