"""
papayaward.coordination.speeds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Speeds of executors and service times of classes, learned from finished tasks.
"""

import math

__all__ = ["SpeedEstimates"]

# Time assumed for a task of a class of which none has finished.
_UNKNOWN_TASK_S = 0.3
_SHORTEST_S = 1e-4

# Variances are of natural logarithms of service times.
_NEW_EXECUTOR_VARIANCE = 1.0
# Bounds how much faster than last seen an idle executor may be thought: 20 times.
_LARGEST_VARIANCE = 9.0
_NEW_CLASS_VARIANCE = 0.25
_LEAST_VARIANCE = 0.03
# Change of an executor's speed that is expected between two of its tasks, and in
# each second in which it runs none.
_DRIFT_PER_TASK = 0.0001
_DRIFT_PER_IDLE_S = 0.005

# As many deviations in a row by this many standard deviations mean that the
# executor's speed has changed.
_CHANGE_TASKS = 3
_CHANGE_DEVIATIONS = 2.5
# As many deviations in a row on several executors mean that the class has changed.
_CLASS_CHANGE_TASKS = 4

_CLASS_WEIGHT = 0.05
_SPREAD_WEIGHT = 0.02
_STRAGGLER_QUANTILE = 0.95
_QUANTILE_STEP = 0.05
_STRAGGLER_SAMPLES = 50

# Steps of the rank: smaller differences of speed than 3 % are noise.
_RANK_STEP = 0.03
# Before every executor that was measured.
_UNMEASURED_RANK = -1000
# An estimate that is less certain than this is tried with one task.
_UNCERTAIN_DEVIATION = 0.3


class _JobClass:
    def __init__(self, service_s, slowness_log):
        self.samples = 0
        self.log_s = math.log(service_s) - slowness_log
        self.variance = _NEW_CLASS_VARIANCE
        self.mean_s = service_s
        self.fastest_s = service_s
        self.straggler_s = service_s
        self.deviations = 0
        self.deviating = set()

    def note(self, executor, sign):
        """Counts deviations in a row and the executors that they come from."""
        if not sign or sign * self.deviations < 0:
            self.deviations = 0
            self.deviating.clear()
        if sign:
            self.deviations += sign
            self.deviating.add(executor)


class _Executor:
    def __init__(self, now):
        self.log = 0.0
        self.variance = _NEW_EXECUTOR_VARIANCE
        self.deviations = 0
        self.samples = 0
        self.updated = now


