"""
benchmarks.slopes
~~~~~~~~~~~~~~~~~

Cost of each role as a function of fleet size, load and configuration.

The measured processes are started with `python -m papayaward`, as in production, and
loaded by `benchmarks.peers`. Processor time is read from /proc, messages and bytes from
the process's own link counters. Control messages are the types that are also exchanged
without work (`benchmarks.sampling.CONTROL_MESSAGES`).

Usage: `python -m benchmarks.slopes [--only NAME ...] [--short] [--json]`.
"""

import argparse
import json
import sys
import time
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from functools import partial
from http.client import HTTPException

import gevent
from geventhttpclient import HTTPClient

from standins.fleet import Fleet, call

from .peers import (
    RawUpstream,
    SimulatedCoordinator,
    SimulatedEntry,
    SimulatedExecutor,
    SimulatedRunner,
)
from .sampling import cpu_s, fit_line, link_counters, measure, rss_mib

__all__ = ["SERIES", "Series", "config_document", "main", "run_series"]

_WARM_UP_S = 1.0
_WINDOWS = 3
_SHORT_WINDOW_S = 0.3
_WINDOW_S = 1.5
_DEFAULTS = {"executors": 50, "tasks_s": 1000, "job_size": 100, "tenants": 68}


@dataclass(frozen=True)
class Series:
    """Measurement of one role as a function of one variable.

    Attributes:
        role: Role of the measured process.
        variable: Description of the independent variable x.
        points: Values of x.
        short: Values of x in the short mode.
        run: Function of the values of x and the length of a window in seconds;
            yields (x, figures by name).
    """

    role: str
    variable: str
    points: tuple
    short: tuple
    run: object


