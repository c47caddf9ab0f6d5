"""
papayaward.coordination.crashes.isolation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which jobs run isolated from one another because a task may crash its upstream.

A crash takes everything on the upstream with it, so that one crash does not tell its
cause from a bystander. A suspect is therefore started again only where no other suspect
runs. If that upstream crashes too, the cause is known and the job is not started again.
The jobs of a queue with such tasks are isolated from the start (see `queue_guard`).

An upstream that refuses connections before the lease of its runs has ended counts for
the guards of placement, but for no verdict: it may run on. Nor is a job isolated for it
as a suspect, which in the model costs the other queues more than it spares them. The
likely cause has its other runs stopped, and is held back until the lease has ended.
"""

from enum import Enum

from ...state.crash_records import MAX_CRASHES_UNDER_TASK
from ..job_state import SENT
from .isolated_placement import place_isolated
from .queue_guard import QueueGuards, executors_for_guarded

__all__ = ["Isolation", "IsolationRound", "Verdict"]

# Part of the executors for guarded queues that must accept work before a job that has
# probably crashed one of them is started a second time.
_RETRY_SHARE = 0.8
# Probability that a job crashes upstreams, or number of crashes under it, from which it
# runs isolated.
_SUSPECT = 0.1
_MAX_BYSTANDER_CRASHES = 2
_MIN_RUN_S = 0.001
# Longest time from refused connections until the lease of the runs there has ended.
_LEASE_S = 1.05


class Verdict(Enum):
    """What becomes of a job that is submitted or has lost a task in a crash.

    The value is the reason for the job's outcome.
    """

    START = ""
    # A task has crashed several upstreams, beyond doubt.
    CONDEMNED = "crashes upstreams"
    # A task may have been in several crashes, whose cause is uncertain.
    EXHAUSTED = "upstreams crashed repeatedly"
    # The job has probably crashed an upstream, and another start could cost one more.
    GIVEN_UP = "upstream crashed"


class Isolation:
    """Isolation of the jobs of one entry.

    Args:
        relay: `CrashRelay` of the process.
        placement: `Placement`.
        jobs: `Job` by identifier; the scheduler changes this dict.
    """

    def __init__(self, relay, placement, jobs):
        self._records = relay.records
        self._placement = placement
        self._jobs = jobs
        self._with_refusals = relay.records_with_refusals
        # Guards that decide where jobs run, and those that a verdict may rest on.
        self._guards = QueueGuards("placement")
        self._verdict_guards = QueueGuards("verdicts")
        relay.on_crash(self._on_crash)
        relay.on_change(self._on_change)
        relay.on_change_with_refusals(self._on_change_with_refusals)

    def verdict(self, job, views, now):
        """Returns the `Verdict` on a job.

        Args:
            job: `Job`.
            views: `LeasedView` of each connected executor.
            now: Time, seconds.
        """
        job_id = job.request.job_id
        if self._records.is_condemned(job_id):
            return Verdict.CONDEMNED
        if self._records.is_exhausted(job_id):
            return Verdict.EXHAUSTED
        if not self._records.is_likely(job_id):
            return Verdict.START
        if self._records.is_condemned_if_known(job_id):
            return Verdict.GIVEN_UP
        if not self._verdict_guards.is_guarded(job.queue.name, now):
            return Verdict.START
        if self._records.is_repeatedly_likely(job_id):
            return Verdict.GIVEN_UP
        accepting = [
            view.accepting for view in _views_for_guarded(job.queue.service, views)
        ]
        if sum(accepting) < _RETRY_SHARE * len(accepting):
            return Verdict.GIVEN_UP
        return Verdict.START

    def has_lost_too_many(self, task):
        """Returns whether a task must not be started again after its lost upstreams.

        While the VM of an upstream is away, nobody can publish whether it crashed, so
        that the upstreams that this entry has lost count beside the known notices.
        """
        return self._lost_upstreams(task) >= MAX_CRASHES_UNDER_TASK

    def may_move(self, task):
        """Returns whether a slow run of a task may be started elsewhere instead.

        Each move is a start on one more upstream. A task in several crashes may have
        been in further ones that nobody knows, at lifetimes without an executor.
        """
        return self._lost_upstreams(task) < _MAX_BYSTANDER_CRASHES

    def tasks_to_stop(self, job, now):
        """Returns the tasks of a job whose runs may each crash one more upstream.

        Runs at upstreams that seem to have crashed are out of reach.

        Args:
            job: `Job`.
            now: Time, seconds.
        """
        if not self._is_likely_cause(job, now):
            return []
        return [
            task
            for task in job.tasks
            if task.state is SENT
            and task.upstream not in self._with_refusals.upstreams_of(task.name)
        ]

    def holds_back(self, job, now):
        """Returns whether a job starts nothing until the leases of its runs have ended.

        The `Verdict` on the job follows then. Its runs on the upstreams that seem to
        have crashed cannot start again sooner either.

        Args:
            job: `Job`.
            now: Time, seconds.
        """
        return self._is_likely_cause(job, now) and any(
            self._records.find(upstream) is None
            and now - self._with_refusals.find(upstream).at < _LEASE_S
            for task in job.tasks
            for upstream in self._with_refusals.upstreams_of(task.name)
        )

    def _is_likely_cause(self, job, now):
        """Returns whether a job of a guarded queue has probably crashed an upstream.

        Refused connections suffice, so that this decides no answer.
        """
        is_likely = self._with_refusals.is_likely_running(job.request.job_id)
        return is_likely and self._guards.is_guarded(job.queue.name, now)

    def _lost_upstreams(self, task):
        """Returns the number of upstreams that may have crashed under a task."""
        return len(self._records.upstreams_of(task.name) | task.lost_upstreams)

    def is_without_executors(self, job, views, now):
        """Returns whether all executors for the job's guarded queue are down."""
        if not self._guards.is_guarded(job.queue.name, now):
            return False
        return not any(
            view.accepting for view in _views_for_guarded(job.queue.service, views)
        )

    def is_overloaded(self, job, views, now):
        """Returns whether a new job of a guarded queue would have to wait for too long.

        Args:
            job: `Job`.
            views: `LeasedView` of each connected executor.
            now: Time, seconds.
        """
        name, run_s = job.queue.name, job.critical_path_s()
        accepting = sum(
            view.accepting for view in _views_for_guarded(job.queue.service, views)
        )
        capacity_per_s = (
            accepting * self._guards.limit(name, now) / max(run_s, _MIN_RUN_S)
        )
        ahead = self._waiting(name, besides=job)
        wait_s = self._guards.expected_wait_s(name, ahead, capacity_per_s, now)
        return now + wait_s > job.objective_at - run_s

    def _waiting(self, queue, besides=None):
        """Returns the number of a queue's jobs without a started task."""
        return sum(
            job.queue.name == queue and not job.started and job is not besides
            for job in self._jobs.values()
        )

    def limit(self, job, now):
        """Returns how many isolated jobs may run beside a job, itself included.

        Returns:
            int: 0 if the job need not be isolated.
        """
        if self.is_suspect(job):
            return 1
        return self._guards.limit(job.queue.name, now)

    def on_done(self, job, now):
        """Records that a job has been completed."""
        if any(task.isolation_limit for task in job.tasks):
            self._add_outcome(job.queue.name, 0.0, now)

    def _add_outcome(self, queue, crashes, now):
        if self._guards.is_guarded(queue, now):
            self._guards.add_outcome(queue, crashes, self._waiting(queue), now)

    def begin_round(self, views, now):
        """Returns an `IsolationRound` for the current state of the executors.

        Args:
            views: `LeasedView` of each connected executor.
            now: Time, seconds.
        """
        views = list(views)
        is_active = self._records.has_recent(now) or self._guards.services(now)
        return IsolationRound(self, self._placement, views, bool(is_active), now)

    def is_guarded(self, job, now):
        """Returns whether a job's queue is guarded."""
        return self._guards.is_guarded(job.queue.name, now)

    def guarded_services(self, now):
        """Returns the services with a guarded queue."""
        return self._guards.services(now)

    def _on_crash(self, crash, now):
        self._verdict_guards.on_crash(crash, self._records, now)
        # The guard of a refusal is kept up when its lease has ended.
        self._guards.on_crash(crash, self._with_refusals, now)

    def _on_change(self, crash, now):
        if self._records.find(crash.upstream) is None:
            self._verdict_guards.on_withdrawn(crash, self._records, now)

    def _on_change_with_refusals(self, crash, now):
        records = self._with_refusals
        if records.find(crash.upstream) is None:
            self._guards.on_withdrawn(crash, records, now)
            return
        self._guards.on_crash(crash, records, now)
        for job in crash.jobs:
            if job.job_id in self._jobs:
                self._add_outcome(job.queue, records.probability(job.job_id), now)

    def is_suspect(self, job):
        """Returns whether a job may have crashed an upstream."""
        job_id = job.request.job_id
        if self._records.crashes_under(job_id) >= _MAX_BYSTANDER_CRASHES:
            return True
        return self._records.probability(job_id) >= _SUSPECT


