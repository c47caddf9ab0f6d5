"""
benchmarks.upstream_faults
~~~~~~~~~~~~~~~~~~~~~~~~~~

Faults of the soak that make an upstream's state uncertain, and callers that return.
"""

import random

import gevent

__all__ = ["UPSTREAM_FAULTS", "WORK_MS"]

# Run times of tasks, milliseconds: some outlast the delay after which a caller that
# left submits its job again.
WORK_MS = (20, 100, 400, 900, 2500)
_LATE_ORDER_S = (1.0, 4.0)


def _each_instance(soak):
    return [upstream.current for upstream in soak.fleet.upstreams.values()]


def _request_rng(soak):
    """Returns a stream for requests, whose number must not decide later faults."""
    return random.Random(soak.upstream_rng.random())


def _refuse_requests(soak):
    """Upstreams refuse a share of all requests and execute orders without a reply."""
    rng, request_rng = soak.upstream_rng, _request_rng(soak)
    refused, lost = rng.uniform(0.1, 0.5), rng.uniform(0.1, 0.3)
    seconds = rng.uniform(1.0, 6.0)
    soak.note(f"upstreams refuse {refused:.2f} and lose {lost:.2f} for {seconds:.1f} s")
    instances = _each_instance(soak)
    for instance in instances:
        instance.is_unhealthy = lambda name: request_rng.random() < refused
        instance.order_loss = lambda: 0.0 if request_rng.random() < lost else None
    gevent.sleep(seconds)
    for instance in instances:
        instance.is_unhealthy = lambda name: False
        instance.order_loss = lambda: None


def _execute_late(soak):
    """Half of the orders are executed late, while an entry is killed and returns."""
    rng, request_rng = soak.upstream_rng, _request_rng(soak)
    seconds = rng.uniform(1.0, 3.0)
    soak.note(f"orders are executed late for {seconds:.1f} s")
    instances = _each_instance(soak)
    for instance in instances:
        instance.order_loss = lambda: (
            request_rng.uniform(*_LATE_ORDER_S) if request_rng.random() < 0.5 else None
        )
    if rng.random() < 0.5:
        soak.restart_at_once(rng.choice(soak.entries))
    gevent.sleep(seconds)
    for instance in instances:
        instance.order_loss = lambda: None


def _return_silently(soak):
    """An upstream crashes without a sign and starts again under its identifier."""
    rng = soak.upstream_rng
    name = rng.choice(soak.runners)
    seconds = rng.uniform(0.1, 1.5)
    soak.note(f"upstream of {name} is silent for {seconds:.1f} s and returns")
    soak.fleet.upstreams[name].restart_silently(seconds, rng.uniform(0.0, 0.4))


def _break_connections(soak):
    """The callers of an entry leave, and its links break or go silent."""
    rng = soak.upstream_rng
    name = rng.choice(soak.entries)
    seconds = rng.uniform(0.3, 2.0)
    proxy = soak.fleet.link_proxies[name]
    is_silent = rng.random() < 0.5
    soak.note(
        f"callers of {name} leave; its links {'go silent' if is_silent else 'break'}"
    )
    soak.record_fault(name, seconds)
    soak.disconnect_callers(name)
    if is_silent:
        proxy.silence_open()
    else:
        proxy.cut()
    gevent.sleep(seconds)


UPSTREAM_FAULTS = {
    "refuse": _refuse_requests,
    "late": _execute_late,
    "return": _return_silently,
    "break": _break_connections,
}
