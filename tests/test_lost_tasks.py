"""
tests.test_lost_tasks
~~~~~~~~~~~~~~~~~~~~~

When an entry that has lost an executor starts its tasks elsewhere.
"""

import gevent
from testtools import TestCase
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from papayaward import clock
from papayaward.coordination.crashes.crash_relay import CrashRelay
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.upstream_requests import MAX_LATE_RUN_S
from papayaward.protocol.codec import MESSAGE_CODES, FrameError, decode
from papayaward.protocol.gen import ttypes
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

# Longer than a confirmed run continues after the link to its executor broke.
_LOST_RUN_S = 1.1
_TASK = "0123456789abcdef.0.0.0"
_OTHER_TASK = "0123456789abcdef.0.0.1"
# Values that another program may send as the list of unsettled tasks.
_ODD_LISTS = (
    None,
    [],
    [""],
    ["no-such-task"] * 1000,
    ["x" * (1 << 20)],
    ["\ud800", "\0"],
    [None],
)


class LostTasksCase(TestCase):
    def setUp(self):
        super().setUp()
        self.relay = CrashRelay()
        self.scheduler = JobScheduler(lambda domain: False, self.relay)
        # The tests choose the time of each check.
        self.check = self.scheduler.check
        self.scheduler.check = lambda now: None
        self.now = clock.now()

    def connect(self, name="r1", incarnation=1, running=(), **values):
        """Returns the link of an executor, which reports with values as `report`."""
        link = FakeLink(name, "runner", incarnation)
        self.scheduler.on_link_up(link, self.now)
        self.report(link, **values)
        running = ttypes.RunningTasks(list(running))
        self.scheduler.on_message(link, running, self.now)
        return link

    def report(self, link, last_batch=0, unsettled=None, **values):
        """Sends a report of an executor; further values are fields of its room."""
        report = capacity_report(last_batch)
        report.room.unsettled = unsettled
        for name, value in values.items():
            setattr(report.room, name, value)
        self.scheduler.on_message(link, report, self.now)

    def submit(self, tasks=1, timeout_s=60.0):
        request = job_request(tasks=tasks, timeout_s=timeout_s)
        job = self.scheduler.submit(request, job_queue(slack_s=60.0), self.now)
        self.scheduler.schedule(self.now)
        return job

    def lose(self, link):
        self.scheduler.on_link_down(link, self.now)

    def starts_after(self, seconds, *links):
        """Returns the tasks that start on some executors within some time."""
        self.now += seconds
        self.check(self.now)
        self.scheduler.schedule(self.now)
        return sorted(start.task for link in links for start in link.starts())


