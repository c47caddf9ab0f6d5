"""
benchmarks.sampling
~~~~~~~~~~~~~~~~~~~

CPU time, memory and link counters of a process, and linear fits.
"""

import os
import re
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

import gevent

from standins.fleet import call

__all__ = [
    "CONTROL_MESSAGES",
    "Fit",
    "Usage",
    "cpu_s",
    "fit_line",
    "link_counters",
    "measure",
    "rss_mib",
]

# Message types that are exchanged even without load. All others carry jobs, tasks,
# results and cancellations, so their number grows with the load.
CONTROL_MESSAGES = frozenset(
    ("Hello", "Heartbeat", "ConfigPull", "ConfigPush", "Members")
    + ("IdBlockRequest", "IdBlock")
)

_LINK_SAMPLE = re.compile(
    r"papayaward_message(s|_bytes)_(sent|received)_total"
    r'\{type="(\w+)"\} ([0-9.e+]+)'
)


@dataclass(frozen=True)
class Fit:
    """Line fitted to measured points.

    Attributes:
        slope: Increase of y per unit of x.
        intercept: Value at x = 0.
        residual: Largest vertical distance of a point from the line, divided by
            the largest absolute y; 0 for points on a line.
    """

    slope: float
    intercept: float
    residual: float

    def predict(self, x):
        """Returns the value of the line at x."""
        return self.intercept + self.slope * x


def fit_line(points):
    """Returns the least-squares `Fit` of (x, y) pairs.

    Args:
        points: At least two pairs with different x.
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    distance = max(abs(y - intercept - slope * x) for x, y in points)
    scale = max(map(abs, ys))
    return Fit(slope, intercept, distance / scale if scale else 0.0)


def cpu_s(pid):
    """Returns the CPU time of a process (user and system), in seconds.

    `schedstat` counts in ns. The ticks of `stat` (10 ms) are too coarse for an idle
    process and are used only where the kernel lacks `schedstat`.
    """
    try:
        tasks = list(Path(f"/proc/{pid}/task").iterdir())
        return sum(int((t / "schedstat").read_text().split()[0]) for t in tasks) / 1e9
    except FileNotFoundError:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mib(pid):
    """Returns the resident memory of a process, in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


@dataclass(frozen=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu: CPU seconds per second (1 is one full core).
        rss_mib: Resident memory at the end, in MiB.
        messages: Messages per second by (direction, type).
        bytes: Bytes per second by (direction, type).
    """

    cpu: float
    rss_mib: float
    messages: dict
    bytes: dict

    def control_messages(self):
        """Returns the control messages per second in both directions."""
        return sum(
            n for (_, name), n in self.messages.items() if name in CONTROL_MESSAGES
        )

    def control_bytes(self):
        """Returns the bytes of control messages per second in both directions."""
        return sum(n for (_, name), n in self.bytes.items() if name in CONTROL_MESSAGES)

    def work_messages(self):
        """Returns the messages per second that carry work, in both directions."""
        return sum(
            n for (_, name), n in self.messages.items() if name not in CONTROL_MESSAGES
        )

    def work_bytes(self):
        """Returns the bytes per second of work messages, in both directions."""
        return sum(
            n for (_, name), n in self.bytes.items() if name not in CONTROL_MESSAGES
        )


def link_counters(http):
    """Returns a process's link counters: `messages`, `bytes` by (direction, type)."""
    text = call(http, "GET", "/metrics").body.decode()
    found = {"messages": {}, "bytes": {}}
    for kind, direction, name, value in _LINK_SAMPLE.findall(text):
        kind = "messages" if kind == "s" else "bytes"
        found[kind][direction, name] = float(value)
    return found


def _counters(http):
    counters = link_counters(http)
    return time.monotonic(), counters


def _rates(before, after, seconds):
    return {key: (n - before.get(key, 0.0)) / seconds for key, n in after.items()}


def measure(processes, seconds, windows=1):
    """Measures the resource usage of processes over consecutive windows.

    The counters are read outside the windows of the CPU time, since reading them uses
    CPU time itself. The CPU usage is the median over the windows, since other work on
    the machine raises the values of some of them.

    Args:
        processes: (pid, HTTP address) by name.
        seconds: Length of a window, in seconds.
        windows: Number of windows.

    Returns:
        dict: `Usage` by name.
    """
    before = {name: _counters(http) for name, (_, http) in processes.items()}
    shares = {name: [] for name in processes}
    for _ in range(windows):
        started = time.monotonic()
        used = {name: cpu_s(pid) for name, (pid, _) in processes.items()}
        gevent.sleep(seconds)
        length = time.monotonic() - started
        for name, (pid, _) in processes.items():
            shares[name].append((cpu_s(pid) - used[name]) / length)
    usage = {}
    for name, (pid, http) in processes.items():
        read_at, counters = _counters(http)
        first_at, first = before[name]
        window = read_at - first_at
        usage[name] = Usage(
            statistics.median(shares[name]),
            rss_mib(pid),
            _rates(first["messages"], counters["messages"], window),
            _rates(first["bytes"], counters["bytes"], window),
        )
    return usage
