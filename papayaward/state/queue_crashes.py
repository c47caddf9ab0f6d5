"""
papayaward.state.queue_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Recent crashes that are put down to the jobs of each queue.

They tell how likely a new job of the queue crashes upstreams.
"""

from dataclasses import dataclass

__all__ = [
    "BASE_PROBABILITY",
    "QueueCrashes",
    "lowered_probability",
    "queue_weight",
]

# Probability that a job crashes upstreams, if nothing is known about its queue.
BASE_PROBABILITY = 0.003
# Part of a queue's jobs that is assumed to crash upstreams for each recent crash that
# one of its jobs has caused, and the largest part that is assumed.
_PROBABILITY_PER_CRASH = 0.02
_MAX_QUEUE_PROBABILITY = 0.1
# Time in which a crash loses half of its weight for the other jobs of the queue.
_QUEUE_HALF_LIFE_S = 5.0


def queue_weight(age_s):
    """Returns the weight of a crash for the other jobs of the queue."""
    return 0.5 ** (age_s / _QUEUE_HALF_LIFE_S)


def lowered_probability(probability, crashes):
    """Returns the probability for a new job without crashes that did not happen.

    Args:
        probability: Probability that a new job crashes upstreams.
        crashes: Weighted number of crashes that were counted for it.
    """
    lower = probability - _PROBABILITY_PER_CRASH * crashes
    return max(BASE_PROBABILITY, lower)


@dataclass
class _QueueRecord:
    """Number of recent crashes that jobs of one queue have caused."""

    crashes: float
    updated_at: float

    def at(self, now):
        """Returns the number at a time, weighted by its age."""
        return self.crashes * queue_weight(now - self.updated_at)


class QueueCrashes:
    """Number of recent crashes by queue: sums of probabilities."""

    def __init__(self):
        self._queues = {}

    def add(self, queue, crashes, now):
        """Adds to the number of a queue's crashes.

        Args:
            queue: Name of the queue.
            crashes: Change of the number; a fraction, negative to take crashes out.
            now: Time, seconds.
        """
        number = max(0.0, self.number(queue, now) + crashes)
        self._queues[queue] = _QueueRecord(number, now)

    def clear(self):
        """Forgets all crashes."""
        self._queues.clear()

    def number(self, queue, now):
        """Returns the number of a queue's crashes, which falls with their age."""
        record = self._queues.get(queue)
        return 0.0 if record is None else record.at(now)

    def probability(self, queue, now):
        """Returns the probability that a new job of a queue crashes upstreams."""
        crashes = self.number(queue, now)
        probability = BASE_PROBABILITY + _PROBABILITY_PER_CRASH * crashes
        return min(_MAX_QUEUE_PROBABILITY, probability)
