"""
benchmarks.crash_model.tally
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts of starts, crashes and answers.
"""

from collections import Counter

from .load import Result

__all__ = ["CHECK_S", "Tally"]

# Interval at which answers are looked for, seconds.
CHECK_S = 0.02


class Tally:
    """Counts what is seen.

    Attributes:
        tasks: Number of tasks submitted.
        answered: Answered jobs.
        down: Parts of the upstreams that were down, one for each check.
    """

    def __init__(self):
        self.tasks = 0
        self.answered = []
        self.down = []
        self._deadly = set()
        self._starts, self._late_starts = Counter(), Counter()
        self._crashes_of, self._crashes = Counter(), 0

    def add_deadly(self, job_id, indexes):
        """Makes tasks of a job deadly."""
        self._deadly.update(_task_name(job_id, index) for index in indexes)

    def on_start(self, run):
        """Counts a start and returns whether the task is deadly."""
        if run.task not in self._deadly:
            return False
        self._starts[run.task] += 1
        self._late_starts[run.task] += self._crashes_of[run.task] >= 3
        return True

    def on_crash(self, runs):
        """Counts a crash and the runs that it ended."""
        self._crashes += 1
        self._crashes_of.update(run.task for run in runs)

    def result(self):
        """Returns the `Result`."""
        innocent = [a for a in self.answered if not self._is_deadly(a.request)]
        failed = [a for a in innocent if a.outcome.kind == "failed"]
        return Result(
            self.tasks,
            len({task.partition(".")[0] for task in self._deadly}),
            self._crashes,
            max(self._starts.values(), default=0),
            max(self._late_starts.values(), default=0),
            len(failed),
            sum(self._most_crashes(job) < 3 for job in failed),
            sum(self._most_crashes(job) < 2 for job in failed),
            _share_in_time(a for a in innocent if a.queue.name != "deadly"),
            _share_in_time(a for a in innocent if a.queue.name == "deadly"),
            _share_in_time(innocent),
            sum(self.down) / max(1, len(self.down)),
        )

    def _is_deadly(self, request):
        tasks = request.phases[0].count
        return any(_task_name(request.job_id, i) in self._deadly for i in range(tasks))

    def _most_crashes(self, job):
        return max(self._crashes_of[task.name] for task in job.tasks)


def _task_name(job_id, index):
    return f"{job_id}.0.0.{index}"


def _share_in_time(jobs):
    jobs = list(jobs)
    in_time = sum(
        job.outcome.kind == "completed" and job.response_s <= job.objective_s + CHECK_S
        for job in jobs
    )
    return in_time / max(1, len(jobs))
