"""
papayaward.protocol.jobs
~~~~~~~~~~~~~~~~~~~~~~~~

Jobs for which the caller chooses the identifier and specifies task resources.
"""

from dataclasses import dataclass

from .gen import ttypes

__all__ = [
    "LeasedJobOutcome",
    "LeasedJobRequest",
    "Phase",
    "Queue",
    "RequestLimits",
    "Resources",
    "Routing",
    "SharingPolicy",
    "resources_from_wire",
    "resources_to_wire",
]


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of a VM's resources.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Mebibytes.
        gpus: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other):
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def fitting(self, need):
        """Returns how many tasks that each need the given amounts fit in."""
        amounts = (
            (self.cpu_millis, need.cpu_millis),
            (self.memory_mb, need.memory_mb),
            (self.gpus, need.gpus),
        )
        return min((have // one for have, one in amounts if one > 0), default=0)

    def covers(self, need):
        """Returns whether each amount is at least the amount needed."""
        return (
            self.cpu_millis >= need.cpu_millis
            and self.memory_mb >= need.memory_mb
            and self.gpus >= need.gpus
        )


def resources_to_wire(resources):
    """Returns the wire form of `Resources`."""
    return ttypes.Resources(resources.cpu_millis, resources.memory_mb, resources.gpus)


def resources_from_wire(resources):
    """Returns the `Resources` of a message."""
    return Resources(
        resources.cpu_millis or 0, resources.memory_mb or 0, resources.gpus or 0
    )


@dataclass(frozen=True, slots=True)
class Phase:
    """A group of tasks of a job with the same requirements.

    Attributes:
        count: Number of tasks.
        need: Resources of each task.
        expected_s: The caller's estimate of the run time of each task, seconds; 0 if
            there is none.
        after: Indices of the earlier phases that must be complete first.
        label: Label that the upstream must have; empty for any.
        rack: Rack near the data; empty for any.
        max_per_upstream: Maximum number of tasks on one upstream; 0 for no limit.
    """

    count: int
    need: Resources
    expected_s: float = 0.0
    after: tuple = ()
    label: str = ""
    rack: str = ""
    max_per_upstream: int = 0


@dataclass(frozen=True, slots=True)
class LeasedJobRequest:
    """A job as a caller submits it.

    Attributes:
        job_id: Identifier that the caller chose.
        request_id: Identifier of the caller's request, for logs.
        spec: Text that is passed to the upstream with each task.
        phases: `Phase` of each group of tasks.
        timeout_s: Time that the caller waits for the answer, seconds.
    """

    job_id: str
    request_id: str
    spec: str
    phases: tuple
    timeout_s: float


@dataclass(frozen=True, slots=True)
class SharingPolicy:
    """How the queues of a service share its upstreams.

    Attributes:
        headroom: Whether executors keep capacity for more urgent queues.
        start_forecast: Whether jobs are refused on arrival that would start too late.
        interference: Whether queues are kept apart that slow each other down.
    """

    headroom: bool = True
    start_forecast: bool = True
    interference: bool = True


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue defined in the configuration.

    Attributes:
        name: Name in logs and metrics.
        host: Host name of the requests.
        prefix: Path prefix of the requests.
        service: Service whose upstreams run the tasks.
        priority: Lower values are served first, from 0.
        attempts: Number of failed runs of one task after which the job fails.
        stretch: Factor applied to the run time of the longest chain of tasks; with
            `slack_s` added, the result is the latency objective.
        slack_s: Constant part of the latency objective, seconds.
        timeout_s: Default time that a caller waits for the answer, seconds.
        requires_hint: Whether an upstream may run a phase only with the approval of
            another service.
        sharing: `SharingPolicy` of the service.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_s: float = 0.0
    timeout_s: float = 0.0
    requires_hint: bool = False
    sharing: SharingPolicy = SharingPolicy()


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the requests of callers.

    Attributes:
        max_head_bytes: Request line and headers of one request.
        max_body_bytes: Body of one request.
        head_timeout_s: Time from the first byte of a request to the end of its head,
            seconds.
        idle_timeout_s: Time between two requests after which a connection may be
            closed, seconds.
    """

    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 1024 * 1024
    head_timeout_s: float = 60.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Routing:
    """The queues of one configuration version, and the limits on callers' requests."""

    version: int = 0
    queues: tuple = ()
    limits: RequestLimits = RequestLimits()

    def find(self, host, path):
        """Returns the queue with the longest prefix of a path, or None.

        Args:
            host: Host name without a port.
            path: Path of the request.
        """
        found = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if found is None or len(queue.prefix) > len(found.prefix):
                    found = queue
        return found


@dataclass(frozen=True)
class LeasedJobOutcome:
    """Outcome of a job, as reported to its caller.

    Attributes:
        kind: `completed`, `failed`, `not_run`, `unknown` or `cancelled`.
        reason: Reason for logs and metrics.
        retry_after_s: Delay after which a job that was not run may be resubmitted,
            seconds.
    """

    kind: str
    reason: str = ""
    retry_after_s: float = 0.0
