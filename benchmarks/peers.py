"""
benchmarks.peers
~~~~~~~~~~~~~~~~

Simulated peers that load one real process with thrift messages over real links.

All of them run in the measuring process. They answer like the real roles but do no
work: executors complete grants and coordinators answer jobs immediately.
"""

from itertools import count

import gevent
from gevent import socket
from gevent.server import StreamServer

from papayaward.protocol.gen.ttypes import (
    Accepted,
    Answer,
    ConfigPush,
    Grant,
    Heartbeat,
    Hello,
    IdBlock,
    IdBlockRequest,
    Member,
    Members,
    ResultBatch,
    RunBatch,
    SlotReport,
    Submit,
    TaskResult,
)
from papayaward.transport.link import PROTOCOL_VERSION, LinkStats
from papayaward.transport.peers import Dialler, serve_links
from standins.fleet import free_port

__all__ = [
    "RawUpstream",
    "SimulatedCoordinator",
    "SimulatedEntry",
    "SimulatedExecutor",
    "SimulatedRunner",
]

_RESULT = b'{"echo": 1}'
_ID_BLOCK_SIZE = 256
_DEADLINE_MS = 60_000


class _Peer:
    """Handshake and heartbeats common to the simulated peers."""

    role = "runner"
    heartbeat_interval_s = 0.3
    # The measuring process is busier than the measured one, so it tolerates more
    # missed heartbeats.
    heartbeat_misses = 20

    def __init__(self, member, address="127.0.0.1:1", service="dispatch"):
        self.member = member
        self.address = address
        self.service = service
        self.incarnation = 1
        self.stats = LinkStats()
        self.config_version = 0
        self.ready = False
        self.links = {}
        self._diallers = []

    def dial(self, address):
        """Keeps a link to `host:port` open."""
        host, _, port = address.rpartition(":")
        self._diallers.append(Dialler((host, int(port)), self))

    def stop(self):
        """Closes the links."""
        for dialler in self._diallers:
            dialler.stop()
        for link in list(self.links.values()):
            link.close("stopped")

    def hello(self):
        """Returns the handshake message."""
        return Hello(
            PROTOCOL_VERSION,
            self.member,
            self.incarnation,
            self.role,
            "default",
            "a",
            self.service,
            self.address,
            self.config_version,
            False,
        )

    def heartbeat(self, link, now):
        """Returns the next heartbeat."""
        return Heartbeat(
            int(now * 1e6),
            link.last_stamp_us,
            self.config_version,
            0,
            False,
            self.ready,
            0,
        )

    def on_heartbeat(self, link, heartbeat, now):
        """Ignores the peer's state."""

    def on_link_up(self, link, now):
        """Adds the link."""
        self.links[link.peer.member] = link

    def on_link_down(self, link, now):
        """Removes the link."""
        if self.links.get(link.peer.member) is link:
            del self.links[link.peer.member]

    def on_message(self, link, message, now):
        """Acknowledges a pushed configuration at once, as a runner does."""
        if isinstance(message, ConfigPush):
            self.config_version = max(self.config_version, message.version)
            link.try_send(self.heartbeat(link, now))


class SimulatedRunner(_Peer):
    """A runner linked to a real entry; as coordinator it completes jobs at once."""

    def __init__(self, member, ready=False):
        super().__init__(member)
        self.ready = ready
        self.jobs = 0
        self.tasks = 0
        self._next = 1

    def on_message(self, link, message, now):
        """Completes submitted jobs and issues blocks of job identifiers."""
        if isinstance(message, Submit):
            self.jobs += 1
            self.tasks += len(message.tasks)
            number = message.request_id
            link.try_send(Accepted(number))
            link.try_send(
                Answer(
                    number,
                    message.job_id,
                    "complete",
                    "",
                    "",
                    [_RESULT] * len(message.tasks),
                    0,
                    len(message.tasks),
                    0,
                    0,
                )
            )
        elif isinstance(message, IdBlockRequest):
            first, self._next = self._next, self._next + message.count
            link.try_send(IdBlock(message.request_id, first, message.count, 600_000))
        else:
            super().on_message(link, message, now)


class SimulatedExecutor(_Peer):
    """An executor that a real coordinator dials; completes grants at once."""

    def __init__(self, member, slots=8):
        self.port = free_port()
        super().__init__(member, f"127.0.0.1:{self.port}")
        self.slots = slots
        self.completed = 0
        self._server = serve_links(("127.0.0.1", self.port), self)

    def stop(self):
        """Stops listening and closes the links."""
        self._server.stop()
        super().stop()

    def on_link_up(self, link, now):
        """Reports the slots."""
        super().on_link_up(link, now)
        link.try_send(SlotReport(self.slots, 0, True))

    def on_message(self, link, message, now):
        """Completes every grant."""
        if not isinstance(message, RunBatch):
            super().on_message(link, message, now)
            return
        self.completed += len(message.grants)
        results = [
            TaskResult(g.job_id, g.index, g.attempt, 0, _RESULT, 1000, "")
            for g in message.grants
        ]
        link.try_send(ResultBatch(results, SlotReport(self.slots, 0, True)))


