"""
papayaward.coordination.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queues the tasks of a coordinator and grants them to the executors of its cell.
"""

import heapq
from collections import deque

import gevent
from gevent.event import Event

from .. import clock
from ..loops import repeat
from ..state import metrics
from .cell_executors import CellExecutors
from .early_binding import EarlyBinding
from .ejection import Ejection
from .fair_queue import FairQueue, QueuedJob
from .grants import Grants
from .placement import BINDING_POLICIES
from .queue_load import QueueLoad
from .slot_hold import SlotHold
from .speeds import SpeedEstimates

__all__ = ["Dispatcher"]


class Dispatcher:
    """Task queue of a coordinator, and placement of its tasks.

    Args:
        node: The runner.
        records: `JobRecords`, whose open bytes count towards the admission limit.
    """

    def __init__(self, node, records):
        settings = node.settings
        self._queue = FairQueue()
        self._queued_retries = deque()
        self._wakeup = Event()
        self.speeds = SpeedEstimates()
        self.ejection = Ejection()
        policy = BINDING_POLICIES.get(settings.placement)
        self._binding = EarlyBinding(policy, self._queue)
        self._cell = CellExecutors(node, self.speeds, self.ejection, self._binding)
        self._grants = Grants(self._cell, self._queue, self.speeds)
        self._load = QueueLoad(node, records, self._queue, self.speeds)
        self._hold = SlotHold(self.speeds, settings.hold_slow_slots)
        # Called with the record of a job and the time, when the job can no longer
        # meet its deadline and none of its tasks was granted.
        self.on_deadline_infeasible = None
        gevent.spawn(repeat, self._dispatch_when_woken)

    @property
    def executors(self):
        """`ExecutorView` by member."""
        return self._cell.views

    @property
    def queued(self):
        """Number of tasks waiting for a slot."""
        return len(self._queue) + len(self._queued_retries) + len(self._binding)

    @property
    def slots(self):
        """Total slots of the usable executors, as of the last refresh."""
        return self._load.slots

    def wake(self):
        """Schedules a dispatch in the next iteration of the event loop."""
        self._wakeup.set()

    # Queue.

    def demand(self, spec, size):
        """Returns the `Demand` of a job; see `QueueLoad.demand`."""
        return self._load.demand(spec, size)

    def load(self, account, now):
        """Returns the `Load` of this coordinator for a job of a client account."""
        known_slots = sum(view.slots for view in self.executors.values())
        return self._load.load(account, self.queued, known_slots, now)

    def enqueue(self, record):
        """Queues every task of a job."""
        spec = record.spec
        record.queued_job = QueuedJob(
            record,
            spec.account,
            self._load.priority(spec.job_class),
            spec.deadline,
            int(self.speeds.expected_s(spec.job_class) * 1e6),
            tuple(map(len, spec.tasks)),
        )
        self._queue.add(record.queued_job, range(len(spec.tasks)))
        self._grants.request_reports(record.arrived)
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

    def discard(self, record):
        """Removes the queued tasks of a finished job."""
        if record.queued_job is not None:
            self._queue.remove(record.queued_job)
            record.queued_job = None

    # Grants.

    def start_hedge(self, record, index, now):
        """Starts a second copy of a task if a slot is free and no task is queued.

        Returns:
            bool: Whether the copy was granted.
        """
        if self._queue or self._queued_retries:
            return False
        view = self._cell.best_untried(record)
        if view is None:
            return False
        self._queue.acquire_slot(record.spec.account)
        grant = self._grants.record(view, record, index, now)
        if self._grants.send(view, [grant], now):
            return True
        self._grants.withdraw(view, grant)
        return False

    def take_hedgeable(self):
        """Returns and clears the new grants that may be hedged.

        Returns:
            list: Tuples (monotonic time to hedge, `OutstandingGrant`).
        """
        return self._grants.take_hedgeable()

    def release_grant(self, view, job_id, index, attempt):
        """Removes an outstanding grant and releases its slot.

        Returns:
            OutstandingGrant: The grant, or None if it is not outstanding.
        """
        return self._grants.release(view, job_id, index, attempt)

    def cancel(self, member, job_id):
        """Cancels a job on an executor."""
        self._grants.cancel(member, job_id)

    # Executors.

    def on_members(self, members, now):
        """Updates the executors to the current members of the cell.

        Args:
            members: List of `Member`.
            now: Monotonic time, seconds.
        """
        self._cell.set_members(members, now)
        self.wake()

    def on_executor_up(self, link, now):
        """Registers a link to an executor and resends the outstanding grants.

        Returns:
            ExecutorView: The replaced view, whose tasks are lost, or None.
        """
        view, replaced = self._cell.connect(link, now)
        self._grants.reconcile(view, now)
        self.update_executor(view, now)
        self.wake()
        return replaced

    def on_executor_down(self, link, now):
        """Starts the grace period of an executor whose link closed."""
        self._cell.disconnect(link, now)

    def drop_executor(self, view, now):
        """Discards the state of a lost executor.

        Returns:
            list: Its outstanding grants, as `OutstandingGrant`.
        """
        lost = self._grants.release_all(view)
        self._cell.drop(view, now)
        return lost

    def update_executor(self, view, now):
        """Updates the load limit and placement order of an executor.

        Must be called after each change of its state.
        """
        self._cell.update(view, now)

    def refresh(self, now):
        """Updates every executor; called at each tick and configuration change."""
        self._load.set_slots(self._cell.refresh(now))
        if self._binding.enabled:
            for view in self.executors.values():
                if not view.usable:
                    self._binding.unbind(view)
        if self.queued:
            self.wake()

    # Placement.

    def _dispatch_when_woken(self):
        self._wakeup.wait()
        self._wakeup.clear()
        self._dispatch(clock.now())

    def _dispatch(self, now):
        batches = {}
        if self._queued_retries:
            self._place_retries(batches, now)
        if self._binding.enabled:
            self._binding.bind(self._cell.usable(), now)
            self._place_bound(batches, now)
        else:
            self._place_on_fastest(batches, now)
        for member, grants in batches.items():
            self._send_or_requeue(self.executors[member], grants, now)
        metrics.QUEUED_TASKS.set(self.queued)

    def _place_on_fastest(self, batches, now):
        queue = self._queue
        if not queue:
            return
        heap = [_order_and_view(view) for view in self._cell.free()]
        if not heap:
            return
        if len(queue) == 1:
            heap = [min(heap)]
        else:
            heapq.heapify(heap)
        free = sum(view.free for _, view in heap)
        while queue and heap:
            view = heap[0][1]
            if self._hold.holds(view, len(queue), now):
                return
            queued, index = queue.pop()
            if not queued.job.attempts and self._load.will_miss_deadline(
                queued, free, now
            ):
                queue.release_slot(queued.account)
                self.on_deadline_infeasible(queued.job, now)
                continue
            self._grant(batches, view, queued.job, index, now)
            free -= 1
            if view.free > 0:
                heapq.heapreplace(heap, _order_and_view(view))
            else:
                heapq.heappop(heap)

    def _place_retries(self, batches, now):
        waiting, self._queued_retries = self._queued_retries, deque()
        for record, index in waiting:
            if record.done:
                continue
            view = self._cell.best_untried(record)
            if view is None:
                self._queued_retries.append((record, index))
                continue
            self._queue.acquire_slot(record.spec.account)
            self._grant(batches, view, record, index, now)

    def _place_bound(self, batches, now):
        for view in self.executors.values():
            while view.free > 0:
                task = self._binding.take(view)
                if task is None:
                    break
                record, index = task
                self._grant(batches, view, record, index, now)

    def _grant(self, batches, view, record, index, now):
        grant = self._grants.record(view, record, index, now)
        batches.setdefault(view.member, []).append(grant)

    def _send_or_requeue(self, view, grants, now):
        """Sends new grants; requeues their tasks if the link has closed."""
        if self._grants.send(view, grants, now):
            return
        for grant in grants:
            self._grants.withdraw(view, grant)
            self.requeue(grant.record, grant.index)


def _order_and_view(view):
    return view.order, view
