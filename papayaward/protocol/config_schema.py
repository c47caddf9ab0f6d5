"""
papayaward.protocol.config_schema
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keys of the configuration text: one table for validation and documentation.
"""

from dataclasses import dataclass

from .config_findings import MISSING, describe
from .config_model import Account, JobClass, Limits, Service

__all__ = ["Key", "check_document", "config_reference"]

_NAME_CHARACTERS = 64
_NAME = f"a name of 1 to {_NAME_CHARACTERS} printable characters without blanks"

_MAX_SERVICES = 1000
_MAX_ACCOUNTS = 1000
_MAX_CLASSES = 100
_MAX_DOMAINS = 100


@dataclass(frozen=True)
class Key:
    """One key of an object.

    Attributes:
        name: Key in the JSON object.
        check: Function of the value, its path and the `Findings`; returns the
            value to use, or None after adding a finding.
        default: Value when the key is absent; None makes the key mandatory.
        doc: Description for the reference table.
    """

    name: str
    check: object
    default: object
    doc: str


def _integer(low, high, unit):
    allowed = f"an integer from {low} to {high}{unit and f' ({unit})'}"

    def check(value, path, findings):
        if type(value) is int and low <= value <= high:
            return value
        findings.add(path, value, allowed)

    return check


def _number(low, high, unit):
    allowed = f"a number from {low} to {high}{unit and f' ({unit})'}"

    def check(value, path, findings):
        if type(value) in (int, float) and low <= value <= high:
            return float(value)
        findings.add(path, value, allowed)

    return check


def _name(value, path, findings):
    if type(value) is str and 0 < len(value) <= _NAME_CHARACTERS:
        if value.isprintable() and " " not in value:
            return value
    findings.add(path, value, _NAME)


def _name_list(max_count):
    allowed = f"a list of at most {max_count} names"

    def check(value, path, findings):
        if type(value) is not list or len(value) > max_count:
            return findings.add(path, value, allowed)
        names = [_name(item, (*path, i), findings) for i, item in enumerate(value)]
        _check_unique(names, path, (), findings)
        return tuple(names)

    return check


def _object(build, keys):
    known = {key.name for key in keys}
    allowed_keys = "one of the keys " + ", ".join(key.name for key in keys)

    def check(value, path, findings):
        if type(value) is not dict:
            return findings.add(path, value, "an object")
        if not findings.allow_unknown and not known.issuperset(value):
            for name in value:
                if name not in known:
                    found = f"the unknown key {describe(name)}"
                    where = (*path, name)
                    findings.add_text(where, found, allowed_keys, at_key=True)
        values = {}
        for key in keys:
            found = value.get(key.name, MISSING)
            if found is MISSING and key.default is not None:
                values[key.name] = key.default
                continue
            checked = key.check(found, (*path, key.name), findings)
            # An invalid value is replaced by the default, so that the cross-section
            # checks still report further errors.
            values[key.name] = key.default if checked is None else checked
        return build(**values)

    return check


def _object_list(build, keys, min_count, max_count):
    check_item = _object(build, keys)
    allowed = f"a list of {min_count} to {max_count} objects"

    def check(value, path, findings):
        if type(value) is not list or not min_count <= len(value) <= max_count:
            return findings.add(path, value, allowed)
        items = [check_item(v, (*path, i), findings) for i, v in enumerate(value)]
        names = [None if item is None else item.name for item in items]
        _check_unique(names, path, ("name",), findings)
        return tuple(items)

    return check


def _check_unique(names, path, suffix, findings):
    if len(set(names)) == len(names):
        return
    seen = set()
    for index, name in enumerate(names):
        if name is not None and name in seen:
            findings.add((*path, index, *suffix), name, "each name once")
        seen.add(name)


_SERVICE = (
    Key("name", _name, None, "Name used by callers and upstreams."),
    Key(
        "depends_on",
        _name_list(_MAX_SERVICES),
        (),
        "Services that it calls while it runs; without them its jobs are refused.",
    ),
    Key(
        "cells",
        _integer(1, 1000, "groups of runners"),
        1,
        "Groups of runners, each with one queue.",
    ),
)
_ACCOUNT = (
    Key("name", _name, None, "Name used by callers."),
    Key(
        "weight",
        _number(0.001, 1000.0, "relative to other tenants"),
        1.0,
        "Share of the slots beyond all quotas, relative to other tenants.",
    ),
    Key(
        "quota",
        _number(0.0, 1.0, "share of a service's slots"),
        0.0,
        "Guaranteed share of a service's slots; all quotas add up to at most 1.",
    ),
)
_CLASS = (
    Key("name", _name, None, "Name used by callers."),
    Key("priority", _integer(0, 100, ""), 10, "Lower values start first in a tenant."),
    Key(
        "deadline_ms",
        _integer(1, 3_600_000, "milliseconds"),
        30_000,
        "Deadline of jobs that state none, in milliseconds.",
    ),
)
_LIMITS = (
    Key("max_tasks", _integer(1, 100_000, "tasks"), 1600, "Most tasks in one job."),
    Key(
        "max_deadline_ms",
        _integer(1, 3_600_000, "milliseconds"),
        600_000,
        "Longest deadline that a job may state, in milliseconds.",
    ),
)
_CONFIG = (
    Key(
        "services", _object_list(Service, _SERVICE, 1, _MAX_SERVICES), None, "Services."
    ),
    Key(
        "tenants",
        _object_list(Account, _ACCOUNT, 0, _MAX_ACCOUNTS),
        (),
        "Tenants; an empty list allows any name.",
    ),
    Key(
        "classes",
        _object_list(JobClass, _CLASS, 0, _MAX_CLASSES),
        (),
        "Classes of jobs; an empty list allows any name.",
    ),
    Key("limits", _object(Limits, _LIMITS), Limits(), "Limits on jobs."),
    Key("domains", _name_list(_MAX_DOMAINS), (), "Failure domains."),
    Key(
        "domains_out",
        _name_list(_MAX_DOMAINS),
        (),
        "Failure domains that are out of service.",
    ),
)

# Validates the whole document; returns a dict of its sections.
check_document = _object(dict, _CONFIG)

_OBJECTS = (
    ("", _CONFIG),
    ("services[].", _SERVICE),
    ("tenants[].", _ACCOUNT),
    ("classes[].", _CLASS),
    ("limits.", _LIMITS),
)


def config_reference():
    """Returns the table of all keys for the operations manual, in Markdown."""
    lines = ["| key | default | meaning |", "| --- | --- | --- |"]
    for prefix, keys in _OBJECTS:
        for key in keys:
            plain = isinstance(key.default, (int, float))
            default = f"`{key.default}`" if plain else "empty"
            if key.default is None:
                default = "required"
            lines.append(f"| `{prefix}{key.name}` | {default} | {key.doc} |")
    return "\n".join(lines)
