"""
benchmarks.scenarios.faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Scenarios of load with faults.
"""

import time

import gevent

from ..ideal import Outage, make_slots, run_ideal
from ..measure import LoadRun, check_answers, lag_summary, last_start_s
from ..trace import PROFILES, make_trace
from .common import (
    find_coordinator,
    goodput,
    make_fleet,
    ratios,
    set_domains_out,
    work_share,
)

__all__ = [
    "run_domain_cycle",
    "run_ejection",
    "run_entry_loss",
    "run_runner_loss",
    "run_store_outage",
]

# Time after a fault in which its effects are still included in the figures.
_RECOVERY_S = 4.0


def run_domain_cycle(options):
    """Takes the domain of the coordinator out of service and back in."""
    profile = PROFILES["oberland"]
    load = options.load or 0.7
    out_s, in_s, end_s = 7.0, 17.0, 24.0
    arrivals = make_trace(profile, load, end_s, options.seed)
    with make_fleet(options) as fleet:
        # The domain of the coordinator is the worst case.
        coordinator = find_coordinator(fleet)
        domain = fleet._runners[coordinator]["domain"]
        load_run = LoadRun(fleet, arrivals)
        load_run.sleep_until(out_s)
        out_at, out_force_s = set_domains_out(fleet, [domain])
        load_run.sleep_until(in_s)
        in_at, in_force_s = set_domains_out(fleet, [])
        results = load_run.finish()
        records = fleet.records()
    begin_s, back_s = out_at - load_run.start_at, in_at - load_run.start_at
    ideal = run_ideal(
        arrivals, make_slots(profile.runners), [Outage(begin_s, back_s, domain)]
    )
    return {
        "load": load,
        "domain": domain,
        "work_done_share": work_share(
            load_run, results, records, ideal, begin_s, back_s + _RECOVERY_S
        ),
        **check_answers(arrivals, results, records),
        "last_start_after_out_s": round(
            last_start_s(records, domain, out_at, in_at), 3
        ),
        "config_in_force_s": round(max(out_force_s, in_force_s), 3),
        **ratios(results, ideal, options.warm_up, arrivals),
        **lag_summary(results),
    }


def run_ejection(options):
    """Lets the fastest upstream fail all its tasks."""
    profile = PROFILES["oberland"]
    load, fault_s, end_s = options.load or 0.5, 8.0, 24.0
    arrivals = make_trace(profile, load, end_s, options.seed)
    # Placement prefers this upstream, since it is the fastest.
    target = "r1"
    with make_fleet(options) as fleet:
        load_run = LoadRun(fleet, arrivals)
        load_run.sleep_until(fault_s)
        fault_at = time.time()
        fleet.control_upstream(target, mode="fail")
        results = load_run.finish()
        records = fleet.records()
    begin_s = fault_at - load_run.start_at
    ideal = run_ideal(
        arrivals, make_slots(profile.runners), [Outage(begin_s, 1e9, runner=target)]
    )
    after = [
        result
        for arrival, result in zip(arrivals, results)
        if arrival.at_s >= begin_s + 1.0
    ]
    failed = sum(result["outcome"] == "failed" for result in after)
    starts_s = [r["start"] - fault_at for r in records if r["upstream"] == target]
    return {
        "load": load,
        "goodput_share": round(
            _complete_work(arrivals, results, load_run, begin_s, end_s)
            / ideal.work_done(begin_s, end_s),
            4,
        ),
        "failed_share_after_1_s": round(failed / max(1, len(after)), 4),
        "starts_on_failing_upstream": sum(at >= 0 for at in starts_s),
        **check_answers(arrivals, results, records),
        **lag_summary(results),
    }


def _complete_work(arrivals, results, run, begin_s, end_s):
    return goodput(run, results, begin_s, end_s) * (end_s - begin_s)


