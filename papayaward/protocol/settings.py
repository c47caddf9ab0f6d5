"""
papayaward.protocol.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of the daemon: one table for validation and documentation.
"""

import json
import re
from dataclasses import dataclass
from functools import partial
from types import SimpleNamespace

from .identifiers import MEMBER_PATTERN
from .mechanisms import MECHANISMS, PERFORMANCE_MECHANISMS
from .options import (
    OptionError,
    get_address,
    get_bool,
    get_choice,
    get_int,
    get_number,
    get_string,
    get_string_list,
    read_object,
)

__all__ = [
    "SETTINGS",
    "Setting",
    "SettingsError",
    "check_settings",
    "load_settings",
    "settings_reference",
]


class SettingsError(Exception):
    """The settings are invalid.

    Attributes:
        findings: One message for each invalid setting, reported together.
    """

    def __init__(self, findings):
        super().__init__("; ".join(findings))
        self.findings = tuple(findings)


@dataclass(frozen=True)
class Setting:
    """One row of the settings table.

    Attributes:
        name: Key in the JSON document.
        getter: Validating getter, called with the document, the name and the default.
        default: Value when the key is absent; None makes the key mandatory.
        roles: Roles that use the setting.
        doc: Description for the reference table.
    """

    name: str
    getter: object
    default: object
    roles: tuple
    doc: str


_BOTH = ("entry", "runner")
_ENTRY = ("entry",)
_RUNNER = ("runner",)

SETTINGS = (
    Setting("role", partial(get_choice, choices=_BOTH), None, _BOTH, "Role."),
    Setting(
        "member", get_string, None, _BOTH, "Name of the process, unique in the fleet."
    ),
    Setting("region", get_string, "default", _BOTH, "Region of the VM."),
    Setting("domain", get_string, None, _BOTH, "Failure domain of the VM."),
    Setting(
        "listen", get_address, None, _BOTH, "Address for links from other processes."
    ),
    Setting(
        "advertise",
        get_string,
        "",
        _BOTH,
        "Address at which others reach `listen`, when it differs.",
    ),
    Setting("http", get_address, None, _BOTH, "Address of the HTTP endpoint."),
    Setting("service", get_string, None, _RUNNER, "Service of the upstream."),
    Setting(
        "entries", get_string_list, None, _RUNNER, "Link addresses of every entry."
    ),
    Setting("store", get_string_list, None, _ENTRY, "Addresses of the store."),
    Setting(
        "heartbeat_interval_s",
        partial(get_number, low=0.05, high=10.0),
        0.3,
        _BOTH,
        "Interval of heartbeats on a link, in seconds.",
    ),
    Setting(
        "heartbeat_misses",
        partial(get_int, low=2, high=20),
        3,
        _BOTH,
        "Intervals of silence after which a link is closed.",
    ),
    Setting(
        "reconnect_grace_s",
        partial(get_number, low=0.1, high=30.0),
        0.9,
        _BOTH,
        "Time for a lost peer to come back before its work counts as lost.",
    ),
    Setting(
        "evidence_max_age_s",
        partial(get_number, low=0.5, high=2.0),
        2.0,
        _RUNNER,
        "Oldest configuration evidence with which a task may start, in seconds.",
    ),
    Setting(
        "store_poll_s",
        partial(get_number, low=0.05, high=1.0),
        0.25,
        _ENTRY,
        "Interval between reads of the store's head version, in seconds.",
    ),
    Setting(
        "key_writes_per_s",
        partial(get_int, low=1, high=1000),
        50,
        _ENTRY,
        "New idempotency keys per second; each costs the store one write.",
    ),
    Setting(
        "tls_certificate",
        get_string,
        "",
        _ENTRY,
        "PEM file with the certificate chain; callers then use HTTPS.",
    ),
    Setting("tls_key", get_string, "", _ENTRY, "PEM file with the certificate's key."),
    Setting(
        "max_body_bytes",
        partial(get_int, low=1024, high=64 * 1024 * 1024),
        8 * 1024 * 1024,
        _ENTRY,
        "Largest accepted request body, in bytes.",
    ),
    Setting(
        "max_connections",
        partial(get_int, low=16, high=100_000),
        20_000,
        _ENTRY,
        "Connections of callers that are open at once; each takes up to 48 KiB and four"
        " times socket_buffer_bytes.",
    ),
    Setting(
        "socket_buffer_bytes",
        partial(get_int, low=4096, high=1024 * 1024),
        64 * 1024,
        _ENTRY,
        "Buffer of the kernel for each direction of a caller's connection, in bytes.",
    ),
    Setting(
        "max_head_bytes",
        partial(get_int, low=8192, high=1024 * 1024),
        32 * 1024,
        _ENTRY,
        "Largest accepted request line with headers, in bytes.",
    ),
    Setting(
        "max_request_bytes",
        partial(get_int, low=1024 * 1024),
        32 * 1024 * 1024,
        _ENTRY,
        "Bytes of all requests over 16 KiB that are kept at once; at least one body.",
    ),
    Setting(
        "max_pending_links",
        partial(get_int, low=2, high=1000),
        64,
        _BOTH,
        "Accepted links whose peer has not introduced itself; the oldest is closed for"
        " another one.",
    ),
    Setting(
        "max_decoded_bytes",
        get_int,
        0,
        _ENTRY,
        "Memory that the values of one body may take, in bytes; 0 for 20 times"
        " max_body_bytes.",
    ),
    Setting(
        "response_timeout_s",
        partial(get_number, low=1.0, high=3600.0),
        60.0,
        _ENTRY,
        "Time in which a caller takes its response, in seconds.",
    ),
    Setting(
        "handshake_timeout_s",
        partial(get_number, low=0.5, high=60.0),
        5.0,
        _ENTRY,
        "Time in which a caller finishes its TLS handshake, in seconds.",
    ),
    Setting(
        "full_connection_s",
        partial(get_number, low=0.1, high=60.0),
        1.0,
        _ENTRY,
        "Age from which a connection is closed after a response while all are in use,"
        " in seconds.",
    ),
    Setting(
        "max_open_jobs",
        partial(get_int, low=1),
        20_000,
        _ENTRY,
        "Open requests of callers above which new ones are refused.",
    ),
    Setting(
        "max_queued_tasks",
        partial(get_int, low=1),
        20_000,
        _RUNNER,
        "Queued tasks above which a coordinator refuses jobs.",
    ),
    Setting(
        "max_queued_bytes",
        partial(get_int, low=1024),
        256 * 1024 * 1024,
        _RUNNER,
        "Bytes of queued tasks and kept results above which jobs are refused.",
    ),
    Setting(
        "result_ttl_s",
        partial(get_number, low=1.0, high=3600.0),
        300.0,
        _RUNNER,
        "Time for which a finished job's answer is kept, in seconds.",
    ),
    Setting(
        "id_block_ttl_s",
        partial(get_number, low=1.0, high=86400.0),
        600.0,
        _RUNNER,
        "Lifetime of issued job identifiers, in seconds.",
    ),
    Setting(
        "placement",
        get_string,
        "fastest_free",
        _RUNNER,
        "Placement policy, by name in the registry.",
    ),
    Setting(
        "hold_slow_slots",
        get_bool,
        False,
        _RUNNER,
        "Leaves a slow slot free when a faster one is expected soon.",
    ),
    Setting(
        "announce_ttl_s",
        partial(get_number, low=0.5, high=600.0),
        3.0,
        _RUNNER,
        "Time after which an upstream that stopped announcing itself counts as gone.",
    ),
    Setting(
        "drain_s",
        partial(get_number, low=0.0, high=3600.0),
        30.0,
        _BOTH,
        "Longest time that a planned stop waits for work in progress, in seconds.",
    ),
    Setting(
        "log_level",
        partial(get_choice, choices=("debug", "info", "warning", "error")),
        "info",
        _BOTH,
        "Lowest level that is logged.",
    ),
    Setting(
        "debug_faults",
        get_bool,
        False,
        _BOTH,
        "Accepts test-only switches that turn single mechanisms off.",
    ),
    Setting(
        "disabled_mechanisms",
        get_string_list,
        (),
        _BOTH,
        "Mechanisms that tests turn off; needs `debug_faults`.",
    ),
)


