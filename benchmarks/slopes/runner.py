"""
benchmarks.slopes.runner
~~~~~~~~~~~~~~~~~~~~~~~~

Cost of a runner apart from its tasks.
"""

import json

import gevent

from standins.fleet import call

from ..sampling import measure, rss_mib
from .figures import WARM_UP_S, WINDOWS, ExtraCpu, figures
from .fleets import (
    config_document,
    executor_fleet,
    runner_fleet,
    runner_process,
    wait_until,
)
from .load import OpenLoop

__all__ = ["announcements", "runner_config", "runner_entries"]


def runner_entries(points, seconds):
    """Yields the cost of an idle runner by the number of linked entries."""
    for x in points:
        with runner_fleet(config_document(), entries=x) as (fleet, _):
            gevent.sleep(WARM_UP_S)
            yield x, figures(measure(runner_process(fleet), seconds, WINDOWS)["r1"])


def announcements(points, seconds):
    """Yields the cost of an idle runner by announcements a second.

    Each announcement uses a new connection.
    """
    with executor_fleet(0, 8, config_document()) as (fleet, _):
        http = fleet.runner_http["r1"]
        document = {"service": "dispatch", "address": "127.0.0.1:1", "slots": 8}
        for x in points:
            load = OpenLoop(x, lambda _: call(http, "POST", "/announce", document))
            gevent.sleep(WARM_UP_S)
            usage = measure(runner_process(fleet), seconds, WINDOWS)["r1"]
            load.stop()
            yield x, figures(usage)


def runner_config(points, seconds):
    """Yields the cost of applying a pushed configuration by its size."""
    with runner_fleet(config_document(1)) as (fleet, (entry,)):
        gevent.sleep(WARM_UP_S)
        process = runner_process(fleet)
        pid = process["r1"][0]
        idle = measure(process, seconds, WINDOWS)["r1"]
        for size in points:
            text = json.dumps(config_document(1, size=size)).encode()
            changes = max(3, int(seconds * 5))
            cpu = ExtraCpu(pid, idle)
            for _ in range(changes):
                entry.push_config(text)
                wait_until(lambda: entry.confirmed == entry.config_version)
            cpu.stop()
            values = {
                "cpu_ms_change": cpu.used_s / changes * 1e3,
                "rss_mib": rss_mib(pid),
            }
            yield len(text), values