class IsolationRound:
    """Snapshot of the executors that keeps isolated jobs and the others apart.

    Args:
        isolation: `Isolation`.
        placement: `Placement`.
        views: `LeasedView` of each connected executor.
        is_active: Whether any job may have to be isolated.
        now: Time, seconds.
    """

    def __init__(self, isolation, placement, views, is_active, now):
        self._isolation = isolation
        self._now = now
        self._everywhere = placement.begin_round(views, now)
        # Rounds of the executors for guarded queues and of those without isolated jobs.
        self._guarded = self._safe = None
        if is_active:
            reserved = [
                view
                for service in isolation.guarded_services(now)
                for view in _views_for_guarded(service, views)
            ]
            safe = [
                view
                for view in views
                if view not in reserved and not view.isolated_jobs_beside(None)
            ]
            self._guarded = placement.begin_round(reserved, now)
            self._safe = placement.begin_round(safe, now)

    def may_place(self, job):
        """Returns whether an executor has enough free CPU for a task of a job."""
        return self._everywhere.may_place(job)

    def leaves_headroom(self, queue):
        """Returns whether new jobs of a queue leave what is kept for others."""
        return self._everywhere.leaves_headroom(queue)

    def can_meet_objective(self, job):
        """Returns whether a job without a start can still meet its objective."""
        return self._round_of(job).can_meet_objective(job)

    def place(self, job, number):
        """Yields (task, view) for the tasks of a phase that an executor can start.

        The caller must reserve the capacity for each pair before it requests the next.
        """
        limit = self._isolation.limit(job, self._now)
        if limit:
            yield from place_isolated(
                job,
                number,
                limit,
                self._round_of(job),
                one_executor=self._isolation.is_suspect(job),
            )
            return
        if self._safe is not None and self._safe.can_be_on_time(job, number):
            yield from self._safe.place(job, number)
        yield from self._everywhere.place(job, number)

    def _round_of(self, job):
        if self._guarded is None or not self._isolation.is_guarded(job, self._now):
            return self._everywhere
        return self._guarded


def _views_for_guarded(service, views):
    of_service = [v for v in views if v.service == service and v.capacity_known]
    names = executors_for_guarded([view.name for view in of_service])
    return [view for view in of_service if view.name in names]
