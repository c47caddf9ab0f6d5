"""
papayaward.coordination.start_batches
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts of one scheduling round, sent to each executor in one message.
"""

import logging

from ..protocol.gen import ttypes
from ..protocol.jobs import resources_to_wire
from ..protocol.options import MAX_INT32
from ..state import metrics
from .job_report import job_fields
from .job_state import SENT, WAITING

__all__ = ["StartBatches"]

log = logging.getLogger(__name__)


class StartBatches:
    """Collects the starts of a round.

    Args:
        placement: `Placement`.
        lost: `LostTasks`.
        leaves_headroom: Function that takes a `Queue` and returns whether its new jobs
            leave what is kept for more urgent ones.
        wants_queues: Whether executors are to report which queues' tasks they run.
    """

    def __init__(self, placement, lost, leaves_headroom, wants_queues=False):
        self._placement = placement
        self._lost = lost
        self._keeps_headroom = leaves_headroom
        self._wants_queues = wants_queues
        # `StartGroup` by view, then by the phase of a job.
        self._groups = {}

    def add(self, view, task, now):
        """Adds the start of a task and reserves its capacity.

        Args:
            view: `LeasedView` of the executor.
            task: `Task`.
            now: Time, seconds.
        """
        job = task.job
        task.run += 1
        task.state = SENT
        task.executor = view
        task.upstream = view.upstream
        task.sent_at = now
        task.was_pinned = self._lost.is_pinned(task.name)
        view.reserve(task)
        had_begun = job.started
        if not had_begun:
            job.first_start_at = now
            metrics.QUEUE_SECONDS.labels(job.queue.service, job.queue.name).observe(
                now - job.arrived_at
            )
        job.last_start_at = now
        job.starts += 1
        groups = self._groups.setdefault(view, {})
        key = (job.request.job_id, task.phase_number)
        if key not in groups:
            may_use_kept = had_begun or not self._keeps_headroom(job.queue)
            groups[key] = self._group(view, task, may_use_kept, now)
        late_start = self._lost.late_start(task.name, view, now)
        groups[key].starts.append(ttypes.TaskStart(task.name, task.run, late_start))

    def send(self):
        """Sends the starts.

        Yields:
            tuple: `Job` with a start that cannot be sent, and the exception.
        """
        for view, groups in self._groups.items():
            yield from _send(view, list(groups.values()), self._wants_queues)

    def _group(self, view, task, may_use_kept, now):
        job = task.job
        return ttypes.StartGroup(
            job.request.spec,
            resources_to_wire(task.phase.need),
            _wire_ms(job.deadline - now),
            job.request.request_id,
            _wire_ms(self._placement.run_s(view, task)),
            [],
            _wire_ms(task.phase.expected_s),
            job.queue.name,
            task.isolation_limit,
            job.queue.priority if job.queue.sharing.headroom else None,
            may_use_kept,
        )


def _send(view, groups, wants_queues):
    """Sends groups to one executor; yields as `StartBatches.send`.

    If they cannot be sent together, each group is sent alone, so that a job with a
    value that no message can hold does not hold up the others.
    """
    try:
        batch = ttypes.StartBatch(view.next_batch(), groups, wants_queues or None)
        number = batch.number if view.link.try_send(batch) else 0
    except Exception as error:
        if len(groups) > 1:
            for group in groups:
                yield from _send(view, [group], wants_queues)
        else:
            yield _withdraw(view, groups[0]), error
    else:
        for group in groups:
            for start in group.starts:
                view.tasks[start.task].batch = number


def _withdraw(view, group):
    """Takes back the starts of a group that was not sent and returns its `Job`."""
    tasks = [view.tasks.pop(start.task) for start in group.starts]
    for task in tasks:
        task.state, task.executor = WAITING, None
    job = tasks[0].job
    log.exception("start_not_sent", extra=job_fields(job))
    return job


def _wire_ms(seconds):
    return min(MAX_INT32, int(seconds * 1000))
