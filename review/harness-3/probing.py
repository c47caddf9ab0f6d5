"""Starts the probe of one entry and reads what it has seen."""

import json
import os
import sys
from pathlib import Path

from gevent import subprocess
from small_fleet import DEPS

_FOLDER = Path(__file__).resolve().parent


def start(fleet, name, seconds):
    """Starts the probe of an entry; returns its process."""
    listeners = fleet.settings[name]["listen_addrs"]
    path = os.pathsep.join([str(DEPS), str(_FOLDER)])
    return subprocess.Popen(
        [
            sys.executable,
            str(_FOLDER / "probe.py"),
            listeners["ready"],
            listeners["front"],
            str(seconds),
        ],
        stdout=subprocess.PIPE,
        env={"PATH": os.environ["PATH"], "PYTHONPATH": path},
    )


def read(process):
    """Waits for the probe and returns its lines, by the time of the request."""
    output, _ = process.communicate()
    lines = [json.loads(line) for line in output.splitlines()]
    return sorted(lines, key=lambda line: line["sent"])
