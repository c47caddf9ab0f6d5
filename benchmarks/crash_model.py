"""
benchmarks.crash_model
~~~~~~~~~~~~~~~~~~~~~~

Tasks that crash their upstreams, played in simulated time.

The entries' schedulers and the evidence are the product's; executors, upstreams and
callers are simulated, so that thousands of tasks take seconds. Run it with
`python -m benchmarks.crash_model` for a table over many loads.
"""

import argparse
import heapq
import itertools
import logging
import random
import sys
from collections import Counter
from dataclasses import dataclass, replace
from types import SimpleNamespace

from papayaward import clock
from papayaward.coordination.crash_relay import CrashRelay
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.leased_runs import Run, isolated_jobs, may_isolate
from papayaward.coordination.upstream_crashes import crash_of
from papayaward.coordination.upstream_requests import Delivery
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import (
    LeasedJobRequest,
    Phase,
    Queue,
    Resources,
    resources_from_wire,
    resources_to_wire,
)

__all__ = ["Load", "Result", "play"]

_SERVICE = "dispatch"
_CORE = 1000
_EXECUTOR_CORES = 32
_RESTART_S = 3.3
_RESUBMIT_S = 1.3
_ROUND_S = 0.002
_CHECK_S = 0.02
_DEADLY_FROM_S, _DEADLY_UNTIL_S, _END_S = 2.0, 10.0, 14.0
_TIMEOUT_S = 2.5
# Time until a connection to an upstream that is gone is refused.
_REFUSAL_S = 0.001
# Time until a start without a reply is confirmed by its repetition.
_REPEATED_START_S = 0.05
# Part of the upstreams that crash in an outage.
_OUTAGE_SHARE = 0.3
# Share of the declared run time that a run really takes, least and most.
_RUN_SHARES = (0.7, 1.2)


@dataclass(frozen=True)
class _Kind:
    """One kind of job: its rate per executor and second, and its tasks."""

    name: str
    rate: float
    tasks: int
    cores: int
    run_s: float


_KINDS = (
    _Kind("deadly", 1.5, 8, 3, 0.12),
    _Kind("long", 0.28, 4, 3, 1.8),
    _Kind("short", 4.5, 2, 3, 0.4),
)


@dataclass(frozen=True)
class Load:
    """What is played.

    Attributes:
        share: Part of the jobs of one queue that hold a deadly task.
        all_deadly: Whether all tasks of such a job are deadly, or one of them.
        crash_at: Part of the run after which a deadly task crashes the upstream.
        rate: Factor of the rates at which jobs arrive.
        outage_s: Time between two outages, seconds; 0 for none. Each crashes a part of
            the upstreams, whatever they run.
        single_crashes_per_s: Rate of crashes of one random upstream, whatever it runs.
        notice_s: Time from a crash to its notice by an executor with runs.
        idle_notice_s: The same for an executor without runs; a start that is sent to
            the upstream ends it.
        confirm_s: Time from a start to its confirmation by the upstream.
        lost_replies: Part of the starts that only their repetition confirms.
        unanswered_share: Part of the starts sent to an upstream that is gone of which
            the executor does not know whether they were received.
        relay_s: Longest time that a notice takes to an entry; each entry has its own.
        blames_undelivered: Whether starts that are sent together with the one that
            finds an upstream gone are published as started there.
        executors: Number of executors.
        entries: Number of entries.
        seed: Seed of the random numbers.
    """

    share: float
    all_deadly: bool = True
    crash_at: float = 0.5
    rate: float = 1.0
    outage_s: float = 0.0
    single_crashes_per_s: float = 0.0
    notice_s: float = 0.0
    idle_notice_s: float = 0.0
    confirm_s: float = 0.0
    lost_replies: float = 0.0
    unanswered_share: float = 0.0
    relay_s: float = 0.0
    blames_undelivered: bool = False
    executors: int = 11
    entries: int = 3
    seed: int = 1


