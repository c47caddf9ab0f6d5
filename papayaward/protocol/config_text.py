"""
papayaward.protocol.config_text
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' text: services, tenants, classes, limits and domains out of service.
"""

import json
from dataclasses import dataclass, field

from .options import OptionError, get_int, get_number, get_string, get_string_list

__all__ = [
    "ConfigError",
    "Finding",
    "FleetConfig",
    "JobClass",
    "Limits",
    "Service",
    "Tenant",
    "parse_config",
]


@dataclass(frozen=True)
class Finding:
    """One place where the text is not allowed.

    Attributes:
        place: Path such as `services[2].depends_on[0]`.
        line: Line, from 1.
        column: Column, from 1.
        found: Value found there, as text.
        allowed: What is allowed there.
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
    """An operators' text with findings.

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
        depends_on: Names of the services it calls while it runs.
        cells: Number of groups of runners, each with one queue.
    """

    name: str
    depends_on: tuple = ()
    cells: int = 1


@dataclass(frozen=True)
class Tenant:
    """A tenant.

    Attributes:
        name: Name used by callers.
        weight: Share of the slots beyond all quotas, relative to other tenants.
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
        priority: Lower values are started first.
        deadline_ms: Deadline of jobs that state none.
    """

    name: str
    priority: int = 10
    deadline_ms: int = 30_000


@dataclass(frozen=True)
class Limits:
    """Limits on jobs.

    Attributes:
        max_tasks: Most tasks in one job.
        max_deadline_ms: Longest deadline that a job may state.
    """

    max_tasks: int = 1600
    max_deadline_ms: int = 600_000


@dataclass(frozen=True)
class FleetConfig:
    """The checked content of an operators' text.

    Attributes:
        services: `Service` by name.
        tenants: `Tenant` by name.
        classes: `JobClass` by name.
        limits: `Limits`.
        domains: Known failure domains.
        domains_out: Failure domains out of service.
    """

    services: dict = field(default_factory=dict)
    tenants: dict = field(default_factory=dict)
    classes: dict = field(default_factory=dict)
    limits: Limits = Limits()
    domains: tuple = ()
    domains_out: frozenset = frozenset()


def parse_config(text):
    """Returns the checked content of an operators' text.

    Args:
        text: JSON document, str or bytes.

    Raises:
        ConfigError: With every finding.
    """
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        line, column = getattr(error, "lineno", 1), getattr(error, "colno", 1)
        finding = Finding("$", line, column, str(error), "a JSON document")
        raise ConfigError([finding]) from error
    findings = []

    def read(place, build, options):
        try:
            return build(options)
        except OptionError as error:
            place = f"{place}.{error.name}"
            findings.append(Finding(place, 1, 1, str(error), error.allowed))

    def read_list(name, build):
        items = [
            read(f"{name}[{index}]", build, options)
            for index, options in enumerate(document.get(name, ()))
        ]
        return {item.name: item for item in items if item is not None}

    config = FleetConfig(
        services=read_list("services", _service),
        tenants=read_list("tenants", _tenant),
        classes=read_list("classes", _job_class),
        limits=read("limits", _limits, document.get("limits", {})) or Limits(),
        domains=tuple(document.get("domains", ())),
        domains_out=frozenset(document.get("domains_out", ())),
    )
    if findings:
        raise ConfigError(findings)
    return config


def _service(options):
    return Service(
        get_string(options, "name"),
        get_string_list(options, "depends_on", ()),
        get_int(options, "cells", 1, low=1, high=1000),
    )


def _tenant(options):
    return Tenant(
        get_string(options, "name"),
        get_number(options, "weight", 1.0, low=0.001, high=1000.0),
        get_number(options, "quota", 0.0, low=0.0, high=1.0),
    )


def _job_class(options):
    return JobClass(
        get_string(options, "name"),
        get_int(options, "priority", 10, low=0, high=100),
        get_int(options, "deadline_ms", 30_000, low=1, high=3_600_000),
    )


def _limits(options):
    return Limits(
        get_int(options, "max_tasks", 1600, low=1, high=100_000),
        get_int(options, "max_deadline_ms", 600_000, low=1, high=3_600_000),
    )
