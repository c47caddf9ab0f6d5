"""
papayaward.coordination.ejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Ejects executors that fail more often than others, and ramps their load up again.
"""

from dataclasses import dataclass, field

__all__ = ["Ejection"]

_SAMPLE_WEIGHT = 0.1
_MIN_SAMPLES = 5
# An executor is ejected if at least this fraction of its tasks fails because of it.
_EJECTION_FAILURE_RATE = 0.5
_FIRST_EJECTION_S = 2.0
_MAX_EJECTION_S = 60.0
# With at least this many executors, one may be ejected even if that exceeds the
# maximum share.
_SMALL_CELL = 3

# Minimum number of tasks of a kind that other executors must have run before a
# failure of that kind is attributed to an executor.
_MIN_OTHERS = 3
# Time for which an executor is ranked last after a failure of unknown cause, seconds.
# Meanwhile other executors show whether the task or the executor is at fault.
_SUSPECT_S = 1.0
_KIND_SAMPLES = 400
_MAX_KINDS = 2000


@dataclass
class _Health:
    samples: int = 0
    own_failure_rate: float = 0.0
    ejected_until: float | None = None
    ejections: int = 0
    allowed: int | None = None
    successes: int = 0
    suspect_until: float = 0.0


@dataclass
class _Kind:
    """Recent outcomes of the tasks of one client account and class."""

    samples: int = 0
    failures: int = 0
    by_executor: dict = field(default_factory=dict)


class Ejection:
    """Failure rates and load limits of the executors of one coordinator or entry.

    A failure is weighted by the success rate of the same kind of task on other
    executors: a client account whose tasks fail everywhere causes no ejection.

    Args:
        max_share: Largest fraction of the executors that may be ejected at once.
    """

    def __init__(self, max_share=0.3):
        self._max_share = max_share
        self._health = {}
        self._kinds = {}

    def limit(self, executor, slots, now):
        """Returns how many slots of an executor may be used now."""
        allowed = self.allowed(executor, now)
        return slots if allowed is None else min(slots, allowed)

    def allowed(self, executor, now):
        """Returns how many tasks may run on an executor now, None for no limit."""
        health = self._health.get(executor)
        if health is None:
            return None
        if health.ejected_until is not None:
            if now < health.ejected_until:
                return 0
            # A single task probes whether the executor has recovered.
            health.ejected_until = None
            self._start_ramp(health, 1)
        return health.allowed

    def start_ramp(self, executor, slots):
        """Limits the slots of a new or reconnected executor until tasks succeed."""
        health = self._health.setdefault(executor, _Health())
        if health.ejected_until is None and health.allowed is None:
            self._start_ramp(health, max(1, slots // 4))

    def is_suspect(self, executor, now):
        """Returns whether an executor should get work only if no other is free."""
        health = self._health.get(executor)
        return health is not None and now < health.suspect_until

    def ejected(self, now):
        """Returns the names of the ejected executors."""
        return [
            name
            for name, health in self._health.items()
            if health.ejected_until is not None and now < health.ejected_until
        ]

    def add(self, executor, kind, succeeded, slots, executors, now):
        """Adds the outcome of a task and returns whether it led to an ejection.

        Args:
            executor: Name of the executor.
            kind: Key of similar tasks, such as the client account and class.
            succeeded: Whether the task succeeded.
            slots: Slots of the executor.
            executors: Number of executors in the cell.
            now: Monotonic time, seconds.
        """
        health = self._health.get(executor)
        if health is None:
            health = self._health[executor] = _Health()
        others_rate = self._add_to_kind(executor, kind, succeeded)
        if succeeded:
            own_share = 0.0
        elif others_rate is None:
            health.suspect_until = now + _SUSPECT_S
            return False
        else:
            own_share = 1.0 - others_rate
        health.samples += 1
        weight = max(_SAMPLE_WEIGHT, 1.0 / health.samples)
        health.own_failure_rate += weight * (own_share - health.own_failure_rate)
        if health.allowed is not None:
            return self._on_ramp_outcome(health, own_share, slots, executors, now)
        if (
            health.samples < _MIN_SAMPLES
            or health.own_failure_rate < _EJECTION_FAILURE_RATE
        ):
            return False
        return self._eject(health, executors, now)

    def remove_executor(self, executor):
        """Removes the records of an executor."""
        self._health.pop(executor, None)
        for kind in self._kinds.values():
            samples, failures = kind.by_executor.pop(executor, (0, 0))
            kind.samples -= samples
            kind.failures -= failures

    def _add_to_kind(self, executor, name, succeeded):
        """Records an outcome and returns the failure rate of its kind on others.

        Returns None if other executors have run too few tasks of the kind.
        """
        kind = self._kinds.get(name)
        if kind is None:
            if len(self._kinds) >= _MAX_KINDS:
                self._kinds.clear()
            kind = self._kinds[name] = _Kind()
        samples, failures = kind.by_executor.get(executor, (0, 0))
        others = kind.samples - samples
        rate = (kind.failures - failures) / others if others >= _MIN_OTHERS else None
        failed = not succeeded
        kind.by_executor[executor] = (samples + 1, failures + failed)
        kind.samples += 1
        kind.failures += failed
        if kind.samples >= _KIND_SAMPLES:
            _halve(kind)
        return rate

    def _start_ramp(self, health, allowed):
        health.allowed = allowed
        health.successes = 0
        health.samples = 0
        health.own_failure_rate = 0.0

    def _on_ramp_outcome(self, health, own_share, slots, executors, now):
        if own_share >= _EJECTION_FAILURE_RATE and (
            health.ejections or health.samples >= _MIN_SAMPLES
        ):
            if health.own_failure_rate >= _EJECTION_FAILURE_RATE:
                return self._eject(health, executors, now)
        if own_share:
            return False
        health.successes += 1
        if health.successes >= health.allowed:
            health.successes = 0
            health.allowed *= 2
        if health.allowed >= slots:
            health.allowed = None
            health.ejections = 0
        return False

    def _eject(self, health, executors, now):
        max_ejected = int(self._max_share * executors)
        if executors >= _SMALL_CELL:
            max_ejected = max(1, max_ejected)
        if len(self.ejected(now)) >= max_ejected:
            return False
        duration_s = min(_MAX_EJECTION_S, _FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + duration_s
        health.allowed = None
        return True


def _halve(kind):
    kind.by_executor = {
        name: (samples // 2, failures // 2)
        for name, (samples, failures) in kind.by_executor.items()
        if samples > 1
    }
    kind.samples = sum(samples for samples, _ in kind.by_executor.values())
    kind.failures = sum(failures for _, failures in kind.by_executor.values())
