"""
papayaward.coordination.speeds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates of executor speeds and of service times by class, from finished tasks.
"""

import math

__all__ = ["SpeedEstimates"]

# Service time assumed for a class without finished tasks.
_UNKNOWN_TASK_S = 0.3
_MIN_SERVICE_S = 1e-4

# Variances of the natural logarithms of service times.
_NEW_EXECUTOR_VARIANCE = 1.0
# An idle executor is assumed to become at most 20 times as fast as its last runs.
_MAX_VARIANCE = 9.0
_NEW_CLASS_VARIANCE = 0.25
_MIN_VARIANCE = 0.03
# Increase of the variance of an executor's speed for each task, and for each second
# without one.
_DRIFT_PER_TASK = 0.0001
_DRIFT_PER_IDLE_S = 0.005

# The speed of an executor has changed if this many consecutive tasks deviate by more
# than this many standard deviations in the same direction.
_CHANGE_TASKS = 3
_CHANGE_DEVIATIONS = 2.5
# The tasks of a class have changed if this many consecutive tasks deviate on several
# executors.
_CLASS_CHANGE_TASKS = 4

_CLASS_WEIGHT = 0.05
_SPREAD_WEIGHT = 0.02
_STRAGGLER_QUANTILE = 0.95
_QUANTILE_STEP = 0.05
_STRAGGLER_SAMPLES = 50

# Difference of speed between two ranks; less than 3 % is noise.
_RANK_STEP = 0.03
# Lower than the rank of any executor with runs, so that new ones are tried first.
_UNMEASURED_RANK = -1000
# An executor whose estimate has a larger standard deviation is probed with one task.
_UNCERTAIN_DEVIATION = 0.3


class _ClassStats:
    def __init__(self, service_s, log_slowness):
        self.samples = 0
        self.log_s = math.log(service_s) - log_slowness
        self.variance = _NEW_CLASS_VARIANCE
        self.mean_s = service_s
        self.fastest_s = service_s
        self.straggler_s = service_s
        self.deviations = 0
        self.deviating = set()

    def add_deviation(self, executor, sign):
        """Counts consecutive deviations and records their executors."""
        if not sign or sign * self.deviations < 0:
            self.deviations = 0
            self.deviating.clear()
        if sign:
            self.deviations += sign
            self.deviating.add(executor)


class _ExecutorSpeed:
    def __init__(self, now):
        self.log_slowness = 0.0
        self.variance = _NEW_EXECUTOR_VARIANCE
        self.deviations = 0
        self.samples = 0
        self.updated = now


