"""
papayaward.coordination.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queues the tasks of a coordinator and grants them to the executors of its cell.
"""

import heapq
from collections import deque
from functools import lru_cache
from operator import attrgetter

import gevent
from gevent.event import Event

from .. import clock
from ..loops import repeat
from ..protocol import mechanisms
from ..protocol.gen.ttypes import CancelTasks, Grant, RunBatch
from ..state import metrics
from .admission import Demand, Load, fair_share
from .ejection import Ejection
from .executor import COORDINATOR_ACTIVE_S
from .executor_views import ExecutorView, OutstandingGrant
from .fair_queue import FairQueue, QueuedJob
from .placement import (
    BINDING_POLICIES,
    REPORT_INTERVAL_S,
    executor_loads,
    faster_by_waiting,
    set_faster_rates,
)
from .speeds import SpeedEstimates

__all__ = ["Dispatcher"]

_DEFAULT_PRIORITY = 10
# Upper bound on how long a slow slot is kept free for a faster one, in case no
# faster slot becomes free as expected.
_MAX_HOLD_S = 0.25
# An executor that returns after a shorter absence gets its full load at once;
# after a longer one, its load is ramped up.
_RAMP_MIN_ABSENCE_S = 0.5
_RECENTRE_INTERVAL_S = 1.0
_SHARE_TTL_S = 0.05
_REPORT_REQUEST_INTERVAL_S = 1.0
_SUSPECT_RANK_PENALTY = 10_000
# A request is hedged after this many times the 95th percentile of its class's
# service time. A factor of 1 would start 1 in 20 healthy requests twice.
_HEDGE_FACTOR = 2.0

# Caches the labelled metrics: the client library looks them up under a lock, which
# took a tenth of the CPU time spent on a task.
_queue_seconds = lru_cache(4096)(metrics.QUEUE_SECONDS.labels)

# Grants are sent again only while the executor is certain to remember which tasks
# it started (60 s) and to keep their results (10 s).
_RESEND_WINDOW_S = 8.0


