"""
benchmarks.slopes
~~~~~~~~~~~~~~~~~

Cost of each role as a function of fleet size, load and configuration.

The measured processes are started with `python -m papayaward`, as in production, and
loaded by `benchmarks.peers`. Processor time is read from /proc, messages and bytes from
the process's own link counters. Control messages are the types that are also exchanged
without work (`benchmarks.sampling.CONTROL_MESSAGES`).

Usage: `python -m benchmarks.slopes [--only NAME ...] [--short] [--json]`.
"""

import argparse
import json
import sys

from .fleets import config_document
from .series import SERIES, Series, run_series

__all__ = ["SERIES", "Series", "config_document", "main", "run_series"]


def _print_table(result):
    print(f"{result['name']}: {result['role']} by {result['variable']}")
    for point in result["points"]:
        values = "  ".join(f"{k}={v:.5g}" for k, v in point.items() if k != "x")
        print(f"  x={point['x']:<8} {values}")
    for key, fit in result["fits"].items():
        line = f"{fit['intercept']:.5g} + {fit['slope']:.5g} x"
        print(f"  {key}: {line}  (residual {fit['residual']:.0%})")
    sys.stdout.flush()


def main(args):
    """Measures the series and prints the results.

    Args:
        args: Command-line arguments without the program's name.

    Returns:
        int: 0.
    """
    parser = argparse.ArgumentParser(prog="benchmarks.slopes", description=__doc__)
    parser.add_argument("--only", action="append", choices=sorted(SERIES))
    parser.add_argument("--short", action="store_true", help="few, short windows")
    parser.add_argument("--json", action="store_true", help="print one JSON document")
    options = parser.parse_args(args)
    results = []
    for name in options.only or SERIES:
        result = run_series(name, options.short)
        results.append(result)
        if not options.json:
            _print_table(result)
    if options.json:
        print(json.dumps({"series": results}, indent=2))
    return 0
