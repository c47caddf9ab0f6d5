"""
papayaward.coordination.leased_executor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts tasks on the local upstream, and manages its capacity and its lease.
"""

import logging

import gevent

from .. import clock
from ..loops import repeat
from ..protocol.gen import ttypes
from ..protocol.jobs import Resources, resources_from_wire
from .capacity_reports import Capacity, CapacityReports
from .capacity_use import CapacityUse, queue_cpu_to_wire
from .crashes.crash_relay import CrashRelay
from .crashes.lost_lifetimes import LostLifetimes
from .crashes.suspected_crashes import SuspectedCrashes
from .crashes.upstream_crashes import LostRun
from .current_upstream import CurrentUpstream, log_capacity_change
from .headroom import Headroom
from .late_starts import LateStarts
from .leased_runs import Run, isolated_jobs, unsettled_starts, unsettled_tasks
from .listed_runs import ListedRuns
from .run_activity import RunActivity
from .run_numbers import RunNumbers
from .run_owners import RunOwners
from .run_requests import start_run, stop_run
from .run_starter import LATE_START, OLD_RUN
from .start_admission import StartAdmission, log_refusals
from .upstream_session import UpstreamSession

__all__ = ["LeasedExecutor"]

log = logging.getLogger(__name__)

# Time from the last evidence that an entry is alive and wants its runs to the expiry of
# their lease. A caller whose entry died, or who left, submits the job again 1.3 s
# later; killing the runs when the lease expires takes another 50 ms.
_LEASE_S = 0.95
_TICK_S = 0.05
# Reports name what ran beside a run only for the first task of a phase, since the run
# times of its other tasks are not independent.
_FIRST_TASK_SUFFIX = ".0"


