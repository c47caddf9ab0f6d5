"""
benchmarks.leased_slopes
~~~~~~~~~~~~~~~~~~~~~~~~

CPU time and memory of leased tasks at an entry and a runner, by number of executors.

Usage: `python -m benchmarks.leased_slopes`. Prints minimum, median and maximum of five
rounds for each size. The functions are called directly, without sockets.
"""

import statistics
import sys
import time
import tracemalloc

import gevent

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.protocol.codec import HEADER, decode, encode
from papayaward.protocol.gen import ttypes
from papayaward.protocol.gen.ttypes import Heartbeat
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

__all__ = ["main"]

_SIZES = (11, 60, 200, 780)
_ROUNDS = 5
_JOBS = 40
_TASKS = 8
_MESSAGES = 2000
_CORES = 16


def _measure(function):
    """Returns minimum, median and maximum of a function's results."""
    values = [function() for _ in range(_ROUNDS)]
    return min(values), statistics.median(values), max(values)


def _scheduler(executors):
    scheduler = JobScheduler(lambda domain: False)
    links = []
    for i in range(executors):
        link = FakeLink(f"r{i}", "runner")
        scheduler.on_link_up(link, clock.now())
        scheduler.on_message(link, capacity_report(cores=_CORES), clock.now())
        links.append(link)
    return scheduler, links


def _placement_us(executors):
    """Returns the CPU time for the placement and the end of a task, in microseconds."""
    scheduler, links = _scheduler(executors)
    cpu_start_s = time.process_time()
    for number in range(_JOBS):
        request = job_request(f"{number:016x}", _TASKS)
        scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0)
        gevent.sleep(0)
        for link in links:
            starts = link.starts()
            link.sent.clear()
            if starts:
                ends = [ttypes.TaskEnd(s.task, s.run, "done", 90_000) for s in starts]
                scheduler.on_message(link, ttypes.EndBatch(ends, None), clock.now())
                scheduler.on_message(
                    link,
                    capacity_report(last_batch=number + 1, cores=_CORES),
                    clock.now(),
                )
    return (time.process_time() - cpu_start_s) / _JOBS / _TASKS * 1e6


def _heartbeat_us():
    """Returns the CPU time to encode and decode a heartbeat, in microseconds."""
    message = Heartbeat(10**12, 10**12, 7, -1, False, True, 0, 412)
    cpu_start_s = time.process_time()
    for _ in range(_MESSAGES):
        frame = encode(message)
        decode(2, frame[HEADER.size :])
    return (time.process_time() - cpu_start_s) / _MESSAGES * 1e6


def _bytes_per_executor(executors):
    """Returns the memory of an entry per executor without its socket, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    scheduler = _scheduler(executors)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del scheduler
    return (after - before) / executors


def main():
    """Prints the results and returns the exit code."""
    for size in _SIZES:
        values = _measure(lambda size=size: _placement_us(size))
        print("place, us a task, %4d executors: %.0f / %.0f / %.0f" % (size, *values))
    print("heartbeat, us: %.1f / %.1f / %.1f" % _measure(_heartbeat_us))
    frame = len(encode(Heartbeat(10**12, 10**12, 7, -1, False, True, 0, 412)))
    print(f"heartbeat, bytes: {frame}")
    print("view, bytes: %.0f" % _bytes_per_executor(780))
    return 0


if __name__ == "__main__":
    sys.exit(main())