class SpeedEstimates:
    """Estimates of the slowness of each executor and the service time of each class.

    Slowness is an executor's service time over the class's average across the
    fleet: 1 is average, 2 takes twice as long. It is a moving average of
    logarithms, in which a task weighs less the more the times of its class vary (a
    scalar Kalman filter): a task of a class with uniform times says much about an
    executor, a task of a class with times from 50 ms to 5 s says little. The times of
    a class are corrected for the slowness of the executors that its tasks ran on, so
    an executor that gets long tasks is not estimated as slow. Speeds that an upstream
    declares are not used.
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
        service_s = max(service_s, _MIN_SERVICE_S)
        speed = self._executors.get(executor)
        if speed is None:
            speed = self._executors[executor] = _ExecutorSpeed(now)
        class_stats = self._classes.get(job_class)
        if class_stats is None:
            class_stats = self._classes[job_class] = _ClassStats(
                service_s, speed.log_slowness
            )
        self._update_executor(executor, class_stats, math.log(service_s), now)
        self._update_class(
            class_stats, math.log(service_s) - speed.log_slowness, service_s
        )

    @property
    def any_known(self):
        """Whether any task has finished."""
        return bool(self._classes)

    def knows(self, job_class):
        """Returns whether a task of a class has finished."""
        return job_class in self._classes

    def min_slowness(self):
        """Returns the slowness of the fastest executor, at most 1."""
        logs = (speed.log_slowness for speed in self._executors.values())
        return min(1.0, math.exp(min(logs, default=0.0)))

    def is_uncertain(self, executor, now):
        """Returns whether the speed of an executor should be measured."""
        speed = self._executors.get(executor)
        if speed is None:
            return True
        return math.sqrt(self._variance(speed, now)) > _UNCERTAIN_DEVIATION

    def slowness(self, executor):
        """Returns the slowness of an executor, 1 if it is unknown."""
        speed = self._executors.get(executor)
        return 1.0 if speed is None else math.exp(speed.log_slowness)

    def predicted_s(self, executor, job_class, unknown_s=_UNKNOWN_TASK_S):
        """Returns the service time of a task of a class on an executor, seconds.

        Args:
            executor: Name of the executor.
            job_class: Name of the class.
            unknown_s: Service time on an average executor, seconds, assumed until a
                task of the class has finished.
        """
        class_stats = self._classes.get(job_class)
        log_s = math.log(unknown_s) if class_stats is None else class_stats.log_s
        speed = self._executors.get(executor)
        return math.exp(log_s + (0.0 if speed is None else speed.log_slowness))

    def rank(self, executor, busy, now):
        """Returns the rank of an executor for placement, an integer; lowest is best.

        An idle executor with an uncertain speed is ranked by the fastest plausible
        speed, so that it is probed.

        Args:
            executor: Name of the executor.
            busy: Whether it runs tasks of this coordinator.
            now: Monotonic time, seconds.
        """
        speed = self._executors.get(executor)
        if speed is None:
            return 0 if busy else _UNMEASURED_RANK
        log_slowness = speed.log_slowness
        if not busy:
            deviation = math.sqrt(self._variance(speed, now))
            if deviation > _UNCERTAIN_DEVIATION:
                log_slowness -= deviation
        return round(log_slowness / _RANK_STEP)

    def expected_s(self, job_class):
        """Returns the mean service time of a class over its executors, seconds."""
        class_stats = self._classes.get(job_class)
        return _UNKNOWN_TASK_S if class_stats is None else class_stats.mean_s

    def fastest_s(self, job_class):
        """Returns the approximate shortest recent service time of a class, seconds.

        Returns 0 if it is unknown.
        """
        class_stats = self._classes.get(job_class)
        return 0.0 if class_stats is None else class_stats.fastest_s

    def straggler_s(self, job_class):
        """Returns the approximate 95th percentile of a class's service time, seconds.

        Returns None while the class has too few samples.
        """
        class_stats = self._classes.get(job_class)
        if class_stats is None or class_stats.samples < _STRAGGLER_SAMPLES:
            return None
        return class_stats.straggler_s

    def mark_uncertain(self, executor):
        """Marks the estimate of an executor as uncertain, so that it is measured again.

        While it was disconnected, its upstream or the tasks of the classes may have
        changed. Ranked by an outdated estimate, it could get no tasks, and so no new
        measurement, for many seconds.
        """
        speed = self._executors.get(executor)
        if speed is not None:
            speed.variance = max(speed.variance, _NEW_EXECUTOR_VARIANCE)

    def remove_executor(self, executor):
        """Removes the estimate of an executor."""
        self._executors.pop(executor, None)

    def recentre(self):
        """Restores the average slowness to 1, from which it slowly drifts."""
        known = [speed for speed in self._executors.values() if speed.samples]
        if not known:
            return
        shift = sum(speed.log_slowness for speed in known) / len(known)
        for speed in known:
            speed.log_slowness -= shift
        for class_stats in self._classes.values():
            class_stats.log_s += shift

    def _variance(self, speed, now):
        idle_s = max(0.0, now - speed.updated - 1.0)
        return min(_MAX_VARIANCE, speed.variance + _DRIFT_PER_IDLE_S * idle_s)

    def _update_executor(self, executor, class_stats, log_s, now):
        speed = self._executors[executor]
        variance = self._variance(speed, now) + _DRIFT_PER_TASK
        error = log_s - class_stats.log_s - speed.log_slowness
        spread = max(class_stats.variance, _MIN_VARIANCE)
        limit = _CHANGE_DEVIATIONS * math.sqrt(variance + spread)
        sign = 0 if abs(error) < limit else (1 if error > 0 else -1)
        class_stats.add_deviation(executor, sign)
        if len(class_stats.deviating) > 1:
            # Several executors deviate together, so the tasks have changed.
            if abs(class_stats.deviations) >= _CLASS_CHANGE_TASKS:
                class_stats.log_s += error / 2
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
        # Until a change is confirmed, the error is clipped, so that one very long task
        # has the effect of a moderately long one.
        speed.log_slowness += weight * max(-limit, min(limit, error))
        speed.variance = variance * (1 - weight)
        speed.samples += 1
        speed.updated = now

    def _update_class(self, class_stats, log_s, service_s):
        class_stats.samples += 1
        weight = max(_CLASS_WEIGHT, 1 / class_stats.samples)
        error = log_s - class_stats.log_s
        class_stats.log_s += weight * error
        class_stats.variance += _SPREAD_WEIGHT * (error * error - class_stats.variance)
        class_stats.mean_s += weight * (service_s - class_stats.mean_s)
        # Drops to the shortest time at once and rises from it slowly.
        rise = _SPREAD_WEIGHT * (service_s - class_stats.fastest_s)
        class_stats.fastest_s = min(service_s, class_stats.fastest_s + rise)
        below = service_s < class_stats.straggler_s
        step = _STRAGGLER_QUANTILE - 1 if below else _STRAGGLER_QUANTILE
        class_stats.straggler_s *= math.exp(_QUANTILE_STEP * step)
