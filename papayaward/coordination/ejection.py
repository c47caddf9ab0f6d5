"""
papayaward.coordination.ejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Ejects executors that fail more than the others, and raises load by doubling.
"""

from dataclasses import dataclass, field

__all__ = ["Ejection"]

_SAMPLE_WEIGHT = 0.1
_MIN_SAMPLES = 5
# Part of an executor's tasks that fail on it alone, above which it is ejected.
_OWN_FAILURES = 0.5
_FIRST_EJECTION_S = 2.0
_LONGEST_EJECTION_S = 60.0
# A single bad executor of a small cell is ejected although it is more than the
# largest share.
_SMALL_CELL = 3

# Tasks of a kind that others must have run before a failure of that kind is
# blamed on an executor.
_MIN_OTHERS = 3
# Time for which an executor with an unexplained failure gets work last, so that
# others show whether the task or the executor is at fault.
_SUSPECT_S = 1.0
_KIND_SAMPLES = 400
_MAX_KINDS = 2000


@dataclass
class _Health:
    samples: int = 0
    own_failures: float = 0.0
    ejected_until: float | None = None
    ejections: int = 0
    allowed: int | None = None
    successes: int = 0
    suspect_until: float = 0.0


@dataclass
class _Kind:
    """Recent outcomes of the tasks of one tenant and class."""

    samples: int = 0
    failures: int = 0
    by_executor: dict = field(default_factory=dict)


class Ejection:
    """Failure rates of the executors of one coordinator, and their load limits.

    A failure counts against an executor as far as the same kind of task succeeds
    on others: a tenant whose tasks fail everywhere ejects nobody.

    Args:
        max_share: Largest share of the executors that is ejected at once.
    """

    def __init__(self, max_share=0.3):
        self._max_share = max_share
        self._health = {}
        self._kinds = {}

    def limit(self, executor, slots, now):
        """Returns how many slots of an executor may be used now."""
        health = self._health.get(executor)
        if health is None:
            return slots
        if health.ejected_until is not None:
            if now < health.ejected_until:
                return 0
            # One task probes whether the executor works again.
            health.ejected_until = None
            self._start_ramp(health, 1)
        return slots if health.allowed is None else min(slots, health.allowed)

    def start_ramp(self, executor, slots):
        """Limits a new or returned executor until it has worked for a while."""
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
            kind: What makes tasks alike, the tenant and class.
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
            own = 0.0
        elif others_rate is None:
            health.suspect_until = now + _SUSPECT_S
            return False
        else:
            own = 1.0 - others_rate
        health.samples += 1
        weight = max(_SAMPLE_WEIGHT, 1.0 / health.samples)
        health.own_failures += weight * (own - health.own_failures)
        if health.allowed is not None:
            return self._on_probe(health, own, slots, executors, now)
        if health.samples < _MIN_SAMPLES or health.own_failures < _OWN_FAILURES:
            return False
        return self._eject(health, executors, now)

    def forget(self, executor):
        """Drops what is known about an executor."""
        self._health.pop(executor, None)
        for kind in self._kinds.values():
            samples, failures = kind.by_executor.pop(executor, (0, 0))
            kind.samples -= samples
            kind.failures -= failures

    def _add_to_kind(self, executor, name, succeeded):
        """Returns the failure rate of a kind on the others, None if unknown."""
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
        health.own_failures = 0.0

    def _on_probe(self, health, own, slots, executors, now):
        if own >= _OWN_FAILURES and (
            health.ejections or health.samples >= _MIN_SAMPLES
        ):
            if health.own_failures >= _OWN_FAILURES:
                return self._eject(health, executors, now)
        if own:
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
        most = int(self._max_share * executors)
        if executors >= _SMALL_CELL:
            most = max(1, most)
        if len(self.ejected(now)) >= most:
            return False
        delay = min(_LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + delay
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
