"""
benchmarks.slopes.figures
~~~~~~~~~~~~~~~~~~~~~~~~~

Figures of one measurement.
"""

import time

from ..sampling import cpu_s

__all__ = ["WARM_UP_S", "WINDOWS", "ExtraCpu", "Rate", "add_per_task", "figures"]

WARM_UP_S = 1.0
WINDOWS = 3


def figures(usage):
    """Returns the figures of a `Usage` by name."""
    return {
        "cpu_core": usage.cpu,
        "rss_mib": usage.rss_mib,
        "control_messages_s": usage.control_messages(),
        "control_bytes_s": usage.control_bytes(),
        "work_messages_s": usage.work_messages(),
        "work_bytes_s": usage.work_bytes(),
    }


def add_per_task(values, usage, tasks_s, jobs_s):
    """Adds the figures per task and per job, and returns all."""
    values["tasks_s"] = tasks_s
    if tasks_s:
        values["cpu_us_task"] = usage.cpu / tasks_s * 1e6
        values["work_messages_task"] = usage.work_messages() / tasks_s
        values["work_bytes_task"] = usage.work_bytes() / tasks_s
    if jobs_s:
        values["cpu_us_job"] = usage.cpu / jobs_s * 1e6
    return values


class Rate:
    """Growth of a counter per second since this object was made.

    Args:
        read: Function that returns the counter.
    """

    def __init__(self, read):
        self._read = read
        self._before = read()
        self._began = time.monotonic()

    def per_second(self):
        """Returns the mean growth so far."""
        growth = self._read() - self._before
        return growth / (time.monotonic() - self._began)


class ExtraCpu:
    """Processor time of a process beyond what it uses when idle.

    The measurement starts when this object is made.

    Attributes:
        elapsed_s: Duration in seconds, once stopped.
        used_s: Processor time in seconds, once stopped.

    Args:
        pid: Process.
        idle: `Usage` of the idle process.
    """

    def __init__(self, pid, idle):
        self._pid = pid
        self._idle = idle
        self.elapsed_s = 0.0
        self.used_s = 0.0
        self._began, self._before_s = time.monotonic(), cpu_s(pid)

    def stop(self):
        """Ends the measurement."""
        self.elapsed_s = time.monotonic() - self._began
        idle_s = self._idle.cpu * self.elapsed_s
        self.used_s = cpu_s(self._pid) - self._before_s - idle_s