class LostTasksTest(LostTasksCase):
    def test_unconfirmed_start_is_not_repeated_when_the_lease_has_ended(self):
        """Guards against a second run beside a start that is executed late."""
        first = self.connect()
        self.submit()
        self.lose(first)
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(_LOST_RUN_S, other))
        self.assertEqual([], self.starts_after(MAX_LATE_RUN_S - 1.2, other))
        self.assertEqual([_TASK], self.starts_after(0.2, other))

    def test_confirmed_start_is_repeated_when_the_lease_has_ended(self):
        """Guards against a task that waits although its run has ended."""
        first = self.connect()
        self.submit()
        self.report(first, 1)
        self.lose(first)
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(1.0, other))
        self.assertEqual([_TASK], self.starts_after(0.1, other))

    def test_start_that_is_listed_as_unsettled_is_not_confirmed(self):
        """Guards against a second run if a start without a reply is acknowledged."""
        first = self.connect()
        self.submit(tasks=2)
        self.report(first, 1, [_TASK])
        self.lose(first)
        other = self.connect("r2")
        confirmed = [_TASK[:-1] + "1"]
        self.assertEqual(confirmed, self.starts_after(_LOST_RUN_S, other))

    def test_start_that_is_no_longer_listed_is_confirmed(self):
        """Guards against a task that waits although its start has been answered."""
        first = self.connect()
        self.submit()
        self.report(first, 1, [_TASK])
        self.report(first, 1)
        self.lose(first)
        other = self.connect("r2")
        self.assertEqual([_TASK], self.starts_after(_LOST_RUN_S, other))

    def test_start_that_becomes_undecided_is_not_confirmed(self):
        """Guards against a second run beside one at the next lifetime."""
        first = self.connect()
        self.submit()
        self.report(first, 1)
        self.report(first, 1, [_TASK])
        self.lose(first)
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(_LOST_RUN_S, other))

    def test_later_batch_is_not_confirmed_with_an_earlier_one(self):
        """Guards against a report that confirms starts it does not know."""
        first = self.connect()
        job = self.submit()
        first_start = first.starts()[0]
        end = ttypes.TaskEnd(first_start.task, first_start.run, "not_run:busy", 0)
        self.scheduler.on_message(first, ttypes.EndBatch([end], None), self.now)
        self.scheduler.schedule(self.now)
        self.assertEqual(2, len(first.starts()))
        self.report(first, 1)
        self.lose(first)
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(_LOST_RUN_S, other))
        self.assertIsNone(job.outcome)

    def test_start_that_no_link_has_taken_is_not_held_back(self):
        """Guards against a task that waits for a start that was never sent."""
        first = self.connect()
        first.try_send = lambda message: False
        self.submit()
        self.lose(first)
        other = self.connect("r2")
        self.assertEqual([_TASK], self.starts_after(_LOST_RUN_S, other))

    def test_starts_that_are_sent_one_by_one_are_not_confirmed_together(self):
        """Guards against a report that confirms a start it does not know.

        Groups that cannot be sent together are sent in a batch each.
        """
        first = self.connect()
        send = first.try_send

        def send_single_groups(message):
            if len(getattr(message, "groups", ())) > 1:
                raise ValueError("a value that no message can hold")
            return send(message)

        first.try_send = send_single_groups
        for job_id in ("a" * 16, "b" * 16):
            self.scheduler.submit(job_request(job_id), job_queue(slack_s=9), self.now)
        self.scheduler.schedule(self.now)
        early, late = first.of_type(ttypes.StartBatch)
        self.report(first, early.number)
        self.lose(first)
        other = self.connect("r2")
        confirmed = [early.groups[0].starts[0].task]
        self.assertEqual(confirmed, self.starts_after(_LOST_RUN_S, other))


