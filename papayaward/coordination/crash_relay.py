"""
papayaward.coordination.crash_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Spreads the knowledge of crashed upstreams over the links between the processes.

The entry that sent a task may fail, and its caller submits the job to another entry,
which must not begin to count the crashes anew. Each process forwards a notice once.
"""

import logging

from ..protocol.gen import ttypes
from ..state.crash_records import Crash, CrashedJob, CrashRecords

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
        self._listeners = []

    def on_crash(self, listener):
        """Registers a function that takes each new `Crash` and the current time."""
        self._listeners.append(listener)

    def on_link_up(self, link, now):
        """Sends the recent crashes to a new peer."""
        self._links.append(link)
        self.records.expire(now)
        recent = self.records.all()[-_MAX_NOTICES:]
        if recent:
            link.try_send(_to_message(recent, now))

    def on_link_down(self, link):
        """Removes a closed link."""
        if link in self._links:
            self._links.remove(link)

    def on_message(self, link, message, now):
        """Handles notices from a peer; returns whether the message holds any."""
        if not isinstance(message, ttypes.CrashNotices):
            return False
        self._add(_read_notices(message, now), now, link)
        return True

    def publish(self, crash, now):
        """Records a crash that this process has noticed and sends it to all peers."""
        self._add([crash], now, None)

    def _add(self, crashes, now, source):
        new = [crash for crash in crashes if self.records.add(crash, now)]
        if not new:
            return
        message = _to_message(new, now)
        for link in self._links:
            if link is not source:
                link.try_send(message)
        for crash in new:
            log.info(
                "crash_recorded",
                extra={
                    "upstream": crash.upstream,
                    "age_s": round(now - crash.at, 3),
                    "uncertainty_s": round(crash.uncertainty_s, 3),
                    "probabilities": {
                        job.job_id: round(self.records.probability(job.job_id), 3)
                        for job in crash.jobs
                    },
                },
            )
            for listener in self._listeners:
                listener(crash, now)


def _to_message(crashes, now):
    return ttypes.CrashNotices(
        [
            ttypes.CrashNotice(
                crash.upstream,
                int((now - crash.at) * 1000),
                [
                    ttypes.CrashedJob(
                        job.queue, list(job.tasks), job.weight, list(job.started)
                    )
                    for job in crash.jobs
                ],
                crash.service,
                int(crash.uncertainty_s * 1000),
            )
            for crash in crashes
        ]
    )


def _read_notices(message, now):
    """Returns the crashes of a message.

    A notice that cannot be read is skipped. An exception would close the link, and the
    peer would send the same notice on the next one.
    """
    crashes = []
    for notice in message.notices or ():
        try:
            crashes.append(_from_notice(notice, now))
        except (TypeError, ValueError) as error:
            log.warning("crash_notice_ignored", extra={"error": str(error)})
    return crashes


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
    if notice.age_ms < 0:
        raise ValueError(f"age {notice.age_ms} ms is negative")
    crashed_at = now - notice.age_ms / 1000.0
    uncertainty_s = max(0, notice.uncertainty_ms or 0) / 1000.0
    return Crash(notice.upstream, notice.service_name, crashed_at, jobs, uncertainty_s)


def _checked_weight(weight):
    if not 0.0 < weight <= _MAX_WEIGHT:
        raise ValueError(f"weight {weight} of a job is out of range")
    return weight