class LeasedExecutor:
    """Starts, monitors and stops the tasks on one upstream.

    No other process may start tasks on the upstream.

    Args:
        upstream: Client of the upstream (see `upstream_requests`).
        is_domain_out: Function that returns whether a failure domain is out of
            service.
        crashes: `CrashRelay` of this process; a new one if not given.
    """

    def __init__(self, upstream, is_domain_out, crashes=None):
        self._crashes = crashes or CrashRelay()
        self._suspected = SuspectedCrashes(self._crashes)
        self._upstream = upstream
        self._current = CurrentUpstream(
            self._open_session, self._on_lifetime_lost, self._on_session_closed
        )
        self._owners = RunOwners()
        self._runs = {}
        self._late_starts = LateStarts()
        self._lost_lifetimes = LostLifetimes(
            self._suspected, self._runs, self._late_starts
        )
        self._numbers = RunNumbers()
        self._activity = RunActivity(self._runs, self._finish)
        self._use = CapacityUse()
        self._headroom = Headroom()
        self._admission = StartAdmission(
            self._current,
            self._runs,
            self._free,
            is_domain_out,
            lambda job_id: self._crashes.records.is_exhausted(job_id),
            self._headroom,
        )
        self._was_accepting = False
        self._reports = CapacityReports(
            self._owners.by_member,
            self._capacity,
            self._isolated_peer_jobs,
            lambda owner: unsettled_tasks(self._runs.values(), owner),
            lambda owner: unsettled_starts(self._runs.values(), owner),
            self._late_starts,
            self._headroom,
            self._use,
        )
        self._listed = ListedRuns(
            self._runs,
            self._activity,
            self._reports,
            self._late_starts,
            lambda: self._current.session,
        )
        gevent.spawn(repeat, self._tick)

    @property
    def running(self):
        """Number of tasks that use capacity."""
        return len(self._runs)

    @property
    def state(self):
        """`UpstreamState` of the upstream, None before the first report."""
        return self._current.state

    @property
    def refusal_reason(self):
        """Reason why no task may start now, empty if one may."""
        return self._admission.refusal_reason

    def close(self, until):
        """Begins the shutdown: only tasks that do not delay it may still start.

        Args:
            until: Time by which every run must have ended, seconds.
        """
        self._admission.close(until)
        self.check_accepting()

    # The upstream's reports.

    def recall_upstream(self, state):
        """Takes over the upstream that a predecessor of this process knew.

        No task starts before the upstream reports.

        Args:
            state: `UpstreamState` of the stored report.
        """
        self._current.recall(state)
        self.check_accepting()

    def on_upstream_report(self, state, now):
        """Handles a report from the upstream.

        Args:
            state: `UpstreamState`.
            now: Time, seconds.
        """
        last = self.state
        if not self._current.on_report(state, now):
            return
        if last is not None and last.key == state.key:
            if last.capacity != state.capacity:
                log_capacity_change(last, state, self._use.used, len(self._runs))
        self.check_accepting()

    def on_upstream_deregistered(self, instance, now):
        """Handles the deregistration of an upstream instance, which is about to end.

        Its lease is not renewed any more. Its runs are not over before it refuses
        connections, reports their ends or the lease has ended.
        """
        if self._current.on_deregistered(instance):
            self._forget_deregistered()
            self.check_accepting()

    def _forget_deregistered(self):
        """Forgets a deregistered upstream once it has no runs."""
        if self._current.is_deregistered and not self._runs:
            self._current.forget()
            self.check_accepting()

    def check_accepting(self):
        """Notifies the entries when tasks may start or may no longer start."""
        session = self._current.session
        self._lost_lifetimes.check_refusal(self.state, session, clock.now())
        if session is not None and session.taken_over:
            now, instance = clock.now(), self.state.instance
            # The notice of a crash precedes the ends of its runs.
            self._suspected.on_taken_over(instance, session.born_ms, now)
            self._activity.on_taken_over(session, now)
            self._late_starts.on_taken_over(session)
        accepting = not self.refusal_reason
        if accepting != self._was_accepting:
            self._was_accepting = accepting
            log.info(
                "accepting_changed",
                extra={"accepting": accepting, "reason": self.refusal_reason},
            )
        self._on_capacity_changed()

    # Interface for links.

    def on_link_up(self, link, now):
        """Adds a link to an entry and reports the entry's running tasks to it."""
        owner, replaced = self._owners.connect(link)
        if replaced is not None:
            self._stop_runs_of(replaced, "the entry restarted", now)
        # The ends are sent first, because the entry requeues a task that is neither
        # reported as ended nor listed as running.
        self._reports.send(owner, now)
        running = [run.task for run in self._runs.values() if run.owner is owner]
        link.try_send(ttypes.RunningTasks(running))

    def on_link_down(self, link, now):
        """Records when the link to an entry broke."""
        self._owners.disconnect(link, now)

    def release_entry(self, member, released):
        """Sets whether an entry is to send no more tasks because its link will close.

        Args:
            member: Name of the entry.
            released: Whether it is released; False if it is used again.
        """
        owner = self._owners.by_member.get(member)
        if owner is not None:
            owner.released = released
            self._reports.on_capacity_changed([owner])

    def is_idle_for(self, member):
        """Returns whether no task of an entry uses capacity here."""
        return self._owners.is_idle(member)

    def on_heartbeat(self, link, queued, now):
        """Records when an entry was last known to be alive, and its waiting jobs.

        Args:
            link: Link to the entry.
            queued: Number of jobs that wait for capacity at the entry.
            now: Time, seconds.
        """
        self._owners.on_heartbeat(link, queued)

    def on_message(self, link, message, now):
        """Handles a message from an entry; returns whether it was handled."""
        if isinstance(message, ttypes.StartBatch):
            self._on_starts(link, message, now)
        elif isinstance(message, ttypes.StopBatch):
            for task in message.tasks:
                run = self._runs.get(task)
                # Another entry may run the task, for a caller that submitted it again.
                if run is not None and run.owner.member == link.peer.member:
                    self._stop(run, "requested by the entry", now)
        else:
            return False
        return True

    # Runs.

    def _on_starts(self, link, batch, now):
        owner = self._owners.of_link(link)
        if owner is None:
            return
        owner.last_batch = batch.number
        owner.wants_queues = bool(batch.wants_queues)
        owner.last_start_at = now
        owner.link.relaxed = False
        refused = {}
        for group in batch.groups:
            need = resources_from_wire(group.need)
            self._reports.record_need(need)
            self._headroom.record(group.priority, need.cpu_millis, now)
            for start in group.starts:
                reason = self._admit(owner, group, start, need, now)
                if reason:
                    outcome = "not_run:" + reason
                    refused.setdefault(reason, []).append(start.task)
                    number = start.run
                    if reason == OLD_RUN:
                        number = self._numbers.next(start.task, number) - 1
                    self._queue_end(owner, start.task, number, outcome, 0)
                else:
                    # The job has begun: its other tasks may use the headroom.
                    group.may_use_kept = True
        log_refusals(refused, now - owner.last_alive_at)
        self._on_capacity_changed()

    def _admit(self, owner, group, start, need, now):
        """Reserves capacity and begins a start.

        Returns:
            str: Reason for the refusal, empty if the start was accepted.
        """
        reason = self._admission.of_start(group, start, need, owner.last_alive_at, now)
        if reason:
            return reason
        if start.late_start is not None:
            self._on_late_start_told(group, start, now)
        if self._late_starts.is_rejected(start.task, self._current.session):
            return LATE_START
        is_late = start.task in self._late_starts
        if not is_late and start.run < self._numbers.next(start.task, start.run):
            return OLD_RUN
        run = Run.of_start(group, start, need, owner, now)
        run.session = self._current.session
        self._late_starts.on_run_accepted(run)
        self._runs[start.task] = run
        self._use.add(run, now)
        owner.runs += 1
        gevent.spawn(
            start_run,
            run,
            lambda: self._admission.of_accepted(run, clock.now()),
            self._reports.on_run_settled,
            self._activity.on_not_started,
            self._reports.on_unanswered,
        )
        return ""

    def _on_late_start_told(self, group, start, now):
        """Takes over what an entry knows of the requests of an earlier process."""
        late_start, declared_s = start.late_start, (group.declared_ms or 0) / 1000.0
        lost_run = LostRun(start.task, group.queue or "", declared_s, now)
        session = self._current.session
        if self._late_starts.on_told(late_start, lost_run, session, now):
            self._numbers.add(start.task, late_start.run, now)

    def _finish(self, run, outcome, now):
        del self._runs[run.task]
        beside = self._use.remove(run, now)
        run.owner.runs -= 1
        service_us = int((now - run.started_at) * 1e6) if run.running else 0
        if outcome == "done" and service_us > 0 and run.declared_s:
            self._add_peer_run(run, service_us / 1e6 / run.declared_s)
        self._late_starts.on_run_over(run, now)
        self._numbers.on_run_over(run, now)
        if run.late_requests and outcome != "done":
            self._fence_off_sent_requests()
        number = max(run.run, run.requested_run)
        self._queue_end(run.owner, run.task, number, outcome, service_us, beside)
        self._on_capacity_changed()

    def _fence_off_sent_requests(self):
        session = self._current.session
        if session is not None:
            session.fence_off_sent_requests()

    def _add_peer_run(self, run, ratio):
        for owner in self._owners:
            if owner is not run.owner:
                owner.add_peer_run(ratio)

    def _stop(self, run, reason, now):
        if not run.stopping:
            # The caller may submit the job to another entry, so all entries learn of a
            # start that may still be executed.
            stop_run(run, reason, now, on_unsettled=self._on_capacity_changed)

    def stop_all(self, reason, now):
        """Stops all runs.

        Args:
            reason: Reason for the log.
            now: Time, seconds.
        """
        for run in list(self._runs.values()):
            self._stop(run, reason, now)

    def _stop_runs_of(self, owner, reason, now):
        for run in list(self._runs.values()):
            if run.owner is owner:
                self._stop(run, reason, now)

    # The lease.

    def _lease_until(self, now):
        """Returns when all runs must end unless the entries send further heartbeats.

        A run that is to be stopped counts until its end, since the request may get no
        reply, and so does one of an entry that has restarted meanwhile.
        """
        if self._current.is_deregistered:
            return now
        wanted_at = [run.last_wanted_at for run in self._runs.values()]
        return min(wanted_at, default=now) + _LEASE_S

    def _open_session(self, state, on_lost, lowest_token, is_up):
        return UpstreamSession(
            self._upstream,
            state,
            self._lease_until,
            lambda: bool(self._runs),
            self._listed.on_ends,
            self._listed.on_progress,
            self.check_accepting,
            on_lost,
            lowest_token,
            is_up,
        )

    def _on_session_closed(self, session, evidence, reason):
        self._activity.on_session_closed(session, evidence, reason, clock.now())
        self._late_starts.on_session_closed(session)
        self.check_accepting()

    def _on_lifetime_lost(self, loss, now):
        self._lost_lifetimes.on_lost(self.state, self._current.session, loss, now)

    def _tick(self):
        gevent.sleep(_TICK_S)
        now = clock.now()
        self._current.check(now)
        self._suspected.check(now)
        self._activity.check(now)
        self._late_starts.forget_expired(self._current.session, now)
        self._numbers.forget_old(now)
        if not self._late_starts and not self._activity.may_start_late(now):
            self._current.stop_awaiting(now)
        self._forget_deregistered()
        for owner in self._owners.silent(now):
            self._stop_runs_of(owner, "the entry is silent", now)
        for owner in self._owners:
            owner.link.relaxed = not owner.is_active(now)

    def _free(self):
        if self.state is None:
            return Resources()
        return self.state.capacity - self._use.used

    def _queue_end(self, owner, task, run, outcome, service_us, beside=()):
        rows = None
        if beside and outcome == "done" and task.endswith(_FIRST_TASK_SUFFIX):
            rows = queue_cpu_to_wire(beside)
        owner.ends.append(ttypes.TaskEnd(task, run, outcome, service_us, rows))
        self._reports.wake()

    def _on_capacity_changed(self):
        self._reports.on_capacity_changed(self._owners)

    def _isolated_peer_jobs(self, owner):
        """Returns the number of isolated jobs of other entries that run here."""
        runs = self._runs.values() if self._use.isolated_runs else ()
        return len(isolated_jobs(runs, owner))

    def _capacity(self):
        """Returns the `Capacity` that the entries are told."""
        if self.state is None:
            return Capacity(Resources(), Resources(), False, (), "", False)
        session = self._current.session
        return Capacity(
            self._free(),
            self.state.capacity,
            not self.refusal_reason,
            self.state.labels,
            self.state.key,
            session is not None and session.taken_over,
        )