class ReturnedExecutorTest(LostTasksCase):
    """The executor's process is back, or a new process of it is there."""

    def setUp(self):
        super().setUp()
        self.first = self.connect()

    def test_same_process_resolves_unconfirmed_starts(self):
        """Guards against a task that waits although the executor does not run it."""
        self.submit()
        self.lose(self.first)
        again = self.connect()
        self.assertEqual([_TASK], self.starts_after(0.0, again))

    def test_start_that_is_unsettled_when_the_link_is_back_is_not_confirmed(self):
        """Guards against a start that counts as confirmed because it was listed.

        The report of unsettled starts precedes the list of running tasks.
        """
        self.submit()
        self.lose(self.first)
        again = FakeLink("r1", "runner")
        self.scheduler.on_link_up(again, self.now)
        self.report(again, unsettled=[_TASK])
        running = ttypes.RunningTasks([_TASK])
        self.scheduler.on_message(again, running, self.now)
        self.lose(again)
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(_LOST_RUN_S, other))

    def test_start_that_is_settled_when_the_link_is_back_is_confirmed(self):
        """Guards against a task that waits for a start that is known to be over."""
        self.submit()
        self.lose(self.first)
        again = self.connect(running=[_TASK])
        self.lose(again)
        other = self.connect("r2")
        self.assertEqual([_TASK], self.starts_after(_LOST_RUN_S, other))

    def connect_next_process(self, **values):
        link = FakeLink("r1", "runner", incarnation=2)
        self.scheduler.on_link_up(link, self.now)
        self.scheduler.on_message(link, ttypes.RunningTasks([]), self.now)
        self.report(link, accepting=False, **values)
        return link

    def take_over_by_the_next_process(self):
        """Has a confirmed and an unsettled task, and returns both executors' links."""
        self.submit(tasks=2)
        self.report(self.first, 1, [_TASK])
        self.lose(self.first)
        link = self.connect_next_process()
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(0.2, link, other))
        self.report(link, accepting=False, taken_over=True)
        return link, other

    def test_next_process_resolves_starts_when_it_has_taken_over(self):
        """Guards against tasks that wait although their runs were stopped for good.

        A request to start the unsettled one may be executed by the next lifetime.
        """
        link, other = self.take_over_by_the_next_process()
        self.assertEqual([_OTHER_TASK], self.starts_after(0.02, other))
        self.report(link)
        self.assertEqual([_TASK], self.starts_after(0.02, link))

    def test_unsettled_start_keeps_its_task_at_its_upstream_after_a_take_over(self):
        """Guards against a second run beside a start at the lifetime after that."""
        link, other = self.take_over_by_the_next_process()
        self.lose(link)
        last_s = MAX_LATE_RUN_S - 0.3
        self.assertEqual([_OTHER_TASK], self.starts_after(last_s, other))
        self.assertEqual([_TASK, _OTHER_TASK], self.starts_after(0.2, other))

    def test_unsettled_start_keeps_no_task_at_an_upstream_that_was_replaced(self):
        """Guards against tasks that wait for an instance that executes nothing."""
        link, other = self.take_over_by_the_next_process()
        self.report(link, accepting=False, taken_over=True, upstream="i-2@7")
        started = self.starts_after(0.02, other)
        self.assertEqual([_TASK, _OTHER_TASK], started)

    def test_next_process_that_has_not_taken_over_resolves_nothing(self):
        """Guards against a second run beside one that nobody has stopped."""
        self.submit()
        self.lose(self.first)
        link = self.connect_next_process(taken_over=False)
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(_LOST_RUN_S, link, other))

    def test_process_that_accepts_tasks_has_taken_over(self):
        """Guards against tasks that wait beside a process without the new field."""
        self.submit()
        self.lose(self.first)
        other = self.connect("r2")
        self.connect(incarnation=2)
        self.assertEqual(
            1, len(self.starts_after(0.02, other, *self.scheduler_links()))
        )

    def scheduler_links(self):
        return [v.link for v in self.scheduler._views.values() if v.name != "r2"]

    def test_take_over_of_another_instance_leaves_the_lease(self):
        """Guards against a second run while the replaced instance may not have ended.

        The new process has stopped nothing there. Starts without a reply that named
        the replaced instance are rejected by the other one.
        """
        self.submit(tasks=2)
        self.report(self.first, 1, [_TASK])
        self.lose(self.first)
        other = self.connect("r2")
        self.connect_next_process(upstream="i-2", taken_over=True)
        self.assertEqual([], self.starts_after(1.0, other))
        self.assertEqual(2, len(self.starts_after(0.1, other)))

    def test_take_over_by_another_executor_resolves_nothing(self):
        """Guards against a release by a process beside another upstream."""
        self.submit()
        self.lose(self.first)
        other = self.connect("r2")
        self.report(other, taken_over=True)
        self.assertEqual([], self.starts_after(_LOST_RUN_S, other))


