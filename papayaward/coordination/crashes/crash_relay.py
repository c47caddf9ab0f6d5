"""
papayaward.coordination.crashes.crash_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Spreads the knowledge of crashed upstreams over the links between the processes, and
that of late starts at executors out of reach.

The entry that sent a task may fail, and its caller submits the job to another entry,
which must not begin to count the crashes anew. Each process forwards a notice once, and
the withdrawal of a suspected crash likewise.

An upstream that refuses connections may run on, so that nobody may be given up for it
before the lease of its runs has ended. Until then it counts only for the guards that
decide where the jobs of a queue run, and for stops of the runs of a likely cause.
"""

import logging

from ...protocol.gen import ttypes
from ...state.crash_records import CrashRecords
from ...state.crashes import Withdrawal
from ..late_start_notices import LateStartNotices
from .crash_notices import CrashUpdate, from_message, to_message

__all__ = ["CrashRelay"]

log = logging.getLogger(__name__)

# Number of notices in one message to a peer that has just connected.
_MAX_NOTICES = 200


class CrashRelay:
    """Receives, records and forwards notices of crashes.

    Attributes:
        records: `CrashRecords` of the crashes that are suspected or known.
        records_with_refusals: `CrashRecords` that hold upstreams which refuse
            connections as well. They guard queues and stop runs, but bound no starts
            and decide no answer.
    """

    def __init__(self):
        self.records = CrashRecords()
        self.records_with_refusals = CrashRecords()
        self._late_starts = LateStartNotices()
        self._links = []
        self._late_start_listeners = []
        self._crash_listeners = []
        self._refusal_listeners = []
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

    def on_change_with_refusals(self, listener):
        """Registers a function called when `records_with_refusals` change.

        Args:
            listener: Function that takes the `Crash` and the current time.
        """
        self._refusal_listeners.append(listener)

    def on_late_start(self, listener):
        """Registers a function that takes each new late start and the current time.

        Args:
            listener: Function that takes a `ttypes.LateStart` and the current time.
        """
        self._late_start_listeners.append(listener)

    def on_link_up(self, link, now):
        """Sends the recent crashes and withdrawals to a new peer."""
        self._links.append(link)
        recent = self._recent(now)
        if recent:
            link.try_send(to_message(recent, now))

    def on_link_down(self, link):
        """Removes a closed link."""
        if link in self._links:
            self._links.remove(link)

    def on_message(self, link, message, now):
        """Handles notices from a peer; returns whether the message holds any."""
        if not isinstance(message, ttypes.CrashNotices):
            return False
        self._add(from_message(message, now), now, link)
        return True

    def publish(self, crash, now):
        """Records a crash that this process has noticed and sends it to all peers.

        Args:
            crash: `Crash`; the same one again once it is known.
            now: Time, seconds.
        """
        self._add(CrashUpdate(crashes=(crash,)), now, None)

    def publish_refusal(self, crash, now):
        """Records an upstream that refuses connections and tells all peers.

        Args:
            crash: `Crash` of the upstream if it does not run on.
            now: Time, seconds.
        """
        self._add(CrashUpdate(refusals=(crash,)), now, None)

    def publish_late_starts(self, starts, now):
        """Records late starts of an executor out of reach and tells all peers.

        Args:
            starts: `ttypes.LateStart` of each, with the process that sent it.
            now: Time, seconds.
        """
        self._add(CrashUpdate(late_starts=tuple(starts)), now, None)

    def withdraw(self, crash, now):
        """Forgets a suspected crash or a refusal and tells all peers.

        Args:
            crash: `Crash` that was published, and whose upstream has replied since.
            now: Time, seconds.
        """
        withdrawal = Withdrawal(crash.upstream, crash.noticed_ms, now)
        self._add(CrashUpdate(withdrawals=(withdrawal,)), now, None)

    def _recent(self, now):
        """Returns a `CrashUpdate` with what a new peer has to know."""
        for records in (self.records, self.records_with_refusals):
            records.expire(now)
        refusals = (
            crash
            for crash in self.records_with_refusals.all()
            if self.records.find(crash.upstream) is None
        )
        return CrashUpdate(
            self.records.all()[-_MAX_NOTICES:],
            self.records.withdrawals()[-_MAX_NOTICES:],
            tuple(refusals)[-_MAX_NOTICES:],
            self._late_starts.recent(now),
        )

    def _add(self, update, now, source):
        withdrawals, withdrawn = _withdraw(self.records, update.withdrawals, now)
        new, changed = _record(self.records, update.crashes, now)
        _, freed = _withdraw(self.records_with_refusals, update.withdrawals, now)
        suspected, _ = _record(self.records_with_refusals, update.crashes, now)
        refusals = _record(self.records_with_refusals, update.refusals, now)
        late_starts = self._late_starts.add(update.late_starts, now)
        forwarded = CrashUpdate(
            new + changed, withdrawals, sum(refusals, ()), late_starts
        )
        if forwarded:
            message = to_message(forwarded, now)
            for link in self._links:
                if link is not source:
                    link.try_send(message)
        self._log("refusal_recorded", refusals[0], self.records_with_refusals, now)
        self._log("refusal_withdrawn", freed, self.records_with_refusals, now)
        self._log("crash_withdrawn", withdrawn, self.records, now)
        self._log("crash_changed", changed, self.records, now)
        self._log("crash_recorded", new, self.records, now)
        _call(self._refusal_listeners, freed + suspected + refusals[0], now)
        _call(self._change_listeners, withdrawn + changed, now)
        _call(self._crash_listeners, new, now)
        _call(self._late_start_listeners, late_starts, now)

    def _log(self, event, crashes, records, now):
        for crash in crashes:
            log.info(
                event,
                extra={
                    "upstream": crash.upstream,
                    "known": crash.is_known,
                    "age_s": round(now - crash.at, 3),
                    "uncertainty_s": round(crash.uncertainty_s, 3),
                    "probabilities": {
                        job.job_id: round(records.probability(job.job_id), 3)
                        for job in crash.jobs
                    },
                },
            )


def _withdraw(records, withdrawals, now):
    """Returns the withdrawals that are new, and each `Crash` that is forgotten."""
    new, crashes = [], []
    for withdrawal in withdrawals:
        crash = records.find(withdrawal.upstream)
        if not records.withdraw(withdrawal, now):
            continue
        new.append(withdrawal)
        if crash is not None and records.find(crash.upstream) is None:
            crashes.append(crash)
    return tuple(new), tuple(crashes)


def _record(records, crashes, now):
    """Returns each `Crash` with new jobs, and those of which more is known."""
    new, changed = [], []
    for crash in crashes:
        last = records.find(crash.upstream)
        if not records.add(crash, now):
            continue
        jobs = records.find(crash.upstream).jobs
        is_new = last is None or {job.job_id for job in last.jobs} != {
            job.job_id for job in jobs
        }
        (new if is_new else changed).append(crash)
    return tuple(new), tuple(changed)


def _call(listeners, notices, now):
    for notice in notices:
        for listener in listeners:
            listener(notice, now)
