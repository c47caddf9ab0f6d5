"""
papayaward.coordination.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Policies that choose an executor for the next task, and learned speeds.
"""

import random

__all__ = ["POLICIES", "SpeedEstimates"]

# Weight of one sample in the moving averages: the last twenty or so tasks count.
_SAMPLE_WEIGHT = 0.1


class SpeedEstimates:
    """Slowness of each executor, learned from service times.

    Slowness is the moving average of an executor's service time over the class's
    average, so 1 is an average executor and 2 one that takes twice as long. What
    an upstream declares is not used.
    """

    def __init__(self):
        self._class_average = {}
        self._slowness = {}

    def add(self, executor, job_class, service_s):
        """Adds the service time of a finished task."""
        average = self._class_average.get(job_class)
        slowness = self._slowness.get(executor, 1.0)
        normal = service_s / max(slowness, 1e-3)
        if average is None:
            self._class_average[job_class] = service_s
            self._slowness.setdefault(executor, 1.0)
            return
        self._class_average[job_class] = average + _SAMPLE_WEIGHT * (normal - average)
        ratio = service_s / max(average, 1e-6)
        self._slowness[executor] = slowness + _SAMPLE_WEIGHT * (ratio - slowness)

    def slowness(self, executor):
        """Returns the slowness of an executor, 1 when nothing is known."""
        return self._slowness.get(executor, 1.0)

    def expected_s(self, job_class, default=0.3):
        """Returns the expected service time of a class on an average executor."""
        return self._class_average.get(job_class, default)

    def forget(self, executor):
        """Drops what was learned about an executor."""
        self._slowness.pop(executor, None)


def fastest_free(executors, speeds):
    """Chooses the free slot with the lowest learned slowness."""
    free = [executor for executor in executors if executor.free > 0]
    if not free:
        return None
    return min(free, key=lambda e: (speeds.slowness(e.member), -e.free))


def random_executor(executors, speeds):
    """Chooses any executor, free or not; a baseline for measurements."""
    usable = [executor for executor in executors if executor.usable]
    return random.choice(usable) if usable else None


def power_of_two(executors, speeds):
    """Chooses the shorter queue of two random executors; a baseline."""
    usable = [executor for executor in executors if executor.usable]
    if not usable:
        return None
    pair = random.sample(usable, min(2, len(usable)))
    return max(pair, key=lambda executor: executor.free)


POLICIES = {
    "fastest_free": fastest_free,
    "random": random_executor,
    "power_of_two": power_of_two,
}
