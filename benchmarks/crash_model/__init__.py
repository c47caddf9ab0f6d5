"""
benchmarks.crash_model
~~~~~~~~~~~~~~~~~~~~~~

Tasks that crash their upstreams, played in simulated time.

The entries' schedulers and the evidence are the product's; executors, upstreams and
callers are simulated, so that thousands of tasks take seconds. Run it with
`python -m benchmarks.crash_model` for a table over many loads.
"""

import argparse
import itertools
import logging
import random
from dataclasses import replace

from .load import Load, Result
from .simulation import Simulation

__all__ = ["Load", "Result", "main", "play"]

_HEAD = (
    "share deadly  at  crashes/job most starts  late  condemned  early  others  queue"
    "   down"
)


def play(load):
    """Plays a `Load` and returns the `Result`."""
    random.seed(load.seed)
    return Simulation(load).play()


def main(args):
    """Prints a line for each kind of load: means over the seeds, and worst cases."""
    parser = argparse.ArgumentParser(prog="crash_model", description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--shares", default="0,0.001,0.01,0.03,0.1,0.3")
    parser.add_argument("--executors", type=int, default=11)
    parser.add_argument("--lease", type=float, default=0.0)
    options = parser.parse_args(args)
    logging.disable(logging.CRITICAL)
    print(_HEAD)
    for share, all_deadly, crash_at in itertools.product(
        [float(share) for share in options.shares.split(",")],
        (True, False),
        (0.05, 0.9),
    ):
        load = Load(
            share,
            all_deadly,
            crash_at,
            lease_s=options.lease,
            executors=options.executors,
        )
        results = [play(replace(load, seed=seed)) for seed in range(options.seeds)]
        deadly = "all" if all_deadly else "one"
        print(f"{share:5} {deadly:>6} {crash_at:5}  {_row(results)}", flush=True)
    return 0


def _row(results):
    deadly_jobs = sum(result.deadly_jobs for result in results)
    crashes = sum(result.crashes for result in results) / max(1, deadly_jobs)
    most_starts = max(result.most_starts for result in results)
    late_starts = max(result.late_starts for result in results)
    condemned = sum(result.condemned for result in results)
    early = sum(result.condemned_early for result in results)
    others, queue, down = (
        sum(getattr(result, name) for result in results) / len(results)
        for name in ("others_in_time", "queue_in_time", "down")
    )
    return (
        f"{crashes:11.2f} {most_starts:11} {late_starts:5} {condemned:10} {early:6}"
        f" {others:7.3f} {queue:6.3f} {down:6.3f}"
    )
