"""
benchmarks.trace
~~~~~~~~~~~~~~~~

Fleets and seeded load traces of the two users, with the sizes of the design document.
"""

import math
import random
from dataclasses import dataclass

from standins.load import Arrival

__all__ = ["PROFILES", "JobKind", "Profile", "make_trace"]

# Share of tasks of several seconds in the classes that have them.
_LONG_SHARE = 0.03
_LONG_MS = (2000.0, 5000.0)


@dataclass(frozen=True)
class JobKind:
    """Jobs of one class.

    Attributes:
        name: Name of the class.
        weight: Relative frequency of the class among the jobs.
        tasks: Minimum and maximum number of tasks, log-uniform.
        work_ms: Minimum and maximum service time of a usual task at speed 1, in
            milliseconds, log-uniform.
        has_long_tasks: Whether some tasks take several seconds.
    """

    name: str
    weight: float
    tasks: tuple
    work_ms: tuple
    has_long_tasks: bool = False


@dataclass(frozen=True)
class Profile:
    """Fleet and load of one user.

    Attributes:
        domains: Names of the failure domains.
        tenants: Names of the tenants.
        kinds: `JobKind` of each class.
        speeds: Speed of each runner's upstream; runners are assigned to the domains
            in turn.
        slots: Slots of a runner.
        link_delay_ms: One-way delay between processes, in milliseconds.
        client_delay_ms: One-way delay to clients, in milliseconds.
    """

    domains: tuple
    tenants: tuple
    kinds: tuple
    speeds: tuple = (2.0, 1.0, 0.5, 1.4, 0.8, 1.6, 0.6, 1.2, 1.0, 0.7)
    slots: int = 8
    link_delay_ms: float = 1.0
    client_delay_ms: float = 1.0

    @property
    def capacity(self):
        """Work that the fleet does per second, in seconds at speed 1."""
        return sum(self.speeds) * self.slots

    @property
    def config(self):
        """Configuration as a document.

        All classes share priority and deadline, since the ideal simulation serves
        tasks in order of arrival.
        """
        return {
            "services": [{"name": "dispatch"}],
            "tenants": [{"name": name} for name in self.tenants],
            "classes": [{"name": kind.name} for kind in self.kinds],
            "domains": list(self.domains),
            "domains_out": [],
        }

    @property
    def runners(self):
        """Runners for `Fleet`."""
        return [
            {
                "domain": self.domains[index % len(self.domains)],
                "slots": self.slots,
                "speed": speed,
            }
            for index, speed in enumerate(self.speeds)
        ]


PROFILES = {
    "oberland": Profile(
        domains=("rosenheim", "weilheim", "traunstein", "garmisch"),
        tenants=("oberland",),
        kinds=(
            JobKind("fault-check", 0.5, (1, 8), (50.0, 250.0)),
            JobKind("reservation", 0.3, (2, 20), (100.0, 600.0)),
            JobKind("clearance", 0.2, (8, 40), (200.0, 1000.0), has_long_tasks=True),
        ),
    ),
    "cabinetline": Profile(
        domains=("coast", "island", "interior"),
        tenants=("firm-1", "firm-2", "firm-3"),
        kinds=(
            JobKind("price-check", 0.5, (1, 8), (50.0, 250.0)),
            JobKind("layout-quote", 0.3, (4, 30), (100.0, 800.0)),
            JobKind("cut-list", 0.2, (4, 40), (200.0, 1000.0), has_long_tasks=True),
        ),
        client_delay_ms=3.0,
    ),
}


def _log_uniform(rng, low, high):
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _job(rng, kind):
    low, high = kind.tasks
    # The upper bound is raised, so that after truncation the largest size has its
    # share of the interval too.
    tasks = min(high, int(_log_uniform(rng, low, high + 0.999)))
    works = []
    for _ in range(tasks):
        if kind.has_long_tasks and rng.random() < _LONG_SHARE:
            works.append(round(rng.uniform(*_LONG_MS), 1))
        else:
            works.append(round(_log_uniform(rng, *kind.work_ms), 1))
    return tuple(works)


def _mean_work_s(profile):
    """Returns the mean work of a job, in seconds at speed 1."""
    rng = random.Random(0)
    weights = [kind.weight for kind in profile.kinds]
    jobs = [_job(rng, rng.choices(profile.kinds, weights)[0]) for _ in range(4000)]
    return sum(map(sum, jobs)) / len(jobs) / 1000


def make_trace(profile, load, seconds, seed, deadline_ms=30_000):
    """Returns jobs with random arrivals and sizes, as a list of `Arrival`.

    Args:
        profile: `Profile`.
        load: Offered work divided by the capacity of the fleet.
        seconds: Length of the trace, in seconds.
        seed: Seed; the same seed gives the same trace.
        deadline_ms: Deadline of every job, in milliseconds.
    """
    rng = random.Random(seed)
    rate = load * profile.capacity / _mean_work_s(profile)
    weights = [kind.weight for kind in profile.kinds]
    arrivals = []
    at_s = rng.expovariate(rate)
    while at_s < seconds:
        kind = rng.choices(profile.kinds, weights)[0]
        tenant = rng.choice(profile.tenants)
        works = _job(rng, kind)
        arrivals.append(
            Arrival(len(arrivals), at_s, tenant, kind.name, works, deadline_ms)
        )
        at_s += rng.expovariate(rate)
    return arrivals
