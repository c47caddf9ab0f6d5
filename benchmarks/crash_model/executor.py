"""
benchmarks.crash_model.executor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulated executors and upstreams.
"""

import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

from papayaward.coordination.capacity_use import CapacityUse, queue_cpu_to_wire
from papayaward.coordination.crashes.upstream_crashes import crash_of
from papayaward.coordination.headroom import Headroom
from papayaward.coordination.leased_runs import Run, isolated_jobs, may_isolate
from papayaward.coordination.upstream_requests import Delivery
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import Resources, resources_from_wire, resources_to_wire

__all__ = ["CORE", "Executor", "ROUND_S", "SERVICE"]

SERVICE = "dispatch"
# Millicores of a core.
CORE = 1000
ROUND_S = 0.002

_RESTART_S = 3.3
# Time until a connection to an upstream that is gone is refused.
_REFUSAL_S = 0.001
# Time until a start without a reply is confirmed by its repetition.
_REPEATED_START_S = 0.05
# Shortest part of the lease that is left when a crash is noticed.
_MIN_LEASE_SHARE = 0.7
# Share of the declared run time that a run really takes, least and most.
_RUN_SHARES = (0.7, 1.2)


class _Link:
    """One direction of a link in simulated time."""

    def __init__(self, member, handle):
        self.peer = SimpleNamespace(
            member=member, incarnation=1, service_name=SERVICE, domain="a"
        )
        self.relaxed = False
        self.try_send = handle


