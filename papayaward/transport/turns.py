"""
papayaward.transport.turns
~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns of the connections of a server.

A greenlet that finds data whenever it reads never waits, so that nothing else of the
process runs. A connection therefore has turns, in which it reads a block or answers a
request. Turns are given for as long as everything else that was ready has just taken,
then it runs again: neither many clients nor much other work stops the other side.
"""

from collections import deque

from gevent.hub import Waiter, get_hub

from .. import clock

__all__ = ["Turns", "end_of_turns"]

# Time for turns if nothing else is ready.
_MIN_TURNS_S = 0.002


def end_of_turns(now, paused_at):
    """Returns the time after which no further turn is given for now, seconds.

    Args:
        now: Time, seconds.
        paused_at: Time since which everything else has run, seconds.
    """
    return now + max(_MIN_TURNS_S, now - paused_at)


class Turns:
    """Gives turns in the order in which they were asked for.

    Args:
        now: Function that returns the time, seconds.
    """

    def __init__(self, now=clock.now):
        self._now = now
        self._waiting = deque()
        self._is_scheduled = False
        self._paused_at = 0.0
        self._newcomers = 0

    @property
    def newcomers(self):
        """Number of connections that wait for their first turn."""
        return self._newcomers

    def take(self):
        """Waits for a turn; returns at once if no other was given just before."""
        if not self._is_scheduled:
            self._schedule()
            return
        turn = Waiter()
        self._waiting.append(turn)
        turn.get()

    def take_first(self):
        """Waits for the first turn of a connection."""
        self._newcomers += 1
        try:
            self.take()
        finally:
            self._newcomers -= 1

    def _schedule(self):
        self._is_scheduled = True
        self._paused_at = self._now()
        # Runs after everything that is ready now.
        get_hub().loop.run_callback(self._give)

    def _give(self):
        """Runs in the hub, to which a greenlet returns at the end of its turn."""
        until = end_of_turns(self._now(), self._paused_at)
        while self._waiting and self._now() < until:
            self._waiting.popleft().switch(None)
        if self._waiting:
            self._schedule()
        else:
            self._is_scheduled = False
