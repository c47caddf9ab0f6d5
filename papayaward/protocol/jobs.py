"""
papayaward.protocol.jobs
~~~~~~~~~~~~~~~~~~~~~~~~

Jobs whose callers choose the identifier and state the resources of each task.
"""

from dataclasses import dataclass

from .gen import ttypes

__all__ = [
    "JobOutcome",
    "JobRequest",
    "Phase",
    "Queue",
    "Resources",
    "Routing",
    "resources_from_wire",
    "resources_to_wire",
]


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of a VM's resources.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Mebibytes.
        gpus: Accelerators.
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

    def covers(self, need):
        """Returns whether there is enough of each resource for a need."""
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
    """Tasks of a job that are alike.

    Attributes:
        count: Number of tasks.
        need: Resources of each task.
        expected_s: Rough run time of each task that the caller stated, seconds; 0 if
            not stated.
        after: Numbers of the earlier phases that must be done first.
        label: Label that the upstream must have; empty for any.
        rack: Rack near the data; empty for any.
        max_per_upstream: Most tasks on one upstream; 0 for any number.
    """

    count: int
    need: Resources
    expected_s: float = 0.0
    after: tuple = ()
    label: str = ""
    rack: str = ""
    max_per_upstream: int = 0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as a caller submits it.

    Attributes:
        job_id: Identifier that the caller chose.
        request_id: Identifier of the caller's request, for logs.
        spec: Text that is handed to the upstream with each task.
        phases: `Phase` of each group of tasks.
        timeout_s: Time for which the caller waits, seconds.
    """

    job_id: str
    request_id: str
    spec: str
    phases: tuple
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the operators' configuration.

    Attributes:
        name: Name in logs and metrics.
        host: Host name of the requests.
        prefix: Path with which the requests begin.
        service: Service whose upstreams run the tasks.
        priority: 0 comes first.
        attempts: Failed runs of a task after which its job has failed.
        stretch: Latency objective over the work of the longest chain of tasks.
        slack_s: Time that the latency objective allows beside, seconds.
        timeout_s: Time for an answer where the caller states none, seconds.
        requires_hint: Whether an upstream may run a phase only if another service says
            so.
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


@dataclass(frozen=True)
class Routing:
    """The queues of one configuration version."""

    version: int = 0
    queues: tuple = ()

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
class JobOutcome:
    """How a job ended for its caller.

    Attributes:
        kind: `completed`, `failed`, `not_run`, `unknown` or `cancelled`.
        reason: Why, for logs and metrics.
        retry_after_s: When a job that was not run may be sent again, seconds.
    """

    kind: str
    reason: str = ""
    retry_after_s: float = 0.0
