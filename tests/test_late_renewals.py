"""
tests.test_late_renewals
~~~~~~~~~~~~~~~~~~~~~~~~

Renewals of a lease that the upstream executes seconds after they were sent.
"""

import itertools
import time

import gevent
from testtools import TestCase

from papayaward import clock
from tests.leased_case import job_queue
from tests.leased_fleet import LeasedFleet, job

_JOB = "0123456789abcdef"
_TASK = _JOB + ".0.0.0"
_OTHER_JOB = "1123456789abcdef"
# A run that is not slow for as long as a test takes.
_SPEC = "60000"
_EXPECTED_S = 2000.0
_START_DELAY_S = 11.5
_RENEWAL_DELAY_S = 11.9
_RENEWAL_INTERVAL_S = 0.5
_CRASH_S = 11.0
# Time for which renewals are lost before the path refuses.
_LOSSY_S = 3.0
_SLOWEST_CLOCK = 0.98
# Longest time from the end of a run until its task starts elsewhere.
_RESTART_S = 0.3
# Time after which no request without a reply is executed any more, and its lease ends.
_LONGEST_DELAY_S = 15.0


class _LateRenewalsCase(TestCase):
    """An upstream whose first run's renewals are partly executed late."""

    def setUp(self):
        super().setUp()
        self.fleet = LeasedFleet(
            entries=2, executors=1, keeps_instance=True, restart_s=0.1
        )
        self.addCleanup(self.fleet.close)
        self.first = self.fleet.upstreams[0]

    def wait_for(self, condition, seconds=4.0):
        until = clock.now() + seconds
        while not condition():
            self.assertLess(clock.now(), until, "the condition was not met in time")
            gevent.sleep(0.005)

    def submit(self, entry, name):
        request = job(name, _SPEC, 1, _EXPECTED_S, 2 * _EXPECTED_S)
        queue = job_queue(slack_s=_EXPECTED_S)
        self.fleet.entries[entry].submit(request, queue, clock.now())

    def lose_renewals(self, delays_s):
        """Executes a renewal late in each interval, and answers the others.

        Args:
            delays_s: Iterator of their delays, seconds.
        """
        upstream, poll = self.first.lifetime, self.first.lifetime.poll
        late_at = 0.0

        def poll_or_lose(instance, request, *args):
            nonlocal late_at
            if request.lease_ms is not None and clock.now() >= late_at:
                late_at = clock.now() + _RENEWAL_INTERVAL_S
                upstream.fail_request("poll", next(delays_s))
            return poll(instance, request, *args)

        upstream.poll = poll_or_lose

    def check_no_overlap(self, task):
        records = [
            record
            for upstream in self.fleet.upstreams
            for record in upstream.records
            if record.task == task
        ]
        for one, other in itertools.combinations(records, 2):
            ends_at = min(_end(one), _end(other))
            self.assertLess(ends_at, max(one.started_at, other.started_at), records)


def _lease_end(lifetime):
    """Returns when the lease of a lifetime with the slowest clock ends, seconds."""
    lease_s = (lifetime._lease_ms - lifetime.first_clock_ms) / 1000.0
    ends_at = lifetime._started + lease_s / _SLOWEST_CLOCK
    # The stand-in counts from another moment.
    return ends_at + clock.now() - time.monotonic()


class SameLifetimeTest(_LateRenewalsCase):
    """The lifetime that was sent the renewals executes them out of reach."""

    def test_late_renewals_extend_no_lease(self):
        """Guards against a confirmed run that outlasts what others assume of it.

        The end of a lease is a time on the upstream's clock, which is up to 2 % slow.
        """
        lifetime = self.first.lifetime
        lifetime.clock_rate = _SLOWEST_CLOCK
        gevent.sleep(0.2)
        self.submit(0, _JOB)
        self.wait_for(lambda: self.first.records)
        self.lose_renewals(itertools.cycle((1.2, _RENEWAL_DELAY_S, 2.5, 6.0)))
        gevent.sleep(_LOSSY_S)
        self.fleet.add_executor()
        session = self.first.executor._current.session
        executed = len(lifetime.delayed_outcomes)
        self.first.refuse()
        self.wait_for(lambda: len(self.fleet.upstreams[1].records) == 1)
        self.assertLess(clock.now(), session.all_ended_at + _RESTART_S)
        self.assertEqual({}, lifetime.running)
        gevent.sleep(_RENEWAL_DELAY_S)
        self.assertLess(executed + 3, len(lifetime.delayed_outcomes))
        self.assertLess(_lease_end(lifetime), session.leased_until)
        self.check_no_overlap(_TASK)


class NextLifetimeTest(_LateRenewalsCase):
    """The next lifetime executes a start, and renewals that keep its run active.

    The renewals are those of another entry's job. The path to that lifetime refuses
    connections until all of them have been executed.
    """

    def setUp(self):
        super().setUp()
        # The ends of leases on this clock are far ahead on that of the next lifetime.
        self.first.lifetime.first_clock_ms = 480_000
        gevent.sleep(1.2)
        self.submit(1, _OTHER_JOB)
        self.wait_for(lambda: self.first.records)
        self.lose_renewals(itertools.repeat(_RENEWAL_DELAY_S))
        self.first.lifetime.fail_request("start", _START_DELAY_S)
        self.sent_at = clock.now()
        self.submit(0, _JOB)
        # The start is repeated at once.
        self.wait_for(lambda: len(self.first.records) == 2)

    def sleep_until(self, age_s):
        gevent.sleep(self.sent_at + age_s - clock.now())

    def cut_off_entry(self):
        """Breaks the link of the first entry; the executor goes on for the other."""
        entry, executor_link, entry_link = self.first.entry_links[0]
        executor_link.closed = entry_link.closed = True
        entry.on_link_down(executor_link, clock.now())
        self.first.executor.on_link_down(entry_link, clock.now())

    def check_late_run_is_the_only_one(self):
        """Crashes the upstream, and checks the runs after the longest delay."""
        self.fleet.add_executor()
        self.sleep_until(_CRASH_S)
        self.first.refuse()
        self.first.crash_from_outside()
        self.sleep_until(_LONGEST_DELAY_S + 2.5)
        self.assertEqual([_TASK], [task for task, _ in self.first.lifetime.running])
        self.check_no_overlap(_TASK)

    def test_task_starts_nowhere_else_while_late_renewals_keep_it_active(self):
        """Guards against a second run 15 s after the start."""
        self.first.lifetime.end_run(_TASK, "failed")
        self.check_late_run_is_the_only_one()

    def test_entry_that_was_cut_off_waits_for_late_renewals(self):
        """Guards against a second run 15 s after the link to the executor broke.

        The executor stops the task, and sends renewals for another entry.
        """
        self.cut_off_entry()
        self.check_late_run_is_the_only_one()


def _end(record):
    return time.monotonic() if record.ended_at is None else record.ended_at
