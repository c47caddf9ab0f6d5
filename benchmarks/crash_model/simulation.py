"""
benchmarks.crash_model.simulation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries, executors and callers with a common simulated time.
"""

import random

from papayaward import clock
from papayaward.coordination.crashes.crash_relay import CrashRelay
from papayaward.coordination.job_scheduler import JobScheduler

from .callers import DEADLY_FROM_S, DEADLY_UNTIL_S, END_S, TIMEOUT_S, Callers
from .events import EventQueue
from .executor import ROUND_S, Executor
from .notices import CrashNotices
from .tally import CHECK_S, Tally

__all__ = ["Simulation"]

# Part of the upstreams that crash in an outage.
_OUTAGE_SHARE = 0.3


class Simulation:
    """One play of a load.

    Args:
        load: `Load`.
    """

    def __init__(self, load):
        self._load = load
        self._events = events = EventQueue(clock.now())
        self._tally = tally = Tally()
        relays = [CrashRelay() for _ in range(load.entries)]
        self._entries = [JobScheduler(lambda domain: False, r) for r in relays]
        relays = dict(zip(self._entries, relays, strict=True))
        notices = CrashNotices(events, relays, load.relay_s)
        self._executors = [
            Executor(f"r{i}", load, self._entries, events, tally, notices)
            for i in range(load.executors)
        ]
        self._callers = Callers(load, self._entries, events, tally)

    def play(self):
        """Plays the load to its end and returns the `Result`."""
        for executor in self._executors:
            executor.report()
        self._callers.start()
        self._events.after(0.0, self._run_round)
        self._events.after(0.0, self._check)
        if self._load.outage_s:
            self._events.after(DEADLY_FROM_S, self._crash_some)
        if self._load.single_crashes_per_s:
            self._events.after(DEADLY_FROM_S, self._crash_one)
        self._events.run(END_S + TIMEOUT_S)
        return self._tally.result()

    def _run_round(self):
        for entry in self._entries:
            entry.schedule(self._events.now)
        self._events.after(ROUND_S, self._run_round)

    def _check(self):
        for entry in self._entries:
            entry.check(self._events.now)
        if DEADLY_FROM_S < self._events.elapsed_s < DEADLY_UNTIL_S:
            down = sum(not executor.up for executor in self._executors)
            self._tally.down.append(down / len(self._executors))
        self._callers.check_answers()
        self._events.after(CHECK_S, self._check)

    def _crash_some(self):
        number = int(_OUTAGE_SHARE * len(self._executors))
        for executor in random.sample(self._executors, number):
            executor.crash()
        if self._events.elapsed_s < DEADLY_UNTIL_S:
            self._events.after(self._load.outage_s, self._crash_some)

    def _crash_one(self):
        random.choice(self._executors).crash()
        if self._events.elapsed_s < DEADLY_UNTIL_S:
            delay_s = random.expovariate(self._load.single_crashes_per_s)
            self._events.after(delay_s, self._crash_one)