class BrokenAgainTest(LostTasksCase):
    """The same process is back, but its list of running tasks never arrives."""

    def setUp(self):
        super().setUp()
        first = self.connect()
        self.submit()
        self.report(first, 1)
        self.lose(first)
        self.other = self.connect("r2")

    def link_up(self, incarnation=1):
        link = FakeLink("r1", "runner", incarnation)
        self.scheduler.on_link_up(link, self.now)
        return link

    def test_lease_counts_from_the_last_break(self):
        """Guards against a second run while the executor renews the lease of the first.

        The executor has known since the second link that this entry is alive.
        """
        self.assertEqual([], self.starts_after(0.8, self.other))
        again = self.link_up()
        self.assertEqual([], self.starts_after(0.2, self.other))
        self.lose(again)
        self.assertEqual([], self.starts_after(1.0, self.other))
        self.assertEqual([_TASK], self.starts_after(0.1, self.other))

    def test_task_waits_while_the_process_is_linked(self):
        """Guards against a second run beside one of a linked executor."""
        self.assertEqual([], self.starts_after(0.8, self.other))
        again = self.link_up()
        self.report(again)
        self.assertEqual([], self.starts_after(_LOST_RUN_S, self.other))
        running = ttypes.RunningTasks([_TASK])
        self.scheduler.on_message(again, running, self.now)
        self.assertEqual([], self.starts_after(_LOST_RUN_S, self.other))

    def test_link_of_another_process_extends_nothing(self):
        """Guards against a task that waits for a process that has ended."""
        self.assertEqual([], self.starts_after(0.8, self.other))
        self.link_up(incarnation=2)
        self.assertEqual([_TASK], self.starts_after(0.3, self.other))

    def test_late_process_releases_nothing_of_its_successor(self):
        """Guards against a take-over that is told by the process before."""
        self.scheduler.on_link_down(self.link_up(incarnation=2), self.now)
        late = self.link_up(incarnation=0)
        self.report(late, accepting=False, taken_over=True)
        self.assertEqual([], self.starts_after(1.0, self.other))
        self.assertEqual([_TASK], self.starts_after(0.1, self.other))


class UnconfirmedBrokenAgainTest(LostTasksCase):
    def test_longest_delay_counts_from_the_last_break(self):
        """Guards against a second run beside a start that was sent again later."""
        self.submit_to_lost()
        other = self.connect("r2")
        self.now += 10.0
        again = FakeLink("r1", "runner")
        self.scheduler.on_link_up(again, self.now)
        self.lose(again)
        self.assertEqual([], self.starts_after(MAX_LATE_RUN_S - 0.1, other))
        self.assertEqual([_TASK], self.starts_after(0.2, other))

    def submit_to_lost(self):
        first = self.connect()
        self.submit()
        self.lose(first)

    def test_end_that_a_reconnected_executor_reports_counts(self):
        """Guards against a run that is repeated though it was done.

        The executor sends the ends of the time without a link before its list.
        """
        first = self.connect()
        job = self.submit()
        (start,) = first.starts()
        self.report(first, 1)
        self.lose(first)
        again = FakeLink("r1", "runner")
        self.scheduler.on_link_up(again, self.now)
        end = ttypes.TaskEnd(start.task, start.run, "done", 50_000)
        batch = capacity_report()
        batch.ends = [end]
        self.scheduler.on_message(again, batch, self.now)
        self.assertEqual("completed", job.outcome.kind)
        self.scheduler.on_message(again, ttypes.RunningTasks([]), self.now)
        self.assertEqual([], self.starts_after(_LOST_RUN_S, again))


class JobOfUnconfirmedStartTest(LostTasksCase):
    def test_job_ends_at_its_deadline_as_unknown(self):
        """Guards against an answer that says nothing has run, or that comes late."""
        first = self.connect()
        job = self.submit(timeout_s=3.0)
        self.lose(first)
        self.connect("r2")
        self.starts_after(2.9)
        self.assertIsNone(job.outcome)
        self.starts_after(0.2)
        self.assertEqual(
            ("unknown", "deadline"), (job.outcome.kind, job.outcome.reason)
        )

    def test_job_submitted_again_waits_for_the_unconfirmed_start(self):
        """Guards against two runs of a task whose job was submitted twice."""
        first = self.connect()
        self.scheduler.remove_caller(self.submit(), self.now)
        self.lose(first)
        other = self.connect("r2")
        job = self.submit()
        self.assertEqual([], self.starts_after(_LOST_RUN_S, other))
        self.assertEqual([_TASK], self.starts_after(MAX_LATE_RUN_S, other))
        self.assertTrue(job.started)


