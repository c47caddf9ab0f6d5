"""
papayaward.coordination.isolation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which jobs run isolated from one another because a task may crash its upstream.

A crash takes everything on the upstream with it, so that one crash does not tell its
cause from a bystander. A suspect is therefore started again only where no other suspect
runs. If that upstream crashes too, the cause is known and the job is not started again.
"""

from enum import Enum

from ..state.crash_records import Evidence
from .isolated_placement import place_isolated

__all__ = ["Isolation", "Verdict"]


class Verdict(Enum):
    """What becomes of a job whose task was lost in a crash, or that is submitted."""

    START = ""
    # A task crashed several upstreams.
    CONDEMNED = "crashes upstreams"


class Isolation:
    """Isolation of the jobs of one entry.

    Args:
        records: `CrashRecords` of the process.
        placement: `Placement`.
    """

    def __init__(self, records, placement):
        self._records = records
        self._placement = placement

    def verdict(self, job, now):
        """Returns the `Verdict` on a job.

        Args:
            job: `Job`.
            now: Time, seconds.
        """
        if self._records.is_condemned(job.request.job_id):
            return Verdict.CONDEMNED
        return Verdict.START

    def limit(self, job, now):
        """Returns how many isolated jobs may run beside a job, itself included.

        Returns:
            int: 0 if the job need not be isolated.
        """
        suspicion = self._records.suspicion(job.request.job_id)
        return 1 if suspicion > Evidence.BYSTANDER else 0

    def begin_round(self, views, now):
        """Returns an `IsolationRound` for the current state of the executors.

        Args:
            views: `LeasedView` of each connected executor.
            now: Time, seconds.
        """
        return IsolationRound(self, self._placement.begin_round(views, now), now)


class IsolationRound:
    """Places tasks by the isolation of their jobs.

    Args:
        isolation: `Isolation`.
        everywhere: `PlacementRound` of all executors.
        now: Time, seconds.
    """

    def __init__(self, isolation, everywhere, now):
        self._isolation = isolation
        self._everywhere = everywhere
        self._now = now

    def may_place(self, job):
        """Returns whether an executor has enough free CPU for a task of a job."""
        return self._everywhere.may_place(job)

    def place(self, job, number):
        """Yields (task, view) for the tasks of a phase that an executor can start.

        The caller must reserve the capacity for each pair before it requests the next.
        """
        limit = self._isolation.limit(job, self._now)
        if limit:
            yield from place_isolated(job, number, limit, self._everywhere)
        else:
            yield from self._everywhere.place(job, number)
