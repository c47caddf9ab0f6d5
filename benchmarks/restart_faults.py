"""
benchmarks.restart_faults
~~~~~~~~~~~~~~~~~~~~~~~~~

Faults of the soak in which upstreams start again under their identifiers while starts
are unanswered.

Each fault submits jobs of its own, so that starts are unanswered when it begins. Their
tasks outlast the lease, so that a run at the new lifetime is still active when its
task may start elsewhere.
"""

import gevent

__all__ = ["RESTART_FAULTS"]

_JOBS = 10
_TASKS = 2
_WORK_MS = 1500
_DEADLINE_S = 6.0
# An executor starts tasks on a silent upstream for this long before it notices.
_UNNOTICED_S = 0.35
_PAUSE_S = 2.0
_LATE_ORDER_S = (0.2, 2.5)


def _submit_jobs(soak):
    soak.submit_burst(
        soak.restart_rng, _JOBS, _UNNOTICED_S, _TASKS, _WORK_MS, _DEADLINE_S
    )


def _execute_late(soak, upstream, share):
    rng = soak.restart_rng
    upstream.order_loss = lambda: (
        rng.uniform(*_LATE_ORDER_S) if rng.random() < share else None
    )


def _return_mute(soak):
    """An upstream returns, and its replies and reports are lost at first."""
    rng = soak.restart_rng
    name = rng.choice(soak.runners)
    downtime_s, mute_s = rng.uniform(0.1, 0.3), rng.uniform(1.0, 2.0)
    refuses_stops = rng.random() < 0.7
    soak.note(
        f"upstream of {name} is silent for {downtime_s:.2f} s and returns without "
        f"replies for {mute_s:.1f} s" + ", refusing stops" * refuses_stops
    )
    _submit_jobs(soak)
    upstream = soak.fleet.upstreams[name]
    upstream.restart_silently(downtime_s, mute_s, mute_s)
    upstream.current.mute(mute_s, refuses_stops)
    gevent.sleep(mute_s + _PAUSE_S)


def _return_with_late_orders(soak):
    """An upstream returns, and executes late what was sent to it before and after."""
    rng = soak.restart_rng
    name = rng.choice(soak.runners)
    downtime_s, share = rng.uniform(0.05, 0.3), rng.uniform(0.4, 0.8)
    mute_s = rng.choice((0.0, rng.uniform(0.5, 2.0)))
    soak.note(
        f"upstream of {name} executes {share:.2f} of its orders late, is silent for "
        f"{downtime_s:.2f} s and returns, without replies for {mute_s:.1f} s"
    )
    upstream = soak.fleet.upstreams[name]
    _execute_late(soak, upstream.current, share)
    _submit_jobs(soak)
    gevent.sleep(_UNNOTICED_S)
    upstream.restart_silently(downtime_s, mute_s, mute_s, inherits_orders=True)
    returned = upstream.current
    _execute_late(soak, returned, share)
    gevent.sleep(mute_s + _PAUSE_S)
    returned.order_loss = lambda: None


def _crash_with_runner(soak):
    """A runner is killed while starts are unanswered, and its upstream returns."""
    rng = soak.restart_rng
    name = rng.choice(soak.runners)
    downtime_s, share = rng.uniform(0.05, 0.3), rng.uniform(0.4, 0.8)
    upstream = soak.fleet.upstreams[name]
    soak.note(
        f"upstream of {name} executes {share:.2f} of its orders late and returns after "
        f"{downtime_s:.2f} s"
    )
    _execute_late(soak, upstream.current, share)
    _submit_jobs(soak)
    gevent.sleep(_UNNOTICED_S)
    restart = gevent.spawn(soak.restart_after, name, rng.uniform(0.1, 2.0))
    upstream.restart_silently(downtime_s, rng.uniform(0.0, 2.0), inherits_orders=True)
    restart.join()
    gevent.sleep(_PAUSE_S)


RESTART_FAULTS = {
    "late": _return_with_late_orders,
    "mute": _return_mute,
    "runner": _crash_with_runner,
}
