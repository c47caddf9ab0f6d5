"""
papayaward.coordination.leased_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State that an executor keeps of each run and of each entry that it runs tasks for.
"""

import math
from dataclasses import dataclass, field

from ..protocol.gen import ttypes
from ..protocol.jobs import Resources
from ..state.crashes import job_id_of
from .upstream_requests import MAX_LATE_RUN_S, MAX_START_DELAY_S, Delivery

__all__ = [
    "Owner",
    "Run",
    "isolated_jobs",
    "may_isolate",
    "unsettled_starts",
    "unsettled_tasks",
]

# Time after its latest start in which an entry is expected to send further ones.
_ACTIVE_S = 1.0
# A run is slow if its remaining time exceeds both this multiple of its expected total
# time and the minimum below.
_SLOW_RUN_RATIO = 1.5
_SLOW_RUN_MIN_S = 0.25
# Age of a run from which its progress is used to estimate its remaining time.
_PROGRESS_AFTER_S = 0.1


@dataclass
class Run:
    """A run of a task, which uses capacity from when it is accepted until it ends."""

    task: str
    run: int
    spec: str
    need: Resources
    owner: object
    request_id: str
    queue: str
    isolation_limit: int
    expected_s: float
    declared_s: float
    started_at: float
    # Number that its entry has given to it; `run` is the one at the upstream.
    requested_run: int = 0
    running: bool = False
    delivery: Delivery = Delivery.NOT_DELIVERED
    # Latest time at which the start may have been sent.
    sent_at: float = 0.0
    # Number of requests to start it that had no reply.
    unanswered: int = 0
    # Whether one of them was executed for certain: by the lifetime that lists the run
    # although no request was answered, or by a later one than that which began it.
    has_executed_unanswered: bool = False
    has_executed_late: bool = False
    # Start of the latest lifetime that has listed it after its session, milliseconds.
    listed_by_ms: int = 0
    # Number of earlier requests to start the task under the number of this run, and the
    # time until which a later lifetime of the upstream may execute them, seconds.
    earlier_requests: int = 0
    earlier_start_until: float = 0.0
    # Start of the latest lifetime that rejects its number for certain, milliseconds.
    rejected_by_ms: int = 0
    # Whether the lifetime of its session is known to have begun it, from the reply to
    # its start or from a list of the runs.
    identified: bool = False
    # `UpstreamSession` that starts it, and whether that has been closed.
    session: object = None
    session_closed: bool = False
    # Once the session has been closed: whether a request to start the run may still be
    # executed, and the time by which its lease has ended, seconds.
    undecided: bool = False
    leased_until: float = 0.0
    # `Proof` that it is over, None while it may be active or begin.
    proof: object = None
    # Time at which the run was to be stopped, None if it is wanted.
    stop_requested_at: float | None = None
    percent: int = -1
    progress_at: float = 0.0
    # When it was accepted, and the CPU time of each queue by then, see `CapacityUse`.
    use_mark: tuple = (0.0, ())

    @classmethod
    def of_start(cls, group, start, need, owner, now):
        """Returns the run that an accepted start begins.

        Args:
            group: `StartGroup`.
            start: Its `TaskStart`.
            need: `Resources` of the task.
            owner: `Owner` that sent it.
            now: Time, seconds.
        """
        return cls(
            start.task,
            start.run,
            group.spec,
            need,
            owner,
            group.request_id,
            group.queue or "",
            group.isolation_limit or 0,
            (group.expected_ms or 0) / 1000.0,
            (group.declared_ms or 0) / 1000.0,
            now,
            start.run,
        )

    @property
    def ended(self):
        """Whether the run is known to be over."""
        return self.proof is not None

    @property
    def stopping(self):
        """Whether the run is to be stopped."""
        return self.stop_requested_at is not None

    @property
    def late_requests(self):
        """Number of its own requests that may still be executed."""
        executed = self.has_executed_unanswered + self.has_executed_late
        return max(0, self.unanswered - executed)

    @property
    def open_requests(self):
        """Number of all requests under its number that may still be executed."""
        return self.earlier_requests + self.late_requests

    @property
    def late_start_until(self):
        """Time until which a later lifetime may start the task, seconds."""
        own = self.sent_at + MAX_START_DELAY_S if self.late_requests else 0.0
        return max(own, self.earlier_start_until)

    @property
    def is_unsettled(self):
        """Whether a request to start the task may still be executed.

        That includes a request that is not sent yet, and an earlier request of a
        confirmed start: the next lifetime may execute it, or may have confirmed it.
        """
        is_confirmed = self.running and self.identified and not self.undecided
        return not is_confirmed or self.late_start_until > 0.0

    def on_start_answered(self, delivery):
        """Records what is known of its start.

        Args:
            delivery: `Delivery`.
        """
        self.delivery = delivery
        if delivery is Delivery.STARTED:
            # The request that was answered may be the one that was executed.
            self.has_executed_unanswered = False

    def on_listed(self):
        """Records that the upstream has listed the run, as active or as ended.

        What is listed may have been started by a request of an earlier run, which had
        the same number if the job was submitted again.
        """
        if self.delivery is Delivery.UNANSWERED and not self.earlier_start_until:
            self.has_executed_unanswered = True

    def on_found(self, born_ms):
        """Records that a later lifetime than the one that began it lists the run.

        Args:
            born_ms: Start of the lifetime that lists it, milliseconds.
        """
        if not self.session_closed or not born_ms > self.session.born_ms > 0:
            return
        self.listed_by_ms = born_ms
        if self.identified:
            self.has_executed_late = True

    @property
    def last_wanted_at(self):
        """Time at which the run's entry was last known to want it, seconds."""
        alive_at = self.owner.last_alive_at
        return min(alive_at, self.stop_requested_at) if self.stopping else alive_at

    @property
    def isolated(self):
        """Whether the job is isolated here (see `isolation_limit` of `StartGroup`)."""
        return self.isolation_limit > 0

    def is_slow(self, percent, now):
        """Returns whether the run takes far longer than expected.

        Args:
            percent: Progress that the upstream reports now.
            now: Time, seconds.
        """
        if not self.running or self.stopping or not self.expected_s:
            return False
        if now - self.started_at < _PROGRESS_AFTER_S:
            return False
        limit_s = max(_SLOW_RUN_RATIO * self.expected_s, _SLOW_RUN_MIN_S)
        return self.remaining_s(percent, now) > limit_s

    def remaining_s(self, percent, now):
        """Estimates the remaining time of the run from its progress so far, seconds.

        Args:
            percent: Progress that the upstream reports now.
            now: Time, seconds.
        """
        if percent != self.percent:
            self.percent, self.progress_at = percent, now
        remaining = 100 - percent
        pace_s = (now - self.started_at) / max(percent, 1)
        return remaining * max(pace_s, now - self.progress_at)


