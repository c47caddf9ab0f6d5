"""
papayaward.cli_commands
~~~~~~~~~~~~~~~~~~~~~~~

`papayawardctl` commands for jobs and the state of the fleet.
"""

import json
import sys
from enum import IntEnum
from urllib.parse import quote

from .cli_format import format_explain, format_placement, format_status, table
from .protocol.options import OptionError, read_json, read_object
from .transport.entry_client import EntryUnavailable

__all__ = [
    "CommandError",
    "Exit",
    "cancel",
    "explain",
    "ids",
    "print_result",
    "read_file",
    "status",
    "submit",
    "where",
]

_OUTCOME_MARGIN_S = 10.0


class Exit(IntEnum):
    """Exit codes; the attribute `help` describes each one."""

    def __new__(cls, value, text):
        member = int.__new__(cls, value)
        member._value_ = value
        member.help = text
        return member

    DONE = 0, "done"
    REFUSED = (
        1,
        "refused, nothing changed: findings, wrong input, or a job not complete",
    )
    USAGE = 2, "wrong command line"
    CONFLICT = 3, "nothing changed: another operator changed the configuration"
    UNCONFIRMED = 4, "written, but not confirmed by every process in time"
    UNKNOWN = 5, "unknown whether it took effect"
    UNREACHABLE = 6, "nothing changed: no entry, or not the store, could be reached"


class CommandError(Exception):
    """A command failed with an exit code and a message.

    Attributes:
        code: `Exit`.
        document: JSON object that `--json` prints.
    """

    def __init__(self, code, message, document=None):
        super().__init__(message)
        self.code = code
        self.document = {"detail": message, **(document or {})}


def print_result(options, document, text):
    """Prints a document as JSON with `--json`, else a text."""
    print(json.dumps(document) if options.json else text)


def read_file(path):
    """Returns the bytes of a file, or of standard input for `-`.

    Raises:
        CommandError: The file cannot be read.
    """
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        with open(path, "rb") as stream:
            return stream.read()
    except OSError as error:
        raise CommandError(Exit.REFUSED, f"{path}: {error.strerror}") from None


def status(client, options):
    """Shows the status of the entries and members."""
    entries = {}
    for entry in client.entries:
        try:
            path = "/admin/status?detail=1"
            entries[entry] = client.request_one(entry, "GET", path).json
        except EntryUnavailable as error:
            entries[entry] = str(error)
    if not any(isinstance(found, dict) for found in entries.values()):
        raise CommandError(Exit.UNREACHABLE, "no entry answered", {"entries": entries})
    print_result(options, {"entries": entries}, format_status(entries))
    return Exit.DONE


def explain(client, options):
    """Shows the recorded events of a job."""
    reply = client.request("GET", f"/admin/explain/{quote(options.id, safe='')}")
    document = _expect_status(reply, 200)
    print_result(options, document, format_explain(document))
    return Exit.DONE if document.get("found") else Exit.REFUSED


def ids(client, options):
    """Prints new job identifiers."""
    found = _new_ids(client, options.service, options.count)
    print_result(options, {"ids": found}, "\n".join(found))
    return Exit.DONE


def cancel(client, options):
    """Cancels jobs."""
    reply = client.request("POST", "/v1/cancel", {"ids": options.id}, timeout_s=10.0)
    document = _expect_status(reply, 200)
    text = f"cancelled: {document['cancelled']} of {len(options.id)}"
    for job_id in document["unreachable"]:
        text += f"\nunknown, its home did not answer: {job_id}"
    print_result(options, document, text)
    return Exit.UNKNOWN if document["unreachable"] else Exit.DONE


def submit(client, options):
    """Submits a job and prints its outcome."""
    try:
        tasks = read_json(read_file(options.file))
    except OptionError as error:
        raise CommandError(Exit.REFUSED, f"{options.file}: {error}") from None
    document = {"service": options.service, "tenant": options.tenant}
    document.update({"class": options.job_class, "tasks": tasks})
    timeout_s = 600.0
    if options.deadline_ms is not None:
        document["deadline_ms"] = options.deadline_ms
        timeout_s = options.deadline_ms / 1000
    # The identifier makes retries idempotent: a resubmission starts nothing twice.
    job_id = options.id or _new_ids(client, options.service, 1)[0]
    path = f"/v1/jobs/{quote(job_id, safe='')}{'?wait=0' if options.no_wait else ''}"
    try:
        reply = client.request("PUT", path, document, timeout_s + _OUTCOME_MARGIN_S)
    except EntryUnavailable as error:
        code = Exit.UNKNOWN if error.sent else Exit.UNREACHABLE
        raise CommandError(code, str(error), {"job_id": job_id}) from None
    answer = {"job_id": job_id, **reply.json}
    outcome = answer.get("outcome") or answer.get("state", "unknown")
    lines = [f"{job_id}: {outcome}"]
    if answer.get("detail"):
        lines.append(f"{answer.get('reason', '')}: {answer['detail']}")
    lines += [json.dumps(result) for result in answer.get("results", ())]
    print_result(options, answer, "\n".join(lines))
    if outcome in ("complete", "running"):
        return Exit.DONE
    return Exit.UNKNOWN if outcome == "unknown" else Exit.REFUSED


def where(client, options):
    """Explains where a job would go now; nothing is submitted."""
    try:
        job = read_object(read_file(options.file))
    except OptionError as error:
        raise CommandError(Exit.REFUSED, f"{options.file}: {error}") from None
    question = {"host": options.host, "path": options.path, "job": job}
    document = _expect_status(client.request("POST", "/placement", question), 200)
    print_result(options, document, format_placement(document))
    return Exit.REFUSED if document["decision"] == "refuse" else Exit.DONE


def domain_list(client, options):
    """Shows the configured failure domains and whether they are in service."""
    config = _expect_status(client.request("GET", "/admin/config"), 200)
    out = set(config.get("domains_out", ()))
    domains = {name: name not in out for name in config.get("domains", ())}
    rows = [[name, "in" if is_in else "out"] for name, is_in in domains.items()]
    print_result(options, {"in_service": domains}, table(("DOMAIN", "STATE"), rows))
    return Exit.DONE


def _new_ids(client, service, count):
    document = {"service": service, "count": count}
    return _expect_status(client.request("POST", "/v1/ids", document), 200)["ids"]


def _expect_status(reply, status):
    if reply.status == status:
        return reply.json
    document = reply.json
    code = Exit.UNREACHABLE if reply.status in (503, 504) else Exit.REFUSED
    raise CommandError(code, document.get("detail", str(reply.status)), document)
