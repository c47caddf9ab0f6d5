"""
benchmarks.scenarios.idle
~~~~~~~~~~~~~~~~~~~~~~~~~

Scenarios of an idle fleet.
"""

import signal
import time
from datetime import datetime

import gevent

from standins.load import Arrival, percentile

from ..delayed_fleet import DelayedFleet
from ..measure import LoadRun
from ..trace import PROFILES
from .common import make_fleet, measure_idle

__all__ = ["run_heartbeats", "run_idle"]

# Interval in seconds and missed intervals after which a link is closed.
_HEARTBEATS = ((0.3, 3), (1.0, 3))
_PAUSES_S = (0.2, 0.5, 0.8, 1.2)


def run_idle(options):
    """Measures idle runners, and the time that the fleet adds to a job."""
    with make_fleet(options, delayed=False) as fleet:
        gevent.sleep(3.0)
        idle = measure_idle(fleet, 12.0)
        added = _measure_added_ms(fleet, 120)
    return {**idle, **added}


def _measure_added_ms(fleet, jobs):
    """Returns percentiles of response minus service time of jobs sent every 80 ms."""
    kind, tenant = fleet.profile.kinds[0].name, fleet.profile.tenants[0]
    arrivals = [
        Arrival(number, number * 0.08, tenant, kind, (20.0,)) for number in range(jobs)
    ]
    results = LoadRun(fleet, arrivals, processes=1).finish()
    spent = {r["job"]: r["end"] - r["start"] for r in fleet.records()}
    # The first 10 jobs, which open the connections, are skipped. The lag of the load
    # tool is subtracted.
    added = [
        (result["response_s"] - result["lag_s"] - spent[result["job"]]) * 1000
        for result in results[10:]
    ]
    return {
        "added_ms_p50": round(percentile(added, 0.5), 2),
        "added_ms_p99": round(percentile(added, 0.99), 2),
    }


def run_heartbeats(options):
    """Compares settings of the heartbeats: cost, detection and false alarms."""
    figures = {}
    # All fleets run at the same time, so that they see the same load of the machine.
    fleets = [_heartbeat_fleet(interval, misses) for interval, misses in _HEARTBEATS]
    try:
        for fleet in fleets:
            fleet.start()
        measurements = [gevent.spawn(_measure_heartbeats, fleet) for fleet in fleets]
        for (interval, misses), measurement in zip(_HEARTBEATS, measurements):
            name = f"{interval:g}s_x_{misses}"
            figures.update(
                {f"{k}_{name}": v for k, v in measurement.get(timeout=60).items()}
            )
    finally:
        for fleet in fleets:
            fleet.stop()
    return figures


def _heartbeat_fleet(interval_s, misses):
    settings = {"heartbeat_interval_s": interval_s, "heartbeat_misses": misses}
    return DelayedFleet(
        PROFILES["cabinetline"],
        delayed=False,
        settings={"entry": settings, "runner": settings},
        entries=1,
        runners=3,
        proxied=True,
    )


def _measure_heartbeats(fleet):
    """Returns cost, detection times and wrongly closed links of one setting."""
    gevent.sleep(2.0)
    idle = measure_idle(fleet, 6.0)
    return {
        "cpu_share": idle["idle_cpu_share_p50"],
        "bytes_per_s": idle["idle_bytes_per_s"],
        **_measure_detection(fleet),
        **_measure_pauses(fleet),
    }


def _measure_detection(fleet):
    """Returns how often and how fast silent connections are detected."""
    detections = []
    proxies = [fleet.proxies["r1>e1"], fleet.proxies["r2>e1"]] * 2
    for proxy in proxies:
        proxy.silence_open()
        at = time.time()
        gevent.sleep(4.0)
        delays_s = [_log_time(e) - at for e in fleet.log_events("link_closed")]
        detections += [delay_s for delay_s in delays_s if 0 <= delay_s < 4.0][:1]
        fleet.wait_ready(len(fleet.runner_http))
    found = {"detected_share": len(detections) / len(proxies)}
    if detections:
        found["detection_s_p50"] = round(percentile(detections, 0.5), 2)
        found["detection_s_max"] = round(max(detections), 2)
    return found


def _measure_pauses(fleet):
    """Returns the number of links that short pauses of a process close."""
    found = {}
    for pause_s in _PAUSES_S:
        before = len(fleet.log_events("link_closed"))
        for name in ("r1", "r2"):
            fleet.signal(name, signal.SIGSTOP)
            gevent.sleep(pause_s)
            fleet.signal(name, signal.SIGCONT)
            gevent.sleep(0.4)
        fleet.wait_ready(len(fleet.runner_http))
        closed = len(fleet.log_events("link_closed")) - before
        # Both ends log each closed link.
        found[f"links_closed_by_2_pauses_of_{pause_s:g}_s"] = closed / 2
    return found


def _log_time(event):
    return datetime.fromisoformat(event["time"]).timestamp()
