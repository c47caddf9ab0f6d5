"""
benchmarks.shortage_model.load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is played, and what callers get.
"""

from dataclasses import dataclass

__all__ = ["KINDS", "LOADS", "Kind", "Load", "QueueResult", "Surge"]


@dataclass(frozen=True)
class Kind:
    """One kind of job.

    Attributes:
        queue: Name of its queue.
        priority: Priority of the queue.
        rate: Jobs per executor and second.
        tasks: Tasks of a job.
        cores: Cores of a task.
        run_s: Mean run time of a task on an upstream of speed 1, seconds.
    """

    queue: str
    priority: int
    rate: float
    tasks: int
    cores: float
    run_s: float


# Many short urgent jobs, few long ones that are not, and small ones between them.
KINDS = (
    Kind("urgent", 0, 1.58, 8, 6.1, 0.12),
    Kind("long", 2, 0.29, 4, 6.1, 1.8),
    Kind("small", 1, 4.6, 2, 6.1, 0.4),
)


@dataclass(frozen=True)
class Surge:
    """A time in which one queue gets more jobs.

    Attributes:
        queue: Name of the queue.
        factor: Factor of its rate.
        from_s: Beginning, seconds.
        for_s: Duration, seconds.
    """

    queue: str
    factor: float
    from_s: float
    for_s: float


@dataclass(frozen=True)
class Load:
    """What is played.

    Attributes:
        speeds: Speeds of the upstreams; they are dealt out in turn.
        rate: Factor of all rates.
        surges: `Surge` of each queue that has one.
        uneven: Factor of the jobs of the first entry; the others share the rest.
        executors: Number of executors.
        entries: Number of entries.
        cores: Cores of each upstream.
        slowed: (queue, other queue, factor): the factor by which the tasks of the first
            take longer where the tasks of the other one have the whole upstream.
        forecast: Whether entries forecast when a job will start.
        keeps_apart: Whether entries keep queues apart that slow each other down.
        seed: Seed of the random numbers.
    """

    speeds: tuple = (0.55, 1.2, 1.2, 1.2)
    rate: float = 1.0
    surges: tuple = ()
    uneven: float = 1.0
    executors: int = 16
    entries: int = 4
    cores: int = 64
    slowed: tuple = ()
    forecast: bool = True
    keeps_apart: bool = True
    seed: int = 1


LOADS = {
    "calm": Load(rate=0.8),
    "long surge": Load(rate=1.1, surges=(Surge("long", 2.3, 2.0, 6.5),)),
    "urgent surge": Load(rate=1.2, surges=(Surge("urgent", 1.8, 2.0, 3.5),)),
    "both": Load(
        rate=1.1,
        surges=(Surge("long", 2.0, 2.0, 6.0), Surge("urgent", 1.8, 5.0, 3.5)),
    ),
    "interference": Load(
        speeds=(1.0,),
        rate=0.9,
        slowed=(("urgent", "long", 4.0), ("long", "urgent", 2.0)),
    ),
    "overload": Load(rate=1.6),
    "uneven": Load(
        speeds=(1.0, 1.0, 1.3),
        rate=1.3,
        surges=(Surge("long", 1.8, 2.0, 6.0),),
        uneven=2.0,
    ),
}


@dataclass(frozen=True)
class QueueResult:
    """What the callers of one queue got.

    Attributes:
        jobs: Number of jobs.
        in_time: Part of them that met the objective by their true run time.
        late: Part that was completed later.
        refused: Part that was answered as not run.
        held_s: Mean time until such an answer, seconds.
        failed: Part that had another answer.
        largest_in_time: As `in_time`, for the tenth with the most work.
    """

    jobs: int
    in_time: float
    late: float
    refused: float
    held_s: float
    failed: float
    largest_in_time: float
