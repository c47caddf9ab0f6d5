"""
papayaward.state.timeline
~~~~~~~~~~~~~~~~~~~~~~~~~

Bounded log of the events of one job.
"""

__all__ = ["MAX_EVENTS", "Timeline"]

# A job of 1,600 tasks would otherwise keep several thousand events.
MAX_EVENTS = 64


class Timeline:
    """Events of one job, with their offsets from its arrival.

    Args:
        now: Time of arrival, monotonic seconds.
    """

    __slots__ = ("_start", "_events", "_dropped")

    def __init__(self, now):
        self._start = now
        self._events = []
        self._dropped = 0

    def add(self, now, event, *details):
        """Adds an event; events beyond `MAX_EVENTS` are only counted."""
        if len(self._events) >= MAX_EVENTS:
            self._dropped += 1
            return
        self._events.append((now - self._start, event, details))

    def export(self):
        """Returns the events as a list of dicts for JSON, times in ms."""
        events = [
            {
                "ms": round(offset * 1000, 1),
                "event": event,
                "detail": " ".join(str(part) for part in details),
            }
            for offset, event, details in self._events
        ]
        if self._dropped:
            events.append({"event": "events_dropped", "detail": str(self._dropped)})
        return events
