"""
tests.test_leased_executor
~~~~~~~~~~~~~~~~~~~~~~~~~~

Capacity, leases and refusals of the executor of an upstream.
"""

import random

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.protocol.gen.ttypes import (
    EndBatch,
    RunningTasks,
    StartBatch,
    StopBatch,
)
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import (
    FakeLink,
    record_failed_polls,
    start_group,
    upstream_state,
)
from tests.waiting import holds_within


class LeasedExecutorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.domains_out = set()
        self.upstream = LeasedUpstream()
        self.executor = LeasedExecutor(self.upstream, self.domains_out.__contains__)
        self.executor.on_upstream_report(upstream_state(), clock.now())
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.batches = 0

    def wait_for(self, condition, seconds=2.0):
        met = holds_within(condition, seconds)
        self.assertTrue(met, "the condition was not met in time")

    def link(self, member="e1", **options):
        link = FakeLink(member, **options)
        self.executor.on_link_up(link, clock.now())
        return link

    def send_heartbeats(self, link, queued=0):
        """Sends heartbeats of an entry until the test ends."""

        def repeat():
            while True:
                self.send_heartbeat(link, queued)
                gevent.sleep(0.05)

        task = gevent.spawn(repeat)
        self.addCleanup(task.kill)
        return task

    def send_heartbeat(self, link, queued=0):
        """Sends a heartbeat, so that the next starts are not refused as stale.

        This process may have been stopped since the last one.
        """
        link.mark_alive()
        self.executor.on_heartbeat(link, queued, clock.now())

    def send(self, link, *groups):
        self.batches += 1
        self.executor.on_message(
            link, StartBatch(self.batches, list(groups)), clock.now()
        )

    def test_capacity_is_shared_by_entries_and_never_exceeded(self):
        """Guards against overloading an upstream that two entries use at once."""
        first, second = self.link("e1"), self.link("e2")
        for link in (first, second):
            self.send_heartbeats(link)
            self.send(
                link,
                *(
                    start_group(f"{link.peer.member}.0.0.{i}", work_ms=300)
                    for i in range(3)
                ),
            )
        gevent.sleep(0.1)
        self.assertEqual(4, len(self.upstream.running))
        refused = [end for end in second.ends() if end[1] == "not_run:busy"]
        self.assertEqual(2, len(refused))
        self.assertEqual([], first.ends())

    def test_capacity_of_a_stopping_run_is_in_use_until_its_end(self):
        """Guards against a start with the capacity of a run that is still stopping."""
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, start_group(work_ms=5000, cores=4))
        self.wait_for(lambda: self.upstream.running, seconds=0.05)
        self.send_heartbeat(link)
        self.executor.on_message(link, StopBatch(["j.0.0.0"]), clock.now())
        self.send(link, start_group("k.0.0.0"))
        self.wait_for(lambda: len(link.ends()) == 2, seconds=0.1)
        self.assertIn(("k.0.0.0", "not_run:busy"), link.ends())
        self.assertIn(("j.0.0.0", "stopped"), link.ends())

    def test_start_refused_by_a_crashed_upstream_is_not_counted_as_its_cause(self):
        """Guards against a job that is given up although its task never ran there."""
        crashes = []
        self.executor._crashes.on_crash(lambda crash, now: crashes.append(crash))
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, start_group("a.0.0.0", work_ms=9000))
        self.wait_for(lambda: self.upstream.running)
        gevent.sleep(0.05)
        self.upstream.crash()
        self.send(link, start_group("b.0.0.0"))
        self.wait_for(lambda: crashes)
        self.assertEqual(["a"], [job.job_id for job in crashes[0].jobs])

    def test_start_without_a_reply_yet_is_counted_as_cause_of_a_crash(self):
        """Guards against a task that is never counted since it crashes at its start."""
        crashes = []
        self.executor._crashes.on_crash(lambda crash, now: crashes.append(crash))
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, start_group("a.0.0.0", work_ms=9000))
        self.wait_for(lambda: self.upstream.running)
        self.upstream.start = self.send_without_reply
        self.send(link, start_group("b.0.0.0"))
        gevent.sleep(0.05)
        self.upstream.crash()
        self.wait_for(lambda: crashes)
        self.assertEqual({"a", "b"}, {job.job_id for job in crashes[0].jobs})

    def send_without_reply(self, instance, request, timeout_s, may_send):
        may_send()
        gevent.sleep(9.0)

    def test_crash_of_an_idle_upstream_is_noticed_without_a_start(self):
        """Guards against starts that are sent to an upstream that is long gone."""
        self.upstream = LeasedUpstream()
        polls = record_failed_polls(self.upstream)
        self.executor = LeasedExecutor(self.upstream, self.domains_out.__contains__)
        self.executor.on_upstream_report(upstream_state(), clock.now())
        crashes = []
        self.executor._crashes.on_crash(lambda crash, now: crashes.append(crash))
        self.wait_for(lambda: polls.waiting, seconds=0.2)
        crashed_at = clock.now()
        self.upstream.crash()
        self.wait_for(lambda: self.executor.refusal_reason, seconds=0.2)
        self.wait_for(lambda: crashes, seconds=1.5)
        self.assertEqual([()], [crash.jobs for crash in crashes])
        # The poll that waited when the upstream crashed is the first that shows it.
        self.assertLess(polls.failed[0].sent_at, crashed_at)
        self.assertLess(abs(crashes[0].at - polls.failed[0].failed_at), 0.02)

    def resize(self, cores, sequence):
        state = upstream_state(cores=cores, sequence=sequence)
        self.executor.on_upstream_report(state, clock.now())

    def test_shrunk_capacity_counts_all_runs_until_their_end(self):
        """Guards against a start beside more runs than a shrunk upstream can hold."""
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, *[start_group(f"j.0.0.{i}", work_ms=9000) for i in range(4)])
        self.wait_for(lambda: len(self.upstream.running) == 4)
        self.resize(2, sequence=3)
        self.resize(4, sequence=2)
        refused = []
        for ended in range(3):
            self.send(link, start_group(f"k.0.0.{ended}"))
            refused.append((f"k.0.0.{ended}", "not_run:busy"))
            self.wait_for(lambda: refused[-1] in link.ends())
            self.executor.on_message(link, StopBatch([f"j.0.0.{ended}"]), clock.now())
            # The run counts while it is being stopped.
            self.send(link, start_group(f"l.0.0.{ended}"))
            refused.append((f"l.0.0.{ended}", "not_run:busy"))
            self.wait_for(lambda: refused[-1] in link.ends())
            self.wait_for(lambda n=ended: len(self.upstream.running) == 3 - n)
        self.wait_for(lambda: (f"j.0.0.{ended}", "stopped") in link.ends())
        self.send(link, start_group("m.0.0.0", work_ms=9000))
        self.wait_for(lambda: ("m.0.0.0", 1) in self.upstream.running)
        self.resize(4, sequence=4)
        self.send(link, *[start_group(f"n.0.0.{i}", work_ms=9000) for i in range(3)])
        self.wait_for(lambda: len(self.upstream.running) == 4)
        self.wait_for(lambda: ("n.0.0.2", "not_run:busy") in link.ends())

    def test_recalled_upstream_starts_nothing_before_its_report(self):
        """Guards against starts with a capacity that an upstream no longer has."""
        self.executor = LeasedExecutor(self.upstream, self.domains_out.__contains__)
        self.executor.recall_upstream(upstream_state(sequence=5))
        self.wait_for(lambda: self.executor._current.session.ready)
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, start_group("j.0.0.0"))
        # A delayed report that is older than the stored one tells nothing new.
        self.resize(4, sequence=4)
        self.send(link, start_group("k.0.0.0"))
        self.resize(1, sequence=6)
        self.send(link, *[start_group(f"l.0.0.{i}", work_ms=300) for i in range(2)])
        self.wait_for(lambda: len(link.ends()) == 3)
        self.assertEqual(
            [
                ("j.0.0.0", "not_run:not_reported"),
                ("k.0.0.0", "not_run:not_reported"),
                ("l.0.0.1", "not_run:busy"),
            ],
            link.ends(),
        )
        self.assertEqual([("l.0.0.0", 1)], list(self.upstream.running))

    def test_start_that_arrived_before_a_pause_is_refused(self):
        """Guards against a second run of a task after a pause of the runner.

        The entry may have sent the task to another executor in the meantime.
        """
        link = self.link()
        link.mark_alive(seconds_ago=0.6)
        self.executor._owners.by_member["e1"].last_alive_at = clock.now() - 0.6
        self.send(link, start_group())
        gevent.sleep(0.02)
        self.assertEqual([("j.0.0.0", "not_run:stale")], link.ends())

    def test_runs_of_a_killed_entry_end_before_its_callers_resubmit(self):
        """Guards against a second run when a caller resubmits after 1.3 s."""
        link, other = self.link("e1"), self.link("e2")
        self.send_heartbeats(other)
        self.send(link, start_group(work_ms=10_000))
        self.send(other, start_group("k.0.0.0", work_ms=1500))
        gevent.sleep(0.1)
        closed_at = clock.now()
        self.executor.on_link_down(link, closed_at)
        self.wait_for(lambda: self.upstream.records[0].outcome)
        self.assertLess(clock.now() - closed_at, 0.5)
        self.wait_for(lambda: self.upstream.records[1].outcome)
        self.assertEqual("done", self.upstream.records[1].outcome)

    def test_runs_of_a_silent_entry_end_and_the_others_go_on(self):
        """Guards against runs of a silent entry that other entries' heartbeats prolong.

        All runs share one lease, which depends on the entry that has been silent for
        the longest time.
        """
        link, other = self.link("e1"), self.link("e2")
        self.send_heartbeats(other)
        self.send(link, start_group(work_ms=10_000))
        self.send(other, start_group("k.0.0.0", work_ms=1500))
        last_heartbeat_at = clock.now()
        self.wait_for(
            lambda: self.upstream.records and self.upstream.records[0].outcome
        )
        self.assertLess(clock.now() - last_heartbeat_at, 1.05)
        self.wait_for(lambda: self.upstream.records[1].outcome)
        self.assertEqual("done", self.upstream.records[1].outcome)

    def test_handshake_delayed_by_a_pause_does_not_extend_the_lease(self):
        """Guards against a lease for an entry whose handshake is old."""
        link = FakeLink("e1")
        link.mark_alive(seconds_ago=0.7)
        self.executor.on_link_up(link, clock.now())
        self.send(link, start_group())
        gevent.sleep(0.02)
        self.assertEqual([("j.0.0.0", "not_run:stale")], link.ends())

    def test_runs_lapse_when_renewals_stop(self):
        """Guards against runs that continue after the entry and the runner ended."""
        link = self.link()
        self.send(link, start_group(work_ms=10_000))
        gevent.sleep(0.05)
        self.executor._current.session.close()
        stopped_at = clock.now()
        self.wait_for(lambda: self.upstream.records[0].outcome)
        self.assertEqual("lapsed", self.upstream.records[0].outcome)
        self.assertLess(clock.now() - stopped_at, 1.05)

    def test_entry_that_comes_back_keeps_its_runs(self):
        """Guards against stopping an entry's runs after one broken connection."""
        link = self.link()
        heartbeats = self.send_heartbeats(link)
        self.send(link, start_group(work_ms=600))
        gevent.sleep(0.05)
        self.executor.on_link_down(link, clock.now())
        heartbeats.kill()
        reconnected = self.link()
        self.send_heartbeats(reconnected)
        self.assertEqual(["j.0.0.0"], reconnected.of_type(RunningTasks)[0].tasks)
        self.wait_for(lambda: reconnected.ends())
        self.assertEqual([("j.0.0.0", "done")], reconnected.ends())

    def test_draining_upstream_and_domain_out_refuse(self):
        """Guards against starts on an upstream that is draining or out of service."""
        link = self.link()
        self.send_heartbeats(link)
        self.domains_out.add("a")
        self.executor.check_accepting()
        self.send(link, start_group())
        self.domains_out.clear()
        self.executor.on_upstream_report(
            upstream_state(draining=True, sequence=2), clock.now()
        )
        self.send(link, start_group("k.0.0.0"))
        gevent.sleep(0.05)
        self.assertEqual(
            [("j.0.0.0", "not_run:domain_out"), ("k.0.0.0", "not_run:draining")],
            link.ends(),
        )

    def test_late_report_of_an_earlier_instance_is_ignored(self):
        """Guards against requests to an upstream instance that has ended."""
        self.executor.on_upstream_report(
            upstream_state("i-2", born_ms=5, cores=8), clock.now()
        )
        self.executor.on_upstream_report(upstream_state("i-1", sequence=9), clock.now())
        self.assertEqual("i-2", self.executor.state.instance)

    def test_runs_are_lost_with_their_instance(self):
        """Guards against jobs that wait for runs of a crashed upstream."""
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, start_group(work_ms=5000))
        gevent.sleep(0.05)
        self.upstream.crash()
        self.executor.on_upstream_report(upstream_state("i-2", born_ms=5), clock.now())
        gevent.sleep(0.05)
        self.assertEqual([], link.ends())
        self.upstream.crashed = False
        self.upstream.instance, self.upstream.born_ms = "i-2", 5
        self.wait_for(link.ends, seconds=0.3)
        self.assertEqual([("j.0.0.0", "lost")], link.ends())

    def test_closing_executor_accepts_only_tasks_that_do_not_delay_it(self):
        """Guards against an idle upstream while the shutdown waits for a long run."""
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, start_group(work_ms=2000, expected_ms=2000))
        self.wait_for(lambda: self.upstream.running, seconds=0.05)
        self.send_heartbeat(link)
        self.executor.close(clock.now() + 5.0)
        self.send(link, start_group("k.0.0.0", work_ms=9000, expected_ms=100))
        self.send(link, start_group("l.0.0.0", work_ms=4000, expected_ms=4000))
        self.wait_for(lambda: len(self.upstream.running) == 2, seconds=0.3)
        self.upstream.end_run("k.0.0.0", "done")
        self.wait_for(lambda: len(link.ends()) == 2, seconds=0.3)
        self.assertEqual(
            [("l.0.0.0", "not_run:closing"), ("k.0.0.0", "done")], link.ends()
        )

    def test_stalled_run_is_reported(self):
        """Guards against jobs that wait for a run that makes no progress."""
        link = self.link()
        self.send_heartbeats(link)
        self.send(link, start_group(work_ms=10_000, expected_ms=100))
        self.wait_for(lambda: any(b.slow for b in link.sent if hasattr(b, "slow")))

    def free_cores(self, link):
        """Returns the free processor capacity in each report, in millicores."""
        return [batch.room.free.cpu_millis for batch in link.of_type(EndBatch)]

    def test_entry_without_tasks_gets_few_reports(self):
        """Guards against message counts proportional to entries times tasks."""
        busy, other = self.link("e1"), self.link("e2")
        for link in (busy, other):
            self.send_heartbeats(link)
        for number in range(30):
            self.send(busy, start_group(f"j.0.0.{number}", work_ms=5))
            gevent.sleep(0.02)
        self.wait_for(lambda: len(busy.ends()) == 30)
        # One report every 0.1 s for 0.6 s, the first one, and one as tolerance.
        self.assertLessEqual(len(other.of_type(EndBatch)), 8)
        self.wait_for(lambda: self.free_cores(other)[-1] == 4000)

    def test_entries_learn_from_the_runs_of_others_but_not_twice_from_their_own(self):
        """Guards against entries that know a slow upstream only from their own runs."""
        busy, other = self.link("e1"), self.link("e2")
        for link in (busy, other):
            self.send_heartbeats(link)
        for number in range(3):
            self.send(busy, start_group(f"j.0.0.{number}", work_ms=60, expected_ms=30))
        self.wait_for(lambda: len(busy.ends()) == 3)
        self.wait_for(lambda: self.peer_runs(other) == 3)
        self.assertEqual(0, self.peer_runs(busy))
        ratios = [
            batch.room.peer_ratio
            for batch in other.of_type(EndBatch)
            if batch.room.peer_runs
        ]
        self.assertGreater(min(ratios), 1.9)

    def peer_runs(self, link):
        return sum(batch.room.peer_runs for batch in link.of_type(EndBatch))

    def test_regained_capacity_is_reported_soon(self):
        """Guards against jobs that wait although capacity has become free."""
        busy, other = self.link("e1"), self.link("e2")
        self.send_heartbeats(busy)
        self.send_heartbeats(other, queued=1)
        starts = [start_group(f"j.0.0.{number}", work_ms=9000) for number in range(4)]
        self.send(busy, *starts)
        self.wait_for(lambda: self.free_cores(other)[-1] == 0)
        for number in range(4):
            self.upstream.end_run(f"j.0.0.{number}", "done")
        self.wait_for(lambda: busy.ends())
        # Reports of consecutive ends may be delayed by 20 ms.
        self.wait_for(lambda: self.free_cores(other)[-1] > 0, 0.06)

    def test_lost_replies_delay_tasks_only_a_little(self):
        """Guards against an upstream that is closed because it loses replies.

        Half of all requests get no reply and are executed 1.5 s later. With one poll
        that settled each start, under a lock and with a new fencing token, the starts
        on their way were rejected and most tasks came too late.
        """
        self.executor.on_upstream_report(
            upstream_state(cores=16, sequence=2), clock.now()
        )
        link = self.link()
        self.send_heartbeats(link)
        chances = random.Random(7)
        self.upstream.loss = lambda: 1.5 if chances.random() < 0.5 else None
        for number in range(40):
            task = f"j.0.0.{number}"
            self.send(link, start_group(task, work_ms=50))
            gevent.sleep(0.05)
        self.wait_for(lambda: len(link.ends()) >= 40, 3.0)
        self.upstream.loss = lambda: None
        gevent.sleep(1.6)
        done = [task for task, outcome in link.ends() if outcome == "done"]
        self.assertGreaterEqual(len(done), 36, link.ends())
        started = [record.task for record in self.upstream.records]
        self.assertEqual(sorted(set(started)), sorted(started))
