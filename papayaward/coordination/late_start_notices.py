"""
papayaward.coordination.late_start_notices
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Late starts that nobody wants any more, or at executors out of reach, which all
processes are told of.

An entry that has no link with the executor may get the job again. What is spread is
bounded: beyond that an entry may start such a task elsewhere.
"""

import logging
from dataclasses import dataclass

from ..protocol.gen import ttypes
from .upstream_requests import MAX_LATE_RUN_S

__all__ = ["LateStartNotices"]

log = logging.getLogger(__name__)

_MAX_NOTICES = 200


@dataclass(frozen=True)
class _Notice:
    start: ttypes.LateStart
    until: float


class LateStartNotices:
    """The notices that a process has received and still has to tell new peers of."""

    def __init__(self):
        # `_Notice` by what distinguishes the requests.
        self._notices = {}

    def add(self, starts, now):
        """Records notices and returns those that are new.

        Args:
            starts: `ttypes.LateStart` of each.
            now: Time, seconds.
        """
        self._expire(now)
        new = []
        for start in starts:
            key = (start.task, start.executor, start.incarnation, start.run)
            key = (*key, start.requests)
            remaining_s = min(MAX_LATE_RUN_S, (start.remaining_ms or 0) / 1000.0)
            if key in self._notices or remaining_s <= 0.0:
                continue
            if len(self._notices) >= _MAX_NOTICES:
                log.warning("late_start_notice_dropped", extra={"task": start.task})
                continue
            self._notices[key] = _Notice(start, now + remaining_s)
            new.append(start)
        return tuple(new)

    def recent(self, now):
        """Returns the `ttypes.LateStart` of each request that may be executed now.

        Args:
            now: Time, seconds.
        """
        self._expire(now)
        return tuple(_at(notice, now) for notice in self._notices.values())

    def _expire(self, now):
        self._notices = {
            key: notice for key, notice in self._notices.items() if now < notice.until
        }


def _at(notice, now):
    start = notice.start
    return ttypes.LateStart(
        start.task,
        start.instance,
        int((notice.until - now) * 1000) + 1,
        start.run,
        start.requests,
        start.born_ms,
        start.executor,
        start.incarnation,
    )
