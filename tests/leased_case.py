"""
tests.leased_case
~~~~~~~~~~~~~~~~~

Fake links and sample messages, for tests of leased tasks.
"""

from dataclasses import dataclass
from types import SimpleNamespace

from papayaward import clock
from papayaward.coordination.upstream_requests import (
    NoReply,
    Unreachable,
    UpstreamState,
)
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import LeasedJobRequest, Phase, Queue, Resources

__all__ = [
    "FakeLink",
    "capacity_report",
    "job_queue",
    "job_request",
    "record_failed_polls",
    "start_group",
    "upstream_state",
]

CORE = 1000


class FakeLink:
    """Link without a socket, which records the messages sent on it."""

    def __init__(self, member, role="entry", incarnation=1, domain="a", link_number=1):
        self.peer = SimpleNamespace(
            member=member,
            role=role,
            incarnation=incarnation,
            domain=domain,
            service_name="dispatch",
            config_version=0,
            link_number=link_number,
        )
        self.sent = []
        self.closed = False
        self.relaxed = False
        self.echoed_us = int(clock.now() * 1e6)

    def try_send(self, message):
        self.sent.append(message)
        return True

    def close(self, reason):
        self.closed = True

    def mark_alive(self, seconds_ago=0.0):
        """Sets the timestamp that the peer echoed last, in seconds before now."""
        self.echoed_us = int((clock.now() - seconds_ago) * 1e6)

    def of_type(self, cls):
        """Returns the messages of a type that were sent."""
        return [message for message in self.sent if isinstance(message, cls)]

    def ends(self):
        """Returns (task, outcome) of every `TaskEnd` that was sent."""
        return [
            (end.task, end.outcome)
            for batch in self.of_type(ttypes.EndBatch)
            for end in batch.ends
        ]

    def starts(self):
        """Returns every `TaskStart` that was sent."""
        return [
            start
            for batch in self.of_type(ttypes.StartBatch)
            for group in batch.groups
            for start in group.starts
        ]


@dataclass(frozen=True)
class FailedPoll:
    """A poll without a reply, and when it was sent and failed, seconds."""

    sent_at: float
    failed_at: float


def record_failed_polls(upstream):
    """Records the polls of a stand-in from now on.

    Args:
        upstream: `LeasedUpstream`.

    Returns:
        SimpleNamespace: Number of polls that wait for an end (`waiting`) and each
            `FailedPoll` (`failed`).
    """
    polls, poll = SimpleNamespace(waiting=0, failed=[]), upstream.poll

    def recorded_poll(instance, request, timeout_s):
        sent_at, waits = clock.now(), bool(request.wait_ms)
        polls.waiting += waits
        try:
            return poll(instance, request, timeout_s)
        except (NoReply, Unreachable):
            polls.failed.append(FailedPoll(sent_at, clock.now()))
            raise
        finally:
            polls.waiting -= waits

    upstream.poll = recorded_poll
    return polls


def upstream_state(instance="i-1", cores=4, **changes):
    """Returns a state report of an upstream with the given number of cores."""
    values = {
        "instance": instance,
        "service": "dispatch",
        "domain": "a",
        "capacity": Resources(cores * CORE, 4096, 0),
        "labels": (),
        "draining": False,
        "sequence": 1,
        "born_ms": 1,
    }
    return UpstreamState(**{**values, **changes})


def start_group(task="j.0.0.0", run=1, work_ms=50, cores=1, expected_ms=50):
    """Returns a `StartGroup` of one task that needs the given number of cores."""
    need = ttypes.Resources(cores * CORE, 64, 0)
    starts = [ttypes.TaskStart(task, run)]
    return ttypes.StartGroup(
        str(work_ms), need, 5000, "r-1", expected_ms, starts, expected_ms
    )


def job_queue(**changes):
    """Returns a queue with a latency objective of 1.6 times the run time plus 60 ms."""
    values = {
        "name": "q",
        "host": "h",
        "prefix": "/q/",
        "service": "dispatch",
        "attempts": 2,
        "stretch": 1.6,
        "slack_s": 0.06,
    }
    return Queue(**{**values, **changes})


def job_request(job_id="0123456789abcdef", tasks=1, timeout_s=3.0, expected_s=0.1):
    """Returns a job with one phase of tasks that need one core each."""
    phase = Phase(tasks, Resources(CORE, 64, 0), expected_s)
    return LeasedJobRequest(job_id, "r-" + job_id, "100", (phase,), timeout_s)


def capacity_report(
    last_batch=0, cores=4, free=None, accepting=True, peer_runs=0, peer_ratio=1.0
):
    """Returns an `EndBatch` that only reports free capacity."""
    free = cores if free is None else free
    return ttypes.EndBatch(
        [],
        ttypes.RoomReport(
            last_batch,
            ttypes.Resources(free * CORE, 4096, 0),
            ttypes.Resources(cores * CORE, 4096, 0),
            accepting,
            [],
            "i-1",
            peer_runs,
            peer_ratio,
        ),
    )