class SpeedEstimates:
    """Slowness of each executor and usual service time of each class.

    Slowness is an executor's service time over the class's average across the
    fleet: 1 is average, 2 takes twice as long. It is a moving average of
    logarithms whose weight falls with the spread of the class (a scalar Kalman
    filter): one task of a regular class says much about an executor, one of a
    class with sizes from 50 ms to 5 s says little. Classes are corrected for the
    slowness of the executors they ran on, so an executor that gets the long
    classes does not count as slow. What an upstream declares is not used.
    """

    def __init__(self):
        self._classes = {}
        self._executors = {}

    def add(self, executor, job_class, service_s, now):
        """Adds the service time of a task that succeeded.

        Args:
            executor: Name of the executor.
            job_class: Name of the class.
            service_s: Service time, seconds.
            now: Monotonic time, seconds.
        """
        service_s = max(service_s, _SHORTEST_S)
        speed = self._executors.get(executor)
        if speed is None:
            speed = self._executors[executor] = _Executor(now)
        usual = self._classes.get(job_class)
        if usual is None:
            usual = self._classes[job_class] = _JobClass(service_s, speed.log)
        self._update_executor(executor, usual, math.log(service_s), now)
        self._update_class(usual, math.log(service_s) - speed.log, service_s)

    @property
    def any_known(self):
        """Whether a task has finished anywhere."""
        return bool(self._classes)

    def knows(self, job_class):
        """Returns whether a task of a class has finished."""
        return job_class in self._classes

    def least_slowness(self):
        """Returns the slowness of the fastest executor, at most 1."""
        logs = (speed.log for speed in self._executors.values())
        return min(1.0, math.exp(min(logs, default=0.0)))

    def is_uncertain(self, executor, now):
        """Returns whether the speed of an executor should be measured."""
        speed = self._executors.get(executor)
        if speed is None:
            return True
        return math.sqrt(self._variance(speed, now)) > _UNCERTAIN_DEVIATION

    def slowness(self, executor):
        """Returns the slowness of an executor, 1 when nothing is known."""
        speed = self._executors.get(executor)
        return 1.0 if speed is None else math.exp(speed.log)

    def predicted_s(self, executor, job_class, unknown_s=_UNKNOWN_TASK_S):
        """Returns the service time of a task of a class on an executor, seconds.

        Args:
            executor: Name of the executor.
            job_class: Name of the class.
            unknown_s: Service time on a usual executor while none has finished.
        """
        usual = self._classes.get(job_class)
        log_s = math.log(unknown_s) if usual is None else usual.log_s
        speed = self._executors.get(executor)
        return math.exp(log_s + (0.0 if speed is None else speed.log))

    def rank(self, executor, busy, now):
        """Returns the place of an executor in the order of placement, an integer.

        An executor that is idle and whose speed is uncertain ranks by the fastest
        speed that is plausible, so that it is tried.

        Args:
            executor: Name of the executor.
            busy: Whether it runs tasks of this home.
            now: Monotonic time, seconds.
        """
        speed = self._executors.get(executor)
        if speed is None:
            return 0 if busy else _UNMEASURED_RANK
        log = speed.log
        if not busy:
            deviation = math.sqrt(self._variance(speed, now))
            if deviation > _UNCERTAIN_DEVIATION:
                log -= deviation
        return round(log / _RANK_STEP)

    def expected_s(self, job_class):
        """Returns the mean service time of a class over the executors it ran on."""
        usual = self._classes.get(job_class)
        return _UNKNOWN_TASK_S if usual is None else usual.mean_s

    def fastest_s(self, job_class):
        """Returns about the shortest recent service time of a class, 0 if unknown."""
        usual = self._classes.get(job_class)
        return 0.0 if usual is None else usual.fastest_s

    def straggler_s(self, job_class):
        """Returns about the 95th percentile of a class's service time, or None."""
        usual = self._classes.get(job_class)
        if usual is None or usual.samples < _STRAGGLER_SAMPLES:
            return None
        return usual.straggler_s

    def mark_uncertain(self, executor):
        """Makes the estimate of an executor uncertain, so that it is measured again.

        While it was away, its upstream or the tasks of the classes may have changed;
        held back for an old estimate, it would not be measured for many seconds.
        """
        speed = self._executors.get(executor)
        if speed is not None:
            speed.variance = max(speed.variance, _NEW_EXECUTOR_VARIANCE)

    def forget(self, executor):
        """Drops what was learned about an executor."""
        self._executors.pop(executor, None)

    def recentre(self):
        """Makes 1 the average slowness again, which otherwise drifts slowly."""
        known = [speed for speed in self._executors.values() if speed.samples]
        if not known:
            return
        shift = sum(speed.log for speed in known) / len(known)
        for speed in known:
            speed.log -= shift
        for usual in self._classes.values():
            usual.log_s += shift

    def _variance(self, speed, now):
        idle_s = max(0.0, now - speed.updated - 1.0)
        return min(_LARGEST_VARIANCE, speed.variance + _DRIFT_PER_IDLE_S * idle_s)

    def _update_executor(self, executor, usual, log_s, now):
        speed = self._executors[executor]
        variance = self._variance(speed, now) + _DRIFT_PER_TASK
        error = log_s - usual.log_s - speed.log
        spread = max(usual.variance, _LEAST_VARIANCE)
        limit = _CHANGE_DEVIATIONS * math.sqrt(variance + spread)
        sign = 0 if abs(error) < limit else (1 if error > 0 else -1)
        usual.note(executor, sign)
        if len(usual.deviating) > 1:
            # Several executors deviate together: the tasks have changed.
            if abs(usual.deviations) >= _CLASS_CHANGE_TASKS:
                usual.log_s += error / 2
            return
        if not sign:
            speed.deviations = 0
        else:
            speed.deviations = sign * (max(0, sign * speed.deviations) + 1)
        if abs(speed.deviations) >= _CHANGE_TASKS:
            speed.deviations = 0
            variance = max(variance, _NEW_EXECUTOR_VARIANCE)
            limit = math.inf
        weight = variance / (variance + spread)
        # Before a change is certain, one very long task counts as a long one only.
        speed.log += weight * max(-limit, min(limit, error))
        speed.variance = variance * (1 - weight)
        speed.samples += 1
        speed.updated = now

    def _update_class(self, usual, log_s, service_s):
        usual.samples += 1
        weight = max(_CLASS_WEIGHT, 1 / usual.samples)
        error = log_s - usual.log_s
        usual.log_s += weight * error
        usual.variance += _SPREAD_WEIGHT * (error * error - usual.variance)
        usual.mean_s += weight * (service_s - usual.mean_s)
        # Falls to the shortest time at once and forgets it slowly.
        rise = _SPREAD_WEIGHT * (service_s - usual.fastest_s)
        usual.fastest_s = min(service_s, usual.fastest_s + rise)
        below = service_s < usual.straggler_s
        step = _STRAGGLER_QUANTILE - 1 if below else _STRAGGLER_QUANTILE
        usual.straggler_s *= math.exp(_QUANTILE_STEP * step)
