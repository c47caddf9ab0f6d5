"""
papayaward.cli_format
~~~~~~~~~~~~~~~~~~~~~

Text output of `papayawardctl`: tables that fit an 80-column terminal.
"""

import textwrap
import time

from .protocol.config_diff import ConfigChange

__all__ = [
    "WIDTH",
    "format_changes",
    "format_explain",
    "format_findings",
    "format_history",
    "format_status",
    "table",
]

WIDTH = 80

_MIN_COLUMN_WIDTH = 6
_FIRST_COLUMN_EXTRA_WIDTH = 10
_MAX_AUTHOR_WIDTH = 16


_PLACEMENT_HEADERS = (
    "EXECUTOR",
    "DOMAIN",
    "VERDICT",
    "RUN S",
    "FREE",
    "KEPT",
    "SLOWDOWN",
)


def table(headers, rows, width=WIDTH):
    """Returns an aligned table; the widest columns are shortened to fit.

    Args:
        headers: Titles of the columns.
        rows: Lists of values; numbers are aligned to the right.
        width: Maximum width of the table in characters; it may be exceeded if the
            columns have their minimum widths.
    """
    cells = [[str(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(headers, *cells)]
    while sum(widths) + 2 * (len(widths) - 1) > width:
        # The first column identifies the row, so its minimum width is larger.
        spare = [size - _MIN_COLUMN_WIDTH for size in widths]
        spare[0] -= _FIRST_COLUMN_EXTRA_WIDTH
        if max(spare) <= 0:
            break
        widths[spare.index(max(spare))] -= 1
    lines = [_format_row(headers, headers, widths)]
    lines += [_format_row(row, text, widths) for row, text in zip(rows, cells)]
    return "\n".join(lines)


def _format_row(values, texts, widths):
    parts = []
    for value, text, width in zip(values, texts, widths):
        if len(text) > width:
            # Shortened in the middle, because names differ more often at both ends.
            end = (width - 2) // 2
            text = text[: width - 2 - end] + ".." + text[len(text) - end :]
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        parts.append(text.rjust(width) if is_number else text.ljust(width))
    return "  ".join(parts).rstrip()


def format_findings(findings):
    """Returns one line for each finding, beginning with its position."""
    return "\n".join(
        f"{f['line']}:{f['column']}: {f['place']}: found {f['found']}, "
        f"allowed is {f['allowed']}"
        for f in findings
    )


def format_changes(changes):
    """Returns one line for each change.

    Args:
        changes: Changes as dicts, as an entry returns them.
    """
    lines = [str(ConfigChange(c["place"], c["before"], c["after"])) for c in changes]
    return "\n".join(lines) or "no change of the content"


def format_history(entries):
    """Returns a table of history entries."""
    rows = []
    authors = [_shorten(entry["author"], _MAX_AUTHOR_WIDTH) for entry in entries]
    # Version, time and the gaps between the columns take 32 characters.
    width = WIDTH - 32 - max(map(len, [*authors, "AUTHOR"]))
    for entry, author in zip(entries, authors):
        written = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry["time"]))
        row = [entry["version"], written, author]
        for change in entry["summary"].split("; "):
            for line in textwrap.wrap(change, width, break_on_hyphens=False) or [""]:
                rows.append([*row, line])
                row = ["", "", ""]
    return table(("VERSION", "TIME (UTC)", "AUTHOR", "CHANGES"), rows)


def format_placement(document):
    """Returns the text of an answer to `POST /placement`."""
    lines = [f"{document['decision']}: queue {document['queue']}"]
    if document["reason"]:
        lines.append(
            f"{document['reason']}; the caller returns after"
            f" {document['retry_after_s']:g} s"
        )
    lines.append(f"waiting jobs before it: {document['jobs_before']}")
    for phase in document["phases"]:
        starts = ", ".join(f"{n} at {name}" for name, n in phase["starts"].items())
        lines.append(
            f"phase {phase['number']}: {starts or 'no start'},"
            f" {phase['waiting']} tasks wait"
        )
        rows = [
            [
                row["executor"],
                row["domain"],
                row["verdict"],
                row["expected_s"],
                row["free_millis"],
                row["kept_millis"],
                row["slowdown"],
            ]
            for row in phase["executors"]
        ]
        lines.append(table(_PLACEMENT_HEADERS, rows))
    return "\n".join(lines)


def format_status(entries):
    """Returns tables of the entries and of the members.

    Args:
        entries: Status document, or an error message, by address of the entry.
    """
    known = {e: s for e, s in entries.items() if isinstance(s, dict)}
    out = sorted({domain for s in known.values() for domain in s["domains_out"]})
    lines = [
        table(
            ("ENTRY", "NAME", "VERSION", "EVIDENCE", "MEMBERS", "VIOLATIONS"),
            [_entry_row(entry, status) for entry, status in entries.items()],
        ),
        f"domains out: {', '.join(out) or 'none'}",
    ]
    rows = list(_member_rows(known.values(), out))
    headers = ("MEMBER", "DOMAIN", "SERVICE", "VERSION", "STATE")
    headers += ("SLOTS", "BUSY", "QUEUED", "HEARD")
    lines += ["", table(headers, rows)]
    versions = {s["config_version"] for s in known.values()}
    versions |= {m["config_version"] for s in known.values() for m in s["members"]}
    if len(versions) > 1:
        lines.append(f"versions in force differ: {', '.join(map(str, versions))}")
    return "\n".join(lines)


def _entry_row(entry, status):
    if not isinstance(status, dict):
        return [entry, "unreachable", "", "", "", ""]
    age = status["evidence_age_ms"]
    return [
        entry,
        status["entry"],
        status["config_version"],
        "none" if age < 0 else f"{age} ms",
        len(status["members"]),
        sum(status["violations"].values()),
    ]


def _member_rows(statuses, out):
    members, slots, busy, ejected = {}, {}, {}, set()
    for status in statuses:
        for member in status["members"]:
            # Use the most recent report of the member among the entries.
            previous = members.get(member["member"])
            if previous is None or member["heard_ms"] < previous["heard_ms"]:
                members[member["member"]] = member
    coordinators = {c["member"]: c for s in statuses for c in s["coordinators"]}
    for coordinator in coordinators.values():
        ejected.update(coordinator["ejected"])
        for executor in coordinator["executors"]:
            name = executor["member"]
            slots[name] = max(slots.get(name, 0), executor["slots"])
            busy[name] = busy.get(name, 0) + executor["outstanding"]
    for name, member in sorted(members.items()):
        yield [
            name,
            member["domain"],
            member["service"],
            member["config_version"],
            _state(member, name in ejected, out),
            slots.get(name, "?"),
            busy.get(name, "?"),
            member["queued"],
            f"{member['heard_ms'] / 1000:.1f}s",
        ]


def _state(member, is_ejected, out):
    if member["draining"]:
        return "draining"
    if member["domain"] in out:
        return "out"
    if is_ejected:
        return "ejected"
    return "ready" if member["ready"] else "not ready"


def format_explain(document):
    """Returns the fields of a job and its timeline."""
    if not document.get("found"):
        return f"{document['job_id']}: its home has no record of it"
    fields = {name: value for name, value in document.items() if name != "events"}
    lines = [f"{name}: {value}" for name, value in fields.items() if value != ""]
    rows = [[e.get("ms", ""), e["event"], e["detail"]] for e in document["events"]]
    return "\n".join([*lines, "", table(("MS", "EVENT", "DETAIL"), rows)])


def _shorten(text, max_length):
    return text if len(text) <= max_length else text[: max_length - 2] + ".."