@dataclass(frozen=True)
class Result:
    """What was seen.

    Attributes:
        tasks: Number of tasks submitted.
        deadly_jobs: Number of jobs with a deadly task.
        crashes: Number of crashes.
        most_starts: Most starts of one deadly task.
        late_starts: Most starts of one deadly task after its third crash.
        condemned: Jobs without a deadly task that were answered as failed.
        condemned_early: Those of them of which no task was in three crashes.
        condemned_falsely: Those of them of which no task ran in two crashes.
        others_in_time: Part of the jobs of the other queues that met the objective.
        queue_in_time: The same for jobs without a deadly task of the deadly queue.
        innocent_in_time: The same for all jobs without a deadly task.
        down: Mean part of the upstreams that were down while deadly jobs came.
    """

    tasks: int
    deadly_jobs: int
    crashes: int
    most_starts: int
    late_starts: int
    condemned: int
    condemned_early: int
    condemned_falsely: int
    others_in_time: float
    queue_in_time: float
    innocent_in_time: float
    down: float


class _Link:
    """One direction of a link in simulated time."""

    def __init__(self, member, handle):
        self.peer = SimpleNamespace(
            member=member, incarnation=1, service_name=_SERVICE, domain="a"
        )
        self.relaxed = False
        self.try_send = handle


