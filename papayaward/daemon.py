"""
papayaward.daemon
~~~~~~~~~~~~~~~~~

The `papayawardd` daemon, an entry or a runner according to its settings.
"""

import argparse
import logging
import signal
import sys

import gevent
from gevent.event import Event

from . import __version__
from .json_log import log_json_to
from .protocol import mechanisms
from .protocol.settings import SettingsError, load_settings, settings_reference

__all__ = ["main", "run"]

log = logging.getLogger(__name__)


def main(args):
    """Runs the daemon until it receives SIGTERM or SIGINT.

    Args:
        args: Command-line arguments without the program's name.

    Returns:
        int: 0 after a planned stop, 2 for invalid settings.
    """
    parser = argparse.ArgumentParser(prog="papayawardd", description=__doc__)
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", help="path of the JSON settings")
    source.add_argument(
        "--reference", action="store_true", help="print the settings reference"
    )
    parser.add_argument("--check", action="store_true", help="check the settings only")
    parser.add_argument("--version", action="version", version=__version__)
    options = parser.parse_args(args)
    if options.reference:
        print(settings_reference(), end="")
        return 0
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        for finding in error.findings:
            print(f"papayawardd: {finding}", file=sys.stderr)
        return 2
    if options.check:
        return 0
    log_json_to(logging.StreamHandler(sys.stderr), settings.member, settings.log_level)
    mechanisms.disable(settings.disabled_mechanisms)
    # All addresses are numeric, so name resolution never blocks. gevent's default
    # resolver would start a thread pool, which costs each process a thread and
    # 0.4 MiB.
    gevent.config.resolver = "block"
    node = _build(settings)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    node.start()
    stop.wait()
    if mechanisms.is_enabled("drain"):
        node.drain()
    return 0


def run():
    """Entry point of the console script."""
    sys.exit(main(sys.argv[1:]))


def _build(settings):
    # Each role imports only the modules it needs, to keep within its memory budget.
    if settings.role == "entry":
        from .entry import Entry

        return Entry(settings)
    from .runner import Runner

    return Runner(settings)
