"""
papayaward.coordination.crash_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Spreads the knowledge of crashed upstreams over the links between the processes.

The entry that sent a task may fail, and its caller submits the job to another entry,
which must not begin to count the crashes anew. Each process forwards a notice once, and
the withdrawal of a suspected crash likewise.
"""

import logging

from ..protocol.gen import ttypes
from ..state.crash_records import Crash, CrashedJob, CrashRecords, Withdrawal

__all__ = ["CrashRelay"]

log = logging.getLogger(__name__)

# Number of notices in one message to a peer that has just connected.
_MAX_NOTICES = 200
# Largest weight of a job, for each second; the sum of several must stay finite.
_MAX_WEIGHT = 1e6


class CrashRelay:
    """Receives, records and forwards notices of crashes.

    Attributes:
        records: `CrashRecords` of this process.
    """

    def __init__(self):
        self.records = CrashRecords()
        self._links = []
        self._crash_listeners = []
        self._change_listeners = []

    def on_crash(self, listener):
        """Registers a function that takes each new `Crash` and the current time."""
        self._crash_listeners.append(listener)

    def on_change(self, listener):
        """Registers a function called when a crash becomes known or is withdrawn.

        Args:
            listener: Function that takes the `Crash` and the current time.
        """
        self._change_listeners.append(listener)

    def on_link_up(self, link, now):
        """Sends the recent crashes and withdrawals to a new peer."""
        self._links.append(link)
        self.records.expire(now)
        recent = self.records.all()[-_MAX_NOTICES:]
        withdrawals = self.records.withdrawals()[-_MAX_NOTICES:]
        if recent or withdrawals:
            link.try_send(_to_message(recent, withdrawals, now))

    def on_link_down(self, link):
        """Removes a closed link."""
        if link in self._links:
            self._links.remove(link)

    def on_message(self, link, message, now):
        """Handles notices from a peer; returns whether the message holds any."""
        if not isinstance(message, ttypes.CrashNotices):
            return False
        crashes = _read(message.notices, _from_notice, now)
        withdrawals = _read(message.withdrawals, _to_withdrawal, now)
        self._add(crashes, withdrawals, now, link)
        return True

    def publish(self, crash, now):
        """Records a crash that this process has noticed and sends it to all peers.

        Args:
            crash: `Crash`; the same one again once it is known.
            now: Time, seconds.
        """
        self._add([crash], [], now, None)

    def withdraw(self, crash, now):
        """Forgets a suspected crash and tells all peers.

        Args:
            crash: `Crash` that was published, and whose upstream has replied since.
            now: Time, seconds.
        """
        withdrawal = Withdrawal(crash.upstream, crash.noticed_ms, now)
        self._add([], [withdrawal], now, None)

    def _add(self, crashes, withdrawals, now, source):
        new_withdrawals, withdrawn = self._withdraw(withdrawals, now)
        new, changed = self._record(crashes, now)
        if new or changed or new_withdrawals:
            message = _to_message(new + changed, new_withdrawals, now)
            for link in self._links:
                if link is not source:
                    link.try_send(message)
        for crash in withdrawn:
            self._log("crash_withdrawn", crash, now)
        for crash in changed:
            self._log("crash_changed", crash, now)
        for crash in new:
            self._log("crash_recorded", crash, now)
        for crash in withdrawn + changed:
            for listener in self._change_listeners:
                listener(crash, now)
        for crash in new:
            for listener in self._crash_listeners:
                listener(crash, now)

    def _withdraw(self, withdrawals, now):
        """Returns the withdrawals that are new, and each `Crash` that is forgotten."""
        new, crashes = [], []
        for withdrawal in withdrawals:
            crash = self.records.find(withdrawal.upstream)
            if not self.records.withdraw(withdrawal, now):
                continue
            new.append(withdrawal)
            if crash is not None and self.records.find(crash.upstream) is None:
                crashes.append(crash)
        return new, crashes

    def _record(self, crashes, now):
        """Returns each `Crash` with new jobs, and those of which more is known."""
        new, changed = [], []
        for crash in crashes:
            last = self.records.find(crash.upstream)
            if not self.records.add(crash, now):
                continue
            jobs = self.records.find(crash.upstream).jobs
            is_new = last is None or {job.job_id for job in last.jobs} != {
                job.job_id for job in jobs
            }
            (new if is_new else changed).append(crash)
        return new, changed

    def _log(self, event, crash, now):
        log.info(
            event,
            extra={
                "upstream": crash.upstream,
                "known": crash.is_known,
                "age_s": round(now - crash.at, 3),
                "uncertainty_s": round(crash.uncertainty_s, 3),
                "probabilities": {
                    job.job_id: round(self.records.probability(job.job_id), 3)
                    for job in crash.jobs
                },
            },
        )


def _to_message(crashes, withdrawals, now):
    return ttypes.CrashNotices(
        [_to_notice(crash, now) for crash in crashes],
        [
            ttypes.CrashWithdrawal(
                withdrawal.upstream,
                withdrawal.noticed_ms,
                int((now - withdrawal.at) * 1000),
            )
            for withdrawal in withdrawals
        ]
        or None,
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
    return read_notices


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


def _time_of(notice, now):
    if notice.age_ms < 0:
        raise ValueError(f"age {notice.age_ms} ms is negative")
    return now - notice.age_ms / 1000.0


def _checked_weight(weight):
    if not 0.0 < weight <= _MAX_WEIGHT:
        raise ValueError(f"weight {weight} of a job is out of range")
    return weight
