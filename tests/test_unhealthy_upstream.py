"""
tests.test_unhealthy_upstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Replies of an unhealthy upstream, which has done nothing and tells nothing.
"""

import random
from collections import Counter

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.upstream_session import UpstreamSession
from papayaward.protocol.gen.ttypes import StartBatch
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, start_group, upstream_state


class RefusedRequests:
    """Refuses the next requests of some types.

    Args:
        counts: Number of requests to refuse by type.
    """

    def __init__(self, **counts):
        self._left = Counter(counts)

    def __call__(self, name):
        self._left[name] -= 1
        return self._left[name] >= 0


class UnhealthyUpstreamTest(TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = LeasedUpstream()
        self.ends = []
        self.losses = []

    def open(self):
        session = UpstreamSession(
            self.upstream,
            upstream_state(),
            lambda now: now + 0.95,
            lambda: True,
            lambda ends, born_ms, now: self.ends.extend(ends),
            lambda running, born_ms, now: None,
            lambda: None,
            self.losses.append,
        )
        self.addCleanup(session.close)
        return session

    def open_ready(self):
        session = self.open()
        self.wait_for(lambda: session.ready)
        return session

    def wait_for(self, condition, seconds=2.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "the condition was not met in time")
            gevent.sleep(0.005)

    def test_start_without_a_reply_is_not_settled_by_refusals(self):
        """Guards against a second run elsewhere of a task that runs here."""
        session = self.open_ready()
        self.upstream.fail_request("start", delay_s=0.0)
        send, refused = self.upstream.start, []

        def start(instance, request, timeout_s, may_send):
            gevent.sleep(0.01)
            if self.upstream.records and not refused:
                refused.append(request)
                self.upstream.is_unhealthy = RefusedRequests(start=1, stop=3, poll=3)
            return send(instance, request, timeout_s, may_send)

        self.upstream.start = start
        result, _ = session.start("j.0.0.0", 1, "5000", lambda: True)
        self.assertEqual("started", result)

    def test_stop_that_was_refused_is_sent_again(self):
        """Guards against a run that goes on after it was to be stopped."""
        session = self.open_ready()
        session.start("j.0.0.0", 1, "5000", lambda: True)
        self.upstream.is_unhealthy = RefusedRequests(stop=2)
        session.stop("j.0.0.0", 1)
        self.wait_for(lambda: self.upstream.records[0].outcome, seconds=0.5)

    def test_upstream_that_refuses_renewals_is_lost_with_its_lease(self):
        """Guards against jobs that wait for runs of which nothing is known."""
        session = self.open_ready()
        session.start("j.0.0.0", 1, "60000", lambda: True)
        self.upstream.is_unhealthy = lambda name: name == "poll"
        self.wait_for(lambda: not session.ready, seconds=0.8)
        self.wait_for(lambda: self.losses)
        self.assertEqual("lapsed", self.upstream.records[0].outcome)

    def test_refused_first_poll_tells_no_clock(self):
        """Guards against a session that fails since it knows no clock."""
        self.upstream.is_unhealthy = RefusedRequests(poll=1)
        session = self.open_ready()
        self.assertGreater(session.next_token, 1000)
        result, _ = session.start("j.0.0.0", 1, "50", lambda: True)
        self.assertEqual("started", result)

    def test_no_task_is_reported_as_not_run_while_it_runs(self):
        """Guards against second runs beside an upstream that refuses and loses much.

        Half of the requests are refused, and a third of the others get no reply.
        """
        executor = LeasedExecutor(self.upstream, lambda domain: False)
        executor.on_upstream_report(upstream_state(cores=64), clock.now())
        self.wait_for(lambda: not executor.refusal_reason)
        link = FakeLink("e1")
        executor.on_link_up(link, clock.now())
        heartbeats = gevent.spawn(self.send_heartbeats, executor, link)
        self.addCleanup(heartbeats.kill)
        chances = random.Random(3)
        self.upstream.is_unhealthy = lambda name: chances.random() < 0.5
        self.upstream.loss = lambda: 0.0 if chances.random() < 0.33 else None
        for number in range(200):
            batch = StartBatch(number, [start_group(f"j.0.0.{number}", work_ms=700)])
            executor.on_message(link, batch, clock.now())
            gevent.sleep(0.01)
            self.assert_refused_tasks_do_not_run(link)
        self.wait_for(lambda: len(link.ends()) == 200, seconds=6.0)

    def assert_refused_tasks_do_not_run(self, link):
        over = {task for task, outcome in link.ends()}
        running = {task for task, _ in self.upstream.running}
        self.assertEqual(set(), over & running)

    def send_heartbeats(self, executor, link):
        while True:
            link.mark_alive()
            executor.on_heartbeat(link, 0, clock.now())
            gevent.sleep(0.05)
