"""
benchmarks.shortage_model
~~~~~~~~~~~~~~~~~~~~~~~~~

Callers who compete for too little capacity, played in simulated time.

The entries' schedulers are the product's; executors and callers are simulated. Run it
with `python -m benchmarks.shortage_model` for a table of the loads.
"""

import argparse
import logging
from dataclasses import replace

from .load import LOADS, Load, QueueResult, Surge
from .simulation import play

__all__ = ["LOADS", "Load", "QueueResult", "Surge", "main", "play"]


def main(args):
    """Prints a line for each queue of each load: means over the seeds."""
    parser = argparse.ArgumentParser(prog="shortage_model", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", default=",".join(LOADS))
    options = parser.parse_args(args)
    logging.disable(logging.CRITICAL)
    print("load         queue    jobs  in time  late  refused  held s  failed")
    for name in options.loads.split(","):
        plays = [play(replace(LOADS[name], seed=seed)) for seed in range(options.seeds)]
        for queue in plays[0]:
            print(f"{name:12} {queue:8} {_row([results[queue] for results in plays])}")
    return 0


def _row(results):
    jobs, in_time, late, refused, held_s, failed = (
        sum(getattr(result, field) for result in results) / len(results)
        for field in ("jobs", "in_time", "late", "refused", "held_s", "failed")
    )
    return (
        f"{jobs:5.0f}  {in_time:7.3f} {late:5.3f}  {refused:7.3f}"
        f"  {held_s:6.3f}  {failed:6.3f}"
    )
