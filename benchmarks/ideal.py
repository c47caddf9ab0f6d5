"""
benchmarks.ideal
~~~~~~~~~~~~~~~~

Simulation of an ideal scheduler: one first-come-first-served queue over all slots,
without any delay, that knows the true speeds and takes the fastest free slot.
"""

import heapq
from collections import deque
from dataclasses import dataclass
from itertools import count

__all__ = ["IdealResult", "Outage", "Slot", "make_slots", "run_ideal", "work_within"]

# Order of events at the same time: a slot that becomes free can serve a job that
# arrives at that time.
_FINISH, _OUTAGE_BEGIN, _OUTAGE_END, _ARRIVAL = range(4)


@dataclass(frozen=True)
class Slot:
    """One slot.

    Attributes:
        speed: Work done per second, in seconds at speed 1.
        domain: Failure domain.
        runner: Name of the runner.
    """

    speed: float
    domain: str = ""
    runner: str = ""


@dataclass(frozen=True)
class Outage:
    """Interval in which matching slots start no tasks; running tasks finish.

    Attributes:
        begin_s: Begin, from the start of the trace, in seconds.
        end_s: End, in seconds.
        domain: Failure domain that is out of service, or None.
        runner: Runner that is out of service, or None.
    """

    begin_s: float
    end_s: float
    domain: str | None = None
    runner: str | None = None

    def matches(self, slot):
        """Returns whether the outage affects a slot."""
        return slot.domain == self.domain or slot.runner == self.runner


@dataclass(frozen=True)
class IdealResult:
    """Result of the ideal scheduler for a trace.

    Attributes:
        response_s: Response time of each job in order of the trace, in seconds.
        runs: (start, end, work) of each task, in seconds.
    """

    response_s: list
    runs: list

    def work_done(self, begin_s, end_s):
        """Returns the work done in an interval, as for `work_within`."""
        return work_within(self.runs, begin_s, end_s)


def work_within(runs, begin, end):
    """Returns the work done in an interval, in seconds at speed 1.

    A task that overlaps a bound contributes only its part inside the interval.

    Args:
        runs: (start, end, work) of each task, in seconds.
        begin: Begin of the interval, seconds.
        end: End of the interval, seconds.
    """
    total = 0.0
    for start, stop, work in runs:
        inside = min(stop, end) - max(start, begin)
        if inside > 0:
            total += work * inside / (stop - start)
    return total


def make_slots(runners):
    """Returns the slots of runners described as for `Fleet`."""
    return [
        Slot(runner.get("speed", 1.0), runner["domain"], f"r{index + 1}")
        for index, runner in enumerate(runners)
        for _ in range(runner.get("slots", 8))
    ]


def run_ideal(arrivals, slots, outages=()):
    """Returns the `IdealResult` of a trace.

    Args:
        arrivals: `Arrival` in order of time.
        slots: List of `Slot`.
        outages: `Outage` of parts of the slots.
    """
    order = count()
    events = [
        (arrival.at_s, _ARRIVAL, next(order), position)
        for position, arrival in enumerate(arrivals)
    ]
    for outage in outages:
        events.append((outage.begin_s, _OUTAGE_BEGIN, next(order), outage))
        events.append((outage.end_s, _OUTAGE_END, next(order), outage))
    heapq.heapify(events)
    # Fastest first; the index breaks ties.
    free = [(-slot.speed, index) for index, slot in enumerate(slots)]
    heapq.heapify(free)
    active_outages = []
    unavailable = []
    queue = deque()
    remaining = [len(arrival.work_ms) for arrival in arrivals]
    response_s = [0.0] * len(arrivals)
    runs = []

    def release(index):
        slot = slots[index]
        if any(outage.matches(slot) for outage in active_outages):
            unavailable.append(index)
        else:
            heapq.heappush(free, (-slot.speed, index))

    while events:
        now, kind, _, item = heapq.heappop(events)
        if kind == _ARRIVAL:
            works = arrivals[item].work_ms
            queue.extend((item, work_ms / 1000) for work_ms in works)
        elif kind == _FINISH:
            index, position, start, work_s = item
            runs.append((start, now, work_s))
            remaining[position] -= 1
            if not remaining[position]:
                response_s[position] = now - arrivals[position].at_s
            release(index)
        else:
            if kind == _OUTAGE_BEGIN:
                active_outages.append(item)
            else:
                active_outages.remove(item)
            unused = [index for _, index in free] + unavailable
            free.clear()
            unavailable.clear()
            for index in unused:
                release(index)
        while queue and free:
            _, index = heapq.heappop(free)
            position, work_s = queue.popleft()
            end = now + work_s / slots[index].speed
            finish = (index, position, now, work_s)
            heapq.heappush(events, (end, _FINISH, next(order), finish))
    return IdealResult(response_s, runs)
