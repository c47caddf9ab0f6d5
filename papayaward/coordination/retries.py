"""
papayaward.coordination.retries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Budget and backoff for retries and hedges of idempotent requests.
"""

import random

__all__ = ["MAX_LOST_RUNS", "MAX_RETRIES", "RetryBudget", "backoff_s"]

MAX_RETRIES = 3
# Runs of a request that may be lost with their executor or upstream. The request may be
# the cause, and would crash another upstream with each retry.
MAX_LOST_RUNS = 2

_FIRST_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 1.0
# Tokens above the reserve expire within about this time, so that an hour of
# successes does not allow a burst of retries.
_EXCESS_TTL_S = 10.0


class RetryBudget:
    """Token bucket that limits retries and hedges to a share of recent successes.

    Args:
        share: Tokens added for each success.
        reserve: Tokens available without any success; enough for the requests
            running on the 8 slots of an executor that crashes.
    """

    def __init__(self, share=0.1, reserve=10.0):
        self._share = share
        self._reserve = reserve
        self._tokens = reserve
        self._updated = None

    def on_success(self, now):
        """Adds the share of a token for one success."""
        self._expire_excess(now)
        self._tokens += self._share

    def take(self, now):
        """Takes a token for a retry or hedge; returns whether one was available."""
        self._expire_excess(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self):
        """Returns the token of a hedge that was not started."""
        self._tokens += 1.0

    def _expire_excess(self, now):
        # Only tokens above the reserve expire; a bucket below it is not refilled by
        # time.
        if self._updated is not None and self._tokens > self._reserve:
            kept = max(0.0, 1.0 - (now - self._updated) / _EXCESS_TTL_S)
            excess = (self._tokens - self._reserve) * kept
            self._tokens = self._reserve + excess
        self._updated = now


def backoff_s(retry):
    """Returns the exponential backoff delay with full jitter, in seconds.

    Args:
        retry: Number of the retry, from 1.
    """
    max_s = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** (retry - 1))
    return random.uniform(0.0, max_s)