class SimulatedEntry(_Peer):
    """An entry that a real runner dials; submits jobs and counts the answers."""

    role = "entry"

    def __init__(self, member, config):
        self.port = free_port()
        super().__init__(member, f"127.0.0.1:{self.port}")
        self.config_version = 1
        self.confirmed = 0
        self.outcomes = {}
        self._config = config
        self._numbers = count(1)
        self._ids = []
        self._members = []
        self._server = serve_links(("127.0.0.1", self.port), self)

    def stop(self):
        """Stops listening and closes the links."""
        self._server.stop()
        super().stop()

    def on_link_up(self, link, now):
        """Sends the configuration and the members of the cell."""
        super().on_link_up(link, now)
        link.try_send(ConfigPush(self.config_version, self._config))
        if self._members:
            link.try_send(Members(self._members))

    def on_message(self, link, message, now):
        """Stores blocks of job identifiers and counts the answers by outcome."""
        if isinstance(message, IdBlock):
            hello = link.peer
            prefix = f"j-{hello.member}-{hello.incarnation:x}"
            numbers = range(message.first, message.first + message.count)
            self._ids += [f"{prefix}-{number}" for number in numbers]
        elif isinstance(message, Answer):
            outcome = message.outcome
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def on_heartbeat(self, link, heartbeat, now):
        """Records the configuration version in force at the runner."""
        self.confirmed = heartbeat.config_version

    def set_members(self, executors):
        """Announces the executors of the cell to the runner."""
        self._members = [
            Member(e.member, e.incarnation, e.address, "a", e.service)
            for e in executors
        ]
        for link in self.links.values():
            link.try_send(Members(self._members))

    def push_config(self, config):
        """Pushes a configuration under the next version."""
        self.config_version += 1
        self._config = config
        for link in self.links.values():
            link.try_send(ConfigPush(self.config_version, config))

    def submit(self, link, tasks, tenant="t0", job_class="c1"):
        """Submits a job of small tasks; requests the next identifiers in advance."""
        while not self._ids:
            if link.closed:
                return
            gevent.sleep(0.002)
        if len(self._ids) == _ID_BLOCK_SIZE:
            self.request_ids(link)
        job_id = self._ids.pop(0)
        body = [b'{"work_ms": 0}'] * tasks
        number = next(self._numbers)
        link.try_send(
            Submit(
                number,
                job_id,
                self.service,
                tenant,
                job_class,
                _DEADLINE_MS,
                False,
                body,
            )
        )

    def request_ids(self, link):
        """Requests a block of job identifiers."""
        link.try_send(IdBlockRequest(next(self._numbers), _ID_BLOCK_SIZE))


class SimulatedCoordinator(_Peer):
    """A coordinator that sends grants to a real executor."""

    def __init__(self, member):
        super().__init__(member)
        self.statuses = {}
        self.reports = 0
        self._jobs = count(1)

    def on_message(self, link, message, now):
        """Counts results by status, and slot reports."""
        if isinstance(message, ResultBatch):
            for result in message.results:
                self.statuses[result.status] = self.statuses.get(result.status, 0) + 1
        elif isinstance(message, SlotReport):
            self.reports += 1

    def grant(self, link, tasks, tenant="t0"):
        """Sends one batch of grants of a new job."""
        job_id = f"j-{self.member}-1-{next(self._jobs)}"
        link.try_send(
            RunBatch(
                link.peer.incarnation,
                [
                    Grant(job_id, index, 1, b'{"work_ms": 0}', 60_000, tenant, "c1")
                    for index in range(tasks)
                ],
            )
        )


class RawUpstream:
    """Upstream that answers each request at once, on plain sockets.

    A WSGI server would use more processor time than the measured executor.
    """

    def __init__(self):
        self.requests = 0
        self.port = free_port()
        self._server = StreamServer(("127.0.0.1", self.port), self._serve)
        self._server.start()

    def stop(self):
        """Stops listening."""
        self._server.stop()

    def _serve(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        reply = head + b"Content-Length: %d\r\n\r\n" % len(_RESULT) + _RESULT
        data = b""
        while True:
            try:
                received = sock.recv(65536)
            except ConnectionResetError:
                return
            if not received:
                return
            data += received
            # Bodies are the fixed JSON object of the simulated coordinators.
            while b"\r\n\r\n" in data and data.endswith(b"}"):
                data = b""
                self.requests += 1
                sock.sendall(reply)
