"""
papayaward.coordination.capacity_reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

When and to which entries an executor reports ended tasks and its free capacity.

Ends are reported at once. A report that contains only free capacity would go to every
entry at every start and end, so it waits for a while, longer for an entry that is not
likely to send tasks soon.
"""

import logging
from dataclasses import dataclass

import gevent
from gevent.event import Event

from .. import clock
from ..protocol.gen import ttypes
from ..protocol.jobs import Resources, resources_to_wire

__all__ = ["Capacity", "CapacityReports", "report_due_at"]

log = logging.getLogger(__name__)

_REPORT_BATCH_DELAY_S = 0.002
# Minimum interval between two reports that contain only free capacity. The urgent one
# applies if the executor has started or stopped accepting tasks, or if the capacity
# has become sufficient for a recent kind of task. That it has become insufficient is
# not urgent: a start that is refused costs less than a report to every entry.
_URGENT_REPORT_INTERVAL_S = 0.02
_REPORT_INTERVAL_S = 0.1
# The same after a start, which is usually confirmed by then. Until a report says so,
# the entry has to hold the task back if it loses this executor.
_CONFIRMATION_DELAY_S = 0.02
# The same for entries that are not likely to send tasks here soon.
_IDLE_REPORT_INTERVAL_S = 0.3
# Number of recent kinds of tasks for which a change of free capacity is checked.
_MAX_NEEDS = 8


@dataclass(frozen=True)
class Capacity:
    """What an executor tells the entries about its upstream.

    Attributes:
        free: `Resources` that no run uses.
        total: `Resources` of the upstream.
        accepting: Whether tasks may start now.
        labels: Labels of the upstream.
        upstream: Key of the upstream instance; empty if there is none.
        taken_over: Whether the starts of earlier processes take no effect on the
            upstream any more and their runs have ended.
    """

    free: Resources
    total: Resources
    accepting: bool
    labels: tuple
    upstream: str
    taken_over: bool


def report_due_at(owner, capacity, needs, isolated, now):
    """Returns when the next report to an entry is due, None if nothing changed.

    Args:
        owner: `Owner`.
        capacity: Current `Capacity`.
        needs: `Resources` of the recent kinds of tasks.
        isolated: Number of isolated jobs of other entries.
        now: Time, seconds.
    """
    if owner.ends or owner.slow or owner.has_unanswered:
        return 0.0
    if not owner.capacity_changed:
        return None
    is_urgent = owner.reported_accepting != _accepts_from(owner, capacity)
    if is_urgent or owner.has_unanswered_peers:
        return owner.capacity_sent_at + _URGENT_REPORT_INTERVAL_S
    if not owner.expects_reports(now):
        return owner.capacity_sent_at + _IDLE_REPORT_INTERVAL_S
    has_become_sufficient = any(
        capacity.free.covers(need) and not owner.reported_free.covers(need)
        for need in needs
    )
    if has_become_sufficient or isolated < owner.reported_isolated:
        return owner.capacity_sent_at + _URGENT_REPORT_INTERVAL_S
    latest = owner.capacity_sent_at + _REPORT_INTERVAL_S
    if owner.has_settled or owner.reported_batch != owner.last_batch:
        latest_event_at = max(owner.capacity_sent_at, owner.last_start_at)
        return min(latest, latest_event_at + _CONFIRMATION_DELAY_S)
    return latest


