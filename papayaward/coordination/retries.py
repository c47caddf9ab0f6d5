"""
papayaward.coordination.retries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Budget and backoff of retries of idempotent requests.
"""

import random

__all__ = ["RetryBudget", "backoff_s"]

_FIRST_BACKOFF_S = 0.02
_LONGEST_BACKOFF_S = 1.0


class RetryBudget:
    """Allows retries as a share of recent successes.

    Args:
        share: Retries allowed for each success.
        burst: Retries allowed without any success, and the bound on savings.
    """

    def __init__(self, share=0.1, burst=10.0):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def on_success(self):
        """Adds the share that one success allows."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self):
        """Takes one retry from the budget and returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(retry):
    """Returns the delay before a retry with full jitter, in seconds.

    Args:
        retry: Number of the retry, from 1.
    """
    longest = min(_LONGEST_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** (retry - 1))
    return random.uniform(0.0, longest)
