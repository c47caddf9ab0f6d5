"""
benchmarks.trace
~~~~~~~~~~~~~~~~

Fleets and seeded loads of the two users, from the sizes on the design page.
"""

import math
import random
from dataclasses import dataclass

from standins.load import Arrival

__all__ = ["PROFILES", "JobKind", "Profile", "make_trace"]

# Tasks of several seconds, as share of the tasks of the classes that have them.
_LONG_SHARE = 0.03
_LONG_MS = (2000.0, 5000.0)


@dataclass(frozen=True)
class JobKind:
    """Jobs of one class.

    Attributes:
        name: Name of the class.
        weight: Share of the jobs.
        tasks: Fewest and most tasks; sizes are log-uniform.
        work_ms: Shortest and longest usual task at speed 1, log-uniform.
        long: Whether some tasks take several seconds.
    """

    name: str
    weight: float
    tasks: tuple
    work_ms: tuple
    long: bool = False


@dataclass(frozen=True)
class Profile:
    """Fleet and load of one user.

    Attributes:
        domains: Names of the failure domains.
        tenants: Names of the tenants.
        kinds: `JobKind` of each class.
        speeds: Speed of each runner's upstream; runners alternate over the domains.
        slots: Slots of a runner.
        link_delay_ms: One-way delay between processes.
        client_delay_ms: One-way delay to clients.
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
        """Work that the fleet does in a second, in seconds at speed 1."""
        return sum(self.speeds) * self.slots

    @property
    def config(self):
        """Operators' text as a document.

        All classes share priority and deadline, since the ideal is served in order
        of arrival.
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
            JobKind("clearance", 0.2, (8, 40), (200.0, 1000.0), long=True),
        ),
    ),
    "cabinetline": Profile(
        domains=("coast", "island", "interior"),
        tenants=("firm-1", "firm-2", "firm-3"),
        kinds=(
            JobKind("price-check", 0.5, (1, 8), (50.0, 250.0)),
            JobKind("layout-quote", 0.3, (4, 30), (100.0, 800.0)),
            JobKind("cut-list", 0.2, (4, 40), (200.0, 1000.0), long=True),
        ),
        client_delay_ms=3.0,
    ),
}


def _log_uniform(source, low, high):
    return math.exp(source.uniform(math.log(low), math.log(high)))


def _job(source, kind):
    low, high = kind.tasks
    # The upper bound is moved so that each size has its part of the interval.
    tasks = min(high, int(_log_uniform(source, low, high + 0.999)))
    works = []
    for _ in range(tasks):
        if kind.long and source.random() < _LONG_SHARE:
            works.append(round(source.uniform(*_LONG_MS), 1))
        else:
            works.append(round(_log_uniform(source, *kind.work_ms), 1))
    return tuple(works)


def _mean_work_s(profile):
    """Returns the mean work of a job, in seconds at speed 1."""
    source = random.Random(0)
    weights = [kind.weight for kind in profile.kinds]
    jobs = [
        _job(source, source.choices(profile.kinds, weights)[0]) for _ in range(4000)
    ]
    return sum(map(sum, jobs)) / len(jobs) / 1000


def make_trace(profile, load, seconds, seed, deadline_ms=30_000):
    """Returns jobs with random arrivals and sizes, as a list of `Arrival`.

    Args:
        profile: `Profile`.
        load: Work that arrives over the work that the fleet can do.
        seconds: Length of the trace.
        seed: Seed; the same seed gives the same trace.
        deadline_ms: Deadline of every job.
    """
    source = random.Random(seed)
    rate = load * profile.capacity / _mean_work_s(profile)
    weights = [kind.weight for kind in profile.kinds]
    arrivals = []
    at_s = source.expovariate(rate)
    while at_s < seconds:
        kind = source.choices(profile.kinds, weights)[0]
        tenant = source.choice(profile.tenants)
        works = _job(source, kind)
        arrivals.append(
            Arrival(len(arrivals), at_s, tenant, kind.name, works, deadline_ms)
        )
        at_s += source.expovariate(rate)
    return arrivals
