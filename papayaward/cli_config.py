"""
papayaward.cli_config
~~~~~~~~~~~~~~~~~~~~~

`papayawardctl` commands for the configuration.
"""

import json
import random
import secrets
import sys
from dataclasses import asdict

import gevent

from . import clock
from .cli_commands import CommandError, Exit, print_result, read_file
from .cli_format import format_changes, format_findings, format_history
from .protocol.config_diff import diff_texts
from .protocol.config_text import ConfigError, parse_config
from .protocol.options import read_object
from .transport.entry_client import EntryUnavailable

__all__ = ["apply", "check", "diff", "domain", "history", "show"]

# The entry waits this long for confirmations; the tool then polls all entries and
# shows progress.
_ENTRY_WAIT_MS = 300
_POLL_S = 0.2
_MAX_CONFLICT_ATTEMPTS = 20
_MAX_CONFLICT_DELAY_S = 0.3


def check(client, options):
    """Checks a configuration file without calling an entry."""
    _read_valid_text(options.file)
    print_result(options, {"findings": []}, f"{options.file}: no findings")
    return Exit.DONE


def show(client, options):
    """Prints the configuration in force."""
    version, text = _fetch_in_force(client)
    if options.json:
        print(json.dumps({"version": version, "text": text}))
    else:
        _print_to_stderr(f"version {version}")
        print(text)
    return Exit.DONE


def diff(client, options):
    """Shows what applying a configuration file would change."""
    after = _read_valid_text(options.file)
    version, before = _fetch_in_force(client)
    changes = [asdict(change) for change in diff_texts(before, after)]
    document = {"version": version, "changes": changes}
    print_result(options, document, format_changes(changes))
    return Exit.DONE


def history(client, options):
    """Shows the history of the latest versions."""
    path = f"/admin/history?limit={options.limit}"
    reply = client.request("GET", path, retry_statuses=(503,))
    if reply.status != 200:
        raise CommandError(Exit.UNREACHABLE, reply.json.get("detail", ""), reply.json)
    print_result(options, reply.json, format_history(reply.json["history"]))
    return Exit.DONE


def apply(client, options):
    """Writes a configuration and waits until it is in force everywhere."""
    text = _read_valid_text(options.file)
    base = options.base
    if base is None:
        base, _ = _fetch_in_force(client)
    if options.dry_run:
        return _dry_run(client, options, text, base)
    return _write(client, options, text, base)


def domain(client, options):
    """Takes failure domains out of service or brings them back.

    On a conflict with another operator, the change is reapplied to the current text.
    """
    version, text = _fetch_in_force(client)
    for _ in range(_MAX_CONFLICT_ATTEMPTS):
        changed = _change_domains(text, options)
        if changed is None:
            return _wait_in_force(client, options, version, "already so in")
        try:
            return _write(client, options, changed, version)
        except CommandError as error:
            if error.code is not Exit.CONFLICT or "text" not in error.document:
                raise
            version, text = error.document["version"], error.document["text"]
            _print_to_stderr(f"version {version} was written meanwhile; trying again")
        # A random delay: commands that retry in lockstep would conflict again.
        gevent.sleep(random.uniform(0, _MAX_CONFLICT_DELAY_S))
    raise CommandError(Exit.CONFLICT, "other operators were faster each time")


def _change_domains(text, options):
    """Returns the changed text, or None if the domains already have that state."""
    document = read_object(text)
    known, out = document.get("domains", []), document.get("domains_out", [])
    unknown = [name for name in options.name if name not in known]
    if unknown:
        detail = f"unknown domains: {', '.join(unknown)}; known: {', '.join(known)}"
        raise CommandError(Exit.REFUSED, detail)
    if options.direction == "out":
        new = out + [n for n in dict.fromkeys(options.name) if n not in out]
    else:
        new = [name for name in out if name not in options.name]
    if new == out:
        return None
    return json.dumps({**document, "domains_out": new}, indent=2, ensure_ascii=False)


def _read_valid_text(path):
    text = read_file(path)
    try:
        parse_config(text)
    except ConfigError as error:
        findings = [asdict(finding) for finding in error.findings]
        _refuse_findings(path, findings)
    return text.decode()


def _refuse_findings(path, findings):
    message = f"{path}: {len(findings)} findings\n{format_findings(findings)}"
    raise CommandError(Exit.REFUSED, message, {"findings": findings})


def _fetch_in_force(client):
    reply = client.request("GET", "/admin/config")
    return int(reply.headers["papayaward-version"]), reply.body.decode()


def _dry_run(client, options, text, base):
    document = {"text": text, "expected_version": base, "author": options.author}
    reply = client.request(
        "POST", "/admin/config", {**document, "dry_run": True}, retry_statuses=(503,)
    )
    if reply.status != 200:
        _raise_refusal(reply, options, base, False)
    changes = reply.json["changes"]
    text = f"would become version {reply.json['version']}\n{format_changes(changes)}"
    print_result(options, reply.json, text)
    return Exit.DONE


