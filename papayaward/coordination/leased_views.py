"""
papayaward.coordination.leased_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State that an entry keeps of an executor that runs tasks under a lease.
"""

from collections import deque

from ..protocol.jobs import Resources, resources_from_wire
from .headroom import kept_cpu

__all__ = ["LeasedView"]


class LeasedView:
    """An entry's view of one executor.

    Args:
        link: Link to the executor's process.
        now: Time at which the link was established, seconds.
    """

    def __init__(self, link, now):
        self.link = link
        self.linked_at = now
        self.name = link.peer.member
        self.service = link.peer.service_name
        self.domain = link.peer.domain
        self.accepting = False
        self.capacity = Resources()
        self.labels = ()
        self.upstream = ""
        # Whether the starts of earlier processes of the executor take no effect any
        # more and their runs have ended.
        self.taken_over = False
        # Names of the tasks of other entries whose start may still be executed.
        self.unsettled_peer_tasks = ()
        # `LateStart` by name of the unsettled tasks of which the entry can't know the
        # number, or the number of requests, by itself.
        self.unsettled_starts = {}
        # `LateStart` of the tasks that the last report has added.
        self.late_starts = ()
        # Number of isolated jobs of other entries.
        self.isolated_peer_jobs = 0
        self.tasks = {}
        self.slow_until = 0.0
        self._free = Resources()
        # What the executor keeps for more urgent queues, see `Headroom`.
        self._kept = {}
        # Thousandths of a core in use there by queue, if the executor tells.
        self._cpu_by_queue = {}
        self._last_batch = 0
        self._acknowledged_batch = 0
        # Names of the tasks that the executor reported as unsettled.
        self._unsettled = frozenset()
        self._unacknowledged = deque()

    @property
    def process(self):
        """Name of the executor and incarnation of its process."""
        return self.name, self.link.peer.incarnation

    def earlier_processes(self, processes):
        """Returns those of some processes that preceded this one of the executor.

        A process that was paused may connect after its successor.

        Args:
            processes: Values of `process`.
        """
        return [
            process
            for process in processes
            if process[0] == self.name and process[1] < self.process[1]
        ]

    @property
    def free(self):
        """`Resources` that are free after subtracting all starts sent so far."""
        return self._free

    @property
    def has_free_capacity(self):
        """Whether any CPU is free."""
        return self._free.cpu_millis > 0

    @property
    def capacity_known(self):
        """Whether the executor has reported the capacity of an upstream."""
        return self.capacity.cpu_millis > 0

    def has_capacity_for(self, task, leaves_headroom=True):
        """Returns whether a task fits beside what is kept for more urgent queues.

        Args:
            task: `Task`.
            leaves_headroom: Whether it has to leave what is kept.
        """
        need, job = task.phase.need, task.job
        if not self._free.covers(need):
            return False
        if not self._kept or not leaves_headroom or job.started:
            return True
        kept = kept_cpu(self._kept, job.queue.priority)
        return not kept or self._free.cpu_millis - need.cpu_millis >= kept

    def kept_cpu(self, priority):
        """Returns what is kept there for queues more urgent than a priority."""
        return kept_cpu(self._kept, priority)

    @property
    def shares(self):
        """Part of the upstream's CPU in use by queue, empty if it is not known."""
        total = max(1, self.capacity.cpu_millis)
        return {queue: cpu / total for queue, cpu in self._cpu_by_queue.items()}

    def suits(self, phase):
        """Returns whether the executor, while idle, could run a task of a `Phase`."""
        has_label = not phase.label or phase.label in self.labels
        return has_label and self.capacity.covers(phase.need)

    def isolated_jobs_beside(self, job):
        """Returns the number of isolated jobs that run there, without one of them.

        Args:
            job: `Job` that is not counted; None to count all.
        """
        own = {task.job for task in self.tasks.values() if task.isolation_limit}
        return len(own - {job}) + self.isolated_peer_jobs

    def may_isolate(self, job, limit):
        """Returns whether an isolated job may start there.

        Args:
            job: `Job`.
            limit: Number of isolated jobs that may run there, the job included.
        """
        limits = [
            task.isolation_limit
            for task in self.tasks.values()
            if task.isolation_limit and task.job is not job
        ]
        return self.isolated_jobs_beside(job) < min([limit, *limits])

    def is_confirmed(self, task):
        """Returns whether no request to start a task will be executed any more.

        The executor has received the start, and the upstream has confirmed the run.

        Args:
            task: `Task` that was sent there.
        """
        is_acknowledged = task.batch <= self._acknowledged_batch
        return is_acknowledged and not self.is_unsettled(task)

    def is_unsettled(self, task):
        """Returns whether the executor has listed a task's start as unsettled.

        Args:
            task: `Task` that was sent there.
        """
        return task.name in self._unsettled

    def requests_to_start(self, task):
        """Returns what may be executed of an unconfirmed task if the process dies.

        The executor starts a task under the number that its entry has chosen, unless it
        knows of late starts, and reports when a request had no reply.

        Args:
            task: `Task` that was sent there.

        Returns:
            tuple: Number of the run, 0 if it is not known, number of requests, and
                start of the lifetime that has executed another one, 0 if none has.
        """
        start = self.unsettled_starts.get(task.name)
        if start is not None and task.batch <= self._acknowledged_batch:
            return start.run or 0, start.requests or 1, start.born_ms or 0
        if task.was_pinned and task.batch > self._acknowledged_batch:
            return 0, 1, 0
        return task.run, 1, 0

    def next_batch(self):
        """Returns the number of the next batch of starts."""
        self._last_batch += 1
        return self._last_batch

    def reserve(self, task):
        """Reserves capacity for a task that is sent with the next batch."""
        need = task.phase.need
        self._free = self._free - need
        self._unacknowledged.append((self._last_batch + 1, need))
        self.tasks[task.name] = task
        if self._cpu_by_queue:
            queue = task.job.queue.name
            cpu = self._cpu_by_queue.get(queue, 0) + need.cpu_millis
            self._cpu_by_queue[queue] = cpu
        self.link.relaxed = False

    def on_capacity_report(self, report):
        """Applies a report of the executor's free capacity.

        The capacity needed by starts that the executor had not received when it sent
        the report is subtracted.

        Args:
            report: `RoomReport`.
        """
        while self._unacknowledged and self._unacknowledged[0][0] <= report.last_batch:
            self._unacknowledged.popleft()
        free = resources_from_wire(report.free)
        for _, need in self._unacknowledged:
            free = free - need
        self._free = free
        self.capacity = resources_from_wire(report.capacity)
        self.accepting = bool(report.accepting)
        self._kept = {row.priority: row.cpu_millis for row in report.kept or ()}
        self._cpu_by_queue = {row.queue: row.cpu_millis for row in report.queues or ()}
        self.labels = tuple(report.labels or ())
        self.upstream = report.upstream
        self.isolated_peer_jobs = report.isolated_peer_jobs or 0
        # An executor accepts no tasks before it has taken over its upstream.
        self.taken_over = self.accepting or bool(report.taken_over)
        self._acknowledged_batch = report.last_batch or 0
        self._unsettled = frozenset(report.unsettled or ())
        self.unsettled_peer_tasks = report.unsettled_peer_tasks or ()
        self.unsettled_starts = {
            start.task: start for start in report.unsettled_starts or ()
        }
        self.late_starts = report.late_starts or ()