class CapacityReports:
    """Sends the reports of one executor.

    Args:
        owners: `Owner` of each entry by name; the executor changes this dict.
        capacity: Function that returns the current `Capacity`.
        isolated_peer_jobs: Function that takes an `Owner` and returns the number of
            isolated jobs of other entries.
        unsettled: Function that takes an `Owner` and returns the names of its tasks
            whose start may still be executed, and of such tasks of other entries.
        unsettled_starts: Function that takes an `Owner` and returns the
            `ttypes.LateStart` list of such tasks.
        late_starts: `LateStarts`.
        headroom: `Headroom`.
        use: `CapacityUse`.
    """

    def __init__(
        self,
        owners,
        capacity,
        isolated_peer_jobs,
        unsettled,
        unsettled_starts,
        late_starts,
        headroom,
        use,
    ):
        self._owners = owners
        self._capacity = capacity
        self._isolated_peer_jobs = isolated_peer_jobs
        self._unsettled = unsettled
        self._unsettled_starts = unsettled_starts
        self._late_starts = late_starts
        self._headroom = headroom
        self._use = use
        # Resources needed by the most recent kinds of tasks, the oldest first.
        self._needs = {}
        self._pending = Event()
        gevent.spawn(self._run)

    def wake(self):
        """Sends the reports that are due; called after an end was queued."""
        self._pending.set()

    def on_capacity_changed(self, owners):
        """Schedules a report of the capacity to some of the entries."""
        for owner in owners:
            owner.capacity_changed = True
        self._pending.set()

    def on_run_settled(self, owner):
        """Schedules a report to an entry that was told of unsettled runs."""
        if owner.reported_unsettled:
            owner.has_settled = True
            self.on_capacity_changed([owner])

    def on_unanswered(self, owner):
        """Reports that a request had no reply and is sent again.

        An entry must not count too few requests if this process dies.

        Args:
            owner: `Owner` of the run.
        """
        for other in self._owners.values():
            other.has_unanswered_peers = True
        owner.has_unanswered = True
        self.on_capacity_changed(self._owners.values())

    def record_need(self, need):
        """Records the resources that a task of some kind needs."""
        self._needs.pop(need, None)
        self._needs[need] = True
        if len(self._needs) > _MAX_NEEDS:
            del self._needs[next(iter(self._needs))]

    def send(self, owner, now):
        """Sends a report to an entry now."""
        capacity = self._capacity()
        ends, owner.ends = owner.ends, []
        slow, owner.slow = owner.slow, []
        owner.capacity_changed = False
        owner.capacity_sent_at = now
        owner.reported_accepting = _accepts_from(owner, capacity)
        owner.reported_free = capacity.free
        owner.reported_isolated = self._isolated_peer_jobs(owner)
        unsettled, of_peers = self._unsettled(owner)
        owner.reported_unsettled, owner.has_settled = bool(unsettled), False
        owner.reported_batch = owner.last_batch
        owner.has_unanswered = owner.has_unanswered_peers = False
        late_starts = self._new_late_starts(owner, now)
        report = _capacity_report(owner, capacity, unsettled, of_peers, late_starts)
        report.unsettled_starts = self._unsettled_starts(owner) or None
        report.kept = self._headroom.to_wire(capacity.total, now)
        if owner.wants_queues:
            report.queues = self._use.to_wire()
        owner.link.try_send(ttypes.EndBatch(ends, report, slow or None))

    def _new_late_starts(self, owner, now):
        """Returns the `LateStart` of each task that the entry was not told of yet."""
        added = self._late_starts.added_after(owner.reported_late_starts)
        owner.reported_late_starts = self._late_starts.additions
        return [start.to_wire(now) for start in added]

    def _run(self):
        wait_s = None
        while True:
            if self._pending.wait(wait_s):
                gevent.sleep(_REPORT_BATCH_DELAY_S)
                self._pending.clear()
            now = clock.now()
            next_due = self._send_due(now)
            wait_s = None if next_due is None else next_due - now

    def _send_due(self, now):
        """Sends the reports that are due and returns when the next one is."""
        capacity = self._capacity()
        due_times = []
        for owner in list(self._owners.values()):
            if owner.disconnected_at is not None:
                continue
            isolated = self._isolated_peer_jobs(owner)
            due_at = report_due_at(owner, capacity, self._needs, isolated, now)
            if due_at is not None and due_at <= now:
                self._try_send(owner, now)
            elif due_at is not None:
                due_times.append(due_at)
        return min(due_times, default=None)

    def _try_send(self, owner, now):
        """Sends a report; a fault with one entry must not keep it from the others."""
        try:
            self.send(owner, now)
        except Exception:
            log.exception("report_not_sent", extra={"entry": owner.member})


def _accepts_from(owner, capacity):
    return capacity.accepting and not owner.released


def _capacity_report(owner, capacity, unsettled, unsettled_of_peers, late_starts):
    peer_runs, peer_ratio = owner.take_peer_ratio()
    return ttypes.RoomReport(
        owner.last_batch,
        resources_to_wire(capacity.free),
        resources_to_wire(capacity.total),
        _accepts_from(owner, capacity),
        list(capacity.labels),
        capacity.upstream,
        peer_runs,
        peer_ratio,
        owner.reported_isolated,
        unsettled or None,
        capacity.taken_over,
        unsettled_of_peers or None,
        late_starts or None,
    )
