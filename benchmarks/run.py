"""
benchmarks.run
~~~~~~~~~~~~~~

Runs one scenario: `python -m benchmarks.run SCENARIO --seed N --json`.
"""

import argparse
import json
import sys
import time

from .scenarios import SCENARIOS

__all__ = ["main"]


def main(args):
    """Runs a scenario and prints its results.

    Returns:
        int: 0 if the scenario completed.
    """
    parser = argparse.ArgumentParser(prog="benchmarks.run", description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--load", type=float, help="offered load as share of the capacity, 0.5 to 0.9"
    )
    parser.add_argument(
        "--policy", help="placement policy; by default that of the program"
    )
    parser.add_argument("--seconds", type=float, help="duration of a constant load")
    parser.add_argument("--warm-up", type=float, default=6.0, help="seconds")
    parser.add_argument("--json", action="store_true", help="one JSON object")
    options = parser.parse_args(args)
    started_at = time.monotonic()
    figures = {
        "scenario": options.scenario,
        "seed": options.seed,
        "load": options.load,
        "policy": options.policy or "fastest_free",
    }
    figures.update(SCENARIOS[options.scenario](options))
    figures["took_s"] = round(time.monotonic() - started_at, 1)
    if options.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:36} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
