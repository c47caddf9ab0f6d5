"""
papayaward.coordination.grants
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records the grants of a coordinator and sends them to executors, with cancellations
and requests for slot reports.
"""

from functools import lru_cache

import gevent

from ..protocol.gen.ttypes import CancelTasks, Grant, RunBatch
from ..state import metrics
from .executor import COORDINATOR_ACTIVE_S
from .executor_views import OutstandingGrant

__all__ = ["Grants"]

_REPORT_REQUEST_INTERVAL_S = 1.0
# A request is hedged after this many times the 95th percentile of its class's
# service time. A factor of 1 would start 1 in 20 healthy requests twice.
_HEDGE_FACTOR = 2.0

# Caches the labelled metrics: the client library looks them up under a lock, which
# took a tenth of the CPU time spent on a task.
_queue_seconds = lru_cache(4096)(metrics.QUEUE_SECONDS.labels)


class Grants:
    """Outstanding grants of one coordinator; each holds a slot of its client account.

    Args:
        executors: `CellExecutors`.
        queue: `FairQueue`, which counts the slots in use.
        speeds: `SpeedEstimates`.
    """

    def __init__(self, executors, queue, speeds):
        self._executors = executors
        self._queue = queue
        self._speeds = speeds
        self._hedgeable = []
        self._cancels = {}
        self._reports_requested_at = 0.0

    def record(self, view, record, index, now):
        """Records the grant of a task, which is to be sent next.

        Returns:
            OutstandingGrant: The grant.
        """
        attempt = record.attempts.get(index, 0) + 1
        record.attempts[index] = attempt
        spec = record.spec
        grant = OutstandingGrant(record, index, attempt, now)
        view.outstanding[spec.job_id, index] = grant
        record.running[index, attempt] = view.member
        if spec.idempotent:
            record.tried_executors += (view.member,)
            straggler_s = self._speeds.straggler_s(spec.job_class)
            if straggler_s is not None:
                self._hedgeable.append((now + _HEDGE_FACTOR * straggler_s, grant))
        self._executors.update(view, now)
        record.timeline.add(now, "granted", index, "to", view.member)
        waited_s = now - record.arrived
        record.queue_s = max(record.queue_s, waited_s)
        _queue_seconds(spec.account, spec.job_class).observe(waited_s)
        return grant

    def take_hedgeable(self):
        """Returns and clears the new grants that may be hedged.

        Returns:
            list: Tuples (monotonic time to hedge, `OutstandingGrant`).
        """
        taken, self._hedgeable = self._hedgeable, []
        return taken

    def send(self, view, outstanding, now):
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
                grant.record.spec.account,
                grant.record.spec.job_class,
            )
            for grant in outstanding
        ]
        view.last_batch_at = now
        return view.link.try_send(RunBatch(view.incarnation, grants))

    def release(self, view, job_id, index, attempt):
        """Removes an outstanding grant and releases its slot.

        Returns:
            OutstandingGrant: The grant, or None if it is not outstanding.
        """
        key = (job_id, index)
        grant = view.outstanding.get(key)
        if grant is None or grant.attempt != attempt:
            return None
        del view.outstanding[key]
        self._queue.release_slot(grant.record.spec.account)
        return grant

    def release_all(self, view):
        """Removes and returns the outstanding grants of a lost executor, a list."""
        grants = list(view.outstanding.values())
        view.outstanding = {}
        for grant in grants:
            self._queue.release_slot(grant.record.spec.account)
        return grants

    def withdraw(self, view, grant):
        """Removes a grant that was not sent, so that its task has not started."""
        record = grant.record
        self.release(view, record.spec.job_id, grant.index, grant.attempt)
        record.forget_grant(grant.index, grant.attempt, view.member)

    def reconcile(self, view, now):
        """Resends the outstanding grants and cancels those of finished jobs."""
        finished = set()
        for key, grant in list(view.outstanding.items()):
            if grant.record.done:
                del view.outstanding[key]
                self._queue.release_slot(grant.record.spec.account)
                finished.add(grant.record.spec.job_id)
        if finished:
            view.link.try_send(CancelTasks(sorted(finished)))
        if view.outstanding:
            self.send(view, list(view.outstanding.values()), now)

    def cancel(self, member, job_id):
        """Cancels a job on an executor.

        Cancellations of the same event loop iteration are sent in one message.
        """
        if not self._cancels:
            gevent.get_hub().loop.run_callback(self._send_cancels)
        self._cancels.setdefault(member, []).append(job_id)

    def request_reports(self, now):
        """Requests slot reports from executors that got no batch recently.

        Executors report changes of slot use only to active coordinators, and an
        old report may show no free slot.
        """
        if now - self._reports_requested_at < _REPORT_REQUEST_INTERVAL_S:
            return
        self._reports_requested_at = now
        for view in self._executors.views.values():
            if (
                view.link is not None
                and now - view.last_batch_at > COORDINATOR_ACTIVE_S / 2
            ):
                self.send(view, [], now)

    def _send_cancels(self):
        cancels, self._cancels = self._cancels, {}
        for member, job_ids in cancels.items():
            view = self._executors.views.get(member)
            if view is not None and view.link is not None:
                view.link.try_send(CancelTasks(job_ids))
