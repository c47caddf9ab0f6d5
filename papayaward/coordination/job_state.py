"""
papayaward.coordination.job_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of the jobs that an entry accepted, and of their tasks.
"""

from gevent.event import Event

__all__ = ["DONE", "LOST", "SENT", "WAITING", "Job", "Task"]

# States of a task. LOST: its executor is unreachable, and it may still run there.
WAITING, SENT, LOST, DONE = "waiting", "sent", "lost", "done"


class Task:
    """One task of a job.

    Args:
        name: Name of the task at the upstream.
        job: Its `Job`.
        phase_number: Index of its phase in the job's phases.
    """

    __slots__ = (
        "avoided_executors",
        "batch",
        "executor",
        "failures",
        "isolation_limit",
        "job",
        "lost_upstreams",
        "moved_run",
        "moves",
        "name",
        "phase_number",
        "retry_at",
        "run",
        "sent_at",
        "state",
        "upstream",
        "was_pinned",
    )

    def __init__(self, name, job, phase_number):
        self.name = name
        self.job = job
        self.phase_number = phase_number
        self.state = WAITING
        self.run = 0
        self.failures = 0
        self.moves = 0
        # Executor's view and number of the run that was last stopped to be moved.
        self.moved_run = None
        self.isolation_limit = 0
        self.avoided_executors = set()
        # Keys of the upstreams whose executors did not return in time.
        self.lost_upstreams = set()
        self.executor = None
        # Key of the upstream that its executor had reported when it was sent.
        self.upstream = ""
        # Whether it was pinned to its executor when it was sent.
        self.was_pinned = False
        # Time before which it is not started again, seconds.
        self.retry_at = 0.0
        self.sent_at = 0.0
        # Number of the batch of starts that contained it, on its executor's link; 0 if
        # the link has not taken the batch.
        self.batch = 0

    @property
    def phase(self):
        """The `Phase` that the task belongs to."""
        return self.job.request.phases[self.phase_number]

    def may_run_on(self, executor_name):
        """Returns whether the task may be running on an executor."""
        return self.state in (SENT, LOST) and self.executor.name == executor_name


class Job:
    """A job that an entry has accepted.

    Args:
        request: `LeasedJobRequest`.
        queue: `Queue` that the job was sent to.
        now: Time of its arrival, seconds.
    """

    def __init__(self, request, queue, now):
        self.request = request
        self.queue = queue
        self.arrived_at = now
        self.deadline = now + request.timeout_s
        self.objective_s = queue.stretch * self._total_critical_path_s() + queue.slack_s
        self.outcome = None
        self.callers = 0
        self.finished = Event()
        self.first_start_at = None
        self.last_start_at = None
        self.starts = 0
        # Whether a start led to a run, or may have.
        self.may_have_run = False
        self.phases = [
            [
                Task(f"{request.job_id}.0.{number}.{i}", self, number)
                for i in range(phase.count)
            ]
            for number, phase in enumerate(request.phases)
        ]
        self._unfinished = [phase.count for phase in request.phases]
        self._path_after_s = _critical_paths_after(request.phases)

    @property
    def started(self):
        """Whether a task was sent to an executor that has not refused it."""
        return self.first_start_at is not None

    @property
    def objective_at(self):
        """Time by which the job must end to meet its latency objective, seconds."""
        return self.arrived_at + self.objective_s

    @property
    def tasks(self):
        """List of all tasks of the job."""
        return [task for phase in self.phases for task in phase]

    def ready_phases(self):
        """Yields the indexes of unfinished phases whose dependencies are done."""
        for number, phase in enumerate(self.request.phases):
            if self._unfinished[number] and not any(
                self._unfinished[i] for i in phase.after
            ):
                yield number

    def waiting_tasks(self, number):
        """Returns the tasks of a phase that are not assigned to an executor."""
        return [task for task in self.phases[number] if task.state is WAITING]

    @property
    def has_waiting_tasks(self):
        """Whether a task of a ready phase is not assigned to an executor."""
        return any(
            task.state is WAITING
            for number in self.ready_phases()
            for task in self.phases[number]
        )

    def critical_path_s(self):
        """Returns the declared run time of the unfinished critical path, seconds."""
        return max(
            (
                self.request.phases[number].expected_s + self._path_after_s[number]
                for number in self.ready_phases()
            ),
            default=0.0,
        )

    def on_start_refused(self):
        """Counts the job as not started if executors have refused all of its starts."""
        is_waiting = all(task.state is WAITING for task in self.tasks)
        if is_waiting and not self.may_have_run:
            self.first_start_at = None

    def on_task_done(self, task):
        """Marks a task as done and returns whether the job is complete."""
        task.state = DONE
        self._unfinished[task.phase_number] -= 1
        return not any(self._unfinished)

    def critical_path_after_s(self, number):
        """Returns the declared run time of the critical path after a phase, seconds."""
        return self._path_after_s[number]

    def _total_critical_path_s(self):
        ends = []
        for phase in self.request.phases:
            before = max((ends[i] for i in phase.after), default=0.0)
            ends.append(before + phase.expected_s)
        return max(ends)


def _critical_paths_after(phases):
    """Returns the declared run time of the critical path after each phase, seconds."""
    path_after_s = [0.0] * len(phases)
    for number in range(len(phases) - 1, -1, -1):
        for before in phases[number].after:
            path_s = phases[number].expected_s + path_after_s[number]
            path_after_s[before] = max(path_after_s[before], path_s)
    return path_after_s
