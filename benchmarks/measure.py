"""
benchmarks.measure
~~~~~~~~~~~~~~~~~~

Load runs in separate processes, and figures from results, start records and metrics.
"""

import json
import os
import re
import subprocess
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path

import gevent

from standins.fleet import call
from standins.load import percentile, write_trace

__all__ = [
    "LoadRun",
    "check_answers",
    "counters",
    "counters_difference",
    "lag_summary",
    "last_start_s",
    "parse_metrics",
    "rss_mib",
    "wasted_messages",
]

_ROOT = Path(__file__).resolve().parent.parent
_START_DELAY_S = 1.5
_COUNTER = re.compile(r"^(papayaward_\w+?)(?:_total)?(?:\{(.*)\})? (\S+)$")


class LoadRun:
    """A trace that load processes submit to a fleet.

    Args:
        fleet: `DelayedFleet`.
        arrivals: List of `Arrival`.
        processes: Number of load processes; each submits a part of the trace.
        answer_timeout_s: Seconds that a load process waits for the answer to a job.
    """

    def __init__(self, fleet, arrivals, processes=2, answer_timeout_s=15.0):
        self.arrivals = arrivals
        self.start_at = time.time() + _START_DELAY_S
        self._length_s = arrivals[-1].at_s if arrivals else 0.0
        self._answer_timeout_s = answer_timeout_s
        self._outputs = []
        self._processes = []
        for index in range(processes):
            trace = fleet.directory / f"trace-{self.start_at}-{index}"
            output = fleet.directory / f"out-{self.start_at}-{index}"
            write_trace(trace, arrivals[index::processes])
            command = [sys.executable, "-m", "standins.load"]
            command += ["--trace", trace, "--out", output]
            command += ["--start-at", str(self.start_at)]
            command += ["--give-up", str(answer_timeout_s)]
            for address in fleet.client_addresses:
                command += ["--entry", address]
            name = f"load-{self.start_at}-{index}"
            with open(fleet.directory / f"{name}.log", "ab") as log:
                process = subprocess.Popen(
                    list(map(str, command)),
                    cwd=_ROOT,
                    stdout=log,
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                )
            # The fleet stops the process at its end if this run is aborted.
            fleet.processes[name] = process
            self._outputs.append(output)
            self._processes.append(process)

    def sleep_until(self, at_s):
        """Waits until a time of the trace, in seconds from its start."""
        gevent.sleep(max(0.0, self.start_at + at_s - time.time()))

    def finish(self):
        """Waits for the processes and returns the results in order of the trace."""
        deadline = time.time() + self._length_s + self._answer_timeout_s + 10.0
        while any(process.poll() is None for process in self._processes):
            if time.time() > deadline:
                raise TimeoutError("a load process did not exit in time")
            gevent.sleep(0.05)
        results = []
        for output in self._outputs:
            lines = output.read_text(encoding="utf-8").splitlines()
            results += map(json.loads, lines)
        if len(results) != len(self.arrivals):
            raise RuntimeError("results of a load process are missing")
        return sorted(results, key=lambda result: result["number"])


def check_answers(arrivals, results, records, unknown_allowed=False):
    """Counts lost jobs and double starts from the results and the start records.

    A job is lost if its caller got no answer or a wrong one: `complete` without
    every result or without a finished run of each task, or `not_run` although a
    task started. `unknown` is a loss as well, except where a process with accepted
    jobs is killed.

    Args:
        arrivals: List of `Arrival`.
        results: Results of the load, in order of the trace.
        records: Records of starts of all upstreams.
        unknown_allowed: Whether `unknown` is a valid answer.

    Returns:
        dict: `lost`, `double_starts`, `outcomes`, `lost_why` and `reasons`.
    """
    starts = Counter()
    ended = set()
    by_job = Counter()
    for record in records:
        key = (record["job"], record["task"])
        starts[key] += 1
        by_job[record["job"]] += 1
        if record["end"] is not None:
            ended.add(key)
    losses = Counter()
    for arrival, result in zip(arrivals, results):
        outcome, job = result["outcome"], result["job"]
        tasks = range(len(arrival.work_ms))
        if outcome is None:
            # A job without an identifier was not submitted.
            losses["no answer" if job else "no identifier"] += 1
        elif outcome == "complete":
            if not result["whole"]:
                losses["answer not whole"] += 1
            elif any((job, index) not in ended for index in tasks):
                losses["complete without its starts"] += 1
        elif outcome == "not_run" and by_job[job]:
            losses["not_run although it started"] += 1
        elif outcome == "unknown" and not unknown_allowed:
            losses["unknown"] += 1
    return {
        "lost": sum(losses.values()),
        "double_starts": sum(number - 1 for number in starts.values()),
        "outcomes": dict(Counter(str(result["outcome"]) for result in results)),
        "lost_why": dict(losses),
        "reasons": dict(
            Counter(
                f"{result['outcome']}: {result['reason']}"
                for result in results
                if result["outcome"] not in (None, "complete")
            )
        ),
    }


def counters(fleet, names=None):
    """Returns the metrics of processes, by process name and metric with labels."""
    addresses = {**fleet.entry_http, **fleet.runner_http}
    found = {}
    for name in names or addresses:
        if fleet.processes[name].poll() is not None:
            continue
        text = call(addresses[name], "GET", "/metrics").body.decode()
        found[name] = parse_metrics(text)
    return found


def parse_metrics(text):
    """Returns the values of a Prometheus exposition text by name and labels."""
    values = {}
    for line in text.splitlines():
        match = _COUNTER.match(line)
        if match:
            values[match[1], match[2] or ""] = float(match[3])
    return values


def counters_difference(before, after):
    """Returns the growth of each metric, summed over the processes."""
    total = defaultdict(float)
    for name, values in after.items():
        for key, value in values.items():
            total[key] += value - before.get(name, {}).get(key, 0.0)
    return total


def wasted_messages(growth, tasks):
    """Returns the wasted messages per task, and the messages per task by type.

    A rejected grant counts as two wasted messages, the grant and its rejection. All
    slot reports and cancels count as wasted, which gives an upper bound.
    """
    by_type = Counter()
    for (name, labels), value in growth.items():
        if name == "papayaward_messages_sent" and value:
            by_type[labels.split('"')[1]] += value
    rejected = sum(
        value
        for (name, _), value in growth.items()
        if name == "papayaward_rejected_grants"
    )
    wasted = 2 * rejected + by_type["SlotReport"] + by_type["CancelTasks"]
    tasks = max(1, tasks)
    rates = {name: round(number / tasks, 4) for name, number in by_type.items()}
    heartbeats = rates.pop("Heartbeat", 0.0)
    return {
        "wasted_messages_per_task": round(wasted / tasks, 4),
        "rejected_grants": int(rejected),
        "messages_per_task": rates,
        "heartbeats_per_task": heartbeats,
    }


def last_start_s(records, domain, begin, end):
    """Returns the last start in a domain, in seconds after `begin`.

    Returns 0.0 when nothing started there between `begin` and `end`.
    """
    starts = [r["start"] for r in records if r["domain"] == domain]
    return max((s - begin for s in starts if begin <= s < end), default=0.0)


def lag_summary(results):
    """Returns by how much the load tool submitted jobs late, in ms."""
    lags = [result["lag_s"] * 1000 for result in results]
    return {
        "load_lag_ms_p99": round(percentile(lags, 0.99), 2),
        "load_lag_ms_max": round(max(lags, default=0.0), 2),
    }


def rss_mib(pid):
    """Returns the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
