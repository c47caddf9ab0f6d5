"""
papayaward.coordination.crashes.crashed_jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an entry does with its jobs when it is told of a crash or of a late start.
"""

import logging

from ...protocol.gen import ttypes
from ...state.crashes import job_id_of
from .isolation import Verdict
from .lost_upstreams import with_late_starts

__all__ = ["CrashedJobs"]

log = logging.getLogger(__name__)


class CrashedJobs:
    """Ends the jobs that must not be started again, and stops runs of likely causes.

    Args:
        crashes: `CrashRelay`, whose notices are handled.
        isolation: `Isolation`.
        lost: `LostTasks`.
        jobs: `Job` by identifier; the scheduler changes this dict.
        views: `LeasedView` by the executor's name; the scheduler changes this dict.
        end: Function that takes a `Job`, the kind and the reason of its outcome and the
            current time.
    """

    def __init__(self, crashes, isolation, lost, jobs, views, end):
        self._crashes = crashes
        self._isolation = isolation
        self._lost = lost
        self._jobs = jobs
        self._views = views
        self._end = end
        crashes.on_crash(self._publish_late_starts)
        crashes.on_crash(self._on_crash)
        crashes.on_change(self._on_crash)
        crashes.on_change_with_refusals(self._stop_causes)
        crashes.on_late_start(self._on_late_start_notice)

    def end_if_crashing(self, job, now):
        """Ends a job that must not be started again; returns whether it was ended.

        Args:
            job: `Job`.
            now: Time, seconds.
        """
        verdict = self._isolation.verdict(job, self._views.values(), now)
        if verdict is Verdict.START:
            return False
        kind = "failed" if verdict is Verdict.CONDEMNED else "unknown"
        self._end(job, kind, verdict.value, now)
        return True

    def end_refused(self, job, now):
        """Ends a job that an executor refuses because of crashes under it.

        If this entry does not know the crashes, it cannot say that the job caused them.

        Args:
            job: `Job`.
            now: Time, seconds.
        """
        if not self.end_if_crashing(job, now):
            self._end(job, "unknown", Verdict.EXHAUSTED.value, now)

    def _publish_late_starts(self, crash, now):
        """Adds the tasks of executors' ended processes that a crash may have ended.

        The executor that tells of the crash does not know what was sent by its
        predecessor, and executed by the next lifetime of the upstream.
        """
        tasks = [
            task
            for task in self._lost.started_late_at(crash.upstream)
            if crash.upstream not in self._crashes.records.upstreams_of(task.name)
        ]
        if tasks:
            self._crashes.publish(with_late_starts(crash, tasks), now)

    def _on_late_start_notice(self, start, now):
        """Keeps a task from starting beside a late start that this entry was not told.

        What this entry has sent itself is in `LostTasks`, and a linked executor tells
        it more.
        """
        view = self._views.get(start.executor)
        if view is not None and view.process[1] == start.incarnation:
            return
        job = self._jobs.get(job_id_of(start.task))
        tasks = job.tasks if job is not None else ()
        if not any(
            task.name == start.task and task.may_run_on(start.executor)
            for task in tasks
        ):
            self._lost.on_late_start_notice(start, now)

    def _on_crash(self, crash, now):
        for crashed_job in crash.jobs:
            job = self._jobs.get(crashed_job.job_id)
            if job is not None:
                self.end_if_crashing(job, now)

    def _stop_causes(self, crash, now):
        """Stops the other runs of the jobs that have probably crashed an upstream.

        Each of them may crash one more upstream. A stop costs only the time of a run.
        """
        stops = {}
        for crashed_job in crash.jobs:
            job = self._jobs.get(crashed_job.job_id)
            for task in self._isolation.tasks_to_stop(job, now) if job else ():
                if not self._lost.may_start_again(task.executor, task):
                    stops.setdefault(task.executor, []).append(task.name)
        for view, names in stops.items():
            log.info("runs_stopped", extra={"executor": view.name, "tasks": names})
            view.link.try_send(ttypes.StopBatch(names))
