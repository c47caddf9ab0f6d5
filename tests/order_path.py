"""
tests.order_path
~~~~~~~~~~~~~~~~

The lifetimes of one upstream, and the faulty path from its executor to them.
"""

import random
import time
from dataclasses import dataclass, replace

import gevent

from papayaward.coordination.upstream_requests import (
    ConnectionBroken,
    NoReply,
    Unreachable,
    UpstreamReply,
)
from standins.leased_upstream import LeasedUpstream

__all__ = ["Lifetime", "Path", "RequestFault"]

_REFUSAL_DELAY_S = 0.001
_TRAVEL_S = (0.0005, 0.003)
# Travel time of the requests and replies that are slow.
_SLOW_TRAVEL_S = (0.005, 0.12)
_SLOW_SHARE = 0.03
_END_POLL_S = 0.02
_LATE_S = (0.2, 3.0)
# Part of the requests that are executed though their connection breaks before that.
_EXECUTED_SHARE = 0.6
_KEPT_CONNECTION_SHARE = 0.7


class Lifetime(LeasedUpstream):
    """One lifetime of an upstream, whose clock may be slow.

    Attributes:
        clock_rate: Rate of its clock relative to the executor's.
        work_s: Run time of the tasks by job, seconds; None if no progress is listed.
    """

    clock_rate = 1.0
    work_s = None

    @property
    def clock_ms(self):
        elapsed_s = time.monotonic() - self._started
        return int(elapsed_s * 1000 * self.clock_rate) + self.first_clock_ms

    def _poll(self, request):
        reply = super()._poll(request)
        if self.work_s is None or not reply.running:
            return reply
        running = {
            key: self._percent(record)
            for key, record in self.running.items()
            if key in reply.running
        }
        return replace(reply, running=running)

    def _percent(self, record):
        work_s = self.work_s[record.task.partition(".")[0]]
        elapsed_s = time.monotonic() - record.started_at
        return int(min(99, 100 * elapsed_s / work_s))


@dataclass(frozen=True)
class RequestFault:
    """A fault of single requests.

    Attributes:
        share: Part of the requests that it hits.
        names: Their names: `start`, `stop` or `poll`.
    """

    share: float = 0.0
    names: tuple = ("start", "stop", "poll")


class Path:
    """Client of whichever lifetime is at the address of an upstream.

    Args:
        seed: Seed of what happens to single requests.
        note: Function that records an event.

    Attributes:
        lifetime: The `Lifetime` at the address, None while there is none.
        refuses: Whether connections are refused, though the lifetime runs on.
        silent_to: Whether requests don't arrive.
        silent_from: Whether replies don't arrive.
        faults: `RequestFault` by kind: `error` for requests that are answered by an
            error, `loss` for those that are executed at once without a reply, and
            `late` for those that are executed late without a reply.
        kept_share: Part of the requests that are sent on a connection which was made
            before, so that they aren't refused.
    """

    def __init__(self, seed, note):
        self._rng = random.Random(seed)
        self._note = note
        self._resets = 0
        self.lifetime = None
        self.refuses = False
        self.silent_to = False
        self.silent_from = False
        self.faults = dict.fromkeys(("error", "loss", "late"), RequestFault())
        self.kept_share = _KEPT_CONNECTION_SHARE

    def refuse(self, with_reset):
        """Refuses new connections, and breaks those that are open or not."""
        self.refuses = True
        if with_reset:
            self.kept_share = 0.0
            self.reset()

    def accept(self):
        """Accepts connections again."""
        self.refuses = False
        self.kept_share = _KEPT_CONNECTION_SHARE

    def reset(self):
        """Breaks the connections of all requests that are under way."""
        self._resets += 1

    def client(self, process):
        """Returns the client of the upstream for a process beside it."""
        return _Client(self, process)

    def send(self, process, name, instance, handle, timeout_s, may_send, wait_s=0.0):
        """Sends one request; see `papayaward.coordination.upstream_requests`."""
        call = _Call(self, name, instance, handle, timeout_s, wait_s)
        try:
            return call.run(may_send)
        except gevent.GreenletExit:
            if not process.alive:
                call.on_sender_ended()
            raise

    def travel_s(self):
        """Returns the time until a request or a reply arrives, seconds."""
        is_slow = self._rng.random() < _SLOW_SHARE
        return self._rng.uniform(*(_SLOW_TRAVEL_S if is_slow else _TRAVEL_S))

    def has(self, share):
        """Returns whether a fault with the given probability occurs."""
        return share > 0.0 and self._rng.random() < share

    def hits(self, kind, name):
        """Returns whether a fault hits the next request with the given name."""
        fault = self.faults[kind]
        return name in fault.names and self.has(fault.share)

    def execute_late(self, name, instance, handle):
        """Has a request executed later, by the lifetime that is there then."""
        delay_s = self._rng.uniform(*_LATE_S)
        gevent.spawn_later(delay_s, self._execute_late, name, instance, handle)

    def _execute_late(self, name, instance, handle):
        lifetime = self.lifetime
        if lifetime is None or lifetime.crashed or lifetime.instance != instance:
            return
        outcome = handle(lifetime).outcome
        if name == "start":
            self._note(f"late start executed at {lifetime.name}: {outcome}")

    @property
    def resets(self):
        """Number of resets so far."""
        return self._resets


