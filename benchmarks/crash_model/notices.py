"""
benchmarks.crash_model.notices
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices of crashes, which reach each process after a time of its own.
"""

import random
from dataclasses import replace

from papayaward.coordination.crashes.crash_relay import CrashRelay

__all__ = ["CrashNotices"]


class CrashNotices:
    """Records of crashes of the entries and of the executors.

    Args:
        events: `EventQueue`.
        relays: `CrashRelay` by entry.
        longest_s: Longest time that a notice takes to an entry, seconds.
    """

    def __init__(self, events, relays, longest_s):
        self._events = events
        # The executors hear of each crash at once.
        self._executor_relay = CrashRelay()
        self._relays = relays
        self._delays_s = {
            entry: random.uniform(0.0, longest_s) if longest_s else 0.0
            for entry in relays
        }

    def publish(self, crash):
        """Tells all processes about a crash, each after the time on its link."""
        self._executor_relay.publish(crash, self._events.now)
        self._tell_entries(crash, CrashRelay.publish)

    def publish_refusal(self, crash):
        """Tells the entries about an upstream that refuses connections."""
        self._tell_entries(crash, CrashRelay.publish_refusal)

    def _tell_entries(self, crash, publish):
        for entry, relay in self._relays.items():
            if self._delays_s[entry]:
                later = self._tell(relay, crash, publish)
                self._events.after(self._delays_s[entry], later)
            else:
                publish(relay, crash, self._events.now)

    def delay_s(self, entry):
        """Returns the time that a notice takes to an entry, seconds."""
        return self._delays_s[entry]

    def is_exhausted(self, job_id):
        """Returns whether the executors refuse a job because of crashes under it."""
        return self._executor_relay.records.is_exhausted(job_id)

    def _tell(self, relay, crash, publish):
        # The age in a notice does not include the time on the link.
        def tell():
            late_s = self._events.now - told_at
            publish(relay, replace(crash, at=crash.at + late_s), self._events.now)

        told_at = self._events.now
        return tell