class Dispatcher:
    """Task queue of a coordinator and its view of the executors of its cell.

    Args:
        node: The runner.
        records: `JobRecords`, whose open bytes count towards the admission limit.
    """

    def __init__(self, node, records):
        settings = node.settings
        self._node = node
        self._records = records
        self._queue = FairQueue()
        self._queued_retries = deque()
        self._free = {}
        self._binding_policy = BINDING_POLICIES.get(settings.placement)
        self._bound_tasks = 0
        self._reports = {}
        self._reports_valid_until = 0.0
        self._hold_enabled = settings.hold_slow_slots
        self._hold_until = None
        self._reports_requested_at = 0.0
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
        # Called with the record of a job and the time, when the job can no longer
        # meet its deadline and none of its tasks was granted.
        self.on_deadline_infeasible = None
        gevent.spawn(repeat, self._dispatch_when_woken)

    @property
    def queued(self):
        """Number of tasks waiting for a slot."""
        return len(self._queue) + len(self._queued_retries) + self._bound_tasks

    @property
    def slots(self):
        """Total slots of the usable executors, as of the last refresh."""
        return self._slots

    def wake(self):
        """Schedules a dispatch in the next iteration of the event loop."""
        self._wakeup.set()

    # Queue.

    def demand(self, spec, size):
        """Returns the `Demand` of a job for admission.

        Args:
            spec: `JobSpec`.
            size: Size of the tasks, bytes.
        """
        task_s = best_s = 0.0
        if self.speeds.knows(spec.job_class):
            task_s = self.speeds.expected_s(spec.job_class)
            best_s = task_s * self.speeds.min_slowness()
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
        """Returns the `Load` of this coordinator for a job of a tenant."""
        return Load(
            self.queued,
            self._records.open_bytes,
            self._queue.queued_tasks(tenant),
            self._records.tenant_bytes(tenant),
            self._slots,
            sum(view.slots for view in self.executors.values()),
            self._share(tenant, now),
            self._queue.queued_work(tenant),
        )

    def enqueue(self, record):
        """Queues every task of a job."""
        spec = record.spec
        record.queued_job = QueuedJob(
            record,
            spec.tenant,
            self._priority(spec.job_class),
            spec.deadline,
            int(self.speeds.expected_s(spec.job_class) * 1e6),
            tuple(map(len, spec.tasks)),
        )
        self._queue.add(record.queued_job, range(len(spec.tasks)))
        self._request_reports(record.arrived)
        self.wake()

    def requeue(self, record, index):
        """Requeues a task whose grant was rejected or not sent."""
        if record.extra_attempts:
            self._queued_retries.append((record, index))
        else:
            self._queue.requeue(record.queued_job, index)
        self.wake()

    def queue_retry(self, record, index):
        """Queues a retry of an idempotent task, preferably on another executor."""
        self._queued_retries.append((record, index))
        self.wake()

    def start_hedge(self, record, index, now):
        """Starts a second copy of a task if a slot is free and no task is queued.

        Returns:
            bool: Whether the copy was granted.
        """
        if self._queue or self._queued_retries:
            return False
        view = self._best_untried(record)
        if view is None:
            return False
        self._queue.acquire_slot(record.spec.tenant)
        grant = self._record_grant(view, record, index, now)
        if self._send_grants(view, [grant], now):
            return True
        self._withdraw(view, grant)
        return False

    def take_hedgeable(self):
        """Returns and clears the new grants that may be hedged.

        Returns:
            list: Tuples (monotonic time to hedge, `OutstandingGrant`).
        """
        taken, self._hedgeable = self._hedgeable, []
        return taken

    def discard(self, record):
        """Removes the queued tasks of a finished job."""
        if record.queued_job is not None:
            self._queue.remove(record.queued_job)
            record.queued_job = None

    def cancel(self, member, job_id):
        """Cancels a job on an executor.

        Cancellations of the same event loop iteration are sent in one message.
        """
        if not self._cancels:
            gevent.get_hub().loop.run_callback(self._send_cancels)
        self._cancels.setdefault(member, []).append(job_id)

    def release_grant(self, view, job_id, index, attempt):
        """Removes an outstanding grant and releases its slot.

        Returns:
            OutstandingGrant: The grant, or None if it is not outstanding.
        """
        key = (job_id, index)
        grant = view.outstanding.get(key)
        if grant is None or grant.attempt != attempt:
            return None
        del view.outstanding[key]
        self._queue.release_slot(grant.record.spec.tenant)
        return grant

    # Executors.

    def on_members(self, members, now):
        """Updates the executors to the current members of the cell.

        Args:
            members: List of `Member`.
            now: Monotonic time, seconds.
        """
        present = {(member.member, member.incarnation) for member in members}
        for member in members:
            view = self.executors.get(member.member)
            # The `Hello` of a connected executor, or of one in its grace period, is
            # more recent than the member list of an entry.
            unlinked = view is None or (
                view.link is None and view.disconnected_at is None
            )
            if unlinked and (view is None or view.incarnation != member.incarnation):
                self._add_view(member.member, member.incarnation, member.domain)
        names = {member.member for member in members}
        for view in list(self.executors.values()):
            view.listed = view.member in names
            known = (view.member, view.incarnation) in present
            if not known and not view.outstanding and view.link is None:
                self._unbind(view)
                del self.executors[view.member]
                self._free.pop(view.member, None)
            else:
                self.update_executor(view, now)
        self.wake()

    def on_executor_up(self, link, now):
        """Registers a link to an executor and resends the outstanding grants.

        Returns:
            ExecutorView: The replaced view, whose tasks are lost, or None.
        """
        replaced = None
        hello = link.peer
        view = self.executors.get(hello.member)
        if (
            view is None
            or view.incarnation != hello.incarnation
            or _resend_window_passed(view, now)
        ):
            replaced = view
            view = self._add_view(hello.member, hello.incarnation, hello.domain)
        view.link = link
        view.disconnected_at = None
        self._reconcile(view, now)
        self.update_executor(view, now)
        self.wake()
        return replaced

    def _reconcile(self, view, now):
        """Resends the outstanding grants and cancels those of finished jobs."""
        finished = set()
        for key, grant in list(view.outstanding.items()):
            if grant.record.done:
                del view.outstanding[key]
                self._queue.release_slot(grant.record.spec.tenant)
                finished.add(grant.record.spec.job_id)
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
            view.last_echo_at = link.echoed_us / 1e6
            self.update_executor(view, now)

    def drop_executor(self, view, now):
        """Discards the state of a lost executor.

        Returns:
            list: Its outstanding grants, as `OutstandingGrant`.
        """
        view.link = None
        view.disconnected_at = None
        grants = list(view.outstanding.values())
        view.outstanding = {}
        for grant in grants:
            self._queue.release_slot(grant.record.spec.tenant)
        self._unbind(view)
        self.speeds.remove_executor(view.member)
        self.ejection.remove_executor(view.member)
        self.update_executor(view, now)
        return grants

    def update_executor(self, view, now):
        """Updates the load limit and placement order of an executor.

        Must be called after each change of its state.
        """
        if self.executors.get(view.member) is not view:
            return
        domains_out = self._node.config.config.domains_out
        view.in_service = view.domain not in domains_out or not mechanisms.is_enabled(
            "domain_gate"
        )
        self._track_absence(view, now)
        view.limit = self.ejection.limit(view.member, view.slots, now)
        if now < view.paused_until:
            view.limit = 0
        free = view.free
        if free <= 0:
            self._free.pop(view.member, None)
            return
        rank = self.speeds.rank(view.member, bool(view.outstanding), now)
        if self.ejection.is_suspect(view.member, now):
            rank += _SUSPECT_RANK_PENALTY
        view.order = (rank, -free, view.member)
        self._free[view.member] = view

    def refresh(self, now):
        """Updates every executor; called at each tick and configuration change."""
        views = self.executors.values()
        for view in views:
            self.update_executor(view, now)
        usable = [view for view in views if view.usable]
        set_faster_rates(usable, self.speeds.slowness)
        if now >= self._recentre_at:
            self._recentre_at = now + _RECENTRE_INTERVAL_S
            self.speeds.recentre()
        self._set_shares(sum(view.slots for view in usable))
        if self._binding_policy is not None:
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

    def _track_absence(self, view, now):
        """Starts a load ramp when an executor is new or returns."""
        if view.link is None or not view.accepting or not view.in_service:
            if view.absent_since is None:
                view.absent_since = now
        elif view.absent_since is not None:
            absent_s = now - view.absent_since
            view.absent_since = None
            # When the whole cell starts, every executor is new, and a ramp would
            # protect nothing.
            if absent_s > _RAMP_MIN_ABSENCE_S and self.speeds.any_known:
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

    def _dispatch_when_woken(self):
        self._wakeup.wait()
        self._wakeup.clear()
        self._dispatch(clock.now())

    def _dispatch(self, now):
        batches = {}
        if self._queued_retries:
            self._place_retries(batches, now)
        if self._binding_policy is None:
            self._place_on_fastest(batches, now)
        else:
            self._bind_tasks(now)
            self._place_bound(batches, now)
        for member, grants in batches.items():
            self._send_or_requeue(self.executors[member], grants, now)
        metrics.QUEUED_TASKS.set(self.queued)

    def _place_on_fastest(self, batches, now):
        queue = self._queue
        heap = [_order_and_view(view) for view in self._free_views()]
        if not queue or not heap:
            return
        if len(queue) == 1:
            heap = [min(heap)]
        else:
            heapq.heapify(heap)
        while queue and heap:
            view = heap[0][1]
            if self._hold(view, now):
                return
            queued, index = queue.pop()
            if not queued.job.attempts and self._will_miss_deadline(queued, now):
                queue.release_slot(queued.tenant)
                self.on_deadline_infeasible(queued.job, now)
                continue
            grant = self._record_grant(view, queued.job, index, now)
            batches.setdefault(view.member, []).append(grant)
            if view.free > 0:
                heapq.heapreplace(heap, _order_and_view(view))
            else:
                heapq.heappop(heap)

    def _will_miss_deadline(self, queued, now):
        """Returns whether the estimates show that a job will miss its deadline.

        Tasks that take longer than earlier ones make the queue longer than
        admission assumed. A job that cannot be completed in time is rejected
        before it uses any slots.
        """
        spec = queued.job.spec
        remaining_s = spec.deadline - now
        tasks = queued.job.tasks
        needed_s = self.speeds.fastest_s(spec.job_class)
        if tasks > 1 and self.speeds.knows(spec.job_class):
            task_s = self.speeds.expected_s(spec.job_class)
            slots = max(1.0, self._share(spec.tenant, now))
            needed_s = max(task_s * self.speeds.min_slowness(), tasks * task_s / slots)
        return needed_s > remaining_s

    def _hold(self, view, now):
        """Returns whether to keep the best free slot idle and wait for a faster one."""
        if not self._hold_enabled or not view.outranked:
            return False
        slowness = self.speeds.slowness(view.member)
        waits = faster_by_waiting(view, slowness, len(self._queue))
        if not waits or self.speeds.is_uncertain(view.member, now):
            self._hold_until = None
            return False
        if self._hold_until is None:
            self._hold_until = now + _MAX_HOLD_S
        if now < self._hold_until:
            return True
        self._hold_until = None
        return False

    def _record_grant(self, view, record, index, now):
        attempt = record.attempts.get(index, 0) + 1
        record.attempts[index] = attempt
        spec = record.spec
        grant = OutstandingGrant(record, index, attempt, now)
        view.outstanding[spec.job_id, index] = grant
        record.running[index, attempt] = view.member
        if spec.idempotent:
            record.tried_executors += (view.member,)
            straggler_s = self.speeds.straggler_s(spec.job_class)
            if straggler_s is not None:
                self._hedgeable.append((now + _HEDGE_FACTOR * straggler_s, grant))
        self.update_executor(view, now)
        record.timeline.add(now, "granted", index, "to", view.member)
        waited_s = now - record.arrived
        record.queue_s = max(record.queue_s, waited_s)
        _queue_seconds(spec.tenant, spec.job_class).observe(waited_s)
        return grant

    def _place_retries(self, batches, now):
        waiting, self._queued_retries = self._queued_retries, deque()
        for record, index in waiting:
            if record.done:
                continue
            view = self._best_untried(record)
            if view is None:
                self._queued_retries.append((record, index))
                continue
            self._queue.acquire_slot(record.spec.tenant)
            grant = self._record_grant(view, record, index, now)
            batches.setdefault(view.member, []).append(grant)

    def _best_untried(self, record):
        """Returns the fastest free executor that was not tried, or None.

        If the request was tried on every usable executor, any of them may be chosen.
        """
        tried = record.tried_executors
        usable = (view for view in self.executors.values() if view.usable)
        if all(view.member in tried for view in usable):
            tried = ()
        others = (view for view in self._free_views() if view.member not in tried)
        return min(others, key=attrgetter("order"), default=None)

    def _free_views(self):
        """Returns the views with free slots to which grants can be sent."""
        return [view for view in self._free.values() if view.linked]

    def _send_or_requeue(self, view, grants, now):
        """Sends new grants; requeues their tasks if the link has closed."""
        if self._send_grants(view, grants, now):
            return
        for grant in grants:
            self._withdraw(view, grant)
            self.requeue(grant.record, grant.index)

    def _withdraw(self, view, grant):
        """Removes a grant that was not sent, so that its task has not started."""
        record = grant.record
        self.release_grant(view, record.spec.job_id, grant.index, grant.attempt)
        record.forget_grant(grant.index, grant.attempt, view.member)

    def _send_grants(self, view, outstanding, now):
        """Sends grants; returns whether the link was open."""
        if not view.linked:
            return False
        grants = [
            Grant(
                grant.record.spec.job_id,
                grant.index,
                grant.attempt,
                grant.record.spec.tasks[grant.index],
                max(0, int((grant.record.spec.deadline - now) * 1000)),
                grant.record.spec.tenant,
                grant.record.spec.job_class,
            )
            for grant in outstanding
        ]
        view.last_batch_at = now
        return view.link.try_send(RunBatch(view.incarnation, grants))

    def _request_reports(self, now):
        """Requests slot reports from executors that got no batch recently.

        Executors report changes of slot use only to active coordinators, and an
        old report may show no free slot.
        """
        if now - self._reports_requested_at < _REPORT_REQUEST_INTERVAL_S:
            return
        self._reports_requested_at = now
        for view in self.executors.values():
            if (
                view.link is not None
                and now - view.last_batch_at > COORDINATOR_ACTIVE_S / 2
            ):
                self._send_grants(view, [], now)

    def _send_cancels(self):
        cancels, self._cancels = self._cancels, {}
        for member, job_ids in cancels.items():
            view = self.executors.get(member)
            if view is not None and view.link is not None:
                view.link.try_send(CancelTasks(job_ids))

    # Baseline policies, which bind a task to an executor when it is submitted.

    def _bind_tasks(self, now):
        usable = [view for view in self.executors.values() if view.usable]
        if not usable:
            return
        if now >= self._reports_valid_until:
            self._reports = executor_loads(usable)
            self._reports_valid_until = now + REPORT_INTERVAL_S
        while self._queue:
            self._binding_policy(usable, self._reports).backlog.append(
                self._queue.pop()
            )
            self._bound_tasks += 1

    def _place_bound(self, batches, now):
        for view in self.executors.values():
            while view.backlog and view.free > 0:
                queued, index = view.backlog.popleft()
                self._bound_tasks -= 1
                if queued.job.done:
                    self._queue.release_slot(queued.tenant)
                    continue
                grant = self._record_grant(view, queued.job, index, now)
                batches.setdefault(view.member, []).append(grant)

    def _unbind(self, view):
        self._bound_tasks -= len(view.backlog)
        while view.backlog:
            queued, index = view.backlog.pop()
            self._queue.release_slot(queued.tenant)
            if not queued.job.done:
                self._queue.requeue(queued, index)


def _order_and_view(view):
    return view.order, view


def _resend_window_passed(view, now):
    # A coordinator that was paused detects closed links when it resumes, not when
    # they broke. Its last timestamp that the executor echoed is a lower bound for
    # the time of the last contact.
    if not view.outstanding:
        return False
    echo_at = view.last_echo_at if view.link is None else view.link.echoed_us / 1e6
    return now - echo_at > _RESEND_WINDOW_S
