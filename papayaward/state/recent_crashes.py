"""
papayaward.state.recent_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which crashes of upstreams, and which withdrawals of them, are remembered.
"""

import itertools
from collections import OrderedDict

from .crashes import may_coincide

__all__ = ["RecentCrashes"]

# Crashes are forgotten after this time; a caller that submits a job again does so
# within seconds.
_RECORD_TTL_S = 60.0
_MAX_CRASHES = 500
_MAX_WITHDRAWALS = 500
# Time in which the jobs that ran on a crashed upstream are expected to end.
_RECENT_S = 5.0
# Number of crashes at the same moment that are looked at; more make an outage no more
# likely.
_MAX_OTHERS = 8


class RecentCrashes:
    """Crashes and withdrawals, in the order of their arrival.

    The number of both is bounded.
    """

    def __init__(self):
        self._crashes = OrderedDict()
        self._withdrawals = OrderedDict()

    def find(self, upstream):
        """Returns the `Crash` of an upstream, or None."""
        return self._crashes.get(upstream)

    def all(self):
        """Returns each `Crash`."""
        return tuple(self._crashes.values())

    def withdrawals(self):
        """Returns each `Withdrawal`."""
        return tuple(self._withdrawals.values())

    def has_recent(self, now):
        """Returns whether an upstream crashed in the last seconds."""
        return any(now - crash.at < _RECENT_S for crash in self._crashes.values())

    def others_at(self, crash):
        """Returns crashes of other upstreams at the same time as a `Crash`."""
        others = (
            other
            for other in reversed(self._crashes.values())
            if may_coincide(other, crash) and other.upstream != crash.upstream
        )
        return list(itertools.islice(others, _MAX_OTHERS))

    def is_void(self, crash, now):
        """Returns whether a `Crash` is too old or withdrawn."""
        return now - crash.at > _RECORD_TTL_S or self.is_withdrawn(crash)

    def is_withdrawn(self, crash):
        """Returns whether the upstream has replied since a `Crash` was suspected."""
        withdrawal = self._withdrawals.get(crash.upstream)
        if withdrawal is None or crash.is_known:
            return False
        return crash.noticed_ms <= withdrawal.noticed_ms

    def put(self, crash):
        """Adds a `Crash`, or what is known of it now."""
        self._crashes[crash.upstream] = crash

    def remove(self, crash):
        """Removes a `Crash`."""
        del self._crashes[crash.upstream]

    def put_withdrawal(self, withdrawal, now):
        """Adds a `Withdrawal`, and returns whether it is new and recent."""
        last = self._withdrawals.get(withdrawal.upstream)
        if now - withdrawal.at > _RECORD_TTL_S:
            return False
        if last is not None and last.noticed_ms >= withdrawal.noticed_ms:
            return False
        self._withdrawals[withdrawal.upstream] = withdrawal
        self._withdrawals.move_to_end(withdrawal.upstream)
        if len(self._withdrawals) > _MAX_WITHDRAWALS:
            self._withdrawals.popitem(last=False)
        return True

    def forget_withdrawals(self, now):
        """Forgets the old withdrawals."""
        while self._withdrawals:
            oldest = next(iter(self._withdrawals.values()))
            if now - oldest.at <= _RECORD_TTL_S:
                return
            del self._withdrawals[oldest.upstream]

    def expired(self, now):
        """Returns the crashes that are old enough to be forgotten, the oldest first."""
        return list(
            itertools.takewhile(
                lambda crash: now - crash.at > _RECORD_TTL_S, self._crashes.values()
            )
        )

    def surplus(self):
        """Returns the `Crash` that is needed least if there are too many, else None.

        It is the oldest one without jobs, or the oldest one: the crashes under jobs
        bound the starts of their tasks.
        """
        if len(self._crashes) <= _MAX_CRASHES:
            return None
        crashes = self._crashes.values()
        without_jobs = (crash for crash in crashes if not crash.jobs)
        return next(without_jobs, next(iter(crashes)))
