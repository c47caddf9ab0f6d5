"""
papayaward.coordination.job_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs and their tasks at the entry that took them.
"""

from gevent.event import Event

__all__ = ["DONE", "LOST", "SENT", "WAITING", "Job", "Task"]

# States of a task. LOST: its executor is out of reach, and it may still run there.
WAITING, SENT, LOST, DONE = "waiting", "sent", "lost", "done"


class Task:
    """One task of a job.

    Args:
        name: Name of the task at the upstream.
        job: Its `Job`.
        phase_number: Number of its phase.
    """

    __slots__ = (
        "avoid",
        "executor",
        "failures",
        "job",
        "moves",
        "name",
        "phase_number",
        "run",
        "sent_at",
        "state",
    )

    def __init__(self, name, job, phase_number):
        self.name = name
        self.job = job
        self.phase_number = phase_number
        self.state = WAITING
        self.run = 0
        self.failures = 0
        self.moves = 0
        self.avoid = set()
        self.executor = None
        self.sent_at = 0.0

    @property
    def phase(self):
        """The `Phase` that the task belongs to."""
        return self.job.request.phases[self.phase_number]

    def runs_at(self, executor_name):
        """Returns whether the task may be running at an executor."""
        return self.state in (SENT, LOST) and self.executor.name == executor_name


class Job:
    """A job that an entry answers.

    Args:
        request: `JobRequest`.
        queue: `Queue` that the job was sent to.
        now: Time of its arrival, seconds.
    """

    def __init__(self, request, queue, now):
        self.request = request
        self.queue = queue
        self.arrived_at = now
        self.give_up_at = now + request.timeout_s
        self.objective_s = queue.stretch * self._chain_s() + queue.slack_s
        self.outcome = None
        self.callers = 0
        self.finished = Event()
        self.begun_at = None
        self.last_start_at = None
        self.starts = 0
        self.phases = [
            [
                Task(f"{request.job_id}.0.{number}.{i}", self, number)
                for i in range(phase.count)
            ]
            for number, phase in enumerate(request.phases)
        ]
        self._left = [phase.count for phase in request.phases]
        self._after_s = _chains_after(request.phases)

    @property
    def begun(self):
        """Whether a task was sent to an executor."""
        return self.begun_at is not None

    @property
    def objective_at(self):
        """Time by which the job should be done, seconds."""
        return self.arrived_at + self.objective_s

    @property
    def tasks(self):
        """Every task of the job."""
        return [task for phase in self.phases for task in phase]

    def open_phases(self):
        """Yields the numbers of the phases whose tasks may run now."""
        for number, phase in enumerate(self.request.phases):
            if self._left[number] and not any(self._left[i] for i in phase.after):
                yield number

    def waiting(self, number):
        """Returns the tasks of a phase that wait for an executor."""
        return [task for task in self.phases[number] if task.state is WAITING]

    @property
    def has_waiting(self):
        """Whether a task of an open phase waits for an executor."""
        return any(
            task.state is WAITING
            for number in self.open_phases()
            for task in self.phases[number]
        )

    def left_s(self):
        """Returns the stated time of the longest chain that is not done, seconds."""
        return max(
            (
                self.request.phases[number].expected_s + self._after_s[number]
                for number in self.open_phases()
            ),
            default=0.0,
        )

    def on_task_done(self, task):
        """Marks a task as done and returns whether the job is complete."""
        task.state = DONE
        self._left[task.phase_number] -= 1
        return not any(self._left)

    def chain_after_s(self, number):
        """Returns the stated time of the longest chain that follows a phase."""
        return self._after_s[number]

    def _chain_s(self):
        ends = []
        for phase in self.request.phases:
            before = max((ends[i] for i in phase.after), default=0.0)
            ends.append(before + phase.expected_s)
        return max(ends)


def _chains_after(phases):
    """Returns the stated time of the longest chain after each phase, seconds."""
    found = [0.0] * len(phases)
    for number in range(len(phases) - 1, -1, -1):
        for before in phases[number].after:
            chain_s = phases[number].expected_s + found[number]
            found[before] = max(found[before], chain_s)
    return found
