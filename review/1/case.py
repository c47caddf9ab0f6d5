"""Half of an entry's channels are reset; the clients send their jobs again."""

import random
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
from common.proxy import reset_together  # noqa: E402

_ROUNDS = 3
_JOBS = 12
_TASKS = 4
_WORK_MS = 3000
_RESET_SHARE = 0.55


def _reset_half(fleet, record, entry, seed):
    """Resets half of the open channels of an entry, those of clients and of runners."""
    of_clients = fleet.client_proxies[entry].channels
    of_runners = fleet.link_proxies[entry].channels
    open_channels = of_clients + of_runners
    count = int(_RESET_SHARE * len(open_channels))
    chosen = random.Random(seed).sample(open_channels, count)
    record.note(
        f"reset {count} of {len(open_channels)} channels of {entry}: "
        f"{sum(c in of_clients for c in chosen)} of {len(of_clients)} clients, "
        f"{sum(c in of_runners for c in chosen)} of {len(of_runners)} runners"
    )
    reset_together(chosen, seed)


def _play_round(fleet, record, trouble, number):
    """Submits jobs, resets channels while they run, and waits for all answers."""
    entry = fleet.entries[0]
    statuses = []
    clients = [
        gevent.spawn(
            submit_until_answered,
            fleet,
            record,
            f"{0xC0DE0000 + 100 * number + i:016x}",
            job_body(_TASKS, _WORK_MS),
            fleet.entries,
            statuses,
        )
        for i in range(_JOBS)
    ]
    gevent.sleep(0.6)
    if trouble:
        _reset_half(fleet, record, entry, number)
    gevent.joinall(clients, timeout=30)
    if len(statuses) < _JOBS or (not trouble and set(statuses) != {200}):
        raise RuntimeError(f"answers: {statuses}")
    gevent.sleep(1.0)


def play(record, trouble):
    fleet = Fleet(record, entries=2, runners=4, cores=48)
    try:
        fleet.start()
        record.note("the fleet is ready")
        for number in range(1, _ROUNDS + 1):
            _play_round(fleet, record, trouble, number)
        return note_overlaps(record, fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