class _Executor:
    """An executor and its upstream, linked to every entry."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self.name = name
        self.instance = 1
        # Whether the upstream runs, as far as the executor knows, and in fact.
        self.up = True
        self._alive = True
        self._has_refused = False
        self._runs = {}
        self._capacity = Resources(_EXECUTOR_CORES * _CORE, 1 << 20, 0)
        self._free = self._capacity
        self._last_batch = Counter()
        self._links = [
            _Link(name, lambda message, e=entry: self._on_message(e, message))
            for entry in simulation.entries
        ]
        for entry, link in zip(simulation.entries, self._links, strict=True):
            entry.on_link_up(link, simulation.now)

    def report(self, entry=None, end=None):
        """Sends the free capacity to all entries, and the end of a run to its own."""
        for other, link in zip(self._simulation.entries, self._links, strict=True):
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
            ends = [end] if end and other is entry else []
            batch = ttypes.EndBatch(ends, room, None)
            other.on_message(link, batch, self._simulation.now)

    def _on_message(self, entry, message):
        if isinstance(message, ttypes.StopBatch):
            for task in message.tasks:
                self._end(self._runs.get(task), "stopped")
        else:
            self._last_batch[entry] = message.number
            for group in message.groups:
                for start in group.starts:
                    self._start(entry, group, start)

    def _start(self, entry, group, start):
        need = resources_from_wire(group.need)
        reason = self._refusal(group, start, need)
        if reason:
            end = ttypes.TaskEnd(start.task, start.run, "not_run:" + reason, 0)
            self._simulation.after(_ROUND_S, lambda: self.report(entry, end))
            return
        now = self._simulation.now
        run = Run.of_start(group, start, need, entry, now)
        run.running = True
        self._runs[run.task] = run
        self._free = self._free - need
        if self._alive:
            self._run(run)
        else:
            self._send_in_vain(run)

    def _run(self, run):
        load = self._simulation.load
        run.delivery = Delivery.UNANSWERED
        is_lost = random.random() < load.lost_replies if load.lost_replies else False
        confirm_s = _REPEATED_START_S if is_lost else load.confirm_s
        if confirm_s:
            self._simulation.after(confirm_s, lambda: self._confirm(run))
        else:
            run.delivery = Delivery.STARTED
        run_s = run.declared_s * random.uniform(*_RUN_SHARES)
        if self._simulation.on_start(run):
            crash_s = run_s * load.crash_at
            self._simulation.after(crash_s, lambda: self._crash(run))
        self._simulation.after(run_s, lambda: self._end(run, "done"))

    def _confirm(self, run):
        if self._alive and self._runs.get(run.task) is run:
            run.delivery = Delivery.STARTED

    def _send_in_vain(self, run):
        """Handles a start that is sent to an upstream that is gone."""
        load = self._simulation.load
        if load.blames_undelivered:
            # The start that finds the connection refused is left out.
            first, self._has_refused = not self._has_refused, True
            run.delivery = Delivery.NOT_DELIVERED if first else Delivery.STARTED
        elif load.unanswered_share and random.random() < load.unanswered_share:
            run.delivery = Delivery.UNANSWERED
        self._simulation.after(_REFUSAL_S, self._notice_crash_of(self.instance))

    def _refusal(self, group, start, need):
        if not self.up:
            return "upstream_silent"
        if self._simulation.is_exhausted(start.task.partition(".")[0]):
            return "crashing"
        if not self._free.covers(need):
            return "busy"
        job_id, limit = start.task.partition(".")[0], group.isolation_limit
        if limit and not may_isolate(self._runs.values(), job_id, limit):
            return "not_isolated"
        return ""

    def _end(self, run, outcome):
        is_present = run is not None and self._runs.get(run.task) is run
        if is_present and self._alive:
            self._finish(run, outcome, _ROUND_S)

    def _finish(self, run, outcome, delay_s):
        del self._runs[run.task]
        self._free = self._free + run.need
        service_us = int((self._simulation.now - run.started_at) * 1e6)
        end = ttypes.TaskEnd(run.task, run.run, outcome, service_us)
        self._simulation.after(delay_s, lambda: self.report(run.owner, end))

    def _crash(self, run):
        if self._runs.get(run.task) is run:
            self.crash()

    def crash(self):
        """Ends the upstream without notice."""
        if not self._alive:
            return
        self._alive = False
        self._has_refused = False
        self._simulation.on_crash(self._runs.values())
        load = self._simulation.load
        notice_s = load.notice_s if self._runs else load.idle_notice_s
        notice = self._notice_crash_of(self.instance)
        if notice_s:
            self._simulation.after(min(notice_s, _RESTART_S), notice)
        else:
            notice()
        self._simulation.after(_RESTART_S, self._restart)

    def _notice_crash_of(self, instance):
        def notice():
            if self.up and not self._alive and self.instance == instance:
                self._on_crash_noticed()

        return notice

    def _on_crash_noticed(self):
        lost = list(self._runs.values())
        received = [run for run in lost if run.delivery is not Delivery.NOT_DELIVERED]
        now = self._simulation.now
        key = f"{self.name}@{self.instance}"
        crash = crash_of(key, _SERVICE, received, now, witnessed=True)
        self._simulation.publish(crash)
        self.up = False
        for run in lost:
            # The notice precedes the end on the link to the entry.
            delay_s = _ROUND_S + self._simulation.relay_s(run.owner)
            self._finish(run, "lost", delay_s)

    def _restart(self):
        self._notice_crash_of(self.instance)()
        self.up = self._alive = True
        self.instance += 1
        self.report()


class _Simulation:
    """Entries, executors and callers with a common simulated time."""

    def __init__(self, load):
        self.load = load
        self.now = clock.now()
        self._begin = self.now
        self._events = []
        self._numbers = itertools.count()
        self._relays = [CrashRelay() for _ in range(load.entries)]
        self.entries = [JobScheduler(lambda domain: False, r) for r in self._relays]
        self._relay_s = {
            entry: random.uniform(0.0, load.relay_s) if load.relay_s else 0.0
            for entry in self.entries
        }
        # Records of the executors, which hear of each crash at once.
        self._executor_relay = CrashRelay()
        self._executors = [_Executor(self, f"r{i}") for i in range(load.executors)]
        for executor in self._executors:
            executor.report()
        self._answered = []
        self._open = {}
        self._deadly = set()
        self._starts, self._late_starts = Counter(), Counter()
        self._crashes_of, self._crashes = Counter(), 0
        self._tasks = 0
        self._down = []

    def after(self, seconds, action):
        """Runs an action later."""
        event = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, event)

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

    def publish(self, crash):
        """Tells all processes about a crash, each after the time on its link."""
        self._executor_relay.publish(crash, self.now)
        for relay, entry in zip(self._relays, self.entries, strict=True):
            if self._relay_s[entry]:
                self.after(self._relay_s[entry], self._tell(relay, crash))
            else:
                relay.publish(crash, self.now)

    def _tell(self, relay, crash):
        # The age in a notice does not include the time on the link.
        def publish():
            late_s = self.now - told_at
            relay.publish(replace(crash, at=crash.at + late_s), self.now)

        told_at = self.now
        return publish

    def relay_s(self, entry):
        """Returns the time that a notice takes to an entry, seconds."""
        return self._relay_s[entry]

    def is_exhausted(self, job_id):
        """Returns whether the executors refuse a job because of crashes under it."""
        return self._executor_relay.records.is_exhausted(job_id)

    def play(self):
        """Plays the load to its end."""
        for kind in _KINDS:
            self.after(0.0, lambda kind=kind: self._arrive(kind))
        self.after(0.0, self._run_rounds)
        self.after(0.0, self._check)
        if self.load.outage_s:
            self.after(_DEADLY_FROM_S, self._crash_some)
        if self.load.single_crashes_per_s:
            self.after(_DEADLY_FROM_S, self._crash_one)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self._begin + _END_S + _TIMEOUT_S:
                return
            self.now = at
            action()

    def _crash_some(self):
        number = int(_OUTAGE_SHARE * len(self._executors))
        for executor in random.sample(self._executors, number):
            executor.crash()
        if self.now - self._begin < _DEADLY_UNTIL_S:
            self.after(self.load.outage_s, self._crash_some)

    def _crash_one(self):
        random.choice(self._executors).crash()
        if self.now - self._begin < _DEADLY_UNTIL_S:
            delay_s = random.expovariate(self.load.single_crashes_per_s)
            self.after(delay_s, self._crash_one)

    def result(self):
        """Returns the `Result`."""
        innocent = [a for a in self._answered if not self._is_deadly(a.request)]
        failed = [a for a in innocent if a.outcome.kind == "failed"]
        starts = self._starts.values()
        return Result(
            self._tasks,
            len({task.partition(".")[0] for task in self._deadly}),
            self._crashes,
            max(starts, default=0),
            max(self._late_starts.values(), default=0),
            len(failed),
            sum(self._most_crashes(job) < 3 for job in failed),
            sum(self._most_crashes(job) < 2 for job in failed),
            _share_in_time(a for a in innocent if a.queue.name != "deadly"),
            _share_in_time(a for a in innocent if a.queue.name == "deadly"),
            _share_in_time(innocent),
            sum(self._down) / max(1, len(self._down)),
        )

    def _is_deadly(self, request):
        return any(f"{request.job_id}.0.0.{i}" in self._deadly for i in range(8))

    def _most_crashes(self, job):
        return max(self._crashes_of[task.name] for task in job.tasks)

    def _arrive(self, kind):
        elapsed_s = self.now - self._begin
        if elapsed_s > _END_S:
            return
        job_id = f"{next(self._numbers):016x}"
        need = Resources(kind.cores * _CORE, 64, 0)
        phase = Phase(kind.tasks, need, kind.run_s * random.uniform(0.7, 1.4))
        timeout_s = _TIMEOUT_S + kind.run_s
        request = LeasedJobRequest(job_id, job_id, "", (phase,), timeout_s)
        is_deadly = (
            kind.name == "deadly"
            and _DEADLY_FROM_S < elapsed_s < _DEADLY_UNTIL_S
            and random.random() < self.load.share
        )
        if is_deadly:
            indexes = range(kind.tasks) if self.load.all_deadly else [0]
            self._deadly.update(f"{job_id}.0.0.{i}" for i in indexes)
        self._tasks += kind.tasks
        queue = Queue(
            kind.name, "h", "/" + kind.name, _SERVICE, 0, 2, 1.6, 0.06, 9.0, False
        )
        self._submit(request, queue, self.now)
        rate = kind.rate * self.load.rate * self.load.executors
        self.after(random.expovariate(rate), lambda: self._arrive(kind))

    def _submit(self, request, queue, first_at):
        entry = random.choice(self.entries)
        job = entry.submit(request, queue, self.now)
        self._open[job] = first_at

    def _run_rounds(self):
        for entry in self.entries:
            entry.schedule(self.now)
        self.after(_ROUND_S, self._run_rounds)

    def _check(self):
        for entry in self.entries:
            entry.check(self.now)
        elapsed_s = self.now - self._begin
        if _DEADLY_FROM_S < elapsed_s < _DEADLY_UNTIL_S:
            self._down.append(
                sum(not executor.up for executor in self._executors)
                / len(self._executors)
            )
        for job, first_at in list(self._open.items()):
            if job.outcome is not None:
                del self._open[job]
                self._on_answer(job, first_at)
        self.after(_CHECK_S, self._check)

    def _on_answer(self, job, first_at):
        job.response_s = self.now - first_at
        remaining_s = job.deadline - self.now - _RESUBMIT_S
        if job.outcome.kind == "unknown" and remaining_s > 0:
            request = LeasedJobRequest(
                job.request.job_id,
                job.request.request_id,
                "",
                job.request.phases,
                remaining_s,
            )
            self.after(_RESUBMIT_S, lambda: self._submit(request, job.queue, first_at))
            return
        self._answered.append(job)


def _share_in_time(jobs):
    jobs = list(jobs)
    in_time = sum(
        job.outcome.kind == "completed" and job.response_s <= job.objective_s + _CHECK_S
        for job in jobs
    )
    return in_time / max(1, len(jobs))


def play(load):
    """Plays a `Load` and returns the `Result`."""
    random.seed(load.seed)
    simulation = _Simulation(load)
    simulation.play()
    return simulation.result()


def main(args):
    """Prints a line for each kind of load: means over the seeds, and worst cases."""
    parser = argparse.ArgumentParser(prog="crash_model", description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--shares", default="0,0.001,0.01,0.03,0.1,0.3")
    parser.add_argument("--executors", type=int, default=11)
    options = parser.parse_args(args)
    logging.disable(logging.CRITICAL)
    print(_HEAD)
    for share, all_deadly, crash_at in itertools.product(
        [float(share) for share in options.shares.split(",")],
        (True, False),
        (0.05, 0.9),
    ):
        results = [
            play(
                Load(
                    share, all_deadly, crash_at, executors=options.executors, seed=seed
                )
            )
            for seed in range(options.seeds)
        ]
        deadly = "all" if all_deadly else "one"
        print(f"{share:5} {deadly:>6} {crash_at:5}  {_row(results)}", flush=True)
    return 0


_HEAD = (
    "share deadly  at  crashes/job most starts  late  condemned  early  others  queue"
    "   down"
)


def _row(results):
    deadly_jobs = sum(result.deadly_jobs for result in results)
    crashes = sum(result.crashes for result in results) / max(1, deadly_jobs)
    most_starts = max(result.most_starts for result in results)
    late_starts = max(result.late_starts for result in results)
    condemned = sum(result.condemned for result in results)
    early = sum(result.condemned_early for result in results)
    others, queue, down = (
        sum(getattr(result, name) for result in results) / len(results)
        for name in ("others_in_time", "queue_in_time", "down")
    )
    return (
        f"{crashes:11.2f} {most_starts:11} {late_starts:5} {condemned:10} {early:6}"
        f" {others:7.3f} {queue:6.3f} {down:6.3f}"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
