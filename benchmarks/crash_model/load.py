"""
benchmarks.crash_model.load
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is played, and what was seen.
"""

from dataclasses import dataclass

__all__ = ["Load", "Result"]


@dataclass(frozen=True)
class Load:
    """What is played.

    Attributes:
        share: Part of the jobs of one queue that hold a deadly task.
        all_deadly: Whether all tasks of such a job are deadly, or one of them.
        crash_at: Part of the run after which a deadly task crashes the upstream.
        rate: Factor of the rates at which jobs arrive.
        outage_s: Time between two outages, seconds; 0 for none. Each crashes a part of
            the upstreams, whatever they run.
        single_crashes_per_s: Rate of crashes of one random upstream, whatever it runs.
        notice_s: Time from a crash to its notice by an executor with runs.
        idle_notice_s: The same for an executor without runs; a start that is sent to
            the upstream ends it.
        lease_s: Longest time from the notice of a crash until the lease of the runs has
            ended. Until then no task starts there, and its runs are not started again;
            then the crash is suspected, and known once the upstream has restarted. If
            it is 0, a crash is known at its notice.
        confirm_s: Time from a start to its confirmation by the upstream.
        lost_replies: Part of the starts that only their repetition confirms.
        unanswered_share: Part of the starts sent to an upstream that is gone of which
            the executor does not know whether they were received.
        relay_s: Longest time that a notice takes to an entry; each entry has its own.
        blames_undelivered: Whether starts that are sent together with the one that
            finds an upstream gone are published as started there.
        executors: Number of executors.
        cores: Cores of each of them.
        entries: Number of entries.
        seed: Seed of the random numbers.
    """

    share: float
    all_deadly: bool = True
    crash_at: float = 0.5
    rate: float = 1.0
    outage_s: float = 0.0
    single_crashes_per_s: float = 0.0
    notice_s: float = 0.0
    idle_notice_s: float = 0.0
    lease_s: float = 0.0
    confirm_s: float = 0.0
    lost_replies: float = 0.0
    unanswered_share: float = 0.0
    relay_s: float = 0.0
    blames_undelivered: bool = False
    executors: int = 11
    cores: int = 32
    entries: int = 3
    seed: int = 1


@dataclass(frozen=True)
class Result:
    """What was seen.

    Attributes:
        tasks: Number of tasks submitted.
        deadly_jobs: Number of jobs with a deadly task.
        crashes: Number of crashes.
        most_starts: Most starts of one deadly task.
        late_starts: Most starts of one deadly task after its third crash.
        condemned: Jobs without a deadly task that were answered as failed.
        condemned_early: Those of them of which no task was in three crashes.
        condemned_falsely: Those of them of which no task ran in two crashes.
        others_in_time: Part of the jobs of the other queues that met the objective.
        queue_in_time: The same for jobs without a deadly task of the deadly queue.
        innocent_in_time: The same for all jobs without a deadly task.
        down: Mean part of the upstreams that were down while deadly jobs came.
    """

    tasks: int
    deadly_jobs: int
    crashes: int
    most_starts: int
    late_starts: int
    condemned: int
    condemned_early: int
    condemned_falsely: int
    others_in_time: float
    queue_in_time: float
    innocent_in_time: float
    down: float