def run_entry_loss(options):
    """Kills an entry."""
    profile = PROFILES["oberland"]
    load, kill_s, end_s = options.load or 0.7, 8.0, 18.0
    arrivals = make_trace(profile, load, end_s, options.seed)
    with make_fleet(options) as fleet:
        load_run = LoadRun(fleet, arrivals)
        load_run.sleep_until(kill_s)
        killed_at = time.time()
        fleet.kill("e1")
        results = load_run.finish()
        records = fleet.records()
    ideal = run_ideal(arrivals, make_slots(profile.runners))
    resent = [result for result in results if result["sent"] > 1]
    return {
        "load": load,
        **check_answers(arrivals, results, records),
        "resubmitted": sum(result["due"] < killed_at for result in resent),
        "work_done_share": work_share(load_run, results, records, ideal, kill_s, end_s),
        **ratios(results, ideal, options.warm_up, arrivals),
        **lag_summary(results),
    }


def run_runner_loss(options):
    """Kills an executor and later the coordinator."""
    profile = PROFILES["oberland"]
    load, end_s = options.load or 0.5, 22.0
    arrivals = make_trace(profile, load, end_s, options.seed)
    with make_fleet(options) as fleet:
        coordinator = find_coordinator(fleet)
        other = next(name for name in ("r1", "r6") if name != coordinator)
        load_run = LoadRun(fleet, arrivals)
        kills = []
        # First a runner that is only an executor, then the coordinator of all jobs.
        for at_s, target in ((7.0, other), (13.0, coordinator)):
            load_run.sleep_until(at_s)
            kills.append((target, time.time()))
            fleet.kill(target)
        results = load_run.finish()
        records = fleet.records()
    late = sum(
        result["outcome"] == "unknown" and result["due"] > kills[-1][1] + 2.0
        for result in results
    )
    return {
        "load": load,
        **_answers_after_kills(results, kills),
        "unknown_due_2_s_after_kill": late,
        **check_answers(arrivals, results, records, unknown_allowed=True),
        **lag_summary(results),
    }


def _answers_after_kills(results, kills):
    """Returns number and delay of the `unknown` answers to each kill.

    Args:
        results: Results of the jobs.
        kills: Tuples (runner, time) of the executor's and the coordinator's kill.
    """
    figures = {}
    for (_, at), name in zip(kills, ("executor", "home")):
        delays_s = [
            result["answered"] - at
            for result in results
            if result["outcome"] == "unknown"
            and result["due"] < at < result["answered"]
        ]
        # Later `unknown` answers are due to the next kill.
        delays_s = [delay_s for delay_s in delays_s if delay_s < 5.5]
        figures[f"unknown_after_{name}_killed"] = len(delays_s)
        figures[f"killed_{name}_answered_s"] = round(max(delays_s, default=0.0), 3)
    figures["killed_answered_s"] = max(
        figures["killed_executor_answered_s"], figures["killed_home_answered_s"]
    )
    return figures


def run_store_outage(options):
    """Takes the store down and back up."""
    profile = PROFILES["oberland"]
    load, down_s, up_s, end_s = options.load or 0.7, 7.0, 17.0, 22.0
    arrivals = make_trace(profile, load, end_s, options.seed)
    ideal = run_ideal(arrivals, make_slots(profile.runners))
    with make_fleet(options) as fleet:
        load_run = LoadRun(fleet, arrivals)
        load_run.sleep_until(down_s)
        fleet.control_store(mode="down")
        gevent.sleep(2.0)
        refused = fleet.apply(profile.config, fleet.version())[0]
        load_run.sleep_until(up_s)
        fleet.control_store(mode="ok")
        _, in_force_s = set_domains_out(fleet, [])
        results = load_run.finish()
        records = fleet.records()
    return {
        "load": load,
        "work_done_share": work_share(load_run, results, records, ideal, down_s, up_s),
        **check_answers(arrivals, results, records),
        "change_during_outage_status": refused,
        "config_in_force_s": round(in_force_s, 3),
        **ratios(results, ideal, options.warm_up, arrivals),
        **lag_summary(results),
    }
