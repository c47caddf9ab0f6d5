"""
papayaward.coordination.ejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Ejects executors that fail much more than the others, and lets them return.
"""

from dataclasses import dataclass

__all__ = ["Ejection"]

_SAMPLE_WEIGHT = 0.1
_MIN_SAMPLES = 5
_FAILURE_RATE = 0.5
_ABOVE_FLEET = 0.3
_FIRST_EJECTION_S = 2.0
_LONGEST_EJECTION_S = 60.0


@dataclass
class _Health:
    samples: int = 0
    failure_rate: float = 0.0
    ejected_until: float | None = None
    ejections: int = 0
    allowed: int | None = None


class Ejection:
    """Failure rates of the executors of one coordinator.

    Args:
        max_share: Largest share of the executors that is ejected at once.
    """

    def __init__(self, max_share=0.3):
        self._max_share = max_share
        self._health = {}

    def limit(self, executor, slots, now):
        """Returns how many slots of an executor may be used now."""
        health = self._health.get(executor)
        if health is None:
            return slots
        if health.ejected_until is not None:
            if now < health.ejected_until:
                return 0
            health.ejected_until = None
            health.allowed = 1
            health.samples = 0
            health.failure_rate = 0.0
        return slots if health.allowed is None else min(slots, health.allowed)

    def ejected(self, now):
        """Returns the names of the ejected executors."""
        return [
            name
            for name, health in self._health.items()
            if health.ejected_until is not None and now < health.ejected_until
        ]

    def add(self, executor, succeeded, slots, now):
        """Adds the outcome of a task and returns whether it led to an ejection."""
        health = self._health.setdefault(executor, _Health())
        health.samples += 1
        error = 0.0 if succeeded else 1.0
        weight = max(_SAMPLE_WEIGHT, 1.0 / health.samples)
        health.failure_rate += weight * (error - health.failure_rate)
        if health.allowed is not None:
            return self._on_probe(executor, health, succeeded, slots, now)
        if health.samples < _MIN_SAMPLES or health.failure_rate < _FAILURE_RATE:
            return False
        if health.failure_rate < self._fleet_rate(executor) + _ABOVE_FLEET:
            return False
        return self._eject(health, now)

    def forget(self, executor):
        """Drops what is known about an executor."""
        self._health.pop(executor, None)

    def _on_probe(self, executor, health, succeeded, slots, now):
        if not succeeded:
            return self._eject(health, now)
        health.allowed *= 2
        if health.allowed >= slots:
            health.allowed = None
            health.ejections = 0
        return False

    def _eject(self, health, now):
        if len(self.ejected(now)) + 1 > max(1, self._max_share * len(self._health)):
            return False
        delay = min(_LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + delay
        health.allowed = None
        return True

    def _fleet_rate(self, but):
        rates = [h.failure_rate for name, h in self._health.items() if name != but]
        return sorted(rates)[len(rates) // 2] if rates else 0.0
