"""
papayaward.protocol.config_text
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parser of the configuration text that operators write.

The text defines services, client accounts, job classes, limits and failure domains.
"""

import json

from .config_findings import Findings
from .config_model import (
    Account,
    ConfigError,
    Finding,
    FleetConfig,
    JobClass,
    Limits,
    Service,
)
from .config_rules import check_rules
from .config_schema import check_document

__all__ = [
    "ConfigError",
    "Finding",
    "FleetConfig",
    "JobClass",
    "Limits",
    "Service",
    "Account",
    "parse_config",
]

_MAX_INTEGER_DIGITS = 100


def parse_config(text, allow_unknown=False):
    """Returns the validated content of a configuration text.

    Args:
        text: JSON document, str or bytes in UTF-8.
        allow_unknown: Ignores unknown keys. Processes that apply a version set this,
            so that a key added by a newer release does not prevent processes of an
            older release from applying the version.

    Returns:
        FleetConfig: The content.

    Raises:
        ConfigError: The text is invalid; the error contains all findings.
    """
    text = _decode(text)
    document, duplicate_keys = _load(text)
    findings = Findings(allow_unknown)
    sections = check_document(document, (), findings)
    if sections is not None:
        check_rules(sections, findings)
    if findings or duplicate_keys:
        raise ConfigError(findings.export(text, duplicate_keys))
    return FleetConfig(
        services={service.name: service for service in sections["services"]},
        accounts={account.name: account for account in sections["tenants"]},
        classes={job_class.name: job_class for job_class in sections["classes"]},
        limits=sections["limits"],
        domains=sections["domains"],
        domains_out=frozenset(sections["domains_out"]),
    )


def _decode(text):
    try:
        if isinstance(text, str):
            # A str with lone surrogates cannot be encoded for other processes.
            text.encode()
            return text
        return text.decode()
    except UnicodeError as error:
        finding = Finding("$", 1, 1, str(error)[-200:], "text in UTF-8")
        raise ConfigError([finding]) from None


def _load(text):
    """Returns the document and whether an object in it has a key twice."""
    duplicates = []

    def build(pairs):
        members = dict(pairs)
        if len(members) != len(pairs):
            duplicates.append(True)
        return members

    try:
        document = json.loads(text, object_pairs_hook=build, parse_int=_parse_int)
    except RecursionError:
        finding = Finding("$", 1, 1, "values nested too deeply", "four levels")
        raise ConfigError([finding]) from None
    except json.JSONDecodeError as error:
        found = f"wrong JSON: {error.msg}" if text.strip() else "an empty text"
        finding = Finding("$", error.lineno, error.colno, found, "a JSON object")
        raise ConfigError([finding]) from None
    return document, bool(duplicates)


def _parse_int(digits):
    # int() rejects very long numbers with an error that has no position.
    return int(digits) if len(digits) <= _MAX_INTEGER_DIGITS else float(digits)
