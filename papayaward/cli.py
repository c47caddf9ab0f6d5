"""
papayaward.cli
~~~~~~~~~~~~~~

Command-line tool `papayawardctl` for operators.
"""

import argparse
import getpass
import json
import os
import sys

from . import __version__, cli_commands, cli_config
from .cli_commands import CommandError, Exit
from .protocol.options import OptionError
from .transport.entry_client import EntryClient, EntryUnavailable

__all__ = ["main", "run"]

# At the target fleet size, a version is in force everywhere within 8 s.
_CONFIRM_TIMEOUT_S = 15.0


def main(args):
    """Runs one command.

    Args:
        args: Command-line arguments without the program's name.

    Returns:
        int: An `Exit` code.
    """
    options = _parser().parse_args(args)
    try:
        client = None
        if not getattr(options, "offline", False):
            client = EntryClient(_entry_addresses(options), options.ca)
        return int(options.command(client, options))
    except OptionError as error:
        failure = CommandError(Exit.USAGE, str(error))
    except EntryUnavailable as error:
        failure = CommandError(Exit.UNREACHABLE, str(error))
    except CommandError as error:
        failure = error
    if options.json:
        print(json.dumps({"exit": failure.code.name.lower(), **failure.document}))
    else:
        print(f"papayawardctl: {failure}", file=sys.stderr)
    return int(failure.code)


def run():
    """Entry point of the console script."""
    # Names may contain characters that the terminal's encoding cannot represent.
    for stream in (sys.stdout, sys.stderr):
        stream.reconfigure(errors="backslashreplace")
    try:
        sys.exit(main(sys.argv[1:]))
    except KeyboardInterrupt:
        print(
            "papayawardctl: interrupted; the command may still take effect",
            file=sys.stderr,
        )
        sys.exit(int(Exit.UNKNOWN))


def _entry_addresses(options):
    named = options.entry or os.environ.get("PAPAYAWARD_ENTRIES", "").split(",")
    return [entry.strip() for entry in named if entry.strip()]


def _default_author():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _parser():
    codes = "".join(f"\n  {code.value}  {code.help}" for code in Exit)
    parser = argparse.ArgumentParser(
        prog="papayawardctl",
        description="Operates a papayaward fleet through its entries.",
        epilog=f"exit codes:{codes}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.set_defaults(entry=None, ca=None, json=False)
    _add_common(parser)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_config(commands)
    _add_domain(commands)
    _add(commands, "status", cli_commands.status, "members, versions, slots, queues")
    explain = _add(commands, "explain", cli_commands.explain, "a job's timeline")
    explain.add_argument("id", metavar="ID")
    _add_jobs(commands)
    return parser


def _add_common(parser):
    # These options are accepted before and after the command. A default here would
    # make the subparser overwrite a value given before it.
    parser.add_argument(
        "--entry",
        action="append",
        default=argparse.SUPPRESS,
        metavar="HOST:PORT",
        help="an entry, https://HOST:PORT with TLS; may be given several times"
        " (default: PAPAYAWARD_ENTRIES, separated by commas)",
    )
    parser.add_argument(
        "--ca",
        default=argparse.SUPPRESS,
        metavar="FILE",
        help="PEM file with the CA certificate of the entries",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=argparse.SUPPRESS,
        help="print JSON",
    )


def _add(commands, name, command, text):
    parser = commands.add_parser(name, help=text, description=text)
    parser.set_defaults(command=command)
    _add_common(parser)
    return parser


def _add_config(commands):
    group = commands.add_parser("config", help="the configuration of the fleet")
    group = group.add_subparsers(required=True, metavar="COMMAND")
    check = _add(
        group,
        "check",
        cli_config.check,
        "all findings in a configuration file, offline",
    )
    check.set_defaults(offline=True)
    diff = _add(
        group, "diff", cli_config.diff, "what a configuration file would change"
    )
    apply = _add(
        group,
        "apply",
        cli_config.apply,
        "put a configuration file in force everywhere",
    )
    for parser in (check, diff, apply):
        parser.add_argument("file", metavar="FILE", help="- for standard input")
    apply.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="version that the file is based on; any later version is a conflict"
        " (default: the version in force now)",
    )
    apply.add_argument("--dry-run", action="store_true", help="change nothing")
    _add_wait(apply)
    _add(group, "show", cli_config.show, "the configuration in force")
    history = _add(
        group, "history", cli_config.history, "versions with authors and changes"
    )
    history.add_argument("--limit", type=int, default=20, help="default 20")


def _add_domain(commands):
    group = commands.add_parser("domain", help="failure domains")
    group = group.add_subparsers(required=True, metavar="COMMAND")
    for direction, text in (
        ("out", "take domains out of service"),
        ("in", "bring domains back into service"),
    ):
        parser = _add(group, direction, cli_config.domain, text)
        parser.set_defaults(direction=direction)
        parser.add_argument("name", nargs="+", metavar="NAME")
        _add_wait(parser)
    _add(group, "list", cli_commands.domain_list, "domains and their state")


def _add_wait(parser):
    parser.add_argument(
        "--author", default=_default_author(), help="default: the user's name"
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=_CONFIRM_TIMEOUT_S,
        metavar="SECONDS",
        help=f"longest wait for confirmations (default {_CONFIRM_TIMEOUT_S:g})",
    )


def _add_jobs(commands):
    submit = _add(commands, "submit", cli_commands.submit, "submit a job")
    submit.add_argument("file", metavar="FILE", help="JSON list of tasks; - for stdin")
    submit.add_argument("--service", required=True)
    submit.add_argument("--tenant", required=True)
    submit.add_argument("--class", dest="job_class", required=True)
    submit.add_argument("--deadline-ms", type=int)
    submit.add_argument("--id", help="job identifier; reuse it to resubmit a job")
    submit.add_argument(
        "--no-wait", action="store_true", help="return once the job is accepted"
    )
    where = _add(
        commands,
        "where",
        cli_commands.where,
        "explain where a job of leased tasks would go now, without submitting it",
    )
    where.add_argument("file", metavar="FILE", help="the job's JSON; - for stdin")
    where.add_argument("--host", required=True, help="host name of the request")
    where.add_argument("--path", required=True, help="path of the request")
    cancel = _add(commands, "cancel", cli_commands.cancel, "cancel jobs")
    cancel.add_argument("id", nargs="+", metavar="ID")
    ids = _add(commands, "ids", cli_commands.ids, "new job identifiers")
    ids.add_argument("--service", required=True)
    ids.add_argument("--count", type=int, default=1)
