"""
papayaward.coordination.leased_executor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts tasks on the upstream beside it, keeps its room and its lease.
"""

import logging

import gevent
from gevent.event import Event

from .. import clock
from ..protocol.gen import ttypes
from ..protocol.jobs import Resources, resources_from_wire, resources_to_wire
from ..state import metrics
from .leased_runs import Owner, Run
from .upstream_session import UpstreamSession

__all__ = ["LeasedExecutor"]

log = logging.getLogger(__name__)

# Longest time between the last proof that an entry lives and the end of all runs.
# A caller whose entry died submits again 1.3 s later; the kill takes 50 ms more.
_LEASE_S = 0.95
# An entry that was silent for longer has its runs stopped, so that the lease that
# they share with the other entries' runs can be renewed again.
_OWNER_SILENT_S = 0.6
# A start is refused when the entry that asked for it was last heard earlier: after a
# pause of this process the start may have been given up and sent elsewhere.
_FRESH_S = 0.45
# Time for an entry to come back after its connection broke.
_RELINK_S = 0.2
# A run is reported as slow if what is left of it takes more than this many times
# its whole expected time, and more than the least time.
_SLOW_RUN = 1.5
_SLOW_RUN_LEAST_S = 0.25
_PROGRESS_AFTER_S = 0.1
# Part of the expected time of a run that may still be filled with shorter ones while
# the process waits for its end.
_CLOSING_RUN = 0.9
_TICK_S = 0.05
_ENDS_DELAY_S = 0.002
# Least time between two reports of room alone: when a kind of task has room again or
# has none any more, and otherwise.
_ROOM_TURN_S = 0.02
_ROOM_NEWS_S = 0.1
# Kinds of tasks that a change of room is checked for.
_MOST_NEEDS = 8