def config_document(tenants=68, domains=9, services=1, size=0):
    """Returns a configuration as a document.

    Args:
        tenants: Number of tenants, each with a quota.
        domains: Number of failure domains.
        services: Number of services; the first is `dispatch`.
        size: Size in bytes up to which tenants and services are added.
    """
    document = {
        "services": [{"name": "dispatch"}]
        + [{"name": f"service{n}"} for n in range(1, services)],
        "tenants": [
            {"name": f"t{n}", "weight": 1 + n % 4, "quota": round(0.5 / tenants, 5)}
            for n in range(tenants)
        ],
        "classes": [{"name": "c1"}],
        "domains": ["a"] + [f"d{n}" for n in range(1, domains)],
        "domains_out": [],
    }
    # Tenants and services are limited to 1,000 each.
    missing_bytes = max(0, size - len(json.dumps(document)))
    tenant = {"name": "filler0000", "weight": 1, "quota": 0.0}
    item_bytes = len(json.dumps(tenant)) + 2
    for number in range(min(900, missing_bytes // item_bytes)):
        document["tenants"].append({**tenant, "name": f"filler{number:04d}"})
    missing_bytes = max(0, size - len(json.dumps(document)))
    service = {"name": "other0000", "depends_on": ["dispatch"], "cells": 1}
    item_bytes = len(json.dumps(service)) + 2
    for number in range(min(900, missing_bytes // item_bytes)):
        document["services"].append({**service, "name": f"other{number:04d}"})
    return document


# Figures of one measurement.


def _figures(usage):
    return {
        "cpu_core": usage.cpu,
        "rss_mib": usage.rss_mib,
        "control_messages_s": usage.control_messages(),
        "control_bytes_s": usage.control_bytes(),
        "work_messages_s": usage.work_messages(),
        "work_bytes_s": usage.work_bytes(),
    }


def _add_per_task(values, usage, tasks_s, jobs_s):
    values["tasks_s"] = tasks_s
    if tasks_s:
        values["cpu_us_task"] = usage.cpu / tasks_s * 1e6
        values["work_messages_task"] = usage.work_messages() / tasks_s
        values["work_bytes_task"] = usage.work_bytes() / tasks_s
    if jobs_s:
        values["cpu_us_job"] = usage.cpu / jobs_s * 1e6
    return values


class _OpenLoop:
    """Calls a function at a fixed rate (open loop) until it is stopped."""

    def __init__(self, rate, function):
        self.called = 0
        self._task = gevent.spawn(self._run, rate, function)

    def stop(self):
        self._task.kill()

    def _run(self, rate, function):
        due = time.monotonic()
        while True:
            due += 1 / rate
            gevent.sleep(max(0.0, due - time.monotonic()))
            function(self.called)
            self.called += 1


def _wait_until(condition, timeout_s=30.0):
    with gevent.Timeout(timeout_s, TimeoutError("condition not met in time")):
        while not condition():
            gevent.sleep(0.02)


def _store_calls(fleet):
    return sum(fleet.control_store()["calls"].values())


# Entry.


@contextmanager
def _entry_fleet(members, document, entries=1):
    """A real store and real entries with simulated runners; r0 is the coordinator."""
    with Fleet(document, entries=entries, runners=()) as fleet:
        runners = []
        try:
            _add_runners(fleet, runners, members)
            yield fleet, runners
        finally:
            for runner in runners:
                runner.stop()


def _add_runners(fleet, runners, members):
    while len(runners) < members:
        runner = SimulatedRunner(f"r{len(runners)}", ready=not runners)
        for address in fleet.entry_link.values():
            runner.dial(address)
        runners.append(runner)
        if len(runners) % 20 == 0:
            gevent.sleep(0.02)
    entries = len(fleet.entry_link)
    _wait_until(lambda: all(len(r.links) == entries for r in runners))


def _entry_processes(fleet):
    return {
        name: (fleet.processes[name].pid, http)
        for name, http in fleet.entry_http.items()
    }


def _entry_members(points, seconds):
    with _entry_fleet(0, config_document()) as (fleet, runners):
        for members in points:
            _add_runners(fleet, runners, members)
            gevent.sleep(_WARM_UP_S)
            calls, began = _store_calls(fleet), time.monotonic()
            usage = measure(_entry_processes(fleet), seconds, _WINDOWS)["e1"]
            calls = (_store_calls(fleet) - calls) / (time.monotonic() - began)
            values = _figures(usage)
            values["linked"] = sum(len(r.links) for r in runners)
            values["store_calls_s"] = calls
            yield members, values


class _Callers:
    """Callers of an entry that submit jobs over persistent connections."""

    def __init__(self, address, job_size, tenants, connections=64):
        host, _, port = address.rpartition(":")
        self._client = HTTPClient(
            host, int(port), concurrency=connections, network_timeout=30.0
        )
        tasks = [{"work_ms": 0}] * job_size
        self._bodies = [
            json.dumps(
                {
                    "service": "dispatch",
                    "tenant": f"t{n}",
                    "class": "c1",
                    "tasks": tasks,
                }
            ).encode()
            for n in range(tenants)
        ]
        self.answered = 0
        self.refused = 0

    def submit(self, number):
        """Submits one job in a new greenlet."""
        gevent.spawn(self._submit, number)

    def _submit(self, number):
        body = self._bodies[number % len(self._bodies)]
        try:
            response = self._client.post("/v1/jobs", body=body)
            response.read()
        except (OSError, HTTPException):
            # At the end of a window the entry is stopped while callers wait.
            self.refused += 1
            return
        if response.status_code == 200:
            self.answered += 1
        else:
            self.refused += 1


def _entry_load(points, seconds, variable, **fixed):
    options = {"members": 20, **_DEFAULTS, **fixed}
    for x in points:
        options[variable] = x
        jobs_s = options.get("jobs_s") or options["tasks_s"] / options["job_size"]
        document = config_document(options["tenants"])
        with _entry_fleet(options["members"], document) as (fleet, runners):
            callers = _Callers(fleet.entry(), options["job_size"], options["tenants"])
            load = _OpenLoop(jobs_s, callers.submit)
            gevent.sleep(_WARM_UP_S)
            answered, calls = callers.answered, _store_calls(fleet)
            began = time.monotonic()
            usage = measure(_entry_processes(fleet), seconds, _WINDOWS)["e1"]
            window = time.monotonic() - began
            jobs = (callers.answered - answered) / window
            values = _figures(usage)
            values["store_calls_s"] = (_store_calls(fleet) - calls) / window
            _add_per_task(values, usage, jobs * options["job_size"], jobs)
            values["refused"] = callers.refused
            load.stop()
            yield x, values


def _entry_config(points, seconds, members=20):
    """Cost of a configuration change, by the size of the configuration."""
    with _entry_fleet(members, config_document(1)) as (fleet, runners):
        pid, http = _entry_processes(fleet)["e1"]
        gevent.sleep(_WARM_UP_S)
        idle = measure({"e1": (pid, http)}, seconds, _WINDOWS)["e1"]
        for size in points:
            document = config_document(1, size=size)
            changes = max(3, int(seconds * 3))
            calls = _store_calls(fleet)
            version = fleet.version()
            sent = dict(_link_bytes(http))
            began, used = time.monotonic(), cpu_s(pid)
            slowest = 0.0
            for number in range(changes):
                start = time.monotonic()
                status, reply = fleet.apply(document, version + number)
                slowest = max(slowest, time.monotonic() - start)
                if status != 200 or not reply["in_force_everywhere"]:
                    raise RuntimeError(f"configuration change failed: {status} {reply}")
            elapsed = time.monotonic() - began
            used = cpu_s(pid) - used - idle.cpu * elapsed
            sent_now = _link_bytes(http)
            pushed = sent_now["ConfigPush"] - sent.get("ConfigPush", 0.0)
            calls = _store_calls(fleet) - calls - 4 * elapsed
            yield (
                len(json.dumps(document)),
                {
                    "cpu_ms_change": used / changes * 1e3,
                    "push_bytes_change": pushed / changes,
                    "push_bytes_change_member": pushed / changes / members,
                    "store_calls_change": calls / changes,
                    "rss_mib": rss_mib(pid),
                    "members": members,
                },
            )


def _link_bytes(http):
    return {
        name: value
        for (direction, name), value in link_counters(http)["bytes"].items()
        if direction == "sent"
    }


# Runner.


@contextmanager
def _runner_fleet(document, entries=1, **settings):
    """A real runner with simulated entries; its upstream is stopped."""
    text = json.dumps(document).encode()
    peers = [SimulatedEntry(f"e{n}", text) for n in range(entries)]
    settings = {"entries": [e.address for e in peers], **settings}
    fleet = Fleet(None, 0, [{"domain": "a"}], {"runner": settings})
    try:
        with fleet:
            fleet.kill("u-r1")
            _wait_until(lambda: all(e.links for e in peers))
            yield fleet, peers
    finally:
        for entry in peers:
            entry.stop()


def _runner_process(fleet):
    return {"r1": (fleet.processes["r1"].pid, fleet.runner_http["r1"])}


def _link_executors(entry, executors, count):
    while len(executors) < count:
        executors.append(SimulatedExecutor(f"x{len(executors)}"))
    entry.set_members(executors)
    _wait_until(lambda: all(x.links for x in executors))


def _coordinator_members(points, seconds):
    with _runner_fleet(config_document()) as (fleet, (entry,)):
        executors = []
        for x in points:
            _link_executors(entry, executors, x)
            gevent.sleep(_WARM_UP_S)
            yield x, _figures(measure(_runner_process(fleet), seconds, _WINDOWS)["r1"])
        for executor in executors:
            executor.stop()


def _coordinator_load(points, seconds, variable, burst=1, **fixed):
    options = {**_DEFAULTS, **fixed}
    for x in points:
        options[variable] = x
        size, tenants = options["job_size"], options["tenants"]
        jobs_s = options.get("jobs_s") or options["tasks_s"] / size
        with _runner_fleet(config_document(tenants)) as (fleet, (entry,)):
            executors = []
            _link_executors(entry, executors, options["executors"])
            link = entry.links["r1"]
            entry.request_ids(link)

            def submit(number):
                for n in range(number * burst, (number + 1) * burst):
                    entry.submit(link, size, f"t{n % tenants}")

            load = _OpenLoop(jobs_s / burst, submit)
            gevent.sleep(_WARM_UP_S)
            jobs = entry.outcomes.get("complete", 0)
            began = time.monotonic()
            usage = measure(_runner_process(fleet), seconds, _WINDOWS)["r1"]
            jobs = entry.outcomes.get("complete", 0) - jobs
            jobs /= time.monotonic() - began
            values = _add_per_task(_figures(usage), usage, jobs * size, jobs)
            refused = sum(n for o, n in entry.outcomes.items() if o != "complete")
            values["refused"] = refused
            load.stop()
            for executor in executors:
                executor.stop()
            yield x, values


def _runner_config(points, seconds):
    """Cost of applying a pushed configuration, by its size."""
    with _runner_fleet(config_document(1)) as (fleet, (entry,)):
        gevent.sleep(_WARM_UP_S)
        process = _runner_process(fleet)
        pid = process["r1"][0]
        idle = measure(process, seconds, _WINDOWS)["r1"]
        for size in points:
            text = json.dumps(config_document(1, size=size)).encode()
            changes = max(3, int(seconds * 5))
            began, used = time.monotonic(), cpu_s(pid)
            for _ in range(changes):
                entry.push_config(text)
                _wait_until(lambda: entry.confirmed == entry.config_version)
            elapsed = time.monotonic() - began
            used = cpu_s(pid) - used - idle.cpu * elapsed
            yield (
                len(text),
                {
                    "cpu_ms_change": used / changes * 1e3,
                    "rss_mib": rss_mib(pid),
                },
            )


def _coordinator_records(points, seconds, job_size=10):
    """Memory by the number of finished jobs whose records are kept."""
    with _runner_fleet(config_document()) as (fleet, (entry,)):
        executors = []
        _link_executors(entry, executors, 50)
        link = entry.links["r1"]
        entry.request_ids(link)
        pid = fleet.processes["r1"].pid
        sent = 0
        for x in points:
            load = _OpenLoop(400, lambda n: entry.submit(link, job_size, f"t{n % 68}"))
            _wait_until(lambda: sent + load.called >= x, 120)
            load.stop()
            sent += load.called
            _wait_until(lambda: entry.outcomes.get("complete", 0) >= sent - 1, 60)
            gevent.sleep(0.2)
            done = entry.outcomes["complete"]
            yield done, {"rss_mib": rss_mib(pid), "job_size": job_size}
        for executor in executors:
            executor.stop()


@contextmanager
def _executor_fleet(coordinators, slots, document):
    """A real executor with simulated coordinators and a simulated upstream."""
    with _runner_fleet(document, announce_ttl_s=600.0) as (fleet, _):
        upstream = RawUpstream()
        call(
            fleet.runner_http["r1"],
            "POST",
            "/announce",
            {
                "service": "dispatch",
                "address": f"127.0.0.1:{upstream.port}",
                "slots": slots,
            },
        )
        peers = [SimulatedCoordinator(f"h{n}") for n in range(coordinators)]
        try:
            for coordinator in peers:
                coordinator.dial(fleet.runner_link["r1"])
            _wait_until(lambda: all(c.links for c in peers))
            yield fleet, peers
        finally:
            for coordinator in peers:
                coordinator.stop()
            upstream.stop()


def _executor_load(points, seconds, variable, **fixed):
    options = {"coordinators": 1, "tasks_s": 200, "job_size": 4, "tenants": 68, **fixed}
    for x in points:
        options[variable] = x
        size, tenants = options["job_size"], options["tenants"]
        document = config_document(tenants)
        with _executor_fleet(options["coordinators"], 1024, document) as (
            fleet,
            coordinators,
        ):

            def grant(number):
                coordinator = coordinators[number % len(coordinators)]
                coordinator.grant(coordinator.links["r1"], size, f"t{number % tenants}")

            load = _OpenLoop(options["tasks_s"] / size, grant) if size else None
            gevent.sleep(_WARM_UP_S)
            done, reports = (
                _completed(coordinators),
                sum(c.reports for c in coordinators),
            )
            began = time.monotonic()
            usage = measure(_runner_process(fleet), seconds, _WINDOWS)["r1"]
            window = time.monotonic() - began
            tasks_s = (_completed(coordinators) - done) / window
            values = _add_per_task(_figures(usage), usage, tasks_s, 0)
            reports = (sum(c.reports for c in coordinators) - reports) / window
            values["slot_reports_task"] = reports / tasks_s if tasks_s else 0.0
            values["rejected"] = sum(
                n for c in coordinators for status, n in c.statuses.items() if status
            )
            load.stop()
            yield x, values


def _completed(coordinators):
    return sum(coordinator.statuses.get(0, 0) for coordinator in coordinators)


def _executor_coordinators_idle(points, seconds):
    for x in points:
        with _executor_fleet(x, 8, config_document()) as (fleet, _):
            gevent.sleep(_WARM_UP_S)
            yield x, _figures(measure(_runner_process(fleet), seconds, _WINDOWS)["r1"])


def _executor_started(points, seconds):
    """Memory by the number of started tasks, whose records are kept for 60 s."""
    with _executor_fleet(1, 1024, config_document()) as (fleet, (coordinator,)):
        pid = fleet.processes["r1"].pid
        link = coordinator.links["r1"]
        for x in points:
            load = _OpenLoop(150, lambda n: coordinator.grant(link, 8, f"t{n % 68}"))
            _wait_until(lambda: _completed([coordinator]) >= x, 120)
            load.stop()
            gevent.sleep(0.2)
            yield _completed([coordinator]), {"rss_mib": rss_mib(pid)}


def _announcements(points, seconds):
    """Cost of an idle runner by announcements per second, each on a new connection."""
    with _executor_fleet(0, 8, config_document()) as (fleet, _):
        http = fleet.runner_http["r1"]
        document = {"service": "dispatch", "address": "127.0.0.1:1", "slots": 8}
        for x in points:
            load = _OpenLoop(x, lambda _: call(http, "POST", "/announce", document))
            gevent.sleep(_WARM_UP_S)
            usage = measure(_runner_process(fleet), seconds, _WINDOWS)["r1"]
            load.stop()
            yield x, _figures(usage)


def _runner_entries(points, seconds):
    """Cost of an idle runner by the number of linked entries."""
    for x in points:
        with _runner_fleet(config_document(), entries=x) as (fleet, _):
            gevent.sleep(_WARM_UP_S)
            yield x, _figures(measure(_runner_process(fleet), seconds, _WINDOWS)["r1"])


# Store and status calls.


def _store_entries(points, seconds):
    for x in points:
        with _entry_fleet(20, config_document(), entries=x) as (fleet, _):
            gevent.sleep(_WARM_UP_S)
            calls, began = _store_calls(fleet), time.monotonic()
            gevent.sleep(seconds)
            calls = (_store_calls(fleet) - calls) / (time.monotonic() - began)
            yield x, {"store_calls_s": calls}


def _status_members(points, seconds):
    """Cost of a status call to an entry, by the number of members."""
    with _entry_fleet(0, config_document()) as (fleet, runners):
        pid, http = _entry_processes(fleet)["e1"]
        for members in points:
            _add_runners(fleet, runners, members)
            gevent.sleep(_WARM_UP_S)
            idle = measure({"e1": (pid, http)}, seconds, _WINDOWS)["e1"]
            calls, size = 20, 0
            began, used = time.monotonic(), cpu_s(pid)
            for _ in range(calls):
                size = len(call(http, "GET", "/admin/status").body)
            elapsed = time.monotonic() - began
            used = cpu_s(pid) - used - idle.cpu * elapsed
            yield members, {"cpu_ms_call": used / calls * 1e3, "reply_bytes": size}


# Idle fleet and memory growth.


def _idle(points, seconds):
    """Cost of each idle runner of a fleet of 2 entries and 10 runners, by window."""
    runners = [{"domain": "abcd"[n % 4]} for n in range(10)]
    document = config_document(2, domains=4)
    document["domains"] = list("abcd")
    with Fleet(document, 2, runners) as fleet:
        processes = {
            name: (fleet.processes[name].pid, http)
            for name, http in fleet.runner_http.items()
        }
        gevent.sleep(2 * _WARM_UP_S)
        for x in points:
            windows = measure(processes, seconds, _WINDOWS)
            values = [_figures(usage) for usage in windows.values()]
            summary = {}
            for name in ("cpu_core", "rss_mib", "control_bytes_s"):
                ordered = sorted(v[name] for v in values)
                summary[f"{name}_min"] = ordered[0]
                summary[f"{name}_median"] = ordered[len(ordered) // 2]
                summary[f"{name}_max"] = ordered[-1]
            yield x, summary


def _memory_growth(points, seconds):
    """Memory of the runners of a real fleet, by the number of finished tasks."""
    runners = [{"domain": "abc"[n % 3], "slots": 32} for n in range(3)]
    document = config_document(2, domains=3)
    document["domains"] = list("abc")
    with Fleet(document, 2, runners) as fleet:
        callers = _Callers(fleet.entry(), 100, 2)
        submitted = 0
        for x in points:
            while callers.answered * 100 < x:
                if submitted - callers.answered - callers.refused < 20:
                    callers.submit(submitted)
                    submitted += 1
                gevent.sleep(0.002)
            rss = {n: rss_mib(fleet.processes[n].pid) for n in fleet.runner_http}
            ordered = sorted(rss.values())
            yield (
                callers.answered * 100,
                {
                    "rss_mib_min": ordered[0],
                    "rss_mib_max": ordered[-1],
                    "refused": callers.refused,
                },
            )


_MEMBER_COUNTS = (50, 100, 200, 400, 800)
_JOB_SIZES = (1, 100, 400, 800, 1600)
_TENANT_COUNTS = (1, 17, 68, 272)
_CONFIG_SIZES = (2_000, 10_000, 20_000, 40_000, 80_000)

SERIES = {
    "idle": Series("runner", "window", (1, 2, 3), (1, 2), _idle),
    "entry_members": Series(
        "entry", "members", _MEMBER_COUNTS, (10, 20, 30, 40), _entry_members
    ),
    "entry_members_loaded": Series(
        "entry",
        "members, 10 jobs a second",
        (20, 100, 200, 400),
        (5, 10),
        partial(_entry_load, variable="members"),
    ),
    "entry_tasks": Series(
        "entry",
        "tasks a second",
        (1000, 2000, 4000, 6000),
        (200, 400),
        partial(_entry_load, variable="tasks_s"),
    ),
    "entry_job_size": Series(
        "entry",
        "tasks of a job",
        _JOB_SIZES,
        (1, 100),
        partial(_entry_load, variable="job_size", jobs_s=8),
    ),
    "entry_tenants": Series(
        "entry",
        "tenants",
        _TENANT_COUNTS,
        (1, 4),
        partial(_entry_load, variable="tenants"),
    ),
    "entry_config": Series(
        "entry", "bytes of the text", _CONFIG_SIZES, (2_000, 10_000), _entry_config
    ),
    "coordinator_members": Series(
        "coordinator",
        "executors of the cell",
        (10, 50, 100, 200),
        (5, 10),
        _coordinator_members,
    ),
    "coordinator_executors": Series(
        "coordinator",
        "executors of the cell, 1,000 tasks a second",
        (10, 50, 100, 200),
        (5, 10),
        partial(_coordinator_load, variable="executors"),
    ),
    "coordinator_tasks": Series(
        "coordinator",
        "tasks a second",
        (250, 500, 1000, 2000),
        (100, 200),
        partial(_coordinator_load, variable="tasks_s"),
    ),
    "coordinator_job_size": Series(
        "coordinator",
        "tasks of a job",
        _JOB_SIZES,
        (1, 100),
        partial(_coordinator_load, variable="job_size", jobs_s=1),
    ),
    "coordinator_tenants": Series(
        "coordinator",
        "tenants",
        _TENANT_COUNTS,
        (1, 4),
        partial(_coordinator_load, variable="tenants", burst=10),
    ),
    "coordinator_records": Series(
        "coordinator",
        "finished jobs of 10 tasks",
        (1000, 2000, 4000, 8000),
        (100, 200),
        _coordinator_records,
    ),
    "executor_entries": Series(
        "executor", "entries linked", (1, 2, 4, 8), (1, 2), _runner_entries
    ),
    "executor_announcements": Series(
        "executor", "announcements a second", (1, 2, 4, 8), (2, 4), _announcements
    ),
    "executor_homes_idle": Series(
        "executor",
        "coordinators linked",
        (1, 2, 4, 8),
        (1, 2),
        _executor_coordinators_idle,
    ),
    "executor_homes": Series(
        "executor",
        "coordinators, 200 tasks a second",
        (1, 2, 4, 8),
        (1, 2),
        partial(_executor_load, variable="coordinators"),
    ),
    "executor_tasks": Series(
        "executor",
        "tasks a second",
        (100, 200, 400, 800),
        (50, 100),
        partial(_executor_load, variable="tasks_s"),
    ),
    "executor_batch": Series(
        "executor",
        "grants of a batch",
        (1, 4, 16, 64),
        (1, 4),
        partial(_executor_load, variable="job_size"),
    ),
    "executor_tenants": Series(
        "executor",
        "tenants",
        _TENANT_COUNTS,
        (1, 4),
        partial(_executor_load, variable="tenants"),
    ),
    "executor_started": Series(
        "executor",
        "started tasks",
        (5000, 10000, 20000, 30000),
        (200, 400),
        _executor_started,
    ),
    "runner_config": Series(
        "runner", "bytes of the text", _CONFIG_SIZES, (2_000, 10_000), _runner_config
    ),
    "store_entries": Series("store", "entries", (1, 2, 3, 4), (1, 2), _store_entries),
    "status_members": Series(
        "operators' tool", "members", (50, 100, 200, 400), (5, 10), _status_members
    ),
    "growth": Series(
        "runner",
        "finished tasks",
        (20_000, 40_000, 60_000, 80_000, 100_000),
        (100, 200),
        _memory_growth,
    ),
}


def run_series(name, short=False):
    """Measures one series.

    Args:
        name: Name in `SERIES`.
        short: Whether to use few points and short windows.

    Returns:
        dict: `name`, `role`, `variable`, `points` (list of dicts with `x`) and
            `fits` (slope, intercept and residual by value).
    """
    series = SERIES[name]
    xs = series.short if short else series.points
    points = []
    for x, values in series.run(xs, _SHORT_WINDOW_S if short else _WINDOW_S):
        points.append({"x": x, **values})
    fits = {}
    for key in points[0]:
        pairs = [(point["x"], point[key]) for point in points if key in point]
        if key != "x" and len({x for x, _ in pairs}) > 1:
            fits[key] = asdict(fit_line(pairs))
    return {
        "name": name,
        "role": series.role,
        "variable": series.variable,
        "points": points,
        "fits": fits,
    }


def _print_table(result):
    print(f"{result['name']}: {result['role']} by {result['variable']}")
    for point in result["points"]:
        values = "  ".join(f"{k}={v:.5g}" for k, v in point.items() if k != "x")
        print(f"  x={point['x']:<8} {values}")
    for key, fit in result["fits"].items():
        line = f"{fit['intercept']:.5g} + {fit['slope']:.5g} x"
        print(f"  {key}: {line}  (residual {fit['residual']:.0%})")
    sys.stdout.flush()


def main(args):
    """Measures the series and prints the results.

    Args:
        args: Command-line arguments without the program's name.

    Returns:
        int: 0.
    """
    parser = argparse.ArgumentParser(prog="benchmarks.slopes", description=__doc__)
    parser.add_argument("--only", action="append", choices=sorted(SERIES))
    parser.add_argument("--short", action="store_true", help="few, short windows")
    parser.add_argument("--json", action="store_true", help="print one JSON document")
    options = parser.parse_args(args)
    results = []
    for name in options.only or SERIES:
        result = run_series(name, options.short)
        results.append(result)
        if not options.json:
            _print_table(result)
    if options.json:
        print(json.dumps({"series": results}, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