class Executor:
    """An executor and its upstream, linked to every entry.

    Attributes:
        name: Name of the executor.
        instance: Number of the upstream's instance.
        up: Whether the upstream runs as far as the executor knows.

    Args:
        name: Name of the executor.
        load: `Load`.
        entries: Schedulers of the entries.
        events: `EventQueue`.
        tally: `Tally`.
        notices: `CrashNotices`.
    """

    def __init__(self, name, load, entries, events, tally, notices):
        self._load = load
        self._entries = entries
        self._events = events
        self._tally = tally
        self._notices = notices
        self.name = name
        self.instance = 1
        self.up = True
        # Whether the upstream runs in fact.
        self._alive = True
        self._has_refused = False
        # Crash of the present instance that is not known yet.
        self._suspected = None
        self._runs = {}
        self._capacity = Resources(load.cores * CORE, 1 << 20, 0)
        self._free = self._capacity
        self._use = CapacityUse()
        self._headroom = Headroom()
        self._last_batch = Counter()
        self._links = [
            _Link(name, lambda message, e=entry: self._on_message(e, message))
            for entry in entries
        ]
        for entry, link in zip(entries, self._links, strict=True):
            entry.on_link_up(link, events.now)

    def report(self, entry=None, end=None):
        """Sends the free capacity to all entries, and the end of a run to its own."""
        for other, link in zip(self._entries, self._links, strict=True):
            runs = self._runs.values()
            room = ttypes.RoomReport(
                self._last_batch[other],
                resources_to_wire(self._free),
                resources_to_wire(self._capacity),
                self.up,
                [],
                f"{self.name}@{self.instance}",
                0,
                1.0,
                len(isolated_jobs(runs, other)),
            )
            room.queues = self._use.to_wire()
            room.kept = self._headroom.to_wire(self._capacity, self._events.now)
            ends = [end] if end and other is entry else []
            batch = ttypes.EndBatch(ends, room, None)
            other.on_message(link, batch, self._events.now)

    def _on_message(self, entry, message):
        if isinstance(message, ttypes.StopBatch):
            for task in message.tasks:
                self._end(self._runs.get(task), "stopped")
        else:
            self._last_batch[entry] = message.number
            for group in message.groups:
                self._headroom.record(
                    group.priority, group.need.cpu_millis, self._events.now
                )
                for start in group.starts:
                    self._start(entry, group, start)

    def _start(self, entry, group, start):
        need = resources_from_wire(group.need)
        reason = self._refusal(group, start, need)
        if reason:
            end = ttypes.TaskEnd(start.task, start.run, "not_run:" + reason, 0)
            self._events.after(ROUND_S, lambda: self.report(entry, end))
            return
        now = self._events.now
        run = Run.of_start(group, start, need, entry, now)
        run.running = True
        group.may_use_kept = True
        self._runs[run.task] = run
        self._free = self._free - need
        self._use.add(run, now)
        if self._alive:
            self._run(run)
        else:
            self._send_in_vain(run)

    def _run(self, run):
        load = self._load
        run.delivery = Delivery.UNANSWERED
        is_lost = random.random() < load.lost_replies if load.lost_replies else False
        confirm_s = _REPEATED_START_S if is_lost else load.confirm_s
        if confirm_s:
            self._events.after(confirm_s, lambda: self._confirm(run))
        else:
            run.delivery = Delivery.STARTED
        run_s = self.run_time_s(run)
        if self._tally.on_start(run):
            crash_s = run_s * load.crash_at
            self._events.after(crash_s, lambda: self._crash(run))
        self._events.after(run_s, lambda: self._end(run, "done"))

    def run_time_s(self, run):
        """Returns the time that a run takes, seconds."""
        return run.declared_s * random.uniform(*_RUN_SHARES)

    def _confirm(self, run):
        if self._alive and self._runs.get(run.task) is run:
            run.delivery = Delivery.STARTED

    def _send_in_vain(self, run):
        """Handles a start that is sent to an upstream that is gone."""
        load = self._load
        if load.blames_undelivered:
            # The start that finds the connection refused is left out.
            first, self._has_refused = not self._has_refused, True
            run.delivery = Delivery.NOT_DELIVERED if first else Delivery.STARTED
        elif load.unanswered_share and random.random() < load.unanswered_share:
            run.delivery = Delivery.UNANSWERED
        self._events.after(_REFUSAL_S, self._notice_crash_of(self.instance))

    def _refusal(self, group, start, need):
        if not self.up:
            return "upstream_silent"
        if self._notices.is_exhausted(start.task.partition(".")[0]):
            return "crashing"
        if not self._free.covers(need):
            return "busy"
        free, now = self._free, self._events.now
        if self._headroom.refuses(group, need, free, self._capacity, now):
            return "kept"
        job_id, limit = start.task.partition(".")[0], group.isolation_limit
        if limit and not may_isolate(self._runs.values(), job_id, limit):
            return "not_isolated"
        return ""

    def _end(self, run, outcome):
        is_present = run is not None and self._runs.get(run.task) is run
        if is_present and self._alive:
            self._finish(run, outcome, ROUND_S)

    def _finish(self, run, outcome, delay_s):
        del self._runs[run.task]
        self._free = self._free + run.need
        now = self._events.now
        beside = queue_cpu_to_wire(self._use.remove(run, now))
        service_us = int((now - run.started_at) * 1e6)
        end = ttypes.TaskEnd(run.task, run.run, outcome, service_us, beside)
        self._events.after(delay_s, lambda: self.report(run.owner, end))

    def _crash(self, run):
        if self._runs.get(run.task) is run:
            self.crash()

    def crash(self):
        """Ends the upstream without notice."""
        if not self._alive:
            return
        self._alive = False
        self._has_refused = False
        self._tally.on_crash(self._runs.values())
        load = self._load
        notice_s = load.notice_s if self._runs else load.idle_notice_s
        notice = self._notice_crash_of(self.instance)
        if notice_s:
            self._events.after(min(notice_s, _RESTART_S), notice)
        else:
            notice()
        self._events.after(_RESTART_S, self._restart)

    def _notice_crash_of(self, instance):
        def notice():
            if self.up and not self._alive and self.instance == instance:
                self._on_crash_noticed()

        return notice

    def _on_crash_noticed(self):
        self.up = False
        lease_s = self._load.lease_s if self._runs else 0.0
        if not lease_s:
            self._publish_crash(self._events.now)
            return
        self._notices.publish_refusal(self._crash_at(self._events.now))
        self.report()
        noticed_at, instance = self._events.now, self.instance
        delay_s = lease_s * random.uniform(_MIN_LEASE_SHARE, 1.0)
        self._events.after(
            min(delay_s, _RESTART_S),
            lambda: self.instance == instance and self._publish_crash(noticed_at),
        )

    def _crash_at(self, at):
        runs = self._runs.values()
        received = [run for run in runs if run.delivery is not Delivery.NOT_DELIVERED]
        key = f"{self.name}@{self.instance}"
        return crash_of(key, SERVICE, received, at, witnessed=True)

    def _publish_crash(self, at):
        lost = list(self._runs.values())
        crash = self._crash_at(at)
        self._suspected = replace(crash, is_known=not self._load.lease_s)
        self._notices.publish(self._suspected)
        for run in lost:
            # The notice precedes the end on the link to the entry.
            delay_s = ROUND_S + self._notices.delay_s(run.owner)
            self._finish(run, "lost", delay_s)

    def _restart(self):
        self._notice_crash_of(self.instance)()
        if self._suspected is None:
            self._publish_crash(self._events.now)
        if not self._suspected.is_known:
            self._notices.publish(replace(self._suspected, is_known=True))
        self._suspected = None
        self.up = self._alive = True
        self.instance += 1
        self.report()
