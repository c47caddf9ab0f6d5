"""
papayaward.coordination.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued tasks on the executors of a cell.
"""

import time

import gevent
from gevent.event import Event

from ..protocol.gen.ttypes import CancelTasks, Grant, RunBatch
from ..state import metrics
from .admission import Load
from .ejection import Ejection
from .executor_views import ExecutorView
from .fair_queue import FairQueue
from .placement import POLICIES, SpeedEstimates

__all__ = ["Dispatcher"]


# Grants are sent again only while the executor surely remembers their starts
# (60 s) and keeps their results (10 s).
_SEND_AGAIN_WITHIN_S = 8.0


class Dispatcher:
    """Queue of a home and the executors of its cell.

    Args:
        node: The runner.
        records: `JobRecords`, whose kept results count against the bound on bytes.
    """

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._queue = FairQueue()
        self._queued_bytes = 0
        self._queued_work_s = 0.0
        self._policy = POLICIES[node.settings.placement]
        self._wakeup = Event()
        self.executors = {}
        self.speeds = SpeedEstimates()
        self.ejection = Ejection()
        gevent.spawn(self._dispatch_loop)

    @property
    def queued(self):
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    def wake(self):
        """Places tasks in the next turn of the event loop."""
        self._wakeup.set()

    def give_slot(self, tenant):
        """Counts a slot as no longer used by a tenant."""
        self._queue.give_slot(tenant)

    def load(self):
        """Returns the `Load` of this home."""
        slots = sum(view.slots for view in self.executors.values() if view.usable)
        return Load(
            len(self._queue),
            self._queued_bytes + self._records.kept_bytes,
            slots,
            self._queued_work_s,
        )

    def enqueue(self, record, index, front=False):
        """Queues one task."""
        spec = record.spec
        job_class = self._node.config.config.classes.get(spec.job_class)
        priority = job_class.priority if job_class is not None else 10
        self._queue.push(spec.tenant, priority, (record, index), front)
        self._queued_bytes += len(spec.tasks[index])
        self._queued_work_s += self.speeds.expected_s(spec.job_class)

    def prune(self):
        """Drops the queued tasks of jobs that are done."""
        self._queue.prune(lambda entry: not entry[0].done)
        if not self._queue:
            self._queued_bytes = 0
            self._queued_work_s = 0.0

    def on_members(self, members):
        """Takes the members of the cell; returns the views that were replaced."""
        replaced = []
        present = {(member.member, member.incarnation) for member in members}
        for member in members:
            view = self.executors.get(member.member)
            # The greeting on a link is newer than what an entry still lists.
            if view is None or (
                view.incarnation != member.incarnation
                and view.link is None
                and view.lost_at is None
            ):
                if view is not None:
                    replaced.append(view)
                self.executors[member.member] = ExecutorView(
                    member.member, member.incarnation, member.domain
                )
        names = {member.member for member in members}
        for view in list(self.executors.values()):
            view.listed = view.member in names
            known = (view.member, view.incarnation) in present
            if not known and not view.outstanding and view.link is None:
                del self.executors[view.member]
        self._wakeup.set()
        return replaced

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
            view = ExecutorView(hello.member, hello.incarnation, hello.domain)
            self.executors[hello.member] = view
        view.link = link
        view.lost_at = None
        self._reconcile(view, now)
        self._wakeup.set()
        return replaced

    def _reconcile(self, view, now):
        """Sends the outstanding grants again, but for jobs that were answered."""
        finished = set()
        for key, (record, _, _) in list(view.outstanding.items()):
            if record.done:
                del view.outstanding[key]
                self._queue.give_slot(record.spec.tenant)
                finished.add(record.spec.job_id)
        if finished:
            view.link.try_send(CancelTasks(sorted(finished)))
        if view.outstanding:
            self._send_grants(view, list(view.outstanding.values()), now)

    def on_executor_down(self, link, now):
        """Starts the grace period of an executor whose link closed."""
        view = self.executors.get(link.peer.member)
        if view is not None and view.link is link:
            view.link = None
            view.lost_at = now
            view.heard = link.echoed_us / 1e6

    def _dequeue(self, total_slots):
        tenants = self._node.config.config.tenants

        def shares(name):
            tenant = tenants.get(name)
            if tenant is None:
                return 0.0, 1.0
            return tenant.quota * total_slots, tenant.weight

        item = self._queue.pop(shares, lambda entry: not entry[0].done)
        if not self._queue:
            self._queued_bytes = 0
            self._queued_work_s = 0.0
        elif item is not None:
            record, index = item
            self._queued_bytes -= len(record.spec.tasks[index])
            self._queued_work_s -= self.speeds.expected_s(record.spec.job_class)
        return item

    def _dispatch_loop(self):
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            self._dispatch(time.monotonic())

    def _dispatch(self, now):
        self._refresh_views(now)
        executors = list(self.executors.values())
        total_slots = sum(view.slots for view in executors if view.usable)
        batches = {}
        while self._queue:
            view = self._policy(executors, self.speeds)
            if view is None:
                break
            item = self._dequeue(total_slots)
            if item is None:
                break
            record, index = item
            attempt = record.attempts.get(index, 0) + 1
            record.attempts[index] = attempt
            entry = (record, index, attempt)
            view.outstanding[record.spec.job_id, index] = entry
            record.running[index] = view.member
            self._queue.take_slot(record.spec.tenant)
            record.timeline.add(now, "granted", index, "to", view.member)
            waited_s = now - record.arrived
            record.queue_s = max(record.queue_s, waited_s)
            metrics.QUEUE_SECONDS.labels(
                record.spec.tenant, record.spec.job_class
            ).observe(waited_s)
            batches.setdefault(view.member, []).append(entry)
        for member, entries in batches.items():
            self._send_grants(self.executors[member], entries, now)
        metrics.QUEUED_TASKS.set(len(self._queue))

    def _refresh_views(self, now):
        domains_out = self._node.config.config.domains_out
        for view in self.executors.values():
            view.in_service = view.domain not in domains_out
            view.limit = self.ejection.limit(view.member, view.slots, now)

    def _send_grants(self, view, entries, now):
        grants = [
            Grant(
                record.spec.job_id,
                index,
                attempt,
                record.spec.tasks[index],
                max(0, int((record.spec.deadline - now) * 1000)),
                record.spec.tenant,
                record.spec.job_class,
            )
            for record, index, attempt in entries
        ]
        if view.link is not None:
            view.link.try_send(RunBatch(view.incarnation, grants))


def _too_late(view, now):
    # A paused home sees its links close when it wakes, not when they broke. The
    # last own stamp that came back tells how old its knowledge is.
    if not view.outstanding:
        return False
    heard = view.heard if view.link is None else view.link.echoed_us / 1e6
    return now - heard > _SEND_AGAIN_WITHIN_S
