"""
papayaward.coordination.crashes.crash_notices
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The messages between processes about crashed upstreams.
"""

import logging
from dataclasses import dataclass

from ...protocol.gen import ttypes
from ...state.crashes import Crash, CrashedJob, Withdrawal

__all__ = ["CrashUpdate", "from_message", "to_message"]

log = logging.getLogger(__name__)

# Largest weight of a job, for each second; the sum of several must stay finite.
_MAX_WEIGHT = 1e6


@dataclass(frozen=True)
class CrashUpdate:
    """What one process tells another.

    Attributes:
        crashes: Each `Crash` that is suspected or known.
        withdrawals: Each `Withdrawal`.
        late_starts: `ttypes.LateStart` of each request of an executor out of reach.
        refusals: `Crash` of each upstream that refuses connections while the lease of
            its runs goes on. Older processes skip them: to them each notice is a crash.
    """

    crashes: tuple = ()
    withdrawals: tuple = ()
    refusals: tuple = ()
    late_starts: tuple = ()

    def __bool__(self):
        return bool(
            self.crashes or self.withdrawals or self.refusals or self.late_starts
        )


def to_message(update, now):
    """Returns the message for a `CrashUpdate`.

    Args:
        update: `CrashUpdate`.
        now: Time, seconds.
    """
    return ttypes.CrashNotices(
        [_to_notice(crash, now) for crash in update.crashes],
        [_from_withdrawal(one, now) for one in update.withdrawals] or None,
        [_to_notice(crash, now) for crash in update.refusals] or None,
        list(update.late_starts) or None,
    )


def from_message(message, now):
    """Returns the `CrashUpdate` of a message, without what cannot be read.

    Args:
        message: `CrashNotices`.
        now: Time, seconds.
    """
    return CrashUpdate(
        _read(message.notices, _from_notice, now),
        _read(message.withdrawals, _to_withdrawal, now),
        _read(message.refusals, _from_notice, now),
        _read(message.late_starts, _checked_late_start, now),
    )


def _to_notice(crash, now):
    return ttypes.CrashNotice(
        crash.upstream,
        int((now - crash.at) * 1000),
        [
            ttypes.CrashedJob(job.queue, list(job.tasks), job.weight, list(job.started))
            for job in crash.jobs
        ],
        crash.service,
        int(crash.uncertainty_s * 1000),
        crash.is_known,
        crash.noticed_ms,
    )


def _from_withdrawal(withdrawal, now):
    return ttypes.CrashWithdrawal(
        withdrawal.upstream,
        withdrawal.noticed_ms,
        int((now - withdrawal.at) * 1000),
    )


def _read(notices, read, now):
    """Returns what the notices of a message say.

    A notice that cannot be read is skipped. An exception would close the link, and the
    peer would send the same notice on the next one.

    Args:
        notices: Notices, or None.
        read: Function that takes a notice and the current time, and raises `TypeError`
            or `ValueError` if it cannot be read.
        now: Time, seconds.
    """
    read_notices = []
    for notice in notices or ():
        try:
            read_notices.append(read(notice, now))
        except (TypeError, ValueError) as error:
            log.warning("crash_notice_ignored", extra={"error": str(error)})
    return tuple(read_notices)


def _from_notice(notice, now):
    jobs = tuple(
        CrashedJob(
            job.queue,
            tuple(job.tasks),
            _checked_weight(job.weight),
            tuple(task for task in job.started or () if task in job.tasks),
        )
        for job in notice.jobs
        if job.tasks
    )
    uncertainty_s = max(0, notice.uncertainty_ms or 0) / 1000.0
    return Crash(
        notice.upstream,
        notice.service_name,
        _time_of(notice, now),
        jobs,
        uncertainty_s,
        bool(notice.known),
        notice.noticed_ms or 0,
    )


def _to_withdrawal(notice, now):
    if notice.upstream is None or notice.noticed_ms is None:
        raise ValueError("a withdrawal is incomplete")
    return Withdrawal(notice.upstream, notice.noticed_ms, _time_of(notice, now))


def _checked_late_start(start, now):
    if not start.task or not start.executor or start.incarnation is None:
        raise ValueError("a late start is incomplete")
    return start


def _time_of(notice, now):
    if notice.age_ms < 0:
        raise ValueError(f"age {notice.age_ms} ms is negative")
    return now - notice.age_ms / 1000.0


def _checked_weight(weight):
    if not 0.0 < weight <= _MAX_WEIGHT:
        raise ValueError(f"weight {weight} of a job is out of range")
    return weight
