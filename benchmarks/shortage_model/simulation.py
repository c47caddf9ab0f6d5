"""
benchmarks.shortage_model.simulation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries, executors and callers of a `Load` with a common simulated time.
"""

import itertools
import random
from types import SimpleNamespace

from benchmarks.crash_model.events import EventQueue
from benchmarks.crash_model.executor import CORE, ROUND_S, SERVICE, Executor
from benchmarks.crash_model.load import Load as ExecutorLoad
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.protocol.jobs import LeasedJobRequest, Phase, Queue, Resources

from .load import KINDS, QueueResult

__all__ = ["play"]

# A fixed time, since the rounding of times changes the course of a play.
_BEGIN_S = 1000.0
_END_S = 12.0
_TIMEOUT_S = 8.0
_CHECK_S = 0.02
_STRETCH, _SLACK_S = 1.6, 0.06
# Range of the run times of jobs, of declared over real run time, and of the tasks of a
# job.
_JOB_SPREAD = (0.5, 1.6)
_ESTIMATES = (0.7, 1.4)
_TASK_SPREAD = (0.85, 1.0)


class _TimedExecutor(Executor):
    """Executor whose runs take the time in their specification."""

    def __init__(self, speed, slowed, *args):
        self._speed = speed
        self._slowed = slowed
        super().__init__(*args)

    def run_time_s(self, run):
        run_s = float(run.spec) * random.uniform(*_TASK_SPREAD) / self._speed
        for queue, other, factor in self._slowed:
            if queue == run.queue:
                run_s *= factor ** self._share_of(other)
        return run_s

    def _share_of(self, queue):
        used = sum(
            run.need.cpu_millis for run in self._runs.values() if run.queue == queue
        )
        return used / self._capacity.cpu_millis


class _Play:
    def __init__(self, load):
        self._load = load
        self._events = events = EventQueue(_BEGIN_S)
        self._entries = [
            JobScheduler(lambda domain: False) for _ in range(load.entries)
        ]
        for entry in self._entries:
            if not load.forecast:
                entry._forecast.on_round = lambda jobs, now: None
            if not load.keeps_apart:
                entry._statistics.interference.add = lambda *args: None
        tally = SimpleNamespace(on_start=lambda run: False)
        notices = SimpleNamespace(is_exhausted=lambda job_id: False)
        speeds = itertools.cycle(load.speeds)
        executor_load = ExecutorLoad(0.0, cores=load.cores)
        self._executors = [
            _TimedExecutor(
                next(speeds),
                load.slowed,
                f"r{i}",
                executor_load,
                self._entries,
                events,
                tally,
                notices,
            )
            for i in range(load.executors)
        ]
        self._weights = [load.uneven] + [1.0] * (load.entries - 1)
        self._numbers = itertools.count()
        self._open = {}
        # The load doesn't depend on what the schedulers decide.
        self._random = random.Random(load.seed)
        self.answers = {kind.queue: [] for kind in KINDS}

    def run(self):
        for executor in self._executors:
            executor.report()
        for kind in KINDS:
            self._events.after(0.0, lambda kind=kind: self._arrive(kind))
        self._events.after(0.0, self._run_round)
        self._events.after(0.0, self._check)
        self._events.run(_END_S + _TIMEOUT_S)

    def _run_round(self):
        for entry in self._entries:
            if entry.waiting:
                entry.schedule(self._events.now)
        self._events.after(ROUND_S, self._run_round)

    def _check(self):
        now = self._events.now
        for entry in self._entries:
            entry.check(now)
        for job, run_s in list(self._open.items()):
            if job.outcome is not None:
                del self._open[job]
                self.answers[job.queue.name].append((job, run_s, now - job.arrived_at))
        self._events.after(_CHECK_S, self._check)

    def _arrive(self, kind):
        elapsed_s = self._events.elapsed_s
        if elapsed_s > _END_S:
            return
        self._submit(kind)
        rate = kind.rate * self._load.rate * self._load.executors
        for surge in self._load.surges:
            if surge.queue == kind.queue:
                if surge.from_s <= elapsed_s < surge.from_s + surge.for_s:
                    rate *= surge.factor
        self._events.after(self._random.expovariate(rate), lambda: self._arrive(kind))

    def _submit(self, kind):
        run_s = kind.run_s * self._random.uniform(*_JOB_SPREAD)
        need = Resources(int(kind.cores * CORE), 64, 0)
        tasks = max(1, round(kind.tasks * self._random.uniform(0.4, 1.6)))
        phase = Phase(tasks, need, run_s * self._random.uniform(*_ESTIMATES))
        job_id = f"{next(self._numbers):016x}"
        request = LeasedJobRequest(job_id, job_id, str(run_s), (phase,), _TIMEOUT_S)
        queue = Queue(
            kind.queue,
            "h",
            "/" + kind.queue,
            SERVICE,
            kind.priority,
            2,
            _STRETCH,
            _SLACK_S,
        )
        (entry,) = self._random.choices(self._entries, self._weights)
        self._open[entry.submit(request, queue, self._events.now)] = run_s


def _result(answers):
    jobs = max(1, len(answers))
    completed = [a for a in answers if a[0].outcome.kind == "completed"]
    refused = [a for a in answers if a[0].outcome.kind == "not_run"]
    in_time = [a for a in completed if a[2] <= _STRETCH * a[1] + _SLACK_S + _CHECK_S]
    by_work = sorted(answers, key=lambda a: a[1] * len(a[0].tasks))
    largest = by_work[-max(1, jobs // 10) :]
    return QueueResult(
        len(answers),
        len(in_time) / jobs,
        (len(completed) - len(in_time)) / jobs,
        len(refused) / jobs,
        sum(held_s for _, _, held_s in refused) / max(1, len(refused)),
        (len(answers) - len(completed) - len(refused)) / jobs,
        sum(a in in_time for a in largest) / len(largest),
    )


def play(load):
    """Plays a `Load` and returns the `QueueResult` of each queue by its name."""
    random.seed(load.seed)
    one_play = _Play(load)
    one_play.run()
    return {queue: _result(answers) for queue, answers in one_play.answers.items()}
