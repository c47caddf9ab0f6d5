"""
benchmarks.slopes.coordinator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cost of a coordinator.
"""

import gevent

from ..sampling import measure, rss_mib
from .figures import WARM_UP_S, WINDOWS, Rate, add_per_task, figures
from .fleets import (
    config_document,
    link_executors,
    runner_fleet,
    runner_process,
    wait_until,
)
from .load import LOAD_DEFAULTS, OpenLoop

__all__ = ["coordinator_load", "coordinator_members", "coordinator_records"]


def coordinator_members(points, seconds):
    """Yields the cost of an idle coordinator by the number of executors."""
    with runner_fleet(config_document()) as (fleet, (entry,)):
        executors = []
        for x in points:
            link_executors(entry, executors, x)
            gevent.sleep(WARM_UP_S)
            yield x, figures(measure(runner_process(fleet), seconds, WINDOWS)["r1"])
        for executor in executors:
            executor.stop()


def coordinator_load(points, seconds, variable, burst=1, **fixed):
    """Yields the cost of a coordinator under load by one option of the load.

    Args:
        points: Values of the option.
        seconds: Length of a window.
        variable: Name of the option.
        burst: Number of jobs that are submitted at once.
        **fixed: The other options.
    """
    options = {**LOAD_DEFAULTS, **fixed}
    for x in points:
        options[variable] = x
        document = config_document(options["tenants"])
        with runner_fleet(document) as (fleet, (entry,)):
            executors = []
            link_executors(entry, executors, options["executors"])
            yield x, _measure_coordinator_load(fleet, entry, options, burst, seconds)
            for executor in executors:
                executor.stop()


def _measure_coordinator_load(fleet, entry, options, burst, seconds):
    size, tenants = options["job_size"], options["tenants"]
    jobs_s = options.get("jobs_s") or options["tasks_s"] / size
    link = entry.links["r1"]
    entry.request_ids(link)

    def submit(number):
        for n in range(number * burst, (number + 1) * burst):
            entry.submit(link, size, f"t{n % tenants}")

    load = OpenLoop(jobs_s / burst, submit)
    gevent.sleep(WARM_UP_S)
    completed = Rate(lambda: entry.outcomes.get("complete", 0))
    usage = measure(runner_process(fleet), seconds, WINDOWS)["r1"]
    completed_s = completed.per_second()
    values = add_per_task(figures(usage), usage, completed_s * size, completed_s)
    values["refused"] = sum(n for o, n in entry.outcomes.items() if o != "complete")
    load.stop()
    return values


def coordinator_records(points, seconds, job_size=10):
    """Yields the memory by the number of finished jobs whose records are kept."""
    with runner_fleet(config_document()) as (fleet, (entry,)):
        executors = []
        link_executors(entry, executors, 50)
        link = entry.links["r1"]
        entry.request_ids(link)
        pid = fleet.processes["r1"].pid
        sent = 0
        for x in points:
            load = OpenLoop(400, lambda n: entry.submit(link, job_size, f"t{n % 68}"))
            wait_until(lambda: sent + load.called >= x, 120)
            load.stop()
            sent += load.called
            wait_until(lambda: entry.outcomes.get("complete", 0) >= sent - 1, 60)
            gevent.sleep(0.2)
            done = entry.outcomes["complete"]
            yield done, {"rss_mib": rss_mib(pid), "job_size": job_size}
        for executor in executors:
            executor.stop()
