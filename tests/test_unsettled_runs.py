"""
tests.test_unsettled_runs
~~~~~~~~~~~~~~~~~~~~~~~~~

What an executor tells the entries of starts that may still be executed.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.capacity_reports import (
    Capacity,
    CapacityReports,
    report_due_at,
)
from papayaward.coordination.capacity_use import CapacityUse
from papayaward.coordination.headroom import Headroom
from papayaward.coordination.late_starts import LateStarts
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.leased_runs import Owner
from papayaward.coordination.upstream_requests import NoReply
from papayaward.protocol.gen.ttypes import (
    EndBatch,
    RunningTasks,
    StartBatch,
    StopBatch,
)
from papayaward.protocol.jobs import Resources
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, start_group, upstream_state
from tests.replaced_upstream_case import ReplacedUpstreamCase

_TASK = "j.0.0.0"
_NOW = 100.0
# Time from a start, or from a report that lists it, to the next report.
_CONFIRMATION_DELAY_S = 0.02


def _last_report(link):
    return link.of_type(EndBatch)[-1].room


class UnsettledRunsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = LeasedUpstream()
        self.executor = LeasedExecutor(self.upstream, lambda domain: False)
        self.executor.on_upstream_report(upstream_state(), clock.now())
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.link = self.connect("e1")

    def wait_for(self, condition, seconds=2.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "the condition was not met in time")
            gevent.sleep(0.005)

    def connect(self, member, link_number=1):
        link = FakeLink(member, link_number=link_number)
        self.executor.on_link_up(link, clock.now())
        link.heartbeats = gevent.spawn(self.send_heartbeats, link)
        self.addCleanup(link.heartbeats.kill)
        return link

    def send_heartbeats(self, link):
        while True:
            link.mark_alive()
            self.executor.on_heartbeat(link, 0, clock.now())
            gevent.sleep(0.05)

    def start(self, number=1):
        batch = StartBatch(number, [start_group(_TASK, work_ms=9000)])
        self.executor.on_message(self.link, batch, clock.now())

    def start_without_replies(self):
        """Sends a start to an upstream that no longer replies to starts."""

        def start(instance, request, timeout_s, may_send):
            if may_send():
                gevent.sleep(timeout_s)
            raise NoReply("no reply")

        self.upstream.start = start
        self.start()
        self.wait_for(lambda: _last_report(self.link).last_batch == 1)

    def test_start_is_listed_until_it_is_confirmed(self):
        """Guards against tasks that wait though the entry could start them elsewhere.

        The entry must learn without another event that a start is confirmed.
        """
        answer = self.upstream.start

        def start(*args):
            gevent.sleep(0.3)
            return answer(*args)

        self.upstream.start = start
        self.start()
        self.wait_for(lambda: _last_report(self.link).unsettled == [_TASK])
        self.wait_for(lambda: self.upstream.running)
        self.wait_for(lambda: _last_report(self.link).unsettled is None, seconds=0.5)

    def test_start_with_a_request_without_a_reply_is_listed_until_its_run_ends(self):
        """Guards against a second run of a task whose start is executed later.

        An entry that loses its executor must know the starts that the next lifetime of
        the upstream may execute.
        """
        other = self.connect("e2")
        answer = self.upstream.start
        self.start_without_replies()
        self.assertEqual([_TASK], _last_report(self.link).unsettled)
        self.wait_for(lambda: len(other.of_type(EndBatch)) > 1)
        self.assertIsNone(_last_report(other).unsettled)
        self.upstream.start = answer
        self.wait_for(lambda: self.upstream.running)
        gevent.sleep(0.3)
        self.assertEqual([_TASK], _last_report(self.link).unsettled)
        self.upstream.end_run(_TASK, "done")
        self.wait_for(lambda: _last_report(self.link).unsettled is None, seconds=0.5)
        self.assertEqual(1, _last_report(self.link).last_batch)

    def test_start_for_a_dead_entry_is_told_to_the_others(self):
        """Guards against a second run when the caller submits its job elsewhere.

        A caller whose entry died comes back after 1.3 s.
        """
        other = self.connect("e2")
        # The upstream would reject the start after the stop.
        self.upstream.fail_request("stop", times=10_000)
        self.start_without_replies()
        self.link.heartbeats.kill()
        self.executor.on_link_down(self.link, clock.now())
        self.wait_for(lambda: _last_report(other).unsettled_peer_tasks, seconds=1.2)
        self.assertEqual([_TASK], _last_report(other).unsettled_peer_tasks)
        self.wait_for(lambda: not self.executor.running, seconds=5.0)
        self.wait_for(lambda: not _last_report(other).unsettled_peer_tasks)

    def test_start_without_a_reply_is_told_to_the_others_while_it_is_wanted(self):
        """Guards against a second run if the executor's process dies next.

        Its entry answers the job as unknown, and the caller submits it to another one.
        """
        other = self.connect("e2")
        self.start_without_replies()
        self.wait_for(lambda: _last_report(other).unsettled_peer_tasks, seconds=0.5)
        self.assertEqual([_TASK], _last_report(other).unsettled_peer_tasks)

    def test_confirmed_start_is_not_told_to_the_others(self):
        """Guards against jobs that are held back for a run that they own."""
        other = self.connect("e2")
        self.start()
        self.wait_for(lambda: self.upstream.running)
        gevent.sleep(0.5)
        self.assertIsNone(_last_report(other).unsettled_peer_tasks)

    def start_that_may_be_late(self):
        """Has a start settled while a request of it had no reply."""
        self.upstream.fail_request("start")
        self.upstream.is_unhealthy = lambda name: (
            name == "start" and not any(fault.times for fault in self.upstream.faults)
        )
        self.start()
        self.wait_for(lambda: not self.upstream.faults[0].times)
        self.executor.on_message(self.link, StopBatch([_TASK]), clock.now())
        self.wait_for(self.link.ends)

    def test_start_under_another_number_is_refused_while_a_request_may_be_late(self):
        """Guards against requests under two numbers at the next lifetime.

        The lifetime that has settled the start rejects its number.
        """
        self.start_that_may_be_late()
        self.upstream.is_unhealthy = lambda name: False
        self.start(number=2)
        self.wait_for(lambda: _last_report(self.link).last_batch == 2)
        self.assertEqual((_TASK, "not_run:late_start"), self.link.ends()[-1])
        self.assertEqual({}, self.upstream.running)
        (start,) = self.connect("e2").sent[0].room.late_starts
        self.assertEqual(_TASK, start.task)

    def test_late_start_is_listed_when_its_upstream_has_deregistered(self):
        """Guards against a second run beside one at the next lifetime.

        An upstream that has deregistered may start again under its identifier.
        """
        self.start_that_may_be_late()
        self.executor.on_upstream_deregistered("i-1", clock.now())
        self.wait_for(lambda: not _last_report(self.link).upstream)
        other = self.connect("e2")
        (start,) = other.sent[0].room.late_starts
        self.assertEqual((_TASK, "i-1"), (start.task, start.instance))

    def test_late_start_is_told_once_on_each_link(self):
        """Guards against reports that grow with all late starts of 15 s."""
        self.start_that_may_be_late()
        gevent.sleep(0.5)
        reports = [batch.room for batch in self.link.of_type(EndBatch)]
        told = [start.task for room in reports for start in room.late_starts or ()]
        self.assertEqual([_TASK], told)
        again = self.connect("e1", link_number=2)
        self.assertEqual([_TASK], [s.task for s in again.sent[0].room.late_starts])

    def test_start_that_was_not_sent_yet_is_listed(self):
        """Guards against a start that is sent after a report has confirmed it."""
        self.start()
        owner = self.executor._owners.of_link(self.link)
        self.executor._reports.send(owner, clock.now())
        report = _last_report(self.link)
        self.assertEqual((1, [_TASK]), (report.last_batch, report.unsettled))

    def test_reconnected_entry_gets_the_list_before_the_running_tasks(self):
        """Guards against a task that counts as confirmed since its link broke."""
        self.start_without_replies()
        self.executor.on_link_down(self.link, clock.now())
        link = self.connect("e1", link_number=2)
        report, running = link.sent[0].room, link.sent[1]
        self.assertEqual(RunningTasks([_TASK]), running)
        self.assertEqual([_TASK], report.unsettled)

    def test_reconnected_entry_gets_the_ends_of_the_time_without_a_link(self):
        """Guards against a run that is repeated because its end was forgotten."""
        self.start()
        self.wait_for(lambda: self.upstream.running)
        self.executor.on_link_down(self.link, clock.now())
        self.upstream.end_run(_TASK, "done")
        gevent.sleep(0.4)
        link = self.connect("e1", link_number=2)
        self.assertEqual([(_TASK, "done")], link.ends())

    def test_batches_of_an_earlier_link_are_not_acknowledged(self):
        """Guards against a start that counts as received before it arrives.

        The entry numbers the batches of each link from 1.
        """
        self.start(number=7)
        gevent.sleep(0.05)
        self.executor.on_link_down(self.link, clock.now())
        link = self.connect("e1", link_number=2)
        self.assertEqual(0, _last_report(link).last_batch)


class ReportOfSettledRunsTest(TestCase):
    def test_confirmed_run_is_reported_only_to_an_entry_that_was_told_of_it(self):
        """Guards against a message for each start that is confirmed."""
        unsettled = []
        owner = Owner("e1", 1, FakeLink("e1"), 0.0, runs=1)
        capacity = Capacity(Resources(), Resources(), True, (), "i-1@1", True)
        reports = CapacityReports(
            {},
            lambda: capacity,
            lambda owner: 0,
            lambda owner: (list(unsettled), []),
            lambda owner: [],
            LateStarts(),
            Headroom(),
            CapacityUse(),
        )
        reports.send(owner, _NOW)
        reports.on_run_settled(owner)
        self.assertIsNone(report_due_at(owner, capacity, (), 0, _NOW))
        unsettled.append(_TASK)
        reports.send(owner, _NOW)
        self.assertIsNone(report_due_at(owner, capacity, (), 0, _NOW))
        reports.on_run_settled(owner)
        due_at = report_due_at(owner, capacity, (), 0, _NOW)
        self.assertAlmostEqual(_NOW + _CONFIRMATION_DELAY_S, due_at)

    def test_starts_are_acknowledged_soon_without_an_end(self):
        """Guards against confirmed tasks that wait when their executor is lost."""
        owner = Owner("e1", 1, FakeLink("e1"), 0.0, runs=1, last_batch=1)
        owner.last_start_at, owner.capacity_sent_at = _NOW, _NOW - 0.01
        owner.reported_accepting = True
        capacity = Capacity(Resources(), Resources(), True, (), "i-1@1", True)
        due_at = report_due_at(owner, capacity, (), 0, _NOW)
        self.assertAlmostEqual(_NOW + _CONFIRMATION_DELAY_S, due_at)


class TakenOverTest(TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = LeasedUpstream()
        self.executor = LeasedExecutor(self.upstream, lambda domain: False)
        self.link = FakeLink("e1")

    def test_take_over_is_reported_before_tasks_may_start(self):
        """Guards against tasks that wait although their runs are stopped for good."""
        self.executor.recall_upstream(upstream_state())
        self.executor.on_link_up(self.link, clock.now())
        self.assertFalse(_last_report(self.link).taken_over)
        gevent.sleep(0.5)
        report = _last_report(self.link)
        self.assertEqual((True, False), (report.taken_over, report.accepting))

    def test_upstream_that_does_not_answer_is_not_taken_over(self):
        """Guards against a second run beside one that nobody has stopped."""
        self.upstream.poll = self.no_reply
        self.executor.on_upstream_report(upstream_state(), clock.now())
        gevent.sleep(0.3)
        self.executor.on_link_up(self.link, clock.now())
        self.assertFalse(_last_report(self.link).taken_over)

    def no_reply(self, instance, request, timeout_s, may_send):
        gevent.sleep(timeout_s)
        raise NoReply("no reply")


class UndecidedRunTest(ReplacedUpstreamCase):
    def test_undecided_run_is_listed(self):
        """Guards against a second run beside the one at the next lifetime."""
        self.start_at_the_second_lifetime()
        gevent.sleep(0.1)
        self.assertEqual([], self.link.ends())
        self.assertEqual([_TASK], _last_report(self.link).unsettled)

    def test_late_start_is_listed_while_a_new_run_of_its_task_is_active(self):
        """Guards against a second run if the executor and the entry are lost.

        The caller submits the job to another entry then, which knows only this list.
        """
        self.first.fail_request("start")
        self.first.is_unhealthy = lambda name: (
            name == "start" and not self.first.faults[0].times
        )
        self.send_start()
        self.wait_for(lambda: not self.first.faults[0].times)
        self.stop_task()
        self.wait_for(self.link.ends)
        self.first.crash()
        self.address.lifetime = self.second
        self.report_second_lifetime()
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.send_start()
        self.wait_for(lambda: self.second.running)
        self.assertEqual([(_TASK, 1)], list(self.second.running))
        other = FakeLink("e2")
        self.executor.on_link_up(other, clock.now())
        self.assertEqual([_TASK], other.sent[0].room.unsettled_peer_tasks)