@dataclass
class Owner:
    """An entry whose tasks run here."""

    member: str
    incarnation: int
    link: object
    last_alive_at: float
    disconnected_at: float | None = None
    last_batch: int = 0
    runs: int = 0
    ends: list = field(default_factory=list)
    slow: list = field(default_factory=list)
    capacity_changed: bool = True
    capacity_sent_at: float = 0.0
    reported_accepting: bool = False
    released: bool = False
    last_start_at: float = 0.0
    queued: int = 0
    # Number and summed logarithms of actual over declared run time of the runs for
    # other entries since the last report.
    peer_runs: int = 0
    peer_log_ratios: float = 0.0
    reported_free: Resources = Resources()
    reported_isolated: int = 0
    # Whether the last report listed unsettled runs, whether one of them has settled
    # since, and the batch that the report acknowledged.
    reported_unsettled: bool = False
    has_settled: bool = False
    reported_batch: int = 0
    # `LateStarts.additions` at the last report on the present link.
    reported_late_starts: int = 0
    # Whether a request to start a run for it, or for another entry, had no reply since
    # the last report.
    has_unanswered: bool = False
    has_unanswered_peers: bool = False
    # Whether its reports tell which queues' tasks run here.
    wants_queues: bool = False

    def add_peer_run(self, ratio):
        """Adds a run for another entry that was done.

        Args:
            ratio: Its actual over its declared run time.
        """
        self.peer_runs += 1
        self.peer_log_ratios += math.log(ratio)

    def take_peer_ratio(self):
        """Returns the number of runs for other entries and their mean ratio.

        They are not counted again.
        """
        runs, log_ratios = self.peer_runs, self.peer_log_ratios
        self.peer_runs, self.peer_log_ratios = 0, 0.0
        return runs, math.exp(log_ratios / runs) if runs else 1.0

    def expects_reports(self, now):
        """Returns whether the entry is likely to send tasks here soon."""
        return self.queued > 0 or self.is_active(now)

    def is_active(self, now):
        """Returns whether the entry has tasks here or sent some recently."""
        return self.runs > 0 or now - self.last_start_at < _ACTIVE_S


