"""The platform's limit on the memory of a process."""

import time

from small_fleet import gevent

WATCH_INTERVAL_S = 0.01
RESTART_S = 1.0


class MemoryLimit:
    """Kills a process that exceeds its memory, and starts it again a second later.

    Args:
        fleet: `SmallFleet`.
        record: `Record`.

    Attributes:
        peaks: Largest memory that was seen of each process, MB, by name.
        killed: Names of the processes that were killed.
    """

    def __init__(self, fleet, record):
        self._fleet = fleet
        self._record = record
        self.peaks = {}
        self.killed = []

    def watch(self, seconds):
        """Watches all processes for some time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for name in list(self._fleet.processes):
                self._check(name)
            gevent.sleep(WATCH_INTERVAL_S)

    def write_peaks(self):
        """Records the largest memory of each process."""
        for name, peak in self.peaks.items():
            limit = self._limit_mb(name)
            self._record.write(f"{name}: at most {peak:.0f} MB of {limit} MB seen")

    def _limit_mb(self, name):
        return self._fleet.settings[name]["limits"]["memory_mb"]

    def _check(self, name):
        used = self._fleet.rss_mb(name)
        limit = self._limit_mb(name)
        self.peaks[name] = max(self.peaks.get(name, 0.0), used or 0.0)
        if used is None or used <= limit:
            return
        self._record.write(f"{name} uses {used:.0f} MB of {limit} MB: killed")
        self._fleet.kill(name)
        self.killed.append(name)
        gevent.sleep(RESTART_S)
        self._fleet.start(name, "entry" if name.startswith("e") else "runner")
