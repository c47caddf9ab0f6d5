"""
benchmarks.pause_faults
~~~~~~~~~~~~~~~~~~~~~~~

Fault of the soak in which several processes cannot run for seconds at the same time.
"""

import gevent

from .path_faults import LateOrders

__all__ = ["PAUSES", "pause_several"]

# Name of the fault.
PAUSES = "pauses"

_ALL_SHARE = 0.4
_TWICE_SHARE = 0.3
_LATE_ORDERS_SHARE = 0.6
_LATE_SHARE = (0.3, 0.6)
# Time from the first late order to the first pause, between two pauses, and from the
# end of the fault to the next one.
_LATE_S = (0.05, 0.8)
_BETWEEN_S = (0.02, 1.0)
_GAP_S = (0.3, 2.5)
_PAUSE_S = (0.3, 4.0)
# Differences between the processes in the time at which they stop and continue.
_STOP_SPREAD_S = 0.01
_CONTINUE_SPREADS_S = (0.01, 0.1, 0.6)


def pause_several(soak):
    """Some or all entries and runners are paused, once or twice in a row.

    The upstreams run on; before and during most pauses, they execute a share of their
    orders late without a reply.

    Args:
        soak: The soak.
    """
    rng = soak.pause_rng
    names = soak.entries + soak.runners
    if rng.random() >= _ALL_SHARE:
        names = rng.sample(names, rng.randint(2, len(names)))
    with_late_orders = rng.random() < _LATE_ORDERS_SHARE
    share, late_s = rng.uniform(*_LATE_SHARE), rng.uniform(*_LATE_S)
    late_orders = LateOrders(share, rng.random())
    pauses = [_draw_pauses(rng, names)]
    if rng.random() < _TWICE_SHARE:
        pauses.append(_draw_pauses(rng, names))
    between_s, gap_s = rng.uniform(*_BETWEEN_S), rng.uniform(*_GAP_S)
    if with_late_orders:
        soak.note(f"{share:.2f} of orders are late; pauses follow in {late_s:.2f} s")
        for upstream in soak.fleet.upstreams.values():
            late_orders.begin(upstream.current)
        gevent.sleep(late_s)
    for i, delays in enumerate(pauses):
        if i:
            gevent.sleep(between_s)
        gevent.joinall(
            [
                gevent.spawn_later(delay_s, soak.pause, name, seconds)
                for name, delay_s, seconds in delays
            ]
        )
    late_orders.end()
    gevent.sleep(gap_s)


def _draw_pauses(rng, names):
    """Draws the delay and the duration of the pause of each process."""
    seconds, spread_s = rng.uniform(*_PAUSE_S), rng.choice(_CONTINUE_SPREADS_S)
    return [
        (name, rng.uniform(0.0, _STOP_SPREAD_S), seconds + rng.uniform(0.0, spread_s))
        for name in names
    ]
