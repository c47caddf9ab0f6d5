"""
papayaward.coordination.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued tasks on the executors of a cell.
"""

import heapq
from collections import deque
from functools import lru_cache
from operator import attrgetter

import gevent
from gevent.event import Event

from .. import clock
from ..protocol import mechanisms
from ..protocol.gen.ttypes import CancelTasks, Grant, RunBatch
from ..state import metrics
from .admission import Demand, Load, fair_share
from .ejection import Ejection
from .executor import ACTIVE_S
from .executor_views import ExecutorView, Placed
from .fair_queue import FairQueue, QueuedJob
from .placement import (
    BINDING_POLICIES,
    REPORT_INTERVAL_S,
    faster_by_waiting,
    load_reports,
    set_faster_rates,
)
from .speeds import SpeedEstimates

__all__ = ["Dispatcher"]

_DEFAULT_PRIORITY = 10
# Bounds the time that a slow slot is left free for a faster one, in case the
# faster ones do not get free as expected.
_LONGEST_HOLD_S = 0.25
# A shorter absence of an executor is not followed by a ramp.
_SHORT_ABSENCE_S = 0.5
_RECENTRE_INTERVAL_S = 1.0
_SHARE_TTL_S = 0.05
_ASK_INTERVAL_S = 1.0
_SUSPECT_RANK = 10_000
# A request is hedged after this many times the 95th percentile of its class. At
# once, 1 in 20 healthy requests is started twice.
_HEDGE_AFTER = 2.0

# The library looks a child up under a lock; that is a tenth of the work for a task.
_queue_seconds = lru_cache(4096)(metrics.QUEUE_SECONDS.labels)


# Grants are sent again only while the executor surely remembers their starts
# (60 s) and keeps their results (10 s).
_SEND_AGAIN_WITHIN_S = 8.0


