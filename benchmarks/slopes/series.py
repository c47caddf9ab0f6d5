"""
benchmarks.slopes.series
~~~~~~~~~~~~~~~~~~~~~~~~

Series of measurements by name.
"""

from dataclasses import asdict, dataclass
from functools import partial

from ..sampling import fit_line
from .coordinator import coordinator_load, coordinator_members, coordinator_records
from .entry import (
    entry_config,
    entry_load,
    entry_members,
    status_members,
    store_entries,
)
from .executor import executor_coordinators_idle, executor_load, executor_started
from .runner import announcements, runner_config, runner_entries
from .whole_fleet import idle, memory_growth

__all__ = ["SERIES", "Series", "run_series"]

_SHORT_WINDOW_S = 0.3
_WINDOW_S = 1.5
_MEMBER_COUNTS = (50, 100, 200, 400, 800)
_JOB_SIZES = (1, 100, 400, 800, 1600)
_TENANT_COUNTS = (1, 17, 68, 272)
_CONFIG_SIZES = (2_000, 10_000, 20_000, 40_000, 80_000)


@dataclass(frozen=True)
class Series:
    """Measurement of one role as a function of one variable.

    Attributes:
        role: Role of the measured process.
        variable: Description of the independent variable x.
        points: Values of x.
        short: Values of x in the short mode.
        run: Function of the values of x and the length of a window in seconds;
            yields (x, figures by name).
    """

    role: str
    variable: str
    points: tuple
    short: tuple
    run: object


SERIES = {
    "idle": Series("runner", "window", (1, 2, 3), (1, 2), idle),
    "entry_members": Series(
        "entry", "members", _MEMBER_COUNTS, (10, 20, 30, 40), entry_members
    ),
    "entry_members_loaded": Series(
        "entry",
        "members, 10 jobs a second",
        (20, 100, 200, 400),
        (5, 10),
        partial(entry_load, variable="members"),
    ),
    "entry_tasks": Series(
        "entry",
        "tasks a second",
        (1000, 2000, 4000, 6000),
        (200, 400),
        partial(entry_load, variable="tasks_s"),
    ),
    "entry_job_size": Series(
        "entry",
        "tasks of a job",
        _JOB_SIZES,
        (1, 100),
        partial(entry_load, variable="job_size", jobs_s=8),
    ),
    "entry_tenants": Series(
        "entry",
        "tenants",
        _TENANT_COUNTS,
        (1, 4),
        partial(entry_load, variable="tenants"),
    ),
    "entry_config": Series(
        "entry", "bytes of the text", _CONFIG_SIZES, (2_000, 10_000), entry_config
    ),
    "coordinator_members": Series(
        "coordinator",
        "executors of the cell",
        (10, 50, 100, 200),
        (5, 10),
        coordinator_members,
    ),
    "coordinator_executors": Series(
        "coordinator",
        "executors of the cell, 1,000 tasks a second",
        (10, 50, 100, 200),
        (5, 10),
        partial(coordinator_load, variable="executors"),
    ),
    "coordinator_tasks": Series(
        "coordinator",
        "tasks a second",
        (250, 500, 1000, 2000),
        (100, 200),
        partial(coordinator_load, variable="tasks_s"),
    ),
    "coordinator_job_size": Series(
        "coordinator",
        "tasks of a job",
        _JOB_SIZES,
        (1, 100),
        partial(coordinator_load, variable="job_size", jobs_s=1),
    ),
    "coordinator_tenants": Series(
        "coordinator",
        "tenants",
        _TENANT_COUNTS,
        (1, 4),
        partial(coordinator_load, variable="tenants", burst=10),
    ),
    "coordinator_records": Series(
        "coordinator",
        "finished jobs of 10 tasks",
        (1000, 2000, 4000, 8000),
        (100, 200),
        coordinator_records,
    ),
    "executor_entries": Series(
        "executor", "entries linked", (1, 2, 4, 8), (1, 2), runner_entries
    ),
    "executor_announcements": Series(
        "executor", "announcements a second", (1, 2, 4, 8), (2, 4), announcements
    ),
    "executor_homes_idle": Series(
        "executor",
        "coordinators linked",
        (1, 2, 4, 8),
        (1, 2),
        executor_coordinators_idle,
    ),
    "executor_homes": Series(
        "executor",
        "coordinators, 200 tasks a second",
        (1, 2, 4, 8),
        (1, 2),
        partial(executor_load, variable="coordinators"),
    ),
    "executor_tasks": Series(
        "executor",
        "tasks a second",
        (100, 200, 400, 800),
        (50, 100),
        partial(executor_load, variable="tasks_s"),
    ),
    "executor_batch": Series(
        "executor",
        "grants of a batch",
        (1, 4, 16, 64),
        (1, 4),
        partial(executor_load, variable="job_size"),
    ),
    "executor_tenants": Series(
        "executor",
        "tenants",
        _TENANT_COUNTS,
        (1, 4),
        partial(executor_load, variable="tenants"),
    ),
    "executor_started": Series(
        "executor",
        "started tasks",
        (5000, 10000, 20000, 30000),
        (200, 400),
        executor_started,
    ),
    "runner_config": Series(
        "runner", "bytes of the text", _CONFIG_SIZES, (2_000, 10_000), runner_config
    ),
    "store_entries": Series("store", "entries", (1, 2, 3, 4), (1, 2), store_entries),
    "status_members": Series(
        "operators' tool", "members", (50, 100, 200, 400), (5, 10), status_members
    ),
    "growth": Series(
        "runner",
        "finished tasks",
        (20_000, 40_000, 60_000, 80_000, 100_000),
        (100, 200),
        memory_growth,
    ),
}


def run_series(name, short=False):
    """Measures one series.

    Args:
        name: Name in `SERIES`.
        short: Whether to use few points and short windows.

    Returns:
        dict: `name`, `role`, `variable`, `points` (list of dicts with `x`) and
            `fits` (slope, intercept and residual by value).
    """
    series = SERIES[name]
    xs = series.short if short else series.points
    points = []
    for x, values in series.run(xs, _SHORT_WINDOW_S if short else _WINDOW_S):
        points.append({"x": x, **values})
    fits = {}
    for key in points[0]:
        pairs = [(point["x"], point[key]) for point in points if key in point]
        if key != "x" and len({x for x, _ in pairs}) > 1:
            fits[key] = asdict(fit_line(pairs))
    return {
        "name": name,
        "role": series.role,
        "variable": series.variable,
        "points": points,
        "fits": fits,
    }
