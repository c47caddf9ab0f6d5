"""
papayaward.coordination.ending_jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs that have an outcome while runs of their tasks may still be active.
"""

from .job_state import DONE, LOST, SENT

__all__ = ["EndingJobs"]


class EndingJobs:
    """Tasks of ended jobs whose runs are being stopped or are out of reach.

    A caller may submit a job again under its identifier as soon as the job has ended,
    but its tasks must not start before the earlier runs are over.
    """

    def __init__(self):
        self._tasks = {}

    def __contains__(self, job_id):
        return job_id in self._tasks

    def add(self, job):
        """Adds the tasks of an ended job that may be running."""
        tasks = {task for task in job.tasks if task.state in (SENT, LOST)}
        if tasks:
            self._tasks.setdefault(job.request.job_id, set()).update(tasks)

    def on_run_over(self, task):
        """Removes a task of an ended job that runs nowhere any more."""
        task.state = DONE
        job_id = task.job.request.job_id
        tasks = self._tasks.get(job_id, set())
        tasks.discard(task)
        if not tasks:
            self._tasks.pop(job_id, None)
