"""
papayaward.json_log
~~~~~~~~~~~~~~~~~~~

Lines of JSON as the format of the log of a process.
"""

import logging

from pythonjsonlogger.json import JsonFormatter

__all__ = ["log_json_to"]


def log_json_to(handler, member, level):
    """Directs the log of the process to a handler, one JSON object for each line.

    Args:
        handler: `logging.Handler`, which replaces all others.
        member: Name of the process, included in each line.
        level: Name of the lowest level that is logged.
    """
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "logger", "message": "event"},
            timestamp="time",
            static_fields={"member": member},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
