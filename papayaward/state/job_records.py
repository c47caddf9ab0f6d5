"""
papayaward.state.job_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs of one home, from submission until their answers expire.
"""

import heapq
from collections import deque
from dataclasses import dataclass, replace
from itertools import count

from ..protocol.outcomes import Outcome
from .timeline import Timeline

__all__ = ["JobRecord", "JobRecords", "JobSpec"]

# Memory of a record without tasks and results, about.
_RECORD_BYTES = 1000

# Refused jobs are kept apart, so that a flood of them does not push out answers.
# After that the number's bit in its block still tells a duplicate.
_MAX_REFUSED = 20_000


@dataclass(frozen=True)
class JobSpec:
    """What a caller submitted.

    Attributes:
        job_id: Identifier, text.
        service: Service that runs the tasks.
        tenant: Tenant that the job is accounted to.
        job_class: Class of the job.
        deadline: Monotonic time by which the answer is due, seconds.
        idempotent: Whether tasks may be started again after a loss.
        tasks: One bytes value per task.
    """

    job_id: str
    service: str
    tenant: str
    job_class: str
    deadline: float
    idempotent: bool
    tasks: tuple


class JobRecord:
    """One job at its home.

    `started` counts tasks known to have started; `maybe_started` is set when the
    fate of a granted task is not known. `running` maps (index, attempt) to the
    executor. `tasks` is the number of tasks, which a finished job keeps without
    the tasks themselves. `tried_executors` names the executors that an idempotent
    request was granted to.

    Args:
        spec: What was submitted.
        now: Time of arrival, monotonic seconds.
        digest: Hash of the submission, to recognise its copies.
    """

    __slots__ = (
        "spec",
        "tasks",
        "queued",
        "digest",
        "arrived",
        "results",
        "missing_results",
        "attempts",
        "extra_attempts",
        "tried_executors",
        "started",
        "maybe_started",
        "running",
        "waiters",
        "timeline",
        "outcome",
        "finished",
        "queue_s",
        "service_s",
        "size",
    )

    def __init__(self, spec, now, digest=b""):
        tasks = len(spec.tasks)
        self.spec = spec
        self.tasks = tasks
        self.queued = None
        self.digest = digest
        self.arrived = now
        self.results = [None] * tasks
        self.missing_results = tasks
        self.attempts = {}
        self.extra_attempts = 0
        self.tried_executors = ()
        self.started = 0
        self.maybe_started = False
        self.running = {}
        self.waiters = []
        self.timeline = Timeline(now)
        self.outcome = None
        self.finished = None
        self.queue_s = 0.0
        self.service_s = 0.0
        self.size = sum(map(len, spec.tasks))

    @property
    def done(self):
        """Whether the job has its outcome."""
        return self.outcome is not None


class JobRecords:
    """Records of one home by identifier.

    Finished records are kept for a limited time and within a bound on bytes;
    the oldest ones go first.

    Args:
        ttl_s: Time for which a finished record is kept, in seconds.
        max_bytes: Bound on the bytes of kept results.
    """

    def __init__(self, ttl_s, max_bytes):
        self._ttl_s = ttl_s
        self._max_bytes = max_bytes
        self._records = {}
        self._finished = deque()
        self._refused = deque()
        self._kept_bytes = 0
        self._open_bytes = 0
        self._tenant_bytes = {}
        self._open = 0
        self._deadlines = []
        self._sequence = count()

    def __len__(self):
        return len(self._records)

    def get(self, job_id):
        """Returns the record of a job, or None."""
        return self._records.get(job_id)

    def add(self, record):
        """Adds the record of a new job."""
        self._records[record.spec.job_id] = record
        self._open += 1
        self._count_open(record, record.size)
        due = (record.spec.deadline, next(self._sequence), record)
        heapq.heappush(self._deadlines, due)

    @property
    def open_count(self):
        """Number of jobs without an outcome."""
        return self._open

    def pop_overdue(self, now):
        """Returns the open records whose deadline has passed, once each."""
        due = []
        while self._deadlines and self._deadlines[0][0] <= now:
            record = heapq.heappop(self._deadlines)[2]
            if not record.done:
                due.append(record)
        return due

    @property
    def open_bytes(self):
        """Bytes of the tasks and results of jobs without an outcome."""
        return self._open_bytes

    def add_bytes(self, record, size):
        """Counts bytes that were added to an open record."""
        record.size += size
        self._count_open(record, size)

    def tenant_bytes(self, tenant):
        """Returns the open bytes of one tenant."""
        return self._tenant_bytes.get(tenant, 0)

    def _count_open(self, record, size):
        self._open_bytes += size
        tenant = record.spec.tenant
        left = self._tenant_bytes.get(tenant, 0) + size
        if left:
            self._tenant_bytes[tenant] = left
        else:
            self._tenant_bytes.pop(tenant, None)

    @property
    def kept_bytes(self):
        """Bytes of the kept results of finished jobs."""
        return self._kept_bytes

    def finish(self, record, outcome, now):
        """Sets the outcome of a record and starts its retention."""
        self._open -= 1
        self._count_open(record, -record.size)
        record.outcome = outcome
        record.finished = now
        record.results = ()
        record.running = {}
        # The tasks would otherwise stay in memory as long as the answer.
        record.spec = replace(record.spec, tasks=())
        if outcome.outcome is Outcome.NOT_RUN:
            record.size = 0
            self._refused.append(record)
        else:
            record.size = _RECORD_BYTES + sum(map(len, outcome.results))
            self._kept_bytes += record.size
            self._finished.append(record)
        self.expire(now)

    def expire(self, now):
        """Drops finished records past their time or over the bound."""
        while self._finished:
            record = self._finished[0]
            fits = self._kept_bytes <= self._max_bytes
            if fits and now - record.finished < self._ttl_s:
                break
            self._finished.popleft()
            self._kept_bytes -= record.size
            self._records.pop(record.spec.job_id, None)
        while self._refused:
            record = self._refused[0]
            fits = len(self._refused) <= _MAX_REFUSED
            if fits and now - record.finished < self._ttl_s:
                break
            self._refused.popleft()
            self._records.pop(record.spec.job_id, None)