def isolated_jobs(runs, excluded_owner=None):
    """Returns the identifiers of the isolated jobs among some runs.

    Args:
        runs: `Run` of each run.
        excluded_owner: `Owner` whose runs are not counted.
    """
    return {
        job_id_of(run.task)
        for run in runs
        if run.isolated and run.owner is not excluded_owner
    }


def unsettled_tasks(runs, owner):
    """Returns the tasks whose start may still be executed, as far as an entry asks.

    Of other entries only starts that are no longer wanted, or that a later lifetime of
    the upstream may execute, concern it: their jobs may be submitted to it, also after
    this process has died.

    Args:
        runs: `Run` of each run.
        owner: `Owner` of the entry.

    Returns:
        tuple: Names of the entry's own tasks, and of those of other entries.
    """
    own, of_peers = [], []
    for run in runs:
        if not run.is_unsettled:
            continue
        if run.owner is owner:
            own.append(run.task)
        elif run.stopping or run.undecided or run.late_start_until:
            of_peers.append(run.task)
    return own, of_peers


def unsettled_starts(runs, owner):
    """Returns what an entry has to know of the requests to start unsettled tasks.

    It has to tell the next process of the executor if this one dies. Of its own tasks
    it knows the number, and that at most one request is under way, unless it is told.

    Args:
        runs: `Run` of each run.
        owner: `Owner` of the entry.

    Returns:
        list: `ttypes.LateStart` of each of them.
    """
    own, of_peers = unsettled_tasks(runs, owner)
    names = {*own, *of_peers}
    return [
        _to_wire(run)
        for run in runs
        if run.task in names and (run.owner is not owner or _has_more_requests(run))
    ]


def _has_more_requests(run):
    """Returns whether another request than the first one may be executed."""
    expected = 0 if run.running else 1
    return run.open_requests > expected or run.run != run.requested_run


def _to_wire(run):
    # The first request may be under way next. The one that was confirmed is not open.
    requests = run.open_requests if run.running else max(1, run.open_requests)
    return ttypes.LateStart(
        run.task,
        run.session.instance,
        int(MAX_LATE_RUN_S * 1000),
        run.run,
        requests,
        run.session.born_ms if run.running else 0,
        unwanted=run.stopping and run.open_requests > 0,
    )


def may_isolate(runs, job_id, limit):
    """Returns whether an isolated job may start beside some runs.

    The limits of the isolated jobs that run there apply as well.

    Args:
        runs: `Run` of each run.
        job_id: Identifier of the job.
        limit: Number of isolated jobs that may run there, the job included.
    """
    others = [run for run in runs if run.isolated and job_id_of(run.task) != job_id]
    limit = min([limit, *(run.isolation_limit for run in others)])
    return len(isolated_jobs(others)) < limit