class Dispatcher:
    """Queue of a home and the executors of its cell.

    Args:
        node: The runner.
        records: `JobRecords`, whose bytes count against the bound.
    """

    def __init__(self, node, records):
        settings = node.settings
        self._node = node
        self._records = records
        self._queue = FairQueue()
        self._second_starts = deque()
        self._free = {}
        self._bind = BINDING_POLICIES.get(settings.placement)
        self._bound = 0
        self._reports = {}
        self._reports_until = 0.0
        self._holds = settings.hold_slow_slots
        self._hold_until = None
        self._asked = 0.0
        self._slots = 0
        self._config_version = None
        self._shares = {}
        self._recentre_at = 0.0
        self._cancels = {}
        self._hedgeable = []
        self._wakeup = Event()
        self.executors = {}
        self.speeds = SpeedEstimates()
        self.ejection = Ejection()
        # Called with the record of a job that can no longer meet its deadline
        # and of which nothing has started.
        self.on_deadline_infeasible = None
        gevent.spawn(self._dispatch_loop)

    @property
    def queued(self):
        """Number of tasks that wait for a slot."""
        return len(self._queue) + len(self._second_starts) + self._bound

    @property
    def slots(self):
        """Slots of the usable executors."""
        return self._slots

    def wake(self):
        """Places tasks in the next turn of the event loop."""
        self._wakeup.set()

    # Queue.

    def demand(self, spec, size):
        """Returns the `Demand` of a job."""
        task_s = best_s = 0.0
        if self.speeds.knows(spec.job_class):
            task_s = self.speeds.expected_s(spec.job_class)
            best_s = task_s * self.speeds.least_slowness()
        return Demand(
            len(spec.tasks),
            size,
            task_s,
            best_s,
            self.speeds.fastest_s(spec.job_class),
            self._priority(spec.job_class),
            spec.deadline,
        )

    def load(self, tenant, now):
        """Returns the `Load` of this home for a job of a tenant."""
        return Load(
            self.queued,
            self._records.open_bytes,
            self._queue.waiting(tenant),
            self._records.tenant_bytes(tenant),
            self._slots,
            sum(view.slots for view in self.executors.values()),
            self._share(tenant, now),
            self._queue.waiting_work(tenant),
        )

    def enqueue(self, record):
        """Queues every task of a job."""
        spec = record.spec
        record.queued = QueuedJob(
            record,
            spec.tenant,
            self._priority(spec.job_class),
            spec.deadline,
            int(self.speeds.expected_s(spec.job_class) * 1e6),
            tuple(map(len, spec.tasks)),
        )
        self._queue.add(record.queued, range(len(spec.tasks)))
        self._ask_for_reports(record.arrived)
        self.wake()

    def requeue(self, record, index):
        """Queues a task again whose grant was rejected."""
        self._queue.requeue(record.queued, index)
        self.wake()

    def start_again(self, record, index):
        """Has an idempotent task started on an executor that it was not on."""
        self._second_starts.append((record, index))
        self.wake()

    def start_hedge(self, record, index, now):
        """Starts a second copy of a task if a slot is free that nobody waits for."""
        if self._queue or self._second_starts:
            return False
        view = self._best_untried(record)
        if view is None:
            return False
        self._queue.acquire_slot(record.spec.tenant)
        self._send_grants(view, [self._place(view, record, index, now)], now)
        return True

    def take_hedgeable(self):
        """Returns (time to hedge, `Placed`) of new idempotent starts."""
        taken, self._hedgeable = self._hedgeable, []
        return taken

    def discard(self, record):
        """Drops the waiting tasks of a job that is done."""
        if record.queued is not None:
            self._queue.remove(record.queued)
            record.queued = None

    def cancel(self, member, job_id):
        """Cancels a job at an executor; a wave of them shares one message."""
        if not self._cancels:
            gevent.get_hub().loop.run_callback(self._send_cancels)
        self._cancels.setdefault(member, []).append(job_id)

    def take(self, view, job_id, index, attempt):
        """Frees the slot of a grant and returns its `Placed`, or None if unknown."""
        key = (job_id, index)
        placed = view.outstanding.get(key)
        if placed is None or placed.attempt != attempt:
            return None
        del view.outstanding[key]
        self._queue.release_slot(placed.record.spec.tenant)
        return placed

    # Executors.

    def on_members(self, members, now):
        """Takes the members of the cell."""
        present = {(member.member, member.incarnation) for member in members}
        for member in members:
            view = self.executors.get(member.member)
            # The greeting on a link is newer than what an entry still lists.
            fresh = view is None or (view.link is None and view.disconnected_at is None)
            if fresh and (view is None or view.incarnation != member.incarnation):
                self._add_view(member.member, member.incarnation, member.domain)
        names = {member.member for member in members}
        for view in list(self.executors.values()):
            view.listed = view.member in names
            self.touch(view, now)
            known = (view.member, view.incarnation) in present
            if not known and not view.outstanding and view.link is None:
                self._unbind(view)
                del self.executors[view.member]
                self._free.pop(view.member, None)
            else:
                self.touch(view, now)
        self.wake()

    def on_executor_up(self, link, now):
        """Takes a link to an executor and sends it the outstanding grants again.

        Returns:
            ExecutorView: The view of an earlier incarnation, or None.
        """
        replaced = None
        hello = link.peer
        view = self.executors.get(hello.member)
        if (
            view is None
            or view.incarnation != hello.incarnation
            or _too_late(view, now)
        ):
            replaced = view
            view = self._add_view(hello.member, hello.incarnation, hello.domain)
        view.link = link
        view.disconnected_at = None
        self._reconcile(view, now)
        self.touch(view, now)
        self.wake()
        return replaced

    def _reconcile(self, view, now):
        """Sends the outstanding grants again, but for jobs that were answered."""
        finished = set()
        for key, placed in list(view.outstanding.items()):
            if placed.record.done:
                del view.outstanding[key]
                self._queue.release_slot(placed.record.spec.tenant)
                finished.add(placed.record.spec.job_id)
        if finished:
            view.link.try_send(CancelTasks(sorted(finished)))
        if view.outstanding:
            self._send_grants(view, list(view.outstanding.values()), now)

    def on_executor_down(self, link, now):
        """Starts the grace period of an executor whose link closed."""
        view = self.executors.get(link.peer.member)
        if view is not None and view.link is link:
            view.link = None
            view.disconnected_at = now
            view.heard = link.echoed_us / 1e6
            self.touch(view, now)

    def drop_executor(self, view, now):
        """Gives up an executor and returns its outstanding `Placed`."""
        view.link = None
        view.disconnected_at = None
        placed = list(view.outstanding.values())
        view.outstanding = {}
        for one in placed:
            self._queue.release_slot(one.record.spec.tenant)
        self._unbind(view)
        self.speeds.forget(view.member)
        self.ejection.forget(view.member)
        self.touch(view, now)
        return placed

    def touch(self, view, now):
        """Updates what depends on the state of an executor after it changed."""
        if self.executors.get(view.member) is not view:
            return
        domains_out = self._node.config.config.domains_out
        view.in_service = view.domain not in domains_out or not mechanisms.is_enabled(
            "domain_gate"
        )
        self._note_absence(view, now)
        view.limit = self.ejection.limit(view.member, view.slots, now)
        if now < view.paused_until:
            view.limit = 0
        free = view.free
        if free <= 0:
            self._free.pop(view.member, None)
            return
        rank = self.speeds.rank(view.member, bool(view.outstanding), now)
        if self.ejection.is_suspect(view.member, now):
            rank += _SUSPECT_RANK
        view.order = (rank, -free, view.member)
        self._free[view.member] = view

    def refresh(self, now):
        """Updates every executor; called at each tick and after a configuration."""
        views = self.executors.values()
        for view in views:
            self.touch(view, now)
        usable = [view for view in views if view.usable]
        set_faster_rates(usable, self.speeds.slowness)
        if now >= self._recentre_at:
            self._recentre_at = now + _RECENTRE_INTERVAL_S
            self.speeds.recentre()
        self._set_shares(sum(view.slots for view in usable))
        if self._bind is not None:
            for view in views:
                if not view.usable:
                    self._unbind(view)
        if self.queued:
            self.wake()

    def _add_view(self, member, incarnation, domain):
        view = ExecutorView(member, incarnation, domain)
        older = self.executors.get(member)
        if older is not None:
            self._unbind(older)
        self.executors[member] = view
        self._free.pop(member, None)
        return view

    def _note_absence(self, view, now):
        """Starts a ramp when an executor appears or comes back."""
        if view.link is None or not view.accepting or not view.in_service:
            if view.absent_since is None:
                view.absent_since = now
        elif view.absent_since is not None:
            absent_s = now - view.absent_since
            view.absent_since = None
            # At the start of the whole cell there is nothing to protect.
            if absent_s > _SHORT_ABSENCE_S and self.speeds.any_known:
                self.ejection.start_ramp(view.member, view.slots)
                self.speeds.mark_uncertain(view.member)

    def _set_shares(self, slots):
        version = self._node.config.version
        if slots == self._slots and version == self._config_version:
            return
        self._slots = slots
        self._config_version = version
        self._shares = {}
        self._queue.set_shares(self._quota_and_weight)

    def _quota_and_weight(self, name):
        tenant = self._node.config.config.tenants.get(name)
        if tenant is None:
            return 0.0, 1.0
        return tenant.quota * self._slots, tenant.weight

    def _share(self, name, now):
        share, until = self._shares.get(name, (0.0, 0.0))
        if now >= until:
            quota, weight = self._quota_and_weight(name)
            demands = self._queue.demands()
            share = fair_share(self._slots, name, quota, weight, demands)
            self._shares[name] = (share, now + _SHARE_TTL_S)
        return share

    def _priority(self, name):
        job_class = self._node.config.config.classes.get(name)
        return _DEFAULT_PRIORITY if job_class is None else job_class.priority

    # Placement.

    def _dispatch_loop(self):
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            self._dispatch(clock.now())

    def _dispatch(self, now):
        batches = {}
        if self._second_starts:
            self._place_second_starts(batches, now)
        if self._bind is None:
            self._place_on_fastest(batches, now)
        else:
            self._bind_tasks(now)
            self._place_bound(batches, now)
        for member, placed in batches.items():
            self._send_grants(self.executors[member], placed, now)
        metrics.QUEUED_TASKS.set(self.queued)

    def _place_on_fastest(self, batches, now):
        queue = self._queue
        if not queue or not self._free:
            return
        if len(queue) == 1:
            heap = [min(map(_order_and_view, self._free.values()))]
        else:
            heap = [*map(_order_and_view, self._free.values())]
            heapq.heapify(heap)
        while queue and heap:
            view = heap[0][1]
            if self._hold(view, now):
                return
            queued, index = queue.pop()
            if not queued.job.attempts and self._is_hopeless(queued, now):
                queue.release_slot(queued.tenant)
                self.on_deadline_infeasible(queued.job, now)
                continue
            placed = self._place(view, queued.job, index, now)
            batches.setdefault(view.member, []).append(placed)
            if view.free > 0:
                heapq.heapreplace(heap, _order_and_view(view))
            else:
                heapq.heappop(heap)

    def _is_hopeless(self, queued, now):
        """Returns whether a job is certain to miss its deadline, as far as learned.

        Tasks that turn out longer than those before make the queue longer than
        admission assumed. A job that cannot be complete in time is answered
        before it costs slots.
        """
        spec = queued.job.spec
        left_s = spec.deadline - now
        tasks = queued.job.tasks
        needed_s = self.speeds.fastest_s(spec.job_class)
        if tasks > 1 and self.speeds.knows(spec.job_class):
            task_s = self.speeds.expected_s(spec.job_class)
            slots = max(1.0, self._share(spec.tenant, now))
            needed_s = max(
                task_s * self.speeds.least_slowness(), tasks * task_s / slots
            )
        return needed_s > left_s

    def _hold(self, view, now):
        """Returns whether to leave the best free slot for a faster one to come."""
        if not self._holds or not view.outranked:
            return False
        slowness = self.speeds.slowness(view.member)
        waits = faster_by_waiting(view, slowness, len(self._queue))
        if not waits or self.speeds.is_uncertain(view.member, now):
            self._hold_until = None
            return False
        if self._hold_until is None:
            self._hold_until = now + _LONGEST_HOLD_S
        if now < self._hold_until:
            return True
        self._hold_until = None
        return False

    def _place(self, view, record, index, now):
        attempt = record.attempts.get(index, 0) + 1
        record.attempts[index] = attempt
        spec = record.spec
        placed = Placed(record, index, attempt, now)
        view.outstanding[spec.job_id, index] = placed
        record.running[index, attempt] = view.member
        if spec.idempotent:
            record.tried_executors += (view.member,)
            straggler_s = self.speeds.straggler_s(spec.job_class)
            if straggler_s is not None:
                self._hedgeable.append((now + _HEDGE_AFTER * straggler_s, placed))
        self.touch(view, now)
        record.timeline.add(now, "granted", index, "to", view.member)
        waited_s = now - record.arrived
        record.queue_s = max(record.queue_s, waited_s)
        _queue_seconds(spec.tenant, spec.job_class).observe(waited_s)
        return placed

    def _place_second_starts(self, batches, now):
        waiting, self._second_starts = self._second_starts, deque()
        for record, index in waiting:
            if record.done:
                continue
            view = self._best_untried(record)
            if view is None:
                self._second_starts.append((record, index))
                continue
            self._queue.acquire_slot(record.spec.tenant)
            placed = self._place(view, record, index, now)
            batches.setdefault(view.member, []).append(placed)

    def _best_untried(self, record):
        """Returns the fastest free executor that a request was not on, or None.

        When it was on every usable executor, any may get it.
        """
        tried = record.tried_executors
        usable = (view for view in self.executors.values() if view.usable)
        if all(view.member in tried for view in usable):
            tried = ()
        others = (view for view in self._free.values() if view.member not in tried)
        return min(others, key=attrgetter("order"), default=None)

    def _send_grants(self, view, placed, now):
        if view.link is None:
            return
        grants = [
            Grant(
                one.record.spec.job_id,
                one.index,
                one.attempt,
                one.record.spec.tasks[one.index],
                max(0, int((one.record.spec.deadline - now) * 1000)),
                one.record.spec.tenant,
                one.record.spec.job_class,
            )
            for one in placed
        ]
        view.link.try_send(RunBatch(view.incarnation, grants))
        view.active = now

    def _ask_for_reports(self, now):
        """Asks executors that this home has not used for a while for their slots.

        They report to active homes only, and an old report may show no free slot.
        """
        if now - self._asked < _ASK_INTERVAL_S:
            return
        self._asked = now
        for view in self.executors.values():
            if view.link is not None and now - view.active > ACTIVE_S / 2:
                self._send_grants(view, [], now)

    def _send_cancels(self):
        cancels, self._cancels = self._cancels, {}
        for member, job_ids in cancels.items():
            view = self.executors.get(member)
            if view is not None and view.link is not None:
                view.link.try_send(CancelTasks(job_ids))

    # Baselines that bind a task to an executor.

    def _bind_tasks(self, now):
        usable = [view for view in self.executors.values() if view.usable]
        if not usable:
            return
        if now >= self._reports_until:
            self._reports = load_reports(usable)
            self._reports_until = now + REPORT_INTERVAL_S
        while self._queue:
            self._bind(usable, self._reports).backlog.append(self._queue.pop())
            self._bound += 1

    def _place_bound(self, batches, now):
        for view in self.executors.values():
            while view.backlog and view.free > 0:
                queued, index = view.backlog.popleft()
                self._bound -= 1
                if queued.job.done:
                    self._queue.release_slot(queued.tenant)
                    continue
                placed = self._place(view, queued.job, index, now)
                batches.setdefault(view.member, []).append(placed)

    def _unbind(self, view):
        self._bound -= len(view.backlog)
        while view.backlog:
            queued, index = view.backlog.pop()
            self._queue.release_slot(queued.tenant)
            if not queued.job.done:
                self._queue.requeue(queued, index)


def _order_and_view(view):
    return view.order, view


def _too_late(view, now):
    # A paused home sees its links close when it wakes, not when they broke. The
    # last own stamp that came back tells how old its knowledge is.
    if not view.outstanding:
        return False
    heard = view.heard if view.link is None else view.link.echoed_us / 1e6
    return now - heard > _SEND_AGAIN_WITHIN_S
