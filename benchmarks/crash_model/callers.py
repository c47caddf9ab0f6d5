"""
benchmarks.crash_model.callers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Callers that submit jobs and resubmit those without a known outcome.
"""

import itertools
import random
from dataclasses import dataclass, replace

from papayaward.protocol.jobs import LeasedJobRequest, Phase, Queue, Resources

from .executor import CORE, SERVICE

__all__ = ["DEADLY_FROM_S", "DEADLY_UNTIL_S", "END_S", "TIMEOUT_S", "Callers"]

DEADLY_FROM_S, DEADLY_UNTIL_S, END_S = 2.0, 10.0, 14.0
TIMEOUT_S = 2.5

_RESUBMIT_S = 1.3


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


class Callers:
    """Callers of the entries.

    Args:
        load: `Load`.
        entries: Schedulers of the entries.
        events: `EventQueue`.
        tally: `Tally`.
    """

    def __init__(self, load, entries, events, tally):
        self._load = load
        self._entries = entries
        self._events = events
        self._tally = tally
        self._numbers = itertools.count()
        self._open = {}

    def start(self):
        """Schedules the first job of each kind."""
        for kind in _KINDS:
            self._events.after(0.0, lambda kind=kind: self._arrive(kind))

    def check_answers(self):
        """Handles the answers since the last call."""
        for job, first_at in list(self._open.items()):
            if job.outcome is not None:
                del self._open[job]
                self._on_answer(job, first_at)

    def _arrive(self, kind):
        if self._events.elapsed_s > END_S:
            return
        job_id = f"{next(self._numbers):016x}"
        need = Resources(kind.cores * CORE, 64, 0)
        phase = Phase(kind.tasks, need, kind.run_s * random.uniform(0.7, 1.4))
        timeout_s = TIMEOUT_S + kind.run_s
        request = LeasedJobRequest(job_id, job_id, "", (phase,), timeout_s)
        if self._is_deadly(kind):
            indexes = range(kind.tasks) if self._load.all_deadly else [0]
            self._tally.add_deadly(job_id, indexes)
        self._tally.tasks += kind.tasks
        queue = Queue(
            kind.name, "h", "/" + kind.name, SERVICE, 0, 2, 1.6, 0.06, 9.0, False
        )
        self._submit(request, queue, self._events.now)
        rate = kind.rate * self._load.rate * self._load.executors
        self._events.after(random.expovariate(rate), lambda: self._arrive(kind))

    def _is_deadly(self, kind):
        return (
            kind.name == "deadly"
            and DEADLY_FROM_S < self._events.elapsed_s < DEADLY_UNTIL_S
            and random.random() < self._load.share
        )

    def _submit(self, request, queue, first_at):
        entry = random.choice(self._entries)
        job = entry.submit(request, queue, self._events.now)
        self._open[job] = first_at

    def _on_answer(self, job, first_at):
        now = self._events.now
        job.response_s = now - first_at
        remaining_s = job.deadline - now - _RESUBMIT_S
        if job.outcome.kind != "unknown" or remaining_s <= 0:
            self._tally.answered.append(job)
            return
        request = replace(job.request, timeout_s=remaining_s)
        self._events.after(
            _RESUBMIT_S, lambda: self._submit(request, job.queue, first_at)
        )
