"""
benchmarks.scenarios.common
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fleets and figures that several scenarios share.
"""

import statistics
import time

import gevent

from standins.fleet import process_cpu_s
from standins.load import percentile

from ..delayed_fleet import DelayedFleet
from ..ideal import work_within
from ..measure import counters, counters_difference, rss_mib
from ..trace import PROFILES

__all__ = [
    "entry_cpu_s",
    "find_coordinator",
    "goodput",
    "measure_idle",
    "ratios",
    "set_domains_out",
    "slot_losses",
    "make_fleet",
    "work_share",
]


def _runner_settings(options):
    return {"runner": {"placement": options.policy}} if options.policy else {}


def make_fleet(options, profile="oberland", **arguments):
    """Returns a fleet of a profile with the placement policy of the options."""
    return DelayedFleet(
        PROFILES[profile], settings=_runner_settings(options), **arguments
    )


def find_coordinator(fleet):
    """Returns the member that issues the identifiers of new jobs."""
    return fleet.new_ids(1)[0].split("-")[1]


def set_domains_out(fleet, domains):
    """Sets the domains out of service.

    Returns:
        tuple: Time of the change and seconds until it was in force everywhere.
    """
    before = fleet.version()
    at = time.time()
    status, reply = fleet.set_domains_out(domains)
    if status != 200:
        raise RuntimeError(f"configuration change refused: {status} {reply}")

    def in_force():
        return all(
            fleet.version(index) > before
            and all(
                member["config_version"] > before
                for member in fleet.status(index)["members"]
            )
            for index in range(len(fleet.client_addresses))
        )

    fleet.wait_until(in_force)
    return at, time.time() - at


def ratios(results, ideal, begin_s, arrivals):
    """Returns median and 99th percentile of response times, and ratios to the ideal."""
    pairs = [
        (result["response_s"], ideal_s)
        for arrival, result, ideal_s in zip(arrivals, results, ideal.response_s)
        if arrival.at_s >= begin_s and result["outcome"] == "complete"
    ]
    actual, ideal_times = zip(*pairs)
    found = {"jobs": len(pairs)}
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        time_s, ideal_time_s = percentile(actual, share), percentile(ideal_times, share)
        found[f"response_over_ideal_{name}"] = round(time_s / ideal_time_s, 3)
        found[f"response_ms_{name}"] = round(time_s * 1000, 1)
        found[f"ideal_ms_{name}"] = round(ideal_time_s * 1000, 1)
    return found


def work_share(run, results, records, ideal, begin_s, end_s):
    """Returns the work done in an interval of the trace, as a share of the ideal's."""
    done = work_within(
        _finished_runs(records, run.arrivals, results),
        run.start_at + begin_s,
        run.start_at + end_s,
    )
    return round(done / ideal.work_done(begin_s, end_s), 4)


def _finished_runs(records, arrivals, results):
    """Returns (start, end, work) of each finished run of a task, in seconds."""
    works = {
        result["job"]: arrival.work_ms
        for arrival, result in zip(arrivals, results)
        if result["job"]
    }
    return [
        (record["start"], record["end"], works[record["job"]][record["task"]] / 1000)
        for record in records
        if record["end"] is not None
    ]


def goodput(run, results, begin_s, end_s):
    """Returns the work per second of jobs answered `complete` within an interval."""
    done = sum(
        sum(arrival.work_ms) / 1000
        for arrival, result in zip(run.arrivals, results)
        if result["outcome"] == "complete"
        and begin_s <= result["answered"] - run.start_at < end_s
    )
    return done / (end_s - begin_s)


def slot_losses(run, results, records, slots):
    """Returns the time that slots lost, in ms per task.

    `idle_slot_ms_per_task` is the time of slots that were idle while a task that was
    due had not started. `service_excess_ms` is the time that tasks took on the
    upstream stand-ins beyond their nominal service time.
    """
    works = {result["job"]: a.work_ms for a, result in zip(run.arrivals, results)}
    speeds = {slot.runner: slot.speed for slot in slots}
    events = []
    for arrival, result in zip(run.arrivals, results):
        events.append((result["due"], len(arrival.work_ms), 0))
    excess = []
    for record in records:
        if record["end"] is None:
            continue
        events.append((record["start"], -1, 1))
        events.append((record["end"], 0, -1))
        work_ms = works[record["job"]][record["task"]] / speeds[record["upstream"]]
        excess.append((record["end"] - record["start"]) * 1000 - work_ms)
    idle_s = _idle_slot_s(events, len(slots))
    return {
        "idle_slot_ms_per_task": round(idle_s / max(1, len(excess)) * 1000, 2),
        "service_excess_ms": round(statistics.fmean(excess), 2),
    }


def _idle_slot_s(events, slots):
    """Returns the seconds of idle slots while tasks wait.

    Args:
        events: Tuples (time in seconds, growth of the waiting tasks, growth of the
            running tasks).
        slots: Number of slots.
    """
    waiting = running = 0
    idle_s, last = 0.0, 0.0
    for at, more_waiting, more_running in sorted(events):
        if waiting > 0:
            idle_s += (slots - running) * (at - last)
        waiting, running, last = waiting + more_waiting, running + more_running, at
    return idle_s


def entry_cpu_s(fleet):
    """Returns the processor time of the running entries in seconds."""
    return sum(
        process_cpu_s(fleet.processes[name].pid)
        for name in fleet.entry_http
        if fleet.processes[name].poll() is None
    )


def measure_idle(fleet, seconds):
    """Returns the maximum figures of the idle runners, and the median CPU share."""
    names = list(fleet.runner_http)
    pids = {name: fleet.processes[name].pid for name in names}
    before = counters(fleet, names)
    cpu = {name: process_cpu_s(pid) for name, pid in pids.items()}
    began = time.monotonic()
    gevent.sleep(seconds)
    elapsed = time.monotonic() - began
    cpu = {name: process_cpu_s(pid) - cpu[name] for name, pid in pids.items()}
    after = counters(fleet, names)
    rates = []
    for name in names:
        growth = counters_difference({name: before[name]}, {name: after[name]})
        size = sum(
            growth[f"papayaward_link_bytes_{direction}", ""]
            for direction in ("sent", "received")
        )
        rates.append(size / elapsed)
    return {
        "idle_cpu_share": round(max(cpu.values()) / elapsed, 5),
        "idle_cpu_share_p50": round(statistics.median(cpu.values()) / elapsed, 5),
        "idle_rss_mib": round(max(map(rss_mib, pids.values())), 1),
        "idle_bytes_per_s": round(max(rates)),
    }
