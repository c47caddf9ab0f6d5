"""
papayaward.bounded_log
~~~~~~~~~~~~~~~~~~~~~~

JSON log lines on standard output that never block the process.
"""

import logging
from collections import deque

import gevent
from gevent import os as gevent_os
from gevent.event import Event
from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedHandler", "set_up_logging"]

# Lines that wait for a slow reader; later ones are dropped and counted.
_MAX_LINES = 2000
# Lines of one second, so that a storm of decisions cannot use up the processor.
_MAX_LINES_PER_S = 400
_WRITE_DELAY_S = 0.02


class BoundedHandler(logging.Handler):
    """Writes lines from a bounded queue with a task of its own.

    Args:
        fd: File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, fd):
        super().__init__()
        self._fd = fd
        self._lines = deque()
        self._wakeup = Event()
        self._second = 0
        self._in_second = 0
        self.dropped = 0
        gevent_os.make_nonblocking(fd)
        gevent.spawn(self._write)

    def emit(self, record):
        second = int(record.created)
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        urgent = record.levelno >= logging.WARNING
        if len(self._lines) >= _MAX_LINES or (
            self._in_second > _MAX_LINES_PER_S and not urgent
        ):
            self.dropped += 1
            return
        self._lines.append(record)
        self._wakeup.set()

    def write_pending(self):
        """Writes the lines that wait, at the end of the process."""
        while self._lines:
            self._write_some()

    def _write(self):
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            gevent.sleep(_WRITE_DELAY_S)
            while self._lines:
                self._write_some()

    def _write_some(self):
        text = []
        while self._lines and len(text) < 100:
            text.append(self.format(self._lines.popleft()))
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            text.append('{"event": "lines_dropped", "lines": %d}' % dropped)
        data = "\n".join(text).encode() + b"\n"
        while data:
            data = data[gevent_os.nb_write(self._fd, data) :]


def set_up_logging(member, level, fd=1):
    """Sends the log of the process to a file descriptor.

    Args:
        member: Name of the process, stands in each line.
        level: Name of the lowest level that is logged.
        fd: File descriptor.

    Returns:
        BoundedHandler: The handler in use.
    """
    handler = BoundedHandler(fd)
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
    return handler
