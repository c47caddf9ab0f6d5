"""
benchmarks.withdrawal_faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Faults of the soak that take an upstream out of use while starts there have no reply,
and reports of another program.

An upstream first loses starts and then refuses them, while it answers polls and stops.
Starts that are repeated all the while reach it after the time by which no task may
start there any more.
"""

import time

import gevent

__all__ = ["WITHDRAWAL_FAULTS"]

_JOBS = 8
_TASKS = 2
_WORK_MS = 600
_DEADLINE_S = 8.0
_LOST_S = (0.1, 0.4)
_FIELDS = ("address", "version", "slots", "cold_left_ms", "labels")
_FOREIGN_AHEAD_MS = 3_600_000
# Time after a foreign report within which the upstream is used again, with a restart of
# its runner.
_RECOVERY_S = 3.0


def _drain(soak, upstream):
    upstream.draining = True

    def undo():
        upstream.crash()
        upstream.start()

    return undo


def _shrink(soak, upstream):
    cores = upstream.cores
    upstream.resize(1)
    return lambda: upstream.resize(cores)


def _evacuate(soak, upstream):
    domain, out_at = upstream.domain, time.monotonic()
    soak.fleet.store.put(f"op/evacuate/{domain}", {})

    def undo():
        soak.fleet.store.delete(f"op/evacuate/{domain}")
        soak.domain_spans.append((domain, out_at, time.monotonic()))

    return undo


# How an upstream is taken out of use, and the time for which it refuses starts then,
# seconds.
_WAYS = {
    "drains": (_drain, (2.2, 3.5)),
    "is out of service": (_evacuate, (5.2, 6.0)),
    "shrinks": (_shrink, (3.5, 4.5)),
}


def _withdraw(soak):
    """An upstream that has lost starts is taken out of use while it refuses others."""
    rng = soak.restart_rng
    name, way = rng.choice(soak.runners), rng.choice(sorted(_WAYS))
    take_out, refused_s = _WAYS[way]
    lost_s, refused_s = rng.uniform(*_LOST_S), rng.uniform(*refused_s)
    soak.note(
        f"upstream of {name} loses starts for {lost_s:.2f} s, {way} and refuses "
        f"starts for {refused_s:.1f} s"
    )
    upstream = soak.fleet.upstreams[name]
    instance = upstream.current
    instance.is_losing_starts = True
    soak.submit_burst(rng, _JOBS, lost_s, _TASKS, _WORK_MS, _DEADLINE_S)
    gevent.sleep(lost_s)
    instance.is_unhealthy = lambda request: request == "start"
    instance.is_losing_starts = False
    undo = take_out(soak, upstream)
    gevent.sleep(refused_s)
    instance.is_unhealthy = lambda request: False
    gevent.sleep(1.0)
    undo()
    gevent.sleep(1.0)


def _report_foreign(soak):
    """Another program sends a runner a report that lacks a field."""
    rng = soak.restart_rng
    name, field = rng.choice(soak.runners), rng.choice(_FIELDS)
    upstream = soak.fleet.upstreams[name]
    # One that is not there, or the upstream itself.
    instance = "x-1" if rng.random() < 0.7 else upstream.current.instance
    soak.note(f"report of {instance} without {field} at {name}")
    upstream.send_foreign_report(instance, field, _FOREIGN_AHEAD_MS)
    if rng.random() < 0.5:
        soak.restart_at_once(name)
    gevent.sleep(_RECOVERY_S)
    started = len(upstream.records)
    soak.submit_burst(rng, _JOBS, 0.2, _TASKS, _WORK_MS, _DEADLINE_S)
    gevent.sleep(1.0)
    if len(upstream.records) == started:
        soak.findings.append(f"{name} starts nothing after a report without {field}")


WITHDRAWAL_FAULTS = {"foreign": _report_foreign, "withdraw": _withdraw}
