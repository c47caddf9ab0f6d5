"""
benchmarks.fault_injection
~~~~~~~~~~~~~~~~~~~~~~~~~~

Random times and kinds of the faults of the soak.
"""

import gevent

from .odd_clients import play_odd_clients
from .path_faults import PATH_FAULTS, submit_path_load
from .pause_faults import PAUSES, pause_several
from .process_faults import FAULTS, LOAD_FAULTS
from .restart_faults import RESTART_FAULTS
from .upstream_faults import UPSTREAM_FAULTS
from .withdrawal_faults import WITHDRAWAL_FAULTS

__all__ = [
    "ONLY_NAMES",
    "PATH_NAMES",
    "spawn_faults",
    "spawn_odd_clients",
    "spawn_only",
    "spawn_path_faults",
    "spawn_pauses",
]

# Selects all of `PATH_FAULTS`.
_ALL_PATH_FAULTS = "path_all"
PATH_NAMES = (*PATH_FAULTS, _ALL_PATH_FAULTS)
# Faults that submit jobs of their own and are repeated without a pause.
_REPEATED_FAULTS = {**RESTART_FAULTS, **WITHDRAWAL_FAULTS}
ONLY_NAMES = tuple(sorted([*_REPEATED_FAULTS, *PATH_NAMES, PAUSES]))
# Path faults per second, alone and beside all others, and their jobs per second.
_PATH_RATE = 0.8
_MIXED_PATH_RATE = 0.5
_PATH_JOBS_RATE = 25
_MIXED_PATH_JOBS_RATE = 5


def spawn_only(soak, only, seconds):
    """Starts one of the faults of `ONLY_NAMES` again and again.

    Args:
        soak: The soak.
        only: Name of the fault.
        seconds: Duration of its load, seconds.

    Returns:
        list of Greenlet: They end once the soak is stopped.
    """
    if only in _REPEATED_FAULTS:
        return [gevent.spawn(_repeat_fault, soak, _REPEATED_FAULTS[only])]
    submit_path_load(soak, _PATH_JOBS_RATE, seconds)
    if only == PAUSES:
        return [spawn_pauses(soak)]
    faults = PATH_FAULTS
    if only != _ALL_PATH_FAULTS:
        faults = {only: PATH_FAULTS[only]}
    return [_spawn_path_faults(soak, faults, _PATH_RATE)]


def spawn_path_faults(soak, seconds):
    """Starts the faults of `PATH_FAULTS` beside others, and jobs for them.

    Args:
        soak: The soak.
        seconds: Duration of the load, seconds.

    Returns:
        Greenlet: It ends once the soak is stopped.
    """
    submit_path_load(soak, _MIXED_PATH_JOBS_RATE, seconds)
    return _spawn_path_faults(soak, PATH_FAULTS, _MIXED_PATH_RATE)


def spawn_pauses(soak):
    """Starts pauses of several processes, one after the other.

    Args:
        soak: The soak.

    Returns:
        Greenlet: It ends once the soak is stopped.
    """
    return gevent.spawn(_repeat_fault, soak, pause_several)


def spawn_odd_clients(soak):
    """Starts clients that don't behave, some at a time.

    Args:
        soak: The soak.

    Returns:
        Greenlet: It ends once the soak is stopped.
    """
    return gevent.spawn(_repeat_fault, soak, play_odd_clients)


def _spawn_path_faults(soak, faults, rate):
    return gevent.spawn(_inject_from, soak, faults, soak.path_rng, rate)


def spawn_faults(soak):
    """Starts all faults but those of `PATH_FAULTS` and the pauses of several processes.

    Args:
        soak: The soak.

    Returns:
        list of Greenlet: They end once the soak is stopped.
    """
    faults = [
        gevent.spawn(_inject_faults, soak),
        gevent.spawn(_inject_load_faults, soak),
    ]
    if soak.with_upstream_faults:
        faults += [
            gevent.spawn(_inject_from, soak, UPSTREAM_FAULTS, soak.upstream_rng, 0.7),
            gevent.spawn(_inject_from, soak, RESTART_FAULTS, soak.restart_rng, 0.2),
        ]
    return faults


def _inject_faults(soak):
    """Starts random faults, which may overlap, until the run stops."""
    active = set()

    def run(name):
        try:
            FAULTS[name](soak)
        finally:
            active.discard(name)

    while not soak.stopped:
        name = soak.rng.choice(sorted(FAULTS))
        if name not in active:
            active.add(name)
            # Process faults run one at a time, so that each hits a running process.
            if name in ("kill", "terminate", "pause"):
                active.update(("kill", "terminate", "pause"))
                run(name)
                active.difference_update(("kill", "terminate", "pause"))
            else:
                gevent.spawn(run, name)
        gevent.sleep(soak.rng.expovariate(1.5))


def _inject_load_faults(soak):
    """Starts random changes of the load, one after the other, until the run stops."""
    while not soak.stopped:
        gevent.sleep(soak.load_rng.expovariate(0.5))
        LOAD_FAULTS[soak.load_rng.choice(sorted(LOAD_FAULTS))](soak)


def _inject_from(soak, faults, rng, rate):
    """Starts random faults, which overlap, until the run stops.

    Args:
        soak: `_Soak`.
        faults: Function by name.
        rng: Random generator for their choice and times.
        rate: Mean number of faults per second.
    """
    active = []
    while not soak.stopped:
        gevent.sleep(rng.expovariate(rate))
        active.append(gevent.spawn(faults[rng.choice(sorted(faults))], soak))
    gevent.joinall(active)


def _repeat_fault(soak, fault):
    while not soak.stopped:
        fault(soak)
