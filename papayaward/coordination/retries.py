"""
papayaward.coordination.retries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Budget and backoff of second starts of idempotent requests.
"""

import random

__all__ = ["MAX_RETRIES", "RetryBudget", "backoff_s"]

MAX_RETRIES = 3

_FIRST_BACKOFF_S = 0.02
_LONGEST_BACKOFF_S = 1.0
# Unused retries are kept for about this time, so that the successes of an hour
# do not pay for a surge of retries.
_MEMORY_S = 10.0


class RetryBudget:
    """Allows second starts as a share of recent successes.

    Args:
        share: Second starts allowed for each success.
        reserve: Second starts allowed without any success.
    """

    def __init__(self, share=0.1, reserve=10.0):
        self._share = share
        self._reserve = reserve
        self._tokens = reserve
        self._updated = None

    def on_success(self, now):
        """Adds the share that one success allows."""
        self._age(now)
        self._tokens += self._share

    def take(self, now):
        """Takes one second start from the budget; returns whether there was one."""
        self._age(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self):
        """Returns what was taken for a second start that did not happen."""
        self._tokens += 1.0

    def _age(self, now):
        # Only what exceeds the reserve is forgotten, and nothing is added.
        if self._updated is not None and self._tokens > self._reserve:
            kept = max(0.0, 1.0 - (now - self._updated) / _MEMORY_S)
            excess = (self._tokens - self._reserve) * kept
            self._tokens = self._reserve + excess
        self._updated = now


def backoff_s(retry):
    """Returns the delay before a retry with full jitter, in seconds.

    Args:
        retry: Number of the retry, from 1.
    """
    longest = min(_LONGEST_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** (retry - 1))
    return random.uniform(0.0, longest)
