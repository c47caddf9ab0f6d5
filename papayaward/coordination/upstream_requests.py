"""
papayaward.coordination.upstream_requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests from an executor to an upstream that runs tasks under a lease, and replies.

The client of an upstream has three methods:
`start(instance, request, timeout_s, may_send)`,
`stop(instance, task, run, fencing_token, timeout_s)` and
`poll(instance, request, timeout_s, may_send)`. They return an `UpstreamReply`, or raise
`NoReply` or `Unreachable`. `may_send` is called when a connection is made, immediately
before the request is sent; the request is not sent if it returns False, and `NoReply`
is raised.
"""

from dataclasses import dataclass, field
from enum import Enum

from ..protocol.jobs import Resources

__all__ = [
    "LATE_RENEWALS_S",
    "MAX_LATE_RUN_S",
    "MAX_START_DELAY_S",
    "ConnectionBroken",
    "Delivery",
    "InstanceLoss",
    "LossEvidence",
    "NoReply",
    "PollRequest",
    "Refused",
    "RunEnd",
    "StartRequest",
    "Unreachable",
    "UpstreamReply",
    "UpstreamState",
    "instance_of_key",
    "is_later_lifetime",
]

# Time after which a start without a reply has no effect any more: an upstream may
# execute it up to 12 s later, and the lease of its run lasts for another second.
MAX_START_DELAY_S = 15.0
# Time after that for which renewals may keep such a run active. The lifetime that
# executes the start has begun by then, so that the requests with a lease that the one
# before was sent end with that. They are executed up to 12 s later as well.
LATE_RENEWALS_S = 13.0
MAX_LATE_RUN_S = MAX_START_DELAY_S + LATE_RENEWALS_S


class NoReply(Exception):
    """The upstream did not reply; it may still execute the request at any time."""


class ConnectionBroken(NoReply):
    """The connection broke before the reply was complete."""


class Refused(NoReply):
    """The upstream replied that it did nothing, which tells nothing of its runs."""


class Unreachable(Exception):
    """No connection was made, so the upstream has not received this request.

    It tells nothing of the upstream's runs: the path may refuse connections while the
    upstream is running.
    """


class Delivery(Enum):
    """What is known of a request to start a run.

    A crash is related to a run only if the upstream may have received its start.
    """

    # No connection was made, or the upstream rejected the request.
    NOT_DELIVERED = "not delivered"
    # The request was sent and not answered: the run may have begun.
    UNANSWERED = "unanswered"
    # The upstream confirmed that the run has begun.
    STARTED = "started"


class LossEvidence(Enum):
    """Why a session with an upstream instance was closed."""

    # No request was answered, and the lease has ended.
    SILENT = "no reply until the lease ended"
    # A reply came from another lifetime with the same identifier.
    OTHER_LIFETIME = "another lifetime replied"
    # A reply came from an instance with another identifier. Requests that name this
    # one are executed by nobody.
    OTHER_INSTANCE = "another instance replied"
    # A report names another lifetime or instance, which has not replied yet.
    REPORTED = "another lifetime or instance has reported"
    # The upstream has no runs any more and is not used.
    UNUSED = "the upstream is not used any more"


@dataclass(frozen=True)
class UpstreamState:
    """State that an upstream reports.

    Attributes:
        instance: Identifier of the upstream instance.
        service: Service whose tasks it runs.
        domain: Failure domain of its VM.
        capacity: `Resources` of the upstream.
        labels: Its kind and its rack.
        draining: Whether it is about to shut down.
        sequence: Increases with each report of an instance.
        born_ms: Wall time of its start, milliseconds; distinguishes two instances
            with the same identifier.
    """

    instance: str
    service: str
    domain: str
    capacity: Resources
    labels: tuple
    draining: bool
    sequence: int
    born_ms: int

    @property
    def key(self):
        """Text that differs between any two instances."""
        return f"{self.instance}@{self.born_ms}"


def instance_of_key(key):
    """Returns the identifier of an instance.

    Args:
        key: `UpstreamState.key` of a lifetime of the instance; empty if there is none.
    """
    return key.rpartition("@")[0] or key


def is_later_lifetime(key, other):
    """Returns whether a lifetime of an instance has begun after another one of it.

    Args:
        key: `UpstreamState.key` of the lifetime, as another process has sent it.
        other: That of the other one.
    """
    instance, _, born_ms = key.rpartition("@")
    other_instance, _, other_born_ms = other.rpartition("@")
    try:
        return instance == other_instance and int(born_ms) > int(other_born_ms)
    except ValueError:
        return False


@dataclass(frozen=True)
class InstanceLoss:
    """The end of an upstream instance, as far as its requests showed it.

    Attributes:
        evidence: `LossEvidence`.
        reason: How it was noticed, for the log.
        at: Latest time of the end, seconds.
        uncertainty_s: Time before `at` in which it may have ended as well.
        witnessed: Whether the instance was in touch until it seemed to end:
            connections to it broke and were refused from then on, and no request timed
            out.
    """

    evidence: LossEvidence
    reason: str
    at: float
    uncertainty_s: float
    witnessed: bool

    @property
    def is_replaced(self):
        """Whether another lifetime or instance has replied in its place."""
        replaced = (LossEvidence.OTHER_LIFETIME, LossEvidence.OTHER_INSTANCE)
        return self.evidence in replaced


@dataclass(frozen=True)
class StartRequest:
    """Request to start a run of a task.

    Attributes:
        task: Name of the task.
        run: Number of the run, from 1.
        spec: Specification of the job, opaque text.
        lease_ms: End of the lease on the upstream's clock, milliseconds.
        fencing_token: A request with a token lower than the highest that the upstream
            has received is rejected.
    """

    task: str
    run: int
    spec: str
    lease_ms: int
    fencing_token: int


@dataclass(frozen=True)
class PollRequest:
    """Request to renew the lease and to list the runs.

    Attributes:
        fencing_token: As for `StartRequest`.
        ends_acked: Number of the last end that is acknowledged; the upstream may
            discard the ends up to it.
        lease_ms: New end of the lease; None leaves it unchanged.
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
        number: Sequence number of the end on the upstream instance, from 1.
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
        running: For a poll: progress in percent by (task, run).
        ends: For a poll: `RunEnd` of each end that was not discarded.
        born_ms: Start of the instance that replied, milliseconds; 0 if not given.
    """

    outcome: str
    clock_ms: int = 0
    running: dict = field(default_factory=dict)
    ends: tuple = ()
    born_ms: int = 0
