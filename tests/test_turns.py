"""
tests.test_turns
~~~~~~~~~~~~~~~~

Turns of connections that always have something to read, in simulated time.
"""

import gevent
from testtools import TestCase

from papayaward.transport.turns import Turns, end_of_turns

__all__ = []

_TURN_S = 0.001


class TurnsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.turns = Turns(lambda: self.now)
        self.order = []

    def run_busy(self, name, number):
        for _ in range(number):
            self.turns.take()
            self.order.append(name)
            self.now += _TURN_S

    def run_steps(self, number, seconds):
        for _ in range(number):
            gevent.sleep(0)
            self.order.append("step")
            self.now += seconds

    def test_busy_connections_take_turns(self):
        """Guards against a connection that keeps the processor from the others."""
        busy = [gevent.spawn(self.run_busy, name, 5) for name in "abc"]
        gevent.joinall(busy, raise_error=True)
        for start in (1, 4, 7, 10):
            self.assertEqual({"a", "b", "c"}, set(self.order[start : start + 3]))

    def test_other_work_waits_for_few_turns_at_each_step(self):
        """Guards against jobs and links that wait for a turn of every connection."""
        busy = [gevent.spawn(self.run_busy, "busy", 50) for _ in range(40)]
        gevent.spawn(self.run_steps, 10, 0.0).join()
        steps = [i for i, name in enumerate(self.order) if name == "step"]
        waits = [later - earlier for earlier, later in zip(steps, steps[1:])]
        self.assertLessEqual(max(waits), 3)
        gevent.joinall(busy)
        self.assertEqual(2000, self.order.count("busy"))

    def test_callers_get_turns_beside_much_other_work(self):
        """Guards against callers who wait for one pass over all other work each."""
        other = gevent.spawn(self.run_steps, 1000, 0.004)
        callers = [gevent.spawn(self.run_busy, "caller", 1) for _ in range(40)]
        gevent.joinall(callers)
        self.assertLessEqual(self.order.count("step"), 12)
        other.kill()

    def test_turns_end_after_as_long_as_the_rest_has_taken(self):
        """Guards against a share of either side that goes to zero."""
        self.assertAlmostEqual(10.002, end_of_turns(10.0, 9.9999))
        self.assertAlmostEqual(10.05, end_of_turns(10.0, 9.95))

    def test_single_connection_does_not_wait(self):
        """Guards against a delay of each request of a calm server."""
        self.turns.take()
        self.order.append("turn")
        gevent.sleep(0)
        gevent.sleep(0)
        self.turns.take()
        self.assertEqual(["turn"], self.order)

    def test_newcomers_are_counted_until_their_first_turn(self):
        """Guards against connections that are accepted faster than they are read."""
        # The first one has its turn at once.
        newcomers = [gevent.spawn(self.turns.take_first) for _ in range(4)]
        gevent.sleep(0)
        self.assertEqual(3, self.turns.newcomers)
        newcomers[1].kill(block=False)
        gevent.joinall(newcomers)
        self.assertEqual(0, self.turns.newcomers)

    def test_killed_waiter_does_not_stop_the_others(self):
        """Guards against a server that stops reading after a connection was killed."""
        busy = [gevent.spawn(self.run_busy, name, 2) for name in "abc"]
        gevent.sleep(0)
        busy[1].kill(block=False)
        gevent.joinall(busy)
        self.assertEqual(2, self.order.count("c"))
