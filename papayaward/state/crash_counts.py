"""
papayaward.state.crash_counts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that crashed under each task, whoever caused it.

These are facts that are the same in every process. They bound the starts of a task, and
no job is shown as failed without them.
"""

from dataclasses import dataclass, field

from .crashes import job_id_of

__all__ = ["CrashCounts"]


@dataclass
class _JobCounts:
    """Crashed upstreams under one job.

    Attributes:
        possible: Keys of the crashed upstreams that may have run it, by task.
        running: Keys of the crashed upstreams that were running it, by task.
        known: Those of `running` whose crash is known, by task.
    """

    possible: dict = field(default_factory=dict)
    running: dict = field(default_factory=dict)
    known: dict = field(default_factory=dict)


_NONE = _JobCounts()


class CrashCounts:
    """Crashed upstreams by job and task."""

    def __init__(self):
        self._jobs = {}

    def add(self, crash):
        """Counts a `Crash`, or what is known of it now."""
        for job in crash.jobs:
            counts = self._jobs.setdefault(job.job_id, _JobCounts())
            _add_to(counts.possible, job.tasks, crash.upstream)
            _add_to(counts.running, job.started, crash.upstream)
            if crash.is_known:
                _add_to(counts.known, job.started, crash.upstream)

    def remove(self, crash):
        """Forgets a `Crash`."""
        for job in crash.jobs:
            counts = self._jobs.get(job.job_id, _NONE)
            for upstreams in (counts.possible, counts.running, counts.known):
                _remove_from(upstreams, job.tasks, crash.upstream)
            if not counts.possible:
                self._jobs.pop(job.job_id, None)

    def possible(self, job_id):
        """Returns how many crashes the task with most of them may have been in."""
        return _most(self._counts(job_id).possible)

    def running(self, job_id):
        """Returns how many crashes the task with most of them was running in."""
        return _most(self._counts(job_id).running)

    def known(self, job_id):
        """Returns the same for crashes that are known."""
        return _most(self._counts(job_id).known)

    def running_upstreams(self, job_id):
        """Returns the keys of the crashed upstreams that were running any task."""
        return set().union(*self._counts(job_id).running.values())

    def upstreams_of(self, task):
        """Returns the keys of the crashed upstreams that may have run a task."""
        return self._counts(job_id_of(task)).possible.get(task, set())

    def _counts(self, job_id):
        return self._jobs.get(job_id, _NONE)


def _add_to(upstreams, tasks, upstream):
    for task in tasks:
        upstreams.setdefault(task, set()).add(upstream)


def _remove_from(upstreams, tasks, upstream):
    for task in tasks:
        keys = upstreams.get(task, set())
        keys.discard(upstream)
        if not keys:
            upstreams.pop(task, None)


def _most(upstreams):
    return max((len(keys) for keys in upstreams.values()), default=0)
