"""
papayaward.coordination.job_scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Schedules the jobs of callers that keep a connection to this entry open.

The entry that holds a caller's connection owns the job: if the entry dies, the
caller's connection breaks and it submits the job again, so nothing has to be stored.
"""

import logging

import gevent
from gevent.event import Event

from .. import clock
from ..loops import repeat
from ..protocol.gen import ttypes
from ..protocol.jobs import LeasedJobOutcome
from . import start_refusals
from .crashes.crash_relay import CrashRelay
from .crashes.crashed_jobs import CrashedJobs
from .crashes.isolation import Isolation, Verdict
from .crashes.lost_upstreams import LostUpstreams
from .early_ends import EarlyEnds, ended_early
from .job_placement import Placement
from .job_report import job_fields, report_end
from .job_state import SENT, WAITING, Job
from .leased_views import LeasedView
from .lost_tasks import LostTasks, Release
from .placement_report import PlacementReports
from .run_starter import LATE_START
from .run_statistics import RunStatistics
from .slow_runs import move_slow_runs
from .start_batches import StartBatches
from .start_forecast import StartForecast

__all__ = ["JobScheduler"]

log = logging.getLogger(__name__)

_TICK_S = 0.02
# Messages that arrive during the pause are handled together in the next round.
_ROUND_PAUSE_S = 0.002
# Time between two starts of a task that no other executor may start. An executor that
# refuses it would else be asked again at once.
_PINNED_RETRY_S = 0.05
# The same if the upstream rejects the only number that the task may start under, which
# only its next lifetime changes.
_LATE_START_RETRY_S = 0.2


