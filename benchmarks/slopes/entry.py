"""
benchmarks.slopes.entry
~~~~~~~~~~~~~~~~~~~~~~~

Cost of an entry, and of calls to the store and the status page.
"""

import json

import gevent

from standins.fleet import call

from ..sampling import link_counters, measure, rss_mib
from .figures import WARM_UP_S, WINDOWS, ExtraCpu, Rate, add_per_task, figures
from .fleets import (
    add_runners,
    config_document,
    entry_fleet,
    entry_processes,
    store_calls,
)
from .load import LOAD_DEFAULTS, Callers, OpenLoop

__all__ = [
    "entry_config",
    "entry_load",
    "entry_members",
    "status_members",
    "store_entries",
]

# Calls per second that an entry without changes makes to the store.
_IDLE_STORE_CALLS_S = 4
_STATUS_CALLS = 20


def entry_members(points, seconds):
    """Yields the cost of an idle entry by the number of members."""
    with entry_fleet(0, config_document()) as (fleet, runners):
        for members in points:
            add_runners(fleet, runners, members)
            gevent.sleep(WARM_UP_S)
            calls = Rate(lambda: store_calls(fleet))
            usage = measure(entry_processes(fleet), seconds, WINDOWS)["e1"]
            values = figures(usage)
            values["linked"] = sum(len(r.links) for r in runners)
            values["store_calls_s"] = calls.per_second()
            yield members, values


def entry_load(points, seconds, variable, **fixed):
    """Yields the cost of an entry under load by one option of the load."""
    options = {"members": 20, **LOAD_DEFAULTS, **fixed}
    for x in points:
        options[variable] = x
        document = config_document(options["tenants"])
        with entry_fleet(options["members"], document) as (fleet, _):
            yield x, _measure_entry_load(fleet, options, seconds)


def _measure_entry_load(fleet, options, seconds):
    job_size = options["job_size"]
    jobs_s = options.get("jobs_s") or options["tasks_s"] / job_size
    callers = Callers(fleet.entry(), job_size, options["tenants"])
    load = OpenLoop(jobs_s, callers.submit)
    gevent.sleep(WARM_UP_S)
    calls = Rate(lambda: store_calls(fleet))
    answers = Rate(lambda: callers.answered)
    usage = measure(entry_processes(fleet), seconds, WINDOWS)["e1"]
    answered_s = answers.per_second()
    values = figures(usage)
    values["store_calls_s"] = calls.per_second()
    add_per_task(values, usage, answered_s * job_size, answered_s)
    values["refused"] = callers.refused
    load.stop()
    return values


def entry_config(points, seconds, members=20):
    """Yields the cost of a configuration change by the size of the configuration."""
    with entry_fleet(members, config_document(1)) as (fleet, _):
        pid, http = entry_processes(fleet)["e1"]
        gevent.sleep(WARM_UP_S)
        idle = measure({"e1": (pid, http)}, seconds, WINDOWS)["e1"]
        for size in points:
            document = config_document(1, size=size)
            changes = max(3, int(seconds * 3))
            calls, pushed = store_calls(fleet), _pushed_bytes(http)
            version = fleet.version()
            cpu = ExtraCpu(pid, idle)
            _apply_repeatedly(fleet, document, version, changes)
            cpu.stop()
            pushed = link_counters(http)["bytes"]["sent", "ConfigPush"] - pushed
            calls = store_calls(fleet) - calls - _IDLE_STORE_CALLS_S * cpu.elapsed_s
            values = {
                "cpu_ms_change": cpu.used_s / changes * 1e3,
                "push_bytes_change": pushed / changes,
                "push_bytes_change_member": pushed / changes / members,
                "store_calls_change": calls / changes,
                "rss_mib": rss_mib(pid),
                "members": members,
            }
            yield len(json.dumps(document)), values


def _apply_repeatedly(fleet, document, version, changes):
    for number in range(changes):
        status, reply = fleet.apply(document, version + number)
        if status != 200 or not reply["in_force_everywhere"]:
            raise RuntimeError(f"configuration change failed: {status} {reply}")


def _pushed_bytes(http):
    return link_counters(http)["bytes"].get(("sent", "ConfigPush"), 0.0)


def store_entries(points, seconds):
    """Yields the calls to the store by the number of entries."""
    for x in points:
        with entry_fleet(20, config_document(), entries=x) as (fleet, _):
            gevent.sleep(WARM_UP_S)
            calls = Rate(lambda: store_calls(fleet))
            gevent.sleep(seconds)
            yield x, {"store_calls_s": calls.per_second()}


def status_members(points, seconds):
    """Yields the cost of a status call to an entry by the number of members."""
    with entry_fleet(0, config_document()) as (fleet, runners):
        pid, http = entry_processes(fleet)["e1"]
        for members in points:
            add_runners(fleet, runners, members)
            gevent.sleep(WARM_UP_S)
            idle = measure({"e1": (pid, http)}, seconds, WINDOWS)["e1"]
            cpu = ExtraCpu(pid, idle)
            for _ in range(_STATUS_CALLS):
                reply = call(http, "GET", "/admin/status")
            cpu.stop()
            values = {
                "cpu_ms_call": cpu.used_s / _STATUS_CALLS * 1e3,
                "reply_bytes": len(reply.body),
            }
            yield members, values
