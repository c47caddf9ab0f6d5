"""
papayaward.coordination.job_scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The home of the jobs that callers keep a connection open for.

The entry that holds a caller's connection owns the job: if the entry dies, the
caller sees it at once and sends the job again, so nothing has to be stored.
"""

import logging

import gevent
from gevent.event import Event

from .. import clock
from ..protocol.gen import ttypes
from ..protocol.jobs import JobOutcome, resources_to_wire
from ..state import metrics
from .ejection import Ejection
from .job_placement import Placement
from .job_state import DONE, LOST, SENT, WAITING, Job
from .leased_views import LeasedView
from .speeds import SpeedEstimates

__all__ = ["JobScheduler"]

log = logging.getLogger(__name__)

# Longest time that a run goes on at an executor that this entry lost: its lease and
# the kill at the end of it.
_LOST_RUN_S = 1.05
_TICK_S = 0.02
# Messages that arrive during the pause are taken into the next round together.
_ROUND_PAUSE_S = 0.002
# Part of the latency objective after which a job that has not begun is refused, if
# it cannot be expected to be served.
_REFUSAL_SHARE = 0.22
_RETRY_AFTER_S = 1.0
# An executor most of whose runs are slow gets work only if no other can take it.
_SLOW_EXECUTOR_S = 0.6
# A slow run moves if it is expected to take less than this part of its remaining
# time elsewhere.
_MOVE_GAIN = 0.6
# A run with more than this many times the expected time left stands still.
_STANDS_STILL = 10.0
_MOST_MOVES = 2
# A running job is given up for the end of this process if this part of the time that
# it is expected to take still is more than what is left.
_CLOSING_SHARE = 0.7
# Begins the outcome of a start that did not lead to a run; the reason follows.
_NOT_RUN = "not_run:"


