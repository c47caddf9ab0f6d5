"""An entry is killed and comes back at once while orders are carried out late."""

import signal
import sys
import time
from pathlib import Path

import gevent
from gevent import monkey

monkey.patch_subprocess()

from common.fleet import (  # noqa: E402
    Fleet,
    job_body,
    main,
    note_overlaps,
    overlaps,
    submit_until_answered,
)

_ROUNDS = 4
_JOBS = 10
_TASKS = 40
_WORK_MS = 5000
_CPU = 150
_MEM_MB = 256
_LATE_SHARE = 0.5
_LATE_S = 2.0
_RESTART_S = 0.1


def _kill_and_restart(fleet, record, entry):
    """Kills an entry and starts it again, as the platform does after a short delay."""
    fleet.signal(entry, signal.SIGKILL)
    while fleet.processes[entry].poll() is None:
        gevent.sleep(0.01)
    gevent.sleep(_RESTART_S)
    fleet.start_process(entry)
    record.note(f"{entry} is started again")


def _play_round(fleet, record, trouble, number):
    entries = fleet.entries if number % 2 else fleet.entries[::-1]
    statuses = []
    clients = [
        gevent.spawn(
            submit_until_answered,
            fleet,
            record,
            f"{0xC0DE0000 + 100 * number + i:016x}",
            job_body(_TASKS, _WORK_MS, _CPU, _MEM_MB),
            entries,
            statuses,
        )
        for i in range(_JOBS)
    ]
    gevent.sleep(2.0)
    if trouble:
        record.note("half of the orders get no answer and are carried out late")
        for upstream in fleet.upstreams.values():
            upstream.late_share = _LATE_SHARE
        _kill_and_restart(fleet, record, entries[0])
        gevent.sleep(_LATE_S)
        for upstream in fleet.upstreams.values():
            upstream.late_share = 0.0
        record.note("orders are answered again")
    gevent.joinall(clients, timeout=20)
    if not trouble and statuses != [200] * _JOBS:
        raise RuntimeError(f"answers: {statuses}")


def play(record, trouble):
    fleet = Fleet(record, entries=2, runners=4, cores=48)
    try:
        fleet.start()
        record.note("the fleet is ready")
        for number in range(1, _ROUNDS + 1):
            _play_round(fleet, record, trouble, number)
            if overlaps(fleet.runs(), time.monotonic()):
                break
        return note_overlaps(record, fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
