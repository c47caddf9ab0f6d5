"""
papayaward.transport.turns
~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns of the connections of a server.

A greenlet that finds data whenever it reads never waits, so that nothing else of the
process runs. One connection at a time therefore has a turn, in which it reads a block
or answers a request. Between two turns everything else that is ready runs once.
"""

from collections import deque

import gevent
from gevent.event import Event

__all__ = ["Turns"]


class Turns:
    """Gives turns in the order in which they were asked for."""

    def __init__(self):
        self._waiting = deque()
        self._giving = False
        self._newcomers = 0

    @property
    def newcomers(self):
        """Number of connections that wait for their first turn."""
        return self._newcomers

    def take(self):
        """Waits for a turn; returns at once if no other was given just before."""
        if not self._giving:
            self._giving = True
            gevent.spawn(self._give)
            return
        turn = Event()
        self._waiting.append(turn)
        turn.wait()

    def take_first(self):
        """Waits for the first turn of a connection."""
        self._newcomers += 1
        try:
            self.take()
        finally:
            self._newcomers -= 1

    def _give(self):
        while self._waiting:
            self._waiting.popleft().set()
            gevent.sleep(0)
        self._giving = False
