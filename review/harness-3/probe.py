"""Asks one entry for its readiness and submits ordinary jobs, as a program of its own.

Usage: `python3 probe.py READY FRONT SECONDS`, with addresses HOST:PORT. Each line that
it prints is a JSON object. It runs apart from the stand-ins, so that their load does
not delay its requests.
"""

import json
import sys
import time

from small_fleet import gevent, http, job

READY_INTERVAL_S = READY_TIMEOUT_S = 1.0
JOB_INTERVAL_S = 0.25
DEADLINE_MS = 1500


def _address(text):
    host, port = text.split(":")
    return host, int(port)


def _report(kind, sent, status):
    line = {
        "kind": kind,
        "sent": sent,
        "took": round(time.monotonic() - sent, 3),
        "status": status,
    }
    print(json.dumps(line), flush=True)


def _ask_ready(address):
    sent = time.monotonic()
    path = "/papayaward/readiness"
    status, _ = http(address, "GET", path, timeout_s=READY_TIMEOUT_S)
    _report("ready", sent, status)


def _submit(address, number):
    sent = time.monotonic()
    headers = [("Deadline", DEADLINE_MS)]
    body = job(2, spec="50", cpu=1000, estimate_ms=50)
    path = f"/q/{0x5000 + number:016x}"
    status, _ = http(address, "POST", path, body, headers, DEADLINE_MS / 1000)
    _report("job", sent, status)


def main(args):
    """Runs the probe."""
    ready, front = _address(args[0]), _address(args[1])
    until = time.monotonic() + float(args[2])
    pending = []
    number = 0
    while time.monotonic() < until:
        if number % round(READY_INTERVAL_S / JOB_INTERVAL_S) == 0:
            pending.append(gevent.spawn(_ask_ready, ready))
        pending.append(gevent.spawn(_submit, front, number))
        number += 1
        gevent.sleep(JOB_INTERVAL_S)
    gevent.joinall(pending, timeout=5)


if __name__ == "__main__":
    main(sys.argv[1:])
