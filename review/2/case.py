"""An upstream crashes silently and soon starts again under the id that it had."""

import sys
from pathlib import Path

import gevent
from gevent import monkey

monkey.patch_subprocess()

from common.fleet import (  # noqa: E402
    Fleet,
    job_body,
    main,
    note_overlaps,
    submit_until_answered,
)

_ROUNDS = 6
_ROUND_S = 5.0
_CRASH_AFTER_S = 2.0
_DOWN_S = 0.5
_FIRST_REPORT_S = 0.05
_INTERVAL_S = 0.02
_TASKS = 2
_WORK_MS = 1000
_CPU = 500


def _submit_steadily(fleet, record, statuses, until_s):
    """Submits jobs at a steady rate, to the entries in turn."""
    clients = []
    for i in range(int(until_s / _INTERVAL_S)):
        clients.append(
            gevent.spawn(
                submit_until_answered,
                fleet,
                record,
                f"{0xC0DE0000 + i:016x}",
                job_body(_TASKS, _WORK_MS, _CPU),
                [fleet.entries[i % len(fleet.entries)]],
                statuses,
            )
        )
        gevent.sleep(_INTERVAL_S)
    gevent.joinall(clients, timeout=20)
    return len(clients)


def play(record, trouble):
    fleet = Fleet(record, entries=2, runners=4, cores=48)
    try:
        fleet.start()
        record.note("the fleet is ready")
        statuses = []
        load = gevent.spawn(
            _submit_steadily, fleet, record, statuses, _ROUNDS * _ROUND_S
        )
        for i in range(_ROUNDS):
            gevent.sleep(_CRASH_AFTER_S)
            if trouble:
                name = fleet.runners[i % len(fleet.runners)]
                fleet.crash_silently(name, _DOWN_S, _FIRST_REPORT_S)
            gevent.sleep(_ROUND_S - _CRASH_AFTER_S)
        sent = load.get()
        if len(statuses) < sent or (not trouble and set(statuses) != {200}):
            raise RuntimeError(f"{len(statuses)} answers of {sent}: {set(statuses)}")
        gevent.sleep(0.3)
        return note_overlaps(record, fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
