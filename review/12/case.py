"""A job whose tasks state no CPU, and the jobs of other callers after it."""

import os
import sys
import tempfile
import time
from pathlib import Path

import observed_upstream
from small_fleet import Record, SmallFleet, gevent, http, job

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = Path(__file__).resolve().parent
# As `teilreserve` of sites/gsodispo.toml: two tasks of 0.4 s, a time budget of 1.5 s.
DEADLINE_MS = 1500
WORK_MS = 400
INTERVAL_S = 0.4
ORDINARY_JOBS = 24
# `retry_delay_ms`, and the number of times that the client sends its job.
RETRY_DELAY_S = 1.3
MAX_ATTEMPTS = 5
# Share of the requests that may be refused or fail (RULES.md, Gate).
MAX_UNSERVED_SHARE = 0.6


def submit(fleet, record, name, entry, job_id, body, deadline_ms=DEADLINE_MS):
    """Submits a job as a caller and records the answer; returns whether it was 2xx."""
    sent = time.monotonic()
    headers = [("Deadline", deadline_ms)]
    status, text = http(
        fleet.address(entry),
        "POST",
        "/q/" + job_id,
        body,
        headers,
        deadline_ms / 1000 + 1,
    )
    record.write(
        f"{name}: job {job_id} at {entry}, Deadline {deadline_ms} ms -> {status} "
        f"{text.strip()[:60]} after {time.monotonic() - sent:.2f} s"
    )
    return status is not None and 200 <= status < 300


def ordinary(fleet, record, first, count, name):
    """Submits ordinary jobs at a steady rate; returns how many were answered 2xx."""
    body = job(2, spec=str(WORK_MS), cpu=1000, estimate_ms=WORK_MS)
    jobs = []
    for number in range(first, first + count):
        entry = f"e{number % 2 + 1}"
        arguments = (fleet, record, name, entry, f"{number:016x}", body)
        jobs.append(gevent.spawn(submit, *arguments))
        gevent.sleep(INTERVAL_S)
    gevent.joinall(jobs)
    return sum(greenlet.value for greenlet in jobs)


def submit_memory_only(fleet, record):
    """Submits a job of four tasks of 50 ms that need memory only.

    As the pages say, the client sends the job again after a 504, to any node.
    """
    body = job(4, spec="50", estimate_ms=100, mem_mb=64)
    if TROUBLE:
        # A value of 0 is omitted.
        del body["phases"][0]["cpu"]
    for attempt in range(MAX_ATTEMPTS):
        entry = f"e{attempt % 2 + 1}"
        if submit(fleet, record, "memory", entry, "00000000000000aa", body):
            return True
        gevent.sleep(RETRY_DELAY_S)
    return False


def play(fleet, record):
    """Plays the case; returns the exit status."""
    if not fleet.begin(entries=2, runners=2):
        record.write("the fleet did not start")
        return 2
    before = ordinary(fleet, record, 100, ORDINARY_JOBS, "before")
    is_done = submit_memory_only(fleet, record)
    gevent.sleep(2.0)
    after = ordinary(fleet, record, 200, ORDINARY_JOBS, "after")
    now = time.monotonic()
    for name, upstream in fleet.upstreams.items():
        current = upstream.current
        record.write(
            f"runner {name}: last hold {now - current.last_hold_at:.1f} s ago, last "
            f"renewal of a lease {now - (current.last_renewal_at or now):.1f} s ago"
        )
        for run in current.records:
            record.write(f"  run {run.task} {run.run}: {run.outcome or 'active'}")
    unserved_share = 1 - after / ORDINARY_JOBS
    record.write(
        f"ordinary jobs answered with 2xx: {before} of {ORDINARY_JOBS} before, "
        f"{after} of {ORDINARY_JOBS} after; job without cpu answered with 2xx: "
        f"{is_done}"
    )
    if before < ORDINARY_JOBS:
        record.write("the fleet did not serve all ordinary jobs beforehand")
        return 2
    is_broken = unserved_share > MAX_UNSERVED_SHARE
    record.write("BROKEN" if is_broken else "held")
    return 1 if is_broken else 0


def main():
    """Runs the case."""
    record = Record(FOLDER / "record.txt")
    record.write(f"TROUBLE={int(TROUBLE)}")
    observed_upstream.install()
    with tempfile.TemporaryDirectory() as folder:
        fleet = SmallFleet(folder)
        try:
            return play(fleet, record)
        finally:
            fleet.stop()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:
        print(f"could not run: {error!r}", flush=True)
        sys.exit(2)
