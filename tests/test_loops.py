"""
tests.test_loops
~~~~~~~~~~~~~~~~

Loops of a process that have to survive input which one of their steps cannot handle.
"""

import gevent
from gevent.server import StreamServer
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.store_sync import Snapshot, watch_prefix
from papayaward.loops import repeat
from papayaward.protocol.gen.ttypes import EndBatch
from papayaward.transport.peers import Dialler
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, job_queue, job_request, upstream_state


class BrokenLink(FakeLink):
    """Link on which nothing can be sent because of a fault in the message."""

    def try_send(self, message):
        raise ValueError("cannot be encoded")


class FakeStore:
    """Store with one change after the first snapshot."""

    def __init__(self):
        self._revision = 0

    def read(self, prefix):
        self._revision += 1
        return Snapshot(self._revision, {})

    def wait(self, prefix, revision, timeout_s):
        gevent.sleep(0.01)
        return revision, True


class LoopsTest(TestCase):
    def spawn(self, *args):
        task = gevent.spawn(*args)
        self.addCleanup(task.kill)
        return task

    def test_failed_step_does_not_end_the_loop(self):
        """Guards against work that stops for good after one message."""
        calls = []

        def step():
            calls.append(clock.now())
            gevent.sleep(0.01)
            if len(calls) == 1:
                raise ValueError("first")

        self.spawn(repeat, step)
        gevent.sleep(0.2)
        self.assertGreater(len(calls), 2)

    def test_snapshot_that_cannot_be_handled_does_not_end_the_watch(self):
        """Guards against one configuration after which no later one is seen."""
        handled = []

        def on_snapshot(snapshot, now):
            handled.append(snapshot.revision)
            if len(handled) == 1:
                raise ValueError("first")

        self.spawn(watch_prefix, FakeStore(), "p", on_snapshot)
        gevent.sleep(0.2)
        self.assertGreater(len(handled), 2)

    def test_entry_that_cannot_be_told_does_not_keep_reports_from_the_others(self):
        """Guards against an executor that never again reports its free capacity."""
        executor = LeasedExecutor(LeasedUpstream(), lambda domain: False)
        broken, other = FakeLink("e1"), FakeLink("e2")
        for link in (broken, other):
            executor.on_link_up(link, clock.now())
        broken.try_send = BrokenLink("e1").try_send
        reports = len(other.of_type(EndBatch))
        executor.on_upstream_report(upstream_state(), clock.now())
        gevent.sleep(0.5)
        self.assertGreater(len(other.of_type(EndBatch)), reports)

    def test_check_that_fails_once_does_not_end_the_checks(self):
        """Guards against jobs that are never ended at their deadline."""
        scheduler = JobScheduler(lambda domain: False)
        check = scheduler.check
        failures = [ValueError("first")]

        def fail_once(now):
            if failures:
                raise failures.pop()
            check(now)

        scheduler.check = fail_once
        request = job_request(timeout_s=0.3)
        job = scheduler.submit(request, job_queue(slack_s=9.0), clock.now())
        self.assertTrue(job.finished.wait(1.0))

    def test_link_whose_start_fails_is_dialled_again(self):
        """Guards against a peer that is lost for good after one fault."""
        accepted = []
        server = StreamServer(("127.0.0.1", 0), lambda sock, _: accepted.append(sock))
        server.start()
        self.addCleanup(server.stop)

        class Node:
            """Node that cannot say hello."""

            def hello(self):
                raise ValueError("no hello")

        dialler = Dialler(("127.0.0.1", server.server_port), Node())
        self.addCleanup(dialler.stop)
        gevent.sleep(0.6)
        self.assertGreater(len(accepted), 1)