class OddListTest(LostTasksCase):
    """Lists of unsettled tasks that no executor of this version sends."""

    def test_odd_list_changes_nothing_else(self):
        """Guards against a report that is lost, or a link that cannot be given up."""
        for number, names in enumerate(_ODD_LISTS):
            name = f"r{number}"
            link = self.connect(name)
            self.report(link, 0, names, free=ttypes.Resources(0, 0, 0))
            view = self.scheduler._views[name]
            self.assertEqual(0, view.free.cpu_millis, names)
            self.lose(link)
        link = self.connect()
        self.submit()
        self.report(link, 1, ["no-such-task", "", _TASK + ".0"])
        self.lose(link)
        other = self.connect("other")
        self.assertEqual([_TASK], self.starts_after(_LOST_RUN_S, other))

    def test_report_without_a_batch_confirms_nothing(self):
        """Guards against a link that cannot be given up after an incomplete report."""
        link = self.connect()
        report = capacity_report()
        report.room.last_batch = None
        self.scheduler.on_message(link, report, self.now)
        self.submit()
        self.lose(link)
        other = self.connect("r2")
        self.assertEqual([], self.starts_after(_LOST_RUN_S, other))

    def test_values_of_other_types_are_rejected_or_skipped(self):
        """Guards against an error that ends more than the link of the sender."""
        cases = {
            "text": (TType.STRING, lambda p: p.writeString("x")),
            "number": (TType.I32, lambda p: p.writeI32(7)),
            "list of numbers": (TType.LIST, self.write_list(TType.I32, 7)),
            "list of lists": (TType.LIST, self.write_list(TType.LIST, None)),
            "long list that is cut off": (
                TType.LIST,
                lambda p: p.writeListBegin(TType.STRING, 1 << 30),
            ),
            "not UTF-8": (TType.LIST, self.write_list(TType.STRING, b"\xff")),
        }
        for name, (field_type, write) in cases.items():
            body = self.encode_batch(field_type, write)
            try:
                message = decode(MESSAGE_CODES["EndBatch"], body)
            except FrameError:
                continue
            names = message.room.unsettled or ()
            self.assertTrue(all(isinstance(task, str) for task in names), name)

    def write_list(self, item_type, value):
        def write(protocol):
            protocol.writeListBegin(item_type, 1)
            if item_type == TType.I32:
                protocol.writeI32(value)
            elif item_type == TType.STRING:
                protocol.writeBinary(value)
            else:
                protocol.writeListBegin(TType.I32, 0)

        return write

    def encode_batch(self, field_type, write):
        """Returns an `EndBatch` whose report has another value as field 10."""
        buffer = TMemoryBuffer()
        protocol = TBinaryProtocol(buffer)
        protocol.writeFieldBegin("room", TType.STRUCT, 2)
        protocol.writeFieldBegin("unsettled", field_type, 10)
        write(protocol)
        protocol.writeFieldStop()
        protocol.writeFieldStop()
        return buffer.getvalue()


class LinkOrderTest(LostTasksCase):
    def test_checks_by_the_timer_release_the_tasks(self):
        """Guards against tasks that nobody releases."""
        self.scheduler.check = self.check
        first = self.connect()
        self.submit()
        self.report(first, 1)
        self.lose(first)
        other = self.connect("r2")
        gevent.sleep(0.9)
        self.assertEqual([], other.starts())
        gevent.sleep(0.3)
        self.assertEqual(1, len(other.starts()))
