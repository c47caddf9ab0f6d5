"""
papayaward.coordination.interference
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which queues' tasks slow each other down on one upstream.

Tasks share more than the CPU that they state, such as memory bandwidth and disks. An
entry compares how long its runs took with what ran beside them, and places tasks on
executors where they are slowed down less.
"""

import logging
import math

from ..state import metrics
from .linear_fit import LinearFit

__all__ = ["Interference"]

log = logging.getLogger(__name__)

# Number of samples of a queue that a fit remembers.
_MEMORY = 600
_MIN_SAMPLES = 60
# Number of other queues whose effect on one queue is estimated.
_MAX_QUEUES = 8
# Time between two fits of a queue, seconds.
_FIT_INTERVAL_S = 1.0
# A queue slows another one down if the slope exceeds this many standard errors, and if
# the run time grows by this factor when it has the whole upstream.
_MIN_ERRORS = 5.0
_MIN_SLOWDOWN = math.log(1.5)
# A known pair is forgotten at this part of both.
_FORGET_SHARE = 0.5
# Run times beyond this factor of the expected one are other faults.
_MAX_RESIDUAL = math.log(4.0)


class _QueueFit:
    """Fit of one queue's run times to what ran beside them."""

    def __init__(self):
        self.fit = LinearFit(_MEMORY, _MAX_QUEUES)
        self.fitted_at = -math.inf
        # Logarithm of the slowdown by a queue that has the whole upstream, by queue.
        self.slowed_by = {}


class Interference:
    """What one entry has learned of the queues that slow each other down."""

    def __init__(self):
        self._queues = {}
        self._pairs = 0

    @property
    def is_known(self):
        """Whether any queue is known to slow another one down."""
        return self._pairs > 0

    def add(self, queue_name, residual, shares, now):
        """Adds a run that was done.

        Args:
            queue_name: Name of its queue.
            residual: Logarithm of its run time over the expected one.
            shares: Part of the upstream's CPU that ran beside it, by queue.
            now: Time, seconds.
        """
        queue = self._queues.setdefault(queue_name, _QueueFit())
        residual = max(-_MAX_RESIDUAL, min(_MAX_RESIDUAL, residual))
        queue.fit.add(shares, residual)
        if now - queue.fitted_at >= _FIT_INTERVAL_S:
            queue.fitted_at = now
            if queue.fit.samples >= _MIN_SAMPLES:
                self._update(queue_name, queue)

    def _update(self, queue_name, queue):
        found = {}
        for other, slope in queue.fit.slopes().items():
            share = _FORGET_SHARE if other in queue.slowed_by else 1.0
            errors = _MIN_ERRORS * share * slope.error
            if slope.value > max(errors, share * _MIN_SLOWDOWN):
                found[other] = slope.value
        if found.keys() != queue.slowed_by.keys():
            log.info(
                "interference_changed",
                extra={
                    "queue": queue_name,
                    "slowed_by": {
                        other: round(math.exp(slope), 2)
                        for other, slope in found.items()
                    },
                },
            )
        queue.slowed_by = found
        self._pairs = sum(len(queue.slowed_by) for queue in self._queues.values())
        metrics.INTERFERING_PAIRS.set(self._pairs)

    def slowdown(self, queue_name, shares):
        """Returns the logarithm of the slowdown that a start would cause.

        That is, of the task itself by what runs there, and of what runs there by the
        task, weighted by the CPU of what runs there.

        Args:
            queue_name: Name of the task's queue.
            shares: Part of the upstream's CPU in use by queue.
        """
        own = self._slowed_by(queue_name)
        return sum(
            share * (own.get(other, 0.0) + self._slowed_by(other).get(queue_name, 0.0))
            for other, share in shares.items()
        )

    def _slowed_by(self, queue_name):
        queue = self._queues.get(queue_name)
        return queue.slowed_by if queue is not None else {}