def _write(client, options, text, base):
    document = {
        "text": text,
        "expected_version": base,
        "author": options.author,
        "wait_ms": _ENTRY_WAIT_MS,
        # Lets another entry recognise the write if the reply of the first is lost.
        "write_id": secrets.token_hex(8),
    }
    deadline = clock.now() + options.timeout
    maybe_applied = False
    while True:
        try:
            reply = client.request("POST", "/admin/config", document, 10.0, (503, 504))
        except EntryUnavailable as error:
            maybe_applied = maybe_applied or error.sent
            if not maybe_applied:
                raise
            message = f"no entry answered after the change was sent: {error}"
        else:
            maybe_applied = maybe_applied or reply.maybe_applied
            if reply.status == 200:
                return _wait_in_force(client, options, reply.json["version"], "applied")
            if not maybe_applied or reply.status not in (503, 504):
                _raise_refusal(reply, options, base, maybe_applied)
            message = reply.json.get("detail", "")
        if clock.now() >= deadline:
            message += f"\nwhether version {base + 1} was written is unknown;"
            message += " look at `config history` before trying again"
            raise CommandError(
                Exit.UNKNOWN, message, {"write_id": document["write_id"]}
            )
        _print_to_stderr("result of the write unknown; trying again")
        gevent.sleep(_POLL_S)


def _raise_refusal(reply, options, base, maybe_applied):
    document = reply.json
    detail = document.get("detail", str(reply.status))
    if reply.status == 409:
        since = document.get("changes_since", [])
        if maybe_applied and all(entry["version"] != base + 1 for entry in since):
            detail = f"nothing shows who wrote version {base + 1}"
            raise CommandError(Exit.UNKNOWN, detail, document)
        lines = [f"{detail}: version {document['version']}, expected {base}"]
        if since:
            lines += ["", "changes since:", format_history(since)]
        if document.get("differences"):
            lines += ["", "from the present text to yours:"]
            lines.append(format_changes(document["differences"]))
        raise CommandError(Exit.CONFLICT, "\n".join(lines), document)
    if document.get("findings"):
        _refuse_findings("the entry's check", document["findings"])
    if reply.status == 503:
        message = f"{detail}; nothing was changed"
        raise CommandError(Exit.UNREACHABLE, message, document)
    raise CommandError(Exit.REFUSED, detail, document)


def _wait_in_force(client, options, version, verb):
    deadline = clock.now() + options.timeout
    shown = None
    while True:
        state = _rollout_state(client, version)
        done = state["in_force_everywhere"] and state["accepted"]
        confirmed, missing = state["confirmed"], state["unconfirmed"]
        line = f"version {version}: confirmed by {len(confirmed)} processes"
        if missing:
            line += f", waiting for {_format_names(missing)}"
        if not done and line != shown:
            _print_to_stderr(line)
            shown = line
        if done:
            text = f"{verb} version {version}, in force everywhere ({len(confirmed)})"
            print_result(options, state, text)
            return Exit.DONE
        if clock.now() >= deadline:
            break
        gevent.sleep(_POLL_S)
    how = "accepted" if state["accepted"] else "written but not accepted"
    message = f"version {version} is {how}; "
    if missing:
        message += f"not confirmed by {', '.join(missing)}"
    else:
        message += "no runner is linked to the entries"
    raise CommandError(Exit.UNCONFIRMED, message, state)


def _rollout_state(client, version):
    """Returns the roll-out state of a version, combined from all entries."""
    confirmed, missing, accepted = set(), set(), False
    for entry in client.entries:
        path = f"/admin/config/confirmed?version={version}"
        try:
            reply = client.request_one(entry, "GET", path, timeout_s=2.0)
        except EntryUnavailable:
            missing.add(f"entry {entry}")
            continue
        if reply.status != 200:
            missing.add(f"entry {entry}")
            continue
        found = reply.json
        is_confirmed = found["entry_version"] >= version
        (confirmed if is_confirmed else missing).add(f"entry {found['entry']}")
        confirmed.update(found["confirmed"])
        missing.update(found["unconfirmed"])
        accepted = accepted or found["accepted"]
    # A runner that is disconnected from one entry may have confirmed to another.
    missing -= confirmed
    return {
        "version": version,
        "accepted": accepted,
        "in_force_everywhere": not missing,
        "confirmed": sorted(confirmed),
        "unconfirmed": sorted(missing),
    }


def _format_names(names):
    shown = ", ".join(names[:5])
    return shown if len(names) <= 5 else f"{shown} and {len(names) - 5} more"


def _print_to_stderr(line):
    print(f"papayawardctl: {line}", file=sys.stderr, flush=True)
