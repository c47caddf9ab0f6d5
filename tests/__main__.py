"""
tests.__main__
~~~~~~~~~~~~~~

Runs every test module in a process of its own and prints one summary line.

Usage: `python -m tests [MODULE ...]`, for instance `python -m tests test_path`.
Failures of tests that KNOWN-RED.txt lists are printed but do not count.
"""

import itertools
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

__all__ = ["main"]

_HERE = Path(__file__).resolve().parent
_KNOWN_FAILURES = _HERE.parent / "KNOWN-RED.txt"

# Integration tests start up to twenty processes each; with more modules at once
# their timing would depend on the machine.
_PARALLEL = 3
_MODULE_TIMEOUT_S = 480
# Modules that load the machine with many clients; they run one at a time.
_ALONE = ("test_client_crowd", "test_crowd_kinds", "test_crowd_listeners")


def _run(module):
    try:
        done = subprocess.run(
            [sys.executable, "-m", "tests.run_module", module],
            cwd=_HERE.parent,
            capture_output=True,
            text=True,
            timeout=_MODULE_TIMEOUT_S,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        return module, done.stdout + done.stderr
    except subprocess.TimeoutExpired as error:
        output = (error.stdout or b"").decode("utf-8", "replace")
        return module, output + f"\nFAIL {module}.timeout\n"


def main(args):
    """Runs the tests.

    Args:
        args: Names of modules; none for all.

    Returns:
        int: 0 if every test passed or is a known failure, else 1.
    """
    names = args or sorted(path.stem for path in _HERE.glob("test_*.py"))
    listed_text = ""
    if _KNOWN_FAILURES.exists():
        listed_text = _KNOWN_FAILURES.read_text(encoding="utf-8")
    passed, failed, known_failures = 0, [], []
    alone = [name for name in names if name in _ALONE]
    together = [name for name in names if name not in _ALONE]
    with ThreadPoolExecutor(_PARALLEL) as pool:
        for module, output in itertools.chain(
            pool.map(_run, together), map(_run, alone)
        ):
            ok = re.findall(r"^PASS (\S+)", output, re.M)
            bad = re.findall(r"^FAIL (\S+)", output, re.M)
            if not ok and not bad:
                bad = [f"{module}.import"]
            passed += len(ok)
            for name in bad:
                listed = re.search(rf"^test: {re.escape(name)}$", listed_text, re.M)
                (known_failures if listed else failed).append(name)
            print(f"{module}: {len(ok)} passed, {len(bad)} failed", flush=True)
            if bad:
                print(output)
    for name in known_failures:
        print(f"known failure: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