def check_settings(document):
    """Returns the validated settings as a namespace, one attribute per setting.

    Args:
        document: Parsed JSON object.

    Raises:
        SettingsError: The settings are invalid; the error contains all findings.
    """
    if not isinstance(document, dict):
        raise SettingsError(["settings: must be a JSON object"])
    findings = []
    values = {}
    role = document.get("role")
    known = {setting.name for setting in SETTINGS}
    findings += [f"{name}: unknown setting" for name in document if name not in known]
    for setting in SETTINGS:
        if role in _BOTH and role not in setting.roles:
            if setting.name in document:
                findings.append(f"{setting.name}: not used by the role {role}")
            continue
        try:
            values[setting.name] = setting.getter(
                document, setting.name, default=setting.default
            )
        except OptionError as error:
            findings.append(str(error))
    findings += _check_references(values)
    if findings:
        raise SettingsError(findings)
    return SimpleNamespace(**values)


def _check_references(values):
    member = values.get("member")
    if member is not None and not re.fullmatch(MEMBER_PATTERN, member):
        yield f"member: found {member!r}, allowed is {MEMBER_PATTERN}"
    if values.get("advertise"):
        try:
            get_address(values, "advertise")
        except OptionError as error:
            yield str(error)
    for name in ("entries", "store"):
        for index, address in enumerate(values.get(name, ())):
            try:
                get_address({name: address}, name)
            except OptionError as error:
                yield f"{name}[{index}]: {error}"
    if bool(values.get("tls_certificate")) != bool(values.get("tls_key")):
        yield "tls_certificate: must be set together with tls_key"
    for name in values.get("disabled_mechanisms", ()):
        if name not in MECHANISMS and name not in PERFORMANCE_MECHANISMS:
            allowed = ", ".join(sorted([*MECHANISMS, *PERFORMANCE_MECHANISMS]))
            yield f"disabled_mechanisms: found {name!r}, allowed is one of {allowed}"
    if values.get("disabled_mechanisms") and not values.get("debug_faults"):
        yield "disabled_mechanisms: needs debug_faults"


def load_settings(path):
    """Returns the validated settings of a JSON file.

    Raises:
        SettingsError: The file cannot be read, or its settings are invalid.
    """
    try:
        with open(path, encoding="utf-8") as stream:
            document = read_object(stream.read())
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    return check_settings(document)


def settings_reference():
    """Returns the settings table for the operations manual, in Markdown."""
    lines = ["| setting | roles | default | meaning |", "| --- | --- | --- | --- |"]
    for setting in SETTINGS:
        roles = ", ".join(setting.roles)
        default = "required"
        if setting.default is not None:
            default = f"`{json.dumps(setting.default)}`"
        lines.append(f"| `{setting.name}` | {roles} | {default} | {setting.doc} |")
    return "\n".join(lines) + "\n"
