"""
papayaward.bounded_log
~~~~~~~~~~~~~~~~~~~~~~

JSON logging to a file descriptor that never blocks the process.
"""

import logging
from collections import deque

import gevent
from gevent import os as gevent_os
from gevent.event import Event

from .json_log import log_json_to

__all__ = ["BoundedHandler", "set_up_logging"]

# Lines queued for a slow reader; further lines are dropped and counted.
_MAX_QUEUED_LINES = 2000
# Lines per second above which lines below WARNING are dropped, so that a burst of
# logged decisions cannot saturate the CPU.
_MAX_LINES_PER_S = 400
_WRITE_DELAY_S = 0.02


class BoundedHandler(logging.Handler):
    """Writes lines from a bounded queue in a greenlet of its own.

    Args:
        fd: File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, fd):
        super().__init__()
        self._fd = fd
        self._lines = deque()
        self._wakeup = Event()
        self._second = 0
        self._lines_this_second = 0
        self.dropped = 0
        gevent_os.make_nonblocking(fd)
        gevent.spawn(self._write)

    def emit(self, record):
        second = int(record.created)
        if second != self._second:
            self._second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        urgent = record.levelno >= logging.WARNING
        if len(self._lines) >= _MAX_QUEUED_LINES or (
            self._lines_this_second > _MAX_LINES_PER_S and not urgent
        ):
            self.dropped += 1
            return
        self._lines.append(record)
        self._wakeup.set()

    def write_pending(self):
        """Writes all queued lines before the process exits."""
        while self._lines:
            self._write_batch()

    def _write(self):
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            gevent.sleep(_WRITE_DELAY_S)
            while self._lines:
                self._write_batch()

    def _write_batch(self):
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
    """Directs the log of the process to a file descriptor.

    Args:
        member: Name of the process, included in each line.
        level: Name of the lowest level that is logged.
        fd: File descriptor to write to; it is made non-blocking.

    Returns:
        BoundedHandler: The handler in use.
    """
    handler = BoundedHandler(fd)
    log_json_to(handler, member, level)
    return handler
