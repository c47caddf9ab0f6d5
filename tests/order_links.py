"""
tests.order_links
~~~~~~~~~~~~~~~~~

Links between entries and executors in one process, which may break in one direction.
"""

from types import SimpleNamespace

import gevent

from papayaward import clock

__all__ = ["Connection"]

_HEARTBEAT_S = 0.1


class Connection:
    """A link between a process of an entry and one of an executor.

    Heartbeats carry timestamps of the executor and their echoes.

    Args:
        entry: Process of the entry.
        executor: Process of the executor.
        number: Number of the link.
    """

    def __init__(self, entry, executor, number):
        self.entry = entry
        self.executor = executor
        self.entry_end = _End(entry, executor, "runner", number)
        self.executor_end = _End(executor, entry, "entry", number)
        self._to_entry = _Direction(entry, self.entry_end)
        self._to_executor = _Direction(executor, self.executor_end)
        self.entry_end.send = self._to_executor.send
        self.executor_end.send = self._to_entry.send
        # Timestamp of the executor that reached the entry last, seconds.
        self._received_at = clock.now()

    @property
    def is_open(self):
        """Whether no process has noticed a break."""
        return not (self.entry_end.closed or self.executor_end.closed)

    def open(self):
        """Tells both processes of the link."""
        self.entry.spawn(self.entry.on_link_up, self.entry_end)
        self.executor.spawn(self.executor.on_link_up, self.executor_end)
        gevent.spawn(self._send_heartbeats)

    def cut(self, to_entry=True, to_executor=True):
        """Loses what is sent from now on in the given directions."""
        self._to_entry.cut = self._to_entry.cut or to_entry
        self._to_executor.cut = self._to_executor.cut or to_executor

    def delay(self, to_entry, to_executor, seconds):
        """Delivers what is sent in the given directions after some time."""
        for direction, chosen in (
            (self._to_entry, to_entry),
            (self._to_executor, to_executor),
        ):
            if chosen:
                direction.hold(seconds)

    def close_at_entry(self):
        """Tells the entry that the link has broken."""
        _close(self.entry, self.entry_end)

    def close_at_executor(self):
        """Tells the executor that the link has broken."""
        _close(self.executor, self.executor_end)

    def _send_heartbeats(self):
        while self.entry.alive and self.executor.alive and self.is_open:
            sent_at = clock.now()
            self._to_entry.deliver(lambda sent_at=sent_at: self._on_time(sent_at))
            gevent.sleep(_HEARTBEAT_S)

    def _on_time(self, sent_at):
        if not self.entry_end.closed:
            queued = self.entry.scheduler.waiting
            self._to_executor.deliver(lambda: self._on_echo(sent_at, queued))

    def _on_echo(self, sent_at, queued):
        end = self.executor_end
        if not end.closed:
            end.echoed_us = max(end.echoed_us, int(sent_at * 1e6))
            self.executor.executor.on_heartbeat(end, queued, clock.now())


class _End:
    """The link as one of its processes sees it."""

    def __init__(self, process, peer, role, number):
        self.peer = SimpleNamespace(
            member=peer.name,
            role=role,
            incarnation=peer.incarnation,
            domain="a",
            service_name="dispatch",
            config_version=0,
            link_number=number,
        )
        self.relaxed = False
        self.closed = False
        self.send = None
        self.echoed_us = int(clock.now() * 1e6)
        self._process = process

    def try_send(self, message):
        if not self._process.alive:
            raise gevent.GreenletExit
        if self.closed:
            return False
        self.send(message)
        return True


class _Direction:
    """What is sent to one process."""

    def __init__(self, process, end):
        self.cut = False
        self._process = process
        self._end = end
        self._held = None

    def send(self, message):
        self.deliver(lambda: self._process.on_message(self._end, message))

    def deliver(self, handle):
        if self.cut:
            return
        if self._held is not None:
            self._held.append(handle)
        else:
            self._process.spawn(handle)

    def hold(self, seconds):
        if self._held is None:
            self._held = []
            gevent.spawn_later(seconds, self._release)

    def _release(self):
        held, self._held = self._held, None
        for handle in held:
            self.deliver(handle)


def _close(process, end):
    if process.alive and not end.closed:
        end.closed = True
        process.spawn(process.on_link_down, end)