class _Client:
    def __init__(self, path, process):
        self._path = path
        self._process = process

    def start(self, instance, request, timeout_s=0.0, may_send=lambda: True):
        def handle(lifetime):
            return lifetime.start(instance, request)

        return self._path.send(
            self._process, "start", instance, handle, timeout_s, may_send
        )

    def stop(self, instance, task, run, fencing_token, timeout_s=0.0):
        def handle(lifetime):
            return lifetime.stop(instance, task, run, fencing_token)

        return self._path.send(
            self._process, "stop", instance, handle, timeout_s, _always
        )

    def poll(self, instance, request, timeout_s=0.0, may_send=lambda: True):
        def handle(lifetime):
            return lifetime.poll(instance, replace(request, wait_ms=0))

        wait_s = request.wait_ms / 1000.0
        return self._path.send(
            self._process, "poll", instance, handle, timeout_s, may_send, wait_s
        )


class _Call:
    """One request on its way."""

    def __init__(self, path, name, instance, handle, timeout_s, wait_s):
        self._path = path
        self._name = name
        self._instance = instance
        self._handle = handle
        self._until = time.monotonic() + timeout_s
        self._wait_until = time.monotonic() + wait_s
        self._resets = path.resets
        # Whether the request has been sent, and nothing has been decided of it.
        self._is_under_way = False

    def on_sender_ended(self):
        """Has the request executed or lost whose sender has ended."""
        if self._is_under_way and self._path.has(_EXECUTED_SHARE):
            self._execute_unanswered()

    def run(self, may_send):
        """Returns the reply, or raises as the client of an upstream does."""
        path = self._path
        if not path.has(path.kept_share):
            self._connect()
        if not may_send():
            raise NoReply("not sent")
        self._is_under_way = True
        self._travel(is_executed=False)
        self._is_under_way = False
        if path.hits("late", self._name):
            path.execute_late(self._name, self._instance, self._handle)
            self._time_out()
        if path.silent_to:
            if path.has(_EXECUTED_SHARE):
                path.execute_late(self._name, self._instance, self._handle)
            self._time_out()
        lifetime = path.lifetime
        if lifetime is None:
            self._time_out()
        reply = self._reply_of(lifetime)
        if path.hits("loss", self._name):
            self._time_out()
        self._travel(is_executed=True)
        if path.silent_from:
            self._time_out()
        return reply

    def _connect(self):
        path = self._path
        while path.silent_to or path.silent_from or self._is_nobody_there():
            if path.refuses:
                break
            self._sleep(0.01)
        if path.refuses or self._refuses_as_crashed():
            gevent.sleep(_REFUSAL_DELAY_S)
            raise Unreachable("connection refused")
        self._resets = path.resets

    def _is_nobody_there(self):
        lifetime = self._path.lifetime
        return lifetime is None or (lifetime.crashed and lifetime.silent)

    def _refuses_as_crashed(self):
        lifetime = self._path.lifetime
        return lifetime.crashed and not lifetime.silent

    def _reply_of(self, lifetime):
        if lifetime.crashed:
            if lifetime.silent:
                self._time_out()
            raise ConnectionBroken("connection closed")
        if lifetime.instance != self._instance:
            return UpstreamReply("other_instance")
        if self._path.hits("error", self._name):
            return UpstreamReply("unhealthy")
        reply = self._handle(lifetime)
        while self._waits_for_end(reply):
            self._sleep(_END_POLL_S)
            self._check_reset(is_executed=True)
            if lifetime.crashed:
                if lifetime.silent:
                    self._time_out()
                raise ConnectionBroken("connection closed")
            reply = self._handle(lifetime)
        return reply

    def _waits_for_end(self, reply):
        if reply.outcome != "ok" or reply.ends:
            return False
        return time.monotonic() < self._wait_until

    def _travel(self, is_executed):
        self._sleep(self._path.travel_s())
        self._check_reset(is_executed)

    def _check_reset(self, is_executed):
        path = self._path
        if path.resets == self._resets:
            return
        if not is_executed and path.has(_EXECUTED_SHARE):
            self._execute_unanswered()
        raise ConnectionBroken("connection reset")

    def _execute_unanswered(self):
        path, lifetime = self._path, self._path.lifetime
        if path.has(0.5):
            path.execute_late(self._name, self._instance, self._handle)
        elif lifetime is not None and not lifetime.crashed:
            if lifetime.instance == self._instance:
                self._handle(lifetime)

    def _sleep(self, seconds):
        remaining_s = self._until - time.monotonic()
        if seconds >= remaining_s:
            gevent.sleep(max(0.0, remaining_s))
            raise NoReply(f"no reply to {self._name}")
        gevent.sleep(seconds)

    def _time_out(self):
        """Waits in vain for the reply."""
        while time.monotonic() < self._until:
            self._sleep(0.02)
            if self._path.resets != self._resets:
                raise ConnectionBroken("connection reset")
        raise NoReply(f"no reply to {self._name}")


def _always():
    return True