class LeasedExecutor:
    """The only place that starts tasks on its upstream.

    Args:
        upstream: Object that carries orders (see `upstream_requests`).
        is_domain_out: Function that returns whether a failure domain is out of
            service.
    """

    def __init__(self, upstream, is_domain_out):
        self._upstream = upstream
        self._is_domain_out = is_domain_out
        self._session = None
        self._state = None
        self._owners = {}
        self._runs = {}
        self._used = Resources()
        # What the latest kinds of tasks need, the oldest first.
        self._needs = {}
        self._closing = False
        self._close_limit = 0.0
        self._dirty = Event()
        self._was_accepting = False
        gevent.spawn(self._flush)
        gevent.spawn(self._tick)

    @property
    def running(self):
        """Number of tasks that hold room."""
        return len(self._runs)

    @property
    def state(self):
        """`UpstreamState` of the upstream, None before the first report."""
        return self._state

    @property
    def refusal(self):
        """Why no task may start now, empty if one may."""
        if self._closing and not self._runs:
            return "closing"
        if self._state is None:
            return "no_upstream"
        if self._state.draining:
            return "draining"
        if self._session is None or not self._session.ready:
            return "upstream_silent"
        if self._is_domain_out(self._state.domain):
            return "domain_out"
        return ""

    def close(self, until):
        """Lets only those tasks start that do not delay the end.

        Args:
            until: Time at which nothing may run any more, seconds.
        """
        self._closing = True
        self._close_limit = until
        self.check_accepting()

    # The upstream's reports.

    def on_upstream_report(self, state, now):
        """Takes a report of the upstream.

        Args:
            state: `UpstreamState`.
            now: Time, seconds.
        """
        known = self._state
        if known is not None and _life(known) == _life(state):
            if state.sequence < known.sequence:
                return
            self._state = state
            if self._session is None:
                self._open_session(state)
        elif known is not None and state.born_ms < known.born_ms:
            return
        else:
            self._drop_session("a new life of the upstream reported")
            self._state = state
            self._open_session(state)
        self.check_accepting()

    def on_upstream_deregistered(self, instance, now):
        """Takes the upstream's word that it ends."""
        if self._state is not None and self._state.instance == instance:
            self._drop_session("the upstream left")
            self._state = None
            self.check_accepting()

    def check_accepting(self):
        """Tells the entries if tasks may start, or may no longer."""
        accepting = not self.refusal
        if accepting != self._was_accepting:
            self._was_accepting = accepting
            log.info(
                "accepting_changed",
                extra={"accepting": accepting, "reason": self.refusal},
            )
        self._change_room()

    # Interface for links.

    def on_link_up(self, link, now):
        """Takes a link to an entry and tells it what still runs for it."""
        peer = link.peer
        owner = self._owners.get(peer.member)
        if owner is not None and owner.incarnation != peer.incarnation:
            self._stop_owner(owner, "the entry restarted")
            owner = None
        if owner is None:
            owner = Owner(peer.member, peer.incarnation, link, 0.0)
            self._owners[peer.member] = owner
        owner.link, owner.disconnected_at = link, None
        owner.last_alive_at = max(owner.last_alive_at, link.echoed_us / 1e6)
        owner.capacity_changed = True
        # The ends first: what is not running and has no end was lost.
        self._send(owner)
        mine = [run.task for run in self._runs.values() if run.owner is owner]
        link.try_send(ttypes.RunningTasks(mine))

    def on_link_down(self, link, now):
        """Notes that an entry cannot be reached."""
        owner = self._owners.get(link.peer.member)
        if owner is not None and owner.link is link:
            owner.disconnected_at = now

    def on_heartbeat(self, link, now):
        """Notes when the entry was last known to live."""
        owner = self._owners.get(link.peer.member)
        if owner is not None and owner.link is link:
            owner.last_alive_at = max(owner.last_alive_at, link.echoed_us / 1e6)

    def on_message(self, link, message, now):
        """Handles a message of an entry and returns whether it was one."""
        if isinstance(message, ttypes.StartBatch):
            self._on_starts(link, message, now)
        elif isinstance(message, ttypes.StopBatch):
            for task in message.tasks:
                self._stop(self._runs.get(task), "the entry asked")
        else:
            return False
        return True

    # Runs.

    def _on_starts(self, link, batch, now):
        owner = self._owners.get(link.peer.member)
        if owner is None or owner.link is not link:
            return
        owner.last_batch = batch.number
        refused = {}
        for start in batch.starts:
            reason = self._admit(owner, start, now)
            if reason:
                refused.setdefault(reason, []).append(start.task)
                self._tell_end(owner, start.task, start.run, "not_run:" + reason, 0)
        for reason, tasks in refused.items():
            metrics.REJECTED_GRANTS.labels(reason).inc(len(tasks))
            log.info(
                "start_refused",
                extra={
                    "reason": reason,
                    "tasks": len(tasks),
                    "first_task": tasks[0],
                    "heard_age_s": round(now - owner.last_alive_at, 3),
                },
            )
        self._change_room()

    def _admit(self, owner, start, now):
        """Reserves room and begins a start; returns why not, empty if it did."""
        reason = self.refusal
        if reason:
            return reason
        if now - owner.last_alive_at > _FRESH_S:
            return "stale"
        if start.task in self._runs:
            return "duplicate"
        if self._closing and now + start.expected_ms / 1000.0 > self._close_at(now):
            return "closing"
        need = resources_from_wire(start.need)
        self._note_need(need)
        if not self._free().covers(need):
            return "busy"
        run = Run(
            start.task,
            start.run,
            start.spec,
            need,
            owner,
            start.request_id,
            (start.expected_ms or 0) / 1000.0,
            now,
        )
        self._runs[start.task] = run
        self._used = self._used + need
        owner.runs += 1
        gevent.spawn(self._start, run, self._session)
        return ""

    def _note_need(self, need):
        self._needs.pop(need, None)
        self._needs[need] = True
        if len(self._needs) > _MOST_NEEDS:
            del self._needs[next(iter(self._needs))]

    def _close_at(self, now):
        """Returns when the runs that a stop request found are expected to end."""
        ends = (
            run.started_at + _CLOSING_RUN * run.expected_s
            for run in self._runs.values()
        )
        return min(max(ends, default=now), self._close_limit)

    def _start(self, run, session):
        def wanted():
            return not run.stopping and not run.ended

        fate, number = session.start(run.task, run.run, run.spec, wanted)
        run.run = number
        if run.ended or fate == "ended":
            return
        if fate == "started":
            run.running = True
            run.started_at = clock.now()
            if run.stopping:
                session.stop(run.task, run.run)
            return
        log.info(
            "start_failed",
            extra={"task": run.task, "request_id": run.request_id, "reason": fate},
        )
        if fate == "unreachable":
            self._finish(run, "lost", clock.now())
        else:
            self._finish(run, "not_run:" + fate, clock.now())

    def _on_ends(self, ends, now):
        for end in ends:
            run = self._runs.get(end.task)
            if run is not None and end.run >= run.run:
                self._finish(run, end.outcome, now)

    def _on_progress(self, running, now):
        """Tells the homes which runs take far longer than they expect."""
        for (task, _), percent in running.items():
            run = self._runs.get(task)
            if run is None or not run.running or run.stopping or not run.expected_s:
                continue
            if now - run.started_at < _PROGRESS_AFTER_S:
                continue
            remaining_s = run.remaining_s(percent, now)
            if remaining_s > max(_SLOW_RUN * run.expected_s, _SLOW_RUN_LEAST_S):
                elapsed_s = now - run.started_at
                slow = ttypes.SlowRun(
                    task, int(remaining_s * 1000), int(elapsed_s * 1000)
                )
                run.owner.slow.append(slow)
                self._dirty.set()

    def _finish(self, run, outcome, now):
        if run.ended:
            return
        run.ended = True
        del self._runs[run.task]
        self._used = self._used - run.need
        run.owner.runs -= 1
        service_us = int((now - run.started_at) * 1e6) if run.running else 0
        self._tell_end(run.owner, run.task, run.run, outcome, service_us)
        self._change_room()

    def _stop(self, run, reason):
        if run is None or run.stopping:
            return
        run.stopping = True
        log.info(
            "run_stopped",
            extra={
                "task": run.task,
                "run": run.run,
                "request_id": run.request_id,
                "reason": reason,
            },
        )
        if run.running and self._session is not None:
            gevent.spawn(self._session.stop, run.task, run.run)

    def stop_all(self, reason):
        """Stops every run."""
        for run in list(self._runs.values()):
            self._stop(run, reason)

    def _stop_owner(self, owner, reason):
        for run in list(self._runs.values()):
            if run.owner is owner:
                self._stop(run, reason)

    # The lease.

    def _lease_until(self, now):
        """Returns when everything that runs here has to end without more proof."""
        heard = [owner.last_alive_at for owner in self._owners.values() if owner.runs]
        return min(heard, default=now) + _LEASE_S

    def _open_session(self, state):
        self._session = UpstreamSession(
            self._upstream,
            state,
            self._lease_until,
            lambda: bool(self._runs),
            self._on_ends,
            self._on_progress,
            self.check_accepting,
            self._on_session_lost,
        )

    def _drop_session(self, reason):
        if self._session is not None:
            self._session.close()
            self._session = None
        for run in list(self._runs.values()):
            self._finish(run, "lost", clock.now())
        log.info("session_closed", extra={"reason": reason})

    def _on_session_lost(self):
        self._drop_session("nothing can run on the upstream any more")
        # The upstream's next report opens a session again.
        self.check_accepting()

    def _tick(self):
        while True:
            gevent.sleep(_TICK_S)
            now = clock.now()
            for owner in list(self._owners.values()):
                self._check_owner(owner, now)

    def _check_owner(self, owner, now):
        away = (
            owner.disconnected_at is not None
            and now - owner.disconnected_at > _RELINK_S
        )
        if away or now - owner.last_alive_at > _OWNER_SILENT_S:
            if owner.runs:
                self._stop_owner(owner, "the entry is silent")
            elif away:
                self._owners.pop(owner.member, None)

    # Reports to the entries.

    def _free(self):
        if self._state is None:
            return Resources()
        return self._state.capacity - self._used

    def _tell_end(self, owner, task, run, outcome, service_us):
        owner.ends.append(ttypes.TaskEnd(task, run, outcome, service_us))
        self._dirty.set()

    def _change_room(self):
        for owner in self._owners.values():
            owner.capacity_changed = True
        self._dirty.set()

    def _flush(self):
        wait_s = None
        while True:
            if self._dirty.wait(wait_s):
                gevent.sleep(_ENDS_DELAY_S)
                self._dirty.clear()
            now = clock.now()
            later = []
            for owner in list(self._owners.values()):
                if owner.disconnected_at is not None:
                    continue
                due = self._due_at(owner)
                if due is not None and due <= now:
                    self._send(owner)
                elif due is not None:
                    later.append(due)
            wait_s = min(later) - now if later else None

    def _due_at(self, owner):
        """Returns when an entry gets its next report, None if there is no news."""
        if owner.ends or owner.slow:
            return 0.0
        if not owner.capacity_changed:
            return None
        turned = owner.reported_accepting != (not self.refusal) or any(
            owner.reported_free.covers(need) != self._free().covers(need)
            for need in self._needs
        )
        return owner.capacity_sent_at + (_ROOM_TURN_S if turned else _ROOM_NEWS_S)

    def _send(self, owner):
        ends, owner.ends = owner.ends, []
        slow, owner.slow = owner.slow, []
        owner.capacity_changed = False
        owner.capacity_sent_at = clock.now()
        owner.reported_accepting = not self.refusal
        owner.reported_free = self._free()
        owner.link.try_send(ttypes.EndBatch(ends, self._room(owner), slow or None))

    def _room(self, owner):
        if self._state is None:
            nothing = resources_to_wire(Resources())
            return ttypes.RoomReport(owner.last_batch, nothing, nothing, False, [], "")
        return ttypes.RoomReport(
            owner.last_batch,
            resources_to_wire(self._free()),
            resources_to_wire(self._state.capacity),
            not self.refusal,
            list(self._state.labels),
            self._state.instance,
        )


def _life(state):
    return state.instance, state.born_ms