class JobScheduler:
    """Queues the jobs of one entry and has executors run their tasks.

    Args:
        is_domain_out: Function that returns whether a failure domain is out of
            service.
        crashes: `CrashRelay` of this process; a new one if not given.
        has_unlinked_entries: Function that returns whether there may be entries without
            a link to some executor.

    Attributes:
        reports: `PlacementReports`.
    """

    def __init__(self, is_domain_out, crashes=None, has_unlinked_entries=lambda: True):
        self._crashes = crashes or CrashRelay()
        self._has_unlinked_entries = has_unlinked_entries
        self._jobs = {}
        # Jobs that may have tasks without an executor, by identifier.
        self._waiting = {}
        self._views = {}
        self._lost = LostTasks()
        self._lost_upstreams = LostUpstreams()
        self._statistics = RunStatistics()
        self._placement = Placement(self._statistics, is_domain_out, self._lost)
        self._isolation = Isolation(self._crashes, self._placement, self._jobs)
        self._forecast = StartForecast(self._placement)
        self._early_ends = EarlyEnds(self._placement, self._isolation, self._forecast)
        self.reports = PlacementReports(
            self._placement,
            self._early_ends,
            self._isolation,
            self._views,
            self._waiting,
        )
        self._crashed_jobs = CrashedJobs(
            self._crashes,
            self._isolation,
            self._lost,
            self._jobs,
            self._views,
            self.end,
        )
        self._wakeup = Event()
        gevent.spawn(repeat, self._run)
        gevent.spawn(repeat, self._tick)

    @property
    def jobs(self):
        """Number of jobs without an outcome."""
        return len(self._jobs)

    @property
    def waiting(self):
        """Number of jobs that may have tasks without an executor."""
        return len(self._waiting)

    def pending(self, queue_name):
        """Returns the number of a queue's jobs without a started task."""
        return sum(
            job.queue.name == queue_name and not job.started
            for job in self._jobs.values()
        )

    def find(self, job_id):
        """Returns the `Job` with an identifier, or None."""
        return self._jobs.get(job_id)

    def submit(self, request, queue, now):
        """Accepts a job, or adds a caller to the job with the same identifier.

        Args:
            request: `LeasedJobRequest`.
            queue: `Queue` that it was submitted to.
            now: Time, seconds.

        Returns:
            Job: Its `finished` event is set when there is an outcome.
        """
        job = self._jobs.get(request.job_id)
        if job is None:
            job = self._jobs[request.job_id] = Job(request, queue, now)
            self._enqueue(job)
        else:
            log.info("job_joined", extra=job_fields(job))
        job.callers += 1
        outcome = self._early_ends.while_closing(job, now)
        if outcome is not None:
            self._end_with(job, outcome, now)
        elif not self._crashed_jobs.end_if_crashing(job, now) and not job.started:
            views = self._views.values()
            self._end_with(job, self._early_ends.on_arrival(job, views, now), now)
        return job

    def remove_caller(self, job, now):
        """Removes a disconnected caller; ends the job if it was the last one."""
        job.callers -= 1
        if not job.callers:
            self.end(job, "unknown", "the caller left", now)

    def end(self, job, kind, reason, now, retry_after_s=0.0):
        """Sets a job's outcome and stops its runs."""
        if job.outcome is not None:
            return
        if kind == "not_run" and self._lost.may_start_late(job.request.job_id):
            # A start of an earlier submission may still be executed.
            kind = "unknown"
        job.outcome = LeasedJobOutcome(kind, reason, retry_after_s)
        del self._jobs[job.request.job_id]
        self._waiting.pop(job.request.job_id, None)
        stops = {}
        for task in job.tasks:
            if task.state is SENT:
                stops.setdefault(task.executor, []).append(task)
        self._lost.on_job_ended(job)
        for view, tasks in stops.items():
            view.link.try_send(ttypes.StopBatch([task.name for task in tasks]))
        report_end(job, now)
        job.finished.set()

    def _end_with(self, job, outcome, now):
        """Ends a job with a `LeasedJobOutcome`, unless that is None."""
        if outcome is not None:
            self.end(job, outcome.kind, outcome.reason, now, outcome.retry_after_s)

    def close_at(self, until):
        """Sets the shutdown time; jobs that would not finish before it are ended early.

        Their callers can then submit them to other entries without delay.

        Args:
            until: Time at which `close` will be called, seconds.
        """
        self._early_ends.close_at(until)

    def close(self, now):
        """Ends the remaining jobs because the process stops."""
        for job in list(self._jobs.values()):
            self._end_with(job, ended_early(job, "closing"), now)

    # Interface for links.

    def on_link_up(self, link, now):
        """Adds an executor whose link was established."""
        view = LeasedView(link, now)
        self._views[view.name] = view
        self._lost.on_link_up(view)

    def on_link_down(self, link, now):
        """Holds back the tasks of a disconnected executor; see `LostTasks`."""
        view = self._views.get(link.peer.member)
        if view is None or view.link is not link:
            return
        del self._views[view.name]
        tasks = [task for task in view.tasks.values() if task.executor is view]
        self._lost.on_link_down(view, tasks, now)
        if tasks:
            self._lost_upstreams.remember(view, tasks, now)
        late_starts = self._lost.late_starts_of_peers(view, now)
        if late_starts:
            self._crashes.publish_late_starts(late_starts, now)

    def on_message(self, link, message, now):
        """Handles a message from an executor; returns whether it was handled."""
        view = self._views.get(link.peer.member)
        if view is None or view.link is not link:
            return isinstance(message, (ttypes.EndBatch, ttypes.RunningTasks))
        if isinstance(message, ttypes.EndBatch):
            if message.room is not None:
                view.on_capacity_report(message.room)
                self._lost.on_capacity_report(view, now)
                self._publish_unwanted(view, now)
                self._statistics.on_peer_runs(view, message.room, now)
                for crash in self._lost_upstreams.crashes_of_previous(view, now):
                    self._crashes.publish(crash, now)
            self._lost.on_ends(view, message.ends)
            for end in message.ends:
                self._on_end(view, end, now)
            if message.slow:
                self._on_slow_runs(view, message.slow, now)
        elif isinstance(message, ttypes.RunningTasks):
            self._on_running_tasks(view, set(message.tasks), now)
        else:
            return False
        if self._waiting:
            self._wakeup.set()
        return True

    def _on_running_tasks(self, view, names, now):
        """Reconciles lost tasks with the tasks that a reconnected executor runs.

        The runs of jobs that have ended meanwhile are stopped, or stopped again: the
        request to stop them may have been lost with the link.
        """
        returned, not_running = self._lost.on_running_tasks(view, names)
        for task in not_running:
            self._requeue(task, Release.NOT_RUNNING.value, now)
        names -= {task.name for task in returned if task.job.outcome is None}
        if names:
            view.link.try_send(ttypes.StopBatch(sorted(names)))

    def _on_end(self, view, end, now):
        task = view.tasks.get(end.task)
        if task is None or end.run < task.run:
            return
        del view.tasks[end.task]
        task.run = max(task.run, end.run)
        is_refusal = end.outcome.startswith(start_refusals.NOT_RUN_PREFIX)
        if not is_refusal or self._lost.is_pinned(task.name):
            # A start that was refused may be executed by the upstream's next lifetime.
            task.job.may_have_run = True
        if end.outcome == "done" and task.job.outcome is None:
            self._on_done(view, task, end, now)
        if task.state is not SENT:
            return
        if task.job.outcome is not None:
            self._lost.on_run_over(task)
            return
        task.state = WAITING
        if end.outcome == "failed":
            self._on_failed(view, task, now)
        elif is_refusal:
            reason = end.outcome.removeprefix(start_refusals.NOT_RUN_PREFIX)
            self._on_start_refused(view, task, reason, now)
        elif not self._crashed_jobs.end_if_crashing(task.job, now):
            self._requeue(task, end.outcome, now)

    def _on_start_refused(self, view, task, reason, now):
        if reason in start_refusals.FINAL_REASONS:
            self.end(task.job, "failed", start_refusals.FINAL_REASONS[reason], now)
            return
        if reason == start_refusals.CRASHING_REASON:
            self._crashed_jobs.end_refused(task.job, now)
            return
        if reason not in start_refusals.PASSING_REASONS:
            task.avoided_executors.add(view.name)
        is_pinned = self._lost.is_pinned(task.name)
        if reason == LATE_START:
            task.retry_at = now + _LATE_START_RETRY_S
        elif is_pinned:
            task.retry_at = now + _PINNED_RETRY_S
        self._requeue(task, reason, now)
        task.job.on_start_refused()
        if reason == LATE_START or (
            is_pinned and reason in start_refusals.LASTING_REASONS
        ):
            until = self._lost.executable_until(task.name)
            outcome = self._early_ends.on_late_start(task.job, until)
            self._end_with(task.job, outcome, now)

    def _publish_unwanted(self, view, now):
        """Tells the entries without a link to an executor, which may get the jobs."""
        if self._has_unlinked_entries():
            late_starts = self._lost.unwanted_late_starts(view, now)
            if late_starts:
                self._crashes.publish_late_starts(late_starts, now)

    def _on_slow_runs(self, view, slow_runs, now):
        """Moves stalled and slow runs to other executors with free capacity."""
        views = self._views.values()
        stops = move_slow_runs(
            view, slow_runs, views, self._placement, self._must_stay, now
        )
        if stops:
            view.link.try_send(ttypes.StopBatch(stops))

    def _must_stay(self, view, task):
        """Returns whether a slow run must not be moved to another executor."""
        may_start_again = self._lost.may_start_again(view, task)
        return may_start_again or not self._isolation.may_move(task)

    def _on_done(self, view, task, end, now):
        job = task.job
        self._statistics.on_done(view, task, end, len(self._views), now)
        if job.on_task_done(task):
            self._isolation.on_done(job, now)
            self.end(job, "completed", "", now)
        elif job.has_waiting_tasks:
            # The phases that depend on the finished phase are now ready.
            self._enqueue(job)

    def _on_failed(self, view, task, now):
        job = task.job
        self._statistics.on_failed(view, task, len(self._views), now)
        task.failures += 1
        task.avoided_executors.add(view.name)
        log.info(
            "run_failed",
            extra={
                "request_id": job.request.request_id,
                "task": task.name,
                "run": task.run,
                "executor": view.name,
                "failures": task.failures,
                "attempts": job.queue.attempts,
            },
        )
        if task.failures >= job.queue.attempts:
            self.end(job, "failed", "attempts used up", now)
        else:
            self._requeue(task, "failed", now)

    def _requeue(self, task, reason, now):
        if task.job.outcome is not None:
            self._lost.on_run_over(task)
            return
        executor = task.executor
        task.state = WAITING
        task.executor = None
        if reason not in start_refusals.NO_CAPACITY_REASONS:
            log.info(
                "task_requeued",
                extra={
                    "request_id": task.job.request.request_id,
                    "task": task.name,
                    "run": task.run,
                    "reason": reason,
                    "executor": executor.name,
                    "upstream": task.upstream,
                    "sent_s": round(now - task.sent_at, 3),
                    "pinned": self._lost.is_pinned(task.name),
                },
            )
        self._enqueue(task.job)

    # Scheduling.

    def _enqueue(self, job):
        self._waiting[job.request.job_id] = job
        self._wakeup.set()

    def _run(self):
        self._wakeup.wait()
        self._wakeup.clear()
        self.schedule(clock.now())
        gevent.sleep(_ROUND_PAUSE_S)

    def schedule(self, now):
        """Sends starts for the waiting tasks that an executor can run.

        Args:
            now: Time, seconds.
        """
        placement_round = self._isolation.begin_round(self._views.values(), now)
        wants_queues = self._statistics.interference.is_known
        batches = StartBatches(
            self._placement, self._lost, placement_round.leaves_headroom, wants_queues
        )
        waiting = self._waiting.values()
        jobs = [job for job in waiting if not self._is_held_back(job, now)]
        placeable = filter(placement_round.may_place, jobs)
        for job in self._placement.order(placeable, now):
            for number in job.ready_phases():
                for task, view in placement_round.place(job, number):
                    batches.add(view, task, now)
                    self._forecast.on_start(task, now)
            if not job.has_waiting_tasks:
                del self._waiting[job.request.job_id]
        self._forecast.on_round(jobs, now)
        for job, error in batches.send():
            self.end(job, "failed", f"cannot be sent: {error}", now)

    def _is_held_back(self, job, now):
        job_id = job.request.job_id
        return self._lost.holds_back(job_id) or self._isolation.holds_back(job, now)

    def _tick(self):
        gevent.sleep(_TICK_S)
        self.check(clock.now())

    def check(self, now):
        """Requeues lost tasks, and ends jobs that can no longer be served in time.

        Args:
            now: Time, seconds.
        """
        for task, release in self._lost.take_expired(now):
            self._on_executor_lost(task, release, now)
        placement_round = self._isolation.begin_round(self._views.values(), now)
        for view in self._views.values():
            view.link.relaxed = not view.tasks
        for job in list(self._jobs.values()):
            is_waiting = job.request.job_id in self._waiting
            outcome = self._early_ends.on_check(job, placement_round, is_waiting, now)
            self._end_with(job, outcome, now)
        if self._waiting:
            self._wakeup.set()

    def _on_executor_lost(self, task, release, now):
        """Handles a task that runs no more at an executor that did not return."""
        task.state = WAITING
        task.lost_upstreams.add(task.upstream)
        if task.job.outcome is None and self._isolation.has_lost_too_many(task):
            self.end(task.job, "unknown", Verdict.EXHAUSTED.value, now)
        else:
            self._requeue(task, release.value, now)
