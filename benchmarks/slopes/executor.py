"""
benchmarks.slopes.executor
~~~~~~~~~~~~~~~~~~~~~~~~~~

Cost of an executor.
"""

import gevent

from ..sampling import measure, rss_mib
from .figures import WARM_UP_S, WINDOWS, Rate, add_per_task, figures
from .fleets import config_document, executor_fleet, runner_process, wait_until
from .load import OpenLoop

__all__ = ["executor_coordinators_idle", "executor_load", "executor_started"]

_LOAD_DEFAULTS = {"coordinators": 1, "tasks_s": 200, "job_size": 4, "tenants": 68}


def executor_load(points, seconds, variable, **fixed):
    """Yields the cost of an executor under load by one option of the load."""
    options = {**_LOAD_DEFAULTS, **fixed}
    for x in points:
        options[variable] = x
        document = config_document(options["tenants"])
        with executor_fleet(options["coordinators"], 1024, document) as (fleet, peers):
            yield x, _measure_executor_load(fleet, peers, options, seconds)


def _measure_executor_load(fleet, coordinators, options, seconds):
    size, tenants = options["job_size"], options["tenants"]

    def grant(number):
        coordinator = coordinators[number % len(coordinators)]
        coordinator.grant(coordinator.links["r1"], size, f"t{number % tenants}")

    load = OpenLoop(options["tasks_s"] / size, grant)
    gevent.sleep(WARM_UP_S)
    completed = Rate(lambda: _completed(coordinators))
    reports = Rate(lambda: sum(c.reports for c in coordinators))
    usage = measure(runner_process(fleet), seconds, WINDOWS)["r1"]
    tasks_s, reports_s = completed.per_second(), reports.per_second()
    values = add_per_task(figures(usage), usage, tasks_s, 0)
    values["slot_reports_task"] = reports_s / tasks_s if tasks_s else 0.0
    values["rejected"] = sum(
        n for c in coordinators for status, n in c.statuses.items() if status
    )
    load.stop()
    return values


def _completed(coordinators):
    return sum(coordinator.statuses.get(0, 0) for coordinator in coordinators)


def executor_coordinators_idle(points, seconds):
    """Yields the cost of an idle executor by the number of coordinators."""
    for x in points:
        with executor_fleet(x, 8, config_document()) as (fleet, _):
            gevent.sleep(WARM_UP_S)
            yield x, figures(measure(runner_process(fleet), seconds, WINDOWS)["r1"])


def executor_started(points, seconds):
    """Yields the memory by started tasks, whose records are kept for 60 s."""
    with executor_fleet(1, 1024, config_document()) as (fleet, (coordinator,)):
        pid = fleet.processes["r1"].pid
        link = coordinator.links["r1"]
        for x in points:
            load = OpenLoop(150, lambda n: coordinator.grant(link, 8, f"t{n % 68}"))
            wait_until(lambda: _completed([coordinator]) >= x, 120)
            load.stop()
            gevent.sleep(0.2)
            yield _completed([coordinator]), {"rss_mib": rss_mib(pid)}
