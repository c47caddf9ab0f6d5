"""
papayaward.state.job_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of the jobs of one coordinator, from submission until their answers expire.
"""

import heapq
from collections import deque
from dataclasses import dataclass, replace
from itertools import count

from ..protocol.outcomes import Outcome
from .timeline import Timeline

__all__ = ["JobRecord", "JobRecords", "JobSpec"]

# Approximate memory of a record without its tasks and results.
_RECORD_BYTES = 1000

# Refused jobs have a separate limit, so that many refusals cannot evict answers.
# After a refused record is evicted, the bit of its number in `IdBlocks` still
# identifies a duplicate.
_MAX_REFUSED = 20_000


@dataclass(frozen=True)
class JobSpec:
    """A job as submitted by a caller.

    Attributes:
        job_id: Identifier, text.
        service: Service that runs the tasks.
        account: Client account to which the job is charged.
        job_class: Class of the job.
        deadline: Monotonic time by which the answer is due, seconds.
        idempotent: Whether a task may be started again after its run was lost.
        tasks: One bytes value per task.
    """

    job_id: str
    service: str
    account: str
    job_class: str
    deadline: float
    idempotent: bool
    tasks: tuple


class JobRecord:
    """State of one job at its coordinator.

    `started` counts tasks known to have started; `maybe_started` is set when it is
    not known whether a granted task started. `running` maps (index, attempt) to the
    executor. `lost_runs` counts runs that were lost with their executor or upstream.
    `tasks` is the number of tasks, which a finished job keeps without the tasks
    themselves. `tried_executors` names the executors that an idempotent request was
    granted to.

    Args:
        spec: `JobSpec` of the submission.
        now: Time of arrival, monotonic seconds.
        digest: Hash of the submission, to detect duplicates.
    """

    __slots__ = (
        "spec",
        "tasks",
        "queued_job",
        "digest",
        "arrived",
        "results",
        "missing_results",
        "attempts",
        "extra_attempts",
        "lost_runs",
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
        self.queued_job = None
        self.digest = digest
        self.arrived = now
        self.results = [None] * tasks
        self.missing_results = tasks
        self.attempts = {}
        self.extra_attempts = 0
        self.lost_runs = 0
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

    def forget_grant(self, index, attempt, member):
        """Removes a grant under which the task provably did not start."""
        self.running.pop((index, attempt), None)
        if member in self.tried_executors:
            # An earlier grant to the same executor keeps its own entry.
            tried = list(self.tried_executors)
            tried.remove(member)
            self.tried_executors = tuple(tried)


class JobRecords:
    """Records of the jobs of one coordinator, by identifier.

    Finished records are kept for a limited time and within a bound on bytes;
    the oldest ones are evicted first.

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
        self._account_bytes = {}
        self._open_count = 0
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
        self._open_count += 1
        self._add_open_bytes(record, record.size)
        due = (record.spec.deadline, next(self._sequence), record)
        heapq.heappush(self._deadlines, due)

    @property
    def open_count(self):
        """Number of jobs without an outcome."""
        return self._open_count

    def pop_overdue(self, now):
        """Removes and returns the open records whose deadline has passed."""
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
        """Adds to the size of an open record, in bytes."""
        record.size += size
        self._add_open_bytes(record, size)

    def account_bytes(self, account):
        """Returns the open bytes of one client account."""
        return self._account_bytes.get(account, 0)

    def _add_open_bytes(self, record, size):
        self._open_bytes += size
        account = record.spec.account
        total = self._account_bytes.get(account, 0) + size
        if total:
            self._account_bytes[account] = total
        else:
            self._account_bytes.pop(account, None)

    @property
    def kept_bytes(self):
        """Bytes of the kept results of finished jobs."""
        return self._kept_bytes

    def finish(self, record, outcome, now):
        """Sets the outcome of a record and starts its retention."""
        self._open_count -= 1
        self._add_open_bytes(record, -record.size)
        record.outcome = outcome
        record.finished = now
        record.results = ()
        record.running = {}
        # Otherwise the tasks would stay in memory until the answer expires.
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
        """Evicts finished records that have expired or exceed the bound."""
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