class JobScheduler:
    """Queues the jobs of one entry and has their tasks run.

    Args:
        is_domain_out: Function that returns whether a failure domain is out of
            service.
    """

    def __init__(self, is_domain_out):
        self._jobs = {}
        # The jobs of which a task may wait for an executor.
        self._waiting = {}
        self._views = {}
        self._lost = {}
        self._closes_at = None
        self._speeds = SpeedEstimates()
        self._ejection = Ejection()
        self._placement = Placement(self._speeds, self._ejection, is_domain_out)
        self._wakeup = Event()
        gevent.spawn(self._run)
        gevent.spawn(self._tick)

    @property
    def jobs(self):
        """Number of jobs without an answer."""
        return len(self._jobs)

    def pending(self, queue_name):
        """Returns the number of a queue's jobs of which no task has started."""
        return sum(
            job.queue.name == queue_name and not job.begun
            for job in self._jobs.values()
        )

    def find(self, job_id):
        """Returns the `Job` with an identifier, or None."""
        return self._jobs.get(job_id)

    def submit(self, request, queue, now):
        """Takes a job, or joins the one with the same identifier.

        Args:
            request: `JobRequest`.
            queue: `Queue` that it was sent to.
            now: Time, seconds.

        Returns:
            Job: Its `finished` event is set when there is an outcome.
        """
        job = self._jobs.get(request.job_id)
        if job is None:
            job = self._jobs[request.job_id] = Job(request, queue, now)
            self._queue(job)
        else:
            log.info("job_joined", extra=_job_fields(job))
        job.callers += 1
        if self._closes_at is not None and self._outlasts_close(job, now):
            self._give_up(job, "closing", now)
        return job

    def remove_caller(self, job, now):
        """Notes that a caller has left; ends the job if it was the last."""
        job.callers -= 1
        if not job.callers:
            self.end(job, "unknown", "the caller left", now)

    def end(self, job, kind, reason, now, retry_after_s=0.0):
        """Gives a job its outcome and stops what still runs for it."""
        if job.outcome is not None:
            return
        job.outcome = JobOutcome(kind, reason, retry_after_s)
        del self._jobs[job.request.job_id]
        self._waiting.pop(job.request.job_id, None)
        stops = {}
        for task in job.tasks:
            if task.state is SENT:
                stops.setdefault(task.executor, []).append(task)
            elif task.state is LOST:
                task.state = DONE
        for view, tasks in stops.items():
            view.link.try_send(ttypes.StopBatch([task.name for task in tasks]))
        self._report(job, now)
        job.finished.set()

    def close_at(self, until):
        """Has the jobs given up that cannot end before the process does.

        Their callers send them again, to other entries, and the sooner the better.

        Args:
            until: Time at which `close` will be called, seconds.
        """
        self._closes_at = until

    def close(self, now):
        """Ends the jobs that are left when the process has to stop."""
        for job in list(self._jobs.values()):
            self._give_up(job, "closing", now)

    # Interface for links.

    def on_link_up(self, link, now):
        """Takes a link to an executor."""
        view = LeasedView(link)
        self._views[view.name] = view

    def on_link_down(self, link, now):
        """Keeps what runs at an executor apart until it has surely ended."""
        view = self._views.get(link.peer.member)
        if view is None or view.link is not link:
            return
        del self._views[view.name]
        tasks = [task for task in view.tasks.values() if task.executor is view]
        for task in tasks:
            task.state = LOST
        if tasks:
            lost = self._lost.setdefault((view.name, link.peer.incarnation), [])
            lost.append((now + _LOST_RUN_S, tasks))
            log.warning(
                "tasks_out_of_reach", extra={"executor": view.name, "tasks": len(tasks)}
            )

    def on_message(self, link, message, now):
        """Handles a message of an executor and returns whether it was one."""
        view = self._views.get(link.peer.member)
        if view is None or view.link is not link:
            return isinstance(message, (ttypes.EndBatch, ttypes.RunningTasks))
        if isinstance(message, ttypes.EndBatch):
            if message.room is not None:
                view.on_room(message.room)
            for end in message.ends:
                self._on_end(view, end, now)
            if message.slow:
                self._on_slow(view, message.slow, now)
        elif isinstance(message, ttypes.RunningTasks):
            self._on_running(view, set(message.tasks), now)
        else:
            return False
        if self._waiting:
            self._wakeup.set()
        return True

    def _on_running(self, view, names, now):
        """Settles the tasks that were lost with an earlier link to an executor."""
        key = (view.name, view.link.peer.incarnation)
        for _, tasks in self._lost.pop(key, ()):
            for task in tasks:
                if task.state is not LOST:
                    continue
                if task.name in names:
                    task.state, task.executor = SENT, view
                    view.tasks[task.name] = task
                    names.discard(task.name)
                else:
                    self._requeue(task, "not running after the link broke", now)
        if names:
            # Jobs that ended while the executor was out of reach.
            view.link.try_send(ttypes.StopBatch(sorted(names)))

    def _on_end(self, view, end, now):
        task = view.tasks.get(end.task)
        if task is None or end.run < task.run:
            return
        del view.tasks[end.task]
        task.run = max(task.run, end.run)
        if end.outcome == "done" and task.job.outcome is None:
            self._on_done(view, task, end, now)
        if task.state is not SENT or task.job.outcome is not None:
            return
        if end.outcome == "failed":
            self._on_failed(view, task, now)
        elif end.outcome.startswith(_NOT_RUN):
            reason = end.outcome.removeprefix(_NOT_RUN)
            if reason == "invalid":
                self.end(task.job, "failed", "rejected by the upstream", now)
                return
            if reason != "busy":
                task.avoid.add(view.name)
            self._requeue(task, reason, now)
        else:
            self._requeue(task, end.outcome, now)

    def _on_slow(self, view, slow, now):
        """Moves runs that stand still or crawl to executors that are free."""
        known = [
            (view.tasks[row.task], row.remaining_ms / 1000.0, row.elapsed_ms / 1000.0)
            for row in slow
            if row.task in view.tasks
        ]
        if len(known) > 1 and 2 * len(known) >= len(view.tasks):
            view.slow_until = now + _SLOW_EXECUTOR_S
        turn = self._placement.begin_round(self._views.values(), now)
        stops = []
        for task, remaining_s, elapsed_s in known:
            job = task.job
            if job.outcome is not None or task.moves >= _MOST_MOVES:
                continue
            if now + remaining_s <= job.objective_at:
                continue
            other_s = self._elsewhere_s(turn, view, task, remaining_s, elapsed_s, now)
            if other_s is None or other_s >= _MOVE_GAIN * remaining_s:
                continue
            task.moves += 1
            task.avoid.add(view.name)
            stops.append(task.name)
            log.info(
                "task_moved",
                extra={
                    "request_id": job.request.request_id,
                    "task": task.name,
                    "executor": view.name,
                    "remaining_s": round(remaining_s, 3),
                    "elsewhere_s": round(other_s, 3),
                },
            )
        if stops:
            view.link.try_send(ttypes.StopBatch(stops))

    def _elsewhere_s(self, turn, view, task, remaining_s, elapsed_s, now):
        """Returns how long a slow run would take anew elsewhere, None if nowhere."""
        other = turn.choose(task)
        if other is None or other is view:
            return None
        other_s = self._placement.run_s(other, task)
        stands_still = remaining_s > _STANDS_STILL * other_s
        if now >= view.slow_until and not stands_still:
            # The task is long rather than the executor slow.
            other_s *= (elapsed_s + remaining_s) / self._placement.run_s(view, task)
        return other_s

    def _on_done(self, view, task, end, now):
        job = task.job
        expected_s = task.phase.expected_s
        if end.service_us and expected_s:
            self._speeds.add(
                view.name, job.queue.name, end.service_us / 1e6 / expected_s, now
            )
        metrics.SERVICE_SECONDS.labels(job.queue.service, job.queue.name).observe(
            end.service_us / 1e6
        )
        self._count(view, task, True, now)
        if job.on_task_done(task):
            self.end(job, "completed", "", now)
        elif job.has_waiting:
            # The end of a phase opens those that come after it.
            self._queue(job)

    def _on_failed(self, view, task, now):
        job = task.job
        self._count(view, task, False, now)
        task.failures += 1
        task.avoid.add(view.name)
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

    def _count(self, view, task, succeeded, now):
        slots = max(1, view.capacity.cpu_millis // max(1, task.phase.need.cpu_millis))
        ejected = self._ejection.add(
            view.name,
            task.job.queue.name,
            succeeded,
            slots,
            len(self._views),
            now,
        )
        if ejected:
            log.warning("executor_ejected", extra={"executor": view.name})

    def _requeue(self, task, reason, now):
        task.state = WAITING
        task.executor = None
        if reason != "busy":
            log.info(
                "task_requeued",
                extra={
                    "request_id": task.job.request.request_id,
                    "task": task.name,
                    "run": task.run,
                    "reason": reason,
                },
            )
        self._queue(task.job)

    # Scheduling.

    def _queue(self, job):
        self._waiting[job.request.job_id] = job
        self._wakeup.set()

    def _run(self):
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            try:
                self._schedule(clock.now())
            except Exception:
                log.exception("schedule_failed")
            gevent.sleep(_ROUND_PAUSE_S)

    def _schedule(self, now):
        batches = {}
        turn = self._placement.begin_round(self._views.values(), now)
        jobs = [job for job in self._waiting.values() if turn.may_place(job)]
        for job in self._placement.order(jobs, now):
            for number in job.open_phases():
                for task, view in turn.place(job, number):
                    self._send_later(batches, view, task, now)
            if not job.has_waiting:
                del self._waiting[job.request.job_id]
        for view, starts in batches.items():
            view.link.try_send(ttypes.StartBatch(view.next_batch(), starts))

    def _send_later(self, batches, view, task, now):
        job = task.job
        task.run += 1
        task.state = SENT
        task.executor = view
        task.sent_at = now
        view.reserve(task)
        if not job.begun:
            job.begun_at = now
            metrics.QUEUE_SECONDS.labels(job.queue.service, job.queue.name).observe(
                now - job.arrived_at
            )
        job.last_start_at = now
        job.starts += 1
        start = ttypes.TaskStart(
            task.name,
            task.run,
            job.request.spec,
            resources_to_wire(task.phase.need),
            int((job.give_up_at - now) * 1000),
            job.request.request_id,
            int(self._placement.run_s(view, task) * 1000),
        )
        batches.setdefault(view, []).append(start)

    def _tick(self):
        while True:
            gevent.sleep(_TICK_S)
            now = clock.now()
            self._check_lost(now)
            turn = self._placement.begin_round(self._views.values(), now)
            for job in list(self._jobs.values()):
                self._check_job(job, turn, now)
            if self._waiting:
                self._wakeup.set()

    def _check_job(self, job, turn, now):
        if now >= job.give_up_at:
            self._give_up(job, "deadline", now)
        elif self._closes_at is not None and self._outlasts_close(job, now):
            self._give_up(job, "closing", now)
        elif not job.begun:
            waited = now - job.arrived_at
            if waited > _REFUSAL_SHARE * job.objective_s:
                if not turn.can_be_useful(job):
                    self.end(job, "not_run", "overload", now, _RETRY_AFTER_S)
        elif job.request.job_id in self._waiting and self._placement.is_hopeless(
            job, now
        ):
            self.end(job, "unknown", "cannot end before the deadline", now)

    def _give_up(self, job, reason, now):
        kind = "unknown" if job.begun else "not_run"
        self.end(job, kind, reason, now, _RETRY_AFTER_S)

    def _outlasts_close(self, job, now):
        left_s = self._placement.remaining_s(job, now)
        return now + _CLOSING_SHARE * left_s > self._closes_at

    def _check_lost(self, now):
        for key, groups in list(self._lost.items()):
            left = []
            for until, tasks in groups:
                if now < until:
                    left.append((until, tasks))
                    continue
                for task in tasks:
                    if task.state is LOST:
                        self._requeue(task, "the lease at the lost executor ended", now)
            if left:
                self._lost[key] = left
            else:
                del self._lost[key]

    def _report(self, job, now):
        seconds = now - job.arrived_at
        labels = (job.queue.service, job.queue.name)
        metrics.RESPONSE_SECONDS.labels(*labels).observe(seconds)
        metrics.ANSWERS.labels(
            job.queue.service, job.outcome.kind, job.outcome.reason
        ).inc()
        fields = _job_fields(job)
        if job.begun:
            fields.update(
                first_start_s=round(job.begun_at - job.arrived_at, 4),
                last_start_s=round(job.last_start_at - job.arrived_at, 4),
            )
        fields.update(
            outcome=job.outcome.kind,
            reason=job.outcome.reason,
            seconds=round(seconds, 4),
            objective_s=round(job.objective_s, 4),
            starts=job.starts,
            tasks=len(job.tasks),
            done=sum(task.state is DONE for task in job.tasks),
        )
        log.info("job_ended", extra=fields)


def _job_fields(job):
    return {
        "request_id": job.request.request_id,
        "job": job.request.job_id,
        "queue": job.queue.name,
    }
