"""
benchmarks.scenarios.load
~~~~~~~~~~~~~~~~~~~~~~~~~

Scenarios of load without faults.
"""

import time

import gevent

from standins.fleet import process_cpu_s
from standins.load import Arrival, percentile, poisson_arrivals

from ..ideal import make_slots, run_ideal
from ..measure import (
    LoadRun,
    check_answers,
    counters,
    counters_difference,
    lag_summary,
    wasted_messages,
)
from ..trace import PROFILES, make_trace
from .common import (
    entry_cpu_s,
    find_coordinator,
    goodput,
    make_fleet,
    ratios,
    slot_losses,
)

__all__ = ["run_burst", "run_entry_cpu", "steady"]


def steady(profile_name):
    """Returns the scenario of a constant load with a profile of `PROFILES`."""

    def run(options):
        profile = PROFILES[profile_name]
        load = options.load or 0.7
        arrivals = make_trace(profile, load, options.seconds or 26.0, options.seed)
        ideal = run_ideal(arrivals, make_slots(profile.runners))
        with make_fleet(options, profile_name) as fleet:
            before, cpu = counters(fleet), entry_cpu_s(fleet)
            load_run = LoadRun(fleet, arrivals)
            results = load_run.finish()
            growth = counters_difference(before, counters(fleet))
            cpu = entry_cpu_s(fleet) - cpu
            records = fleet.records()
        tasks = sum(len(arrival.work_ms) for arrival in arrivals)
        return {
            "load": load,
            **ratios(results, ideal, options.warm_up, arrivals),
            **wasted_messages(growth, tasks),
            **check_answers(arrivals, results, records),
            **slot_losses(load_run, results, records, make_slots(profile.runners)),
            "entry_cpu_us_per_task_small_jobs": round(cpu / tasks * 1e6, 1),
            **lag_summary(results),
        }

    return run


def run_burst(options):
    """Compares the goodput at ten times the capacity with that at capacity."""
    profile = PROFILES["oberland"]
    # Above the service time of nearly all tasks on the slowest upstream, and shorter
    # than the burst.
    deadline_ms = 6000
    first_s, second_s, begin_s = 9.0, 10.0, 3.0
    at_capacity = make_trace(profile, 1.0, first_s, options.seed, deadline_ms)
    burst = make_trace(profile, 10.0, second_s, options.seed + 1000, deadline_ms)
    with make_fleet(options) as fleet:
        first_run = LoadRun(fleet, at_capacity, processes=2, answer_timeout_s=9.0)
        first = first_run.finish()
        second_run = LoadRun(fleet, burst, processes=4, answer_timeout_s=9.0)
        second = second_run.finish()
        records = fleet.records()
    goodputs = [
        goodput(first_run, first, begin_s, first_s),
        goodput(second_run, second, begin_s, second_s),
    ]
    refusals = [
        result["response_s"] for result in second if result["outcome"] == "not_run"
    ]
    return {
        "load": 10.0,
        "goodput_share": round(goodputs[1] / goodputs[0], 3),
        "goodput_at_capacity_of_slots": round(goodputs[0] / profile.capacity, 3),
        "goodput_at_burst_of_slots": round(goodputs[1] / profile.capacity, 3),
        "refusal_ms_p50": round(percentile(refusals, 0.5) * 1000, 1),
        **check_answers(at_capacity + burst, first + second, records),
        **lag_summary(second),
    }


def run_entry_cpu(options):
    """Measures the processor time of the entries and the coordinator for each task."""
    profile = PROFILES["oberland"]
    load = options.load or 0.5
    arrivals = _equal_jobs(profile, load, options.seed)
    with make_fleet(options, delayed=False) as fleet:
        coordinator = find_coordinator(fleet)
        pid = fleet.processes[coordinator].pid
        idle = entry_cpu_s(fleet)
        gevent.sleep(4.0)
        idle_share = (entry_cpu_s(fleet) - idle) / 4.0
        cpu, coordinator_cpu = entry_cpu_s(fleet), process_cpu_s(pid)
        began = time.monotonic()
        results = LoadRun(fleet, arrivals).finish()
        elapsed = time.monotonic() - began
        cpu = entry_cpu_s(fleet) - cpu
        coordinator_cpu = process_cpu_s(pid) - coordinator_cpu
        records = fleet.records()
    tasks = sum(len(arrival.work_ms) for arrival in arrivals)
    return {
        "load": load,
        "tasks": tasks,
        "entry_cpu_us_per_task": round(cpu / tasks * 1e6, 1),
        "entry_cpu_us_per_task_without_idle": round(
            (cpu - idle_share * elapsed) / tasks * 1e6, 1
        ),
        "home_cpu_us_per_task": round(coordinator_cpu / tasks * 1e6, 1),
        **check_answers(arrivals, results, records),
        **lag_summary(results),
    }


def _equal_jobs(profile, load, seed):
    """Returns Poisson arrivals of jobs of 100 tasks of 40 ms during 12 s."""
    seconds, tasks, work_ms = 12.0, 100, 40.0
    rate = load * profile.capacity / (tasks * work_ms / 1000)
    kind, account = profile.kinds[0].name, profile.tenants[0]
    return [
        Arrival(a.number, a.at_s, account, kind, a.work_ms)
        for a in poisson_arrivals(rate, seconds, seed, tasks, work_ms)
    ]
