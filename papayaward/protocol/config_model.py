"""
papayaward.protocol.config_model
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Data classes of the configuration text and of the findings in it.
"""

from dataclasses import dataclass, field

__all__ = [
    "ConfigError",
    "Finding",
    "FleetConfig",
    "JobClass",
    "Limits",
    "Service",
    "Account",
]


@dataclass(frozen=True)
class Finding:
    """One invalid place in the configuration text.

    Attributes:
        place: Path such as `services[2].depends_on[0]`, `$` for the whole text.
        line: Line, from 1.
        column: Column in characters, from 1.
        found: Description of the value found there.
        allowed: Description of the allowed values.
    """

    place: str
    line: int
    column: int
    found: str
    allowed: str

    def __str__(self):
        where = f"{self.place} (line {self.line}, column {self.column})"
        return f"{where}: found {self.found}, allowed is {self.allowed}"


class ConfigError(Exception):
    """A configuration text is invalid.

    Attributes:
        findings: Tuple of `Finding`.
    """

    def __init__(self, findings):
        super().__init__("; ".join(map(str, findings)))
        self.findings = tuple(findings)


@dataclass(frozen=True)
class Service:
    """A service that upstreams offer.

    Attributes:
        name: Name used by callers and upstreams.
        depends_on: Names of the services that its tasks call.
        cells: Number of groups of runners, each with one queue.
    """

    name: str
    depends_on: tuple = ()
    cells: int = 1


@dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        name: Name used by callers.
        weight: Share of the slots beyond all quotas, relative to other client accounts.
        quota: Guaranteed share of a service's slots, 0 to 1.
    """

    name: str
    weight: float = 1.0
    quota: float = 0.0


@dataclass(frozen=True)
class JobClass:
    """A class of jobs.

    Attributes:
        name: Name used by callers.
        priority: Jobs with lower values are started first.
        deadline_ms: Default deadline of the class's jobs.
    """

    name: str
    priority: int = 10
    deadline_ms: int = 30_000


@dataclass(frozen=True)
class Limits:
    """Limits on jobs.

    Attributes:
        max_tasks: Maximum number of tasks in one job.
        max_deadline_ms: Longest deadline that a job may request.
    """

    max_tasks: int = 1600
    max_deadline_ms: int = 600_000


@dataclass(frozen=True)
class FleetConfig:
    """The validated content of a configuration text.

    Attributes:
        services: `Service` by name.
        accounts: `Account` by name.
        classes: `JobClass` by name.
        limits: `Limits`.
        domains: Known failure domains.
        domains_out: Failure domains out of service.
    """

    services: dict = field(default_factory=dict)
    accounts: dict = field(default_factory=dict)
    classes: dict = field(default_factory=dict)
    limits: Limits = Limits()
    domains: tuple = ()
    domains_out: frozenset = frozenset()
