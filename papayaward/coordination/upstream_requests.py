"""
papayaward.coordination.upstream_requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an executor orders from an upstream that runs tasks under a lease.

An upstream is reached through an object with three methods: `start(instance, order)`,
`stop(instance, task, run, fencing_token)` and `look(instance, order)`. They return the
replies below, or raise `NoReply` or `Unreachable`.
"""

from dataclasses import dataclass, field

from ..protocol.jobs import Resources

__all__ = [
    "PollRequest",
    "NoReply",
    "RunEnd",
    "StartRequest",
    "Unreachable",
    "UpstreamReply",
    "UpstreamState",
]


class NoReply(Exception):
    """The upstream did not answer; it may carry the order out at any later time."""


class Unreachable(Exception):
    """No connection was made, so the upstream has not seen the order."""


@dataclass(frozen=True)
class UpstreamState:
    """What an upstream says of itself.

    Attributes:
        instance: Identifier of this life of the upstream.
        service: Service whose tasks it runs.
        domain: Failure domain of its VM.
        capacity: `Resources` of the upstream.
        labels: Its kind and its rack.
        draining: Whether it is about to leave.
        sequence: Rises with each report of one life.
        born_ms: Wall time of its start, milliseconds; tells two lives with the same
            identifier apart.
    """

    instance: str
    service: str
    domain: str
    capacity: Resources
    labels: tuple
    draining: bool
    sequence: int
    born_ms: int


@dataclass(frozen=True)
class StartRequest:
    """Starts one run of a task.

    Attributes:
        task: Name of the task.
        run: Number of the run, from 1.
        spec: Text of the job.
        lease_ms: End of the lease on the upstream's clock, milliseconds.
        fencing_token: Orders with a lower token than the highest seen do nothing.
    """

    task: str
    run: int
    spec: str
    lease_ms: int
    fencing_token: int


@dataclass(frozen=True)
class PollRequest:
    """Renews the lease and asks for the runs.

    Attributes:
        fencing_token: As for `StartRequest`.
        ends_acked: Number of the last end that the upstream may forget.
        lease_ms: New end of the lease; None leaves it as it is.
        wait_ms: Longest wait for an end, milliseconds.
    """

    fencing_token: int
    ends_acked: int
    lease_ms: int | None = None
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run.

    Attributes:
        number: Counts the ends of one life of the upstream, from 1.
        task: Name of the task.
        run: Number of the run.
        outcome: `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`.
    """

    number: int
    task: str
    run: int
    outcome: str


@dataclass(frozen=True)
class UpstreamReply:
    """Reply of an upstream.

    Attributes:
        outcome: `ok`, `fenced`, `old_run`, `late`, `no_room`, `unhealthy`, `invalid`
            or `other_instance`.
        clock_ms: The upstream's clock when it replied, milliseconds; 0 if not given.
        running: For a look: progress in percent by (task, run).
        ends: For a look: `RunEnd` of each end that is not forgotten.
        born_ms: Start of the life that replied; 0 if not given.
    """

    outcome: str
    clock_ms: int = 0
    running: dict = field(default_factory=dict)
    ends: tuple = ()
    born_ms: int = 0
