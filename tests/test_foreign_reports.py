"""
tests.test_foreign_reports
~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports that name an instance which is not there, beside those of the upstream.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.leased_executor import LeasedExecutor
from papayaward.coordination.upstream_requests import UpstreamReply
from papayaward.coordination.upstream_state_store import UpstreamStateStore
from papayaward.leased_node import NodeSettings
from papayaward.leased_runner import LeasedRunner
from papayaward.protocol.gen.ttypes import StartBatch
from standins.leased_upstream import LeasedUpstream
from tests.leased_case import FakeLink, start_group, upstream_state
from tests.test_upstream_state_store import LossyStore
from tests.waiting import holds_within

_BORN_MS = 1000


class _NamedUpstream:
    """Client of an upstream that rejects what is meant for another instance."""

    def __init__(self, upstream):
        self.upstream = upstream

    def __getattr__(self, name):
        def call(instance, *args):
            if instance != self.upstream.instance:
                return UpstreamReply("other_instance")
            return getattr(self.upstream, name)(instance, *args)

        return call


class ForeignReportTest(TestCase):
    def setUp(self):
        super().setUp()
        self.address = _NamedUpstream(LeasedUpstream(born_ms=_BORN_MS))
        self.executor = LeasedExecutor(self.address, lambda domain: False)
        self.sequence = 0

    def wait_for(self, condition, seconds=2.0):
        met = holds_within(condition, seconds)
        self.assertTrue(met, "the condition was not met in time")

    def report(self, **changes):
        """Sends the next report of the upstream."""
        self.sequence += 1
        values = {"sequence": self.sequence, "born_ms": _BORN_MS, **changes}
        self.executor.on_upstream_report(upstream_state(**values), clock.now())

    def report_foreign(self):
        foreign = upstream_state("x-1", born_ms=_BORN_MS + 500)
        self.executor.on_upstream_report(foreign, clock.now())

    def check_task_starts(self):
        self.wait_for(lambda: not self.executor.refusal_reason)
        link = FakeLink("e1")
        self.executor.on_link_up(link, clock.now())
        link.mark_alive()
        self.executor.on_heartbeat(link, 0, clock.now())
        batch = StartBatch(1, [start_group()])
        self.executor.on_message(link, batch, clock.now())
        self.wait_for(lambda: self.address.upstream.records)

    def test_upstream_is_used_again_after_a_report_of_another_program(self):
        """Guards against an upstream that a report with a later start hides for good.

        Requests to the instance that it names are rejected by the one that is there.
        """
        self.report()
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.report_foreign()
        self.wait_for(lambda: self.executor._current.session is None)
        self.report()
        self.check_task_starts()

    def test_upstream_is_used_after_a_stored_report_of_another_program(self):
        """Guards against an upstream that stays hidden when the process restarts."""
        foreign = upstream_state("x-1", born_ms=_BORN_MS + 500, sequence=90)
        self.executor.recall_upstream(foreign)
        self.wait_for(lambda: self.executor._current.session is None)
        self.report()
        self.check_task_starts()

    def test_instance_that_seems_to_be_earlier_is_used(self):
        """Guards against an upstream that is ignored since its clock was set back."""
        self.report()
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.address.upstream = LeasedUpstream("i-2", born_ms=_BORN_MS - 500)
        self.wait_for(lambda: self.executor._current.session is None)
        self.report(instance="i-2", born_ms=_BORN_MS - 500)
        self.check_task_starts()

    def test_late_report_of_an_earlier_instance_hides_no_upstream(self):
        """Guards against an upstream that waits for one that has ended."""
        self.report()
        self.wait_for(lambda: not self.executor.refusal_reason)
        self.address.upstream = LeasedUpstream("i-2", born_ms=_BORN_MS + 500)
        self.wait_for(lambda: self.executor._current.session is None)
        self.report(instance="i-0", born_ms=_BORN_MS - 500)
        self.wait_for(lambda: self.executor._current.session is None)
        self.report(instance="i-2", born_ms=_BORN_MS + 500)
        self.check_task_starts()


class StoredReportTest(TestCase):
    def test_stored_report_of_another_service_is_not_recalled(self):
        """Guards against an upstream of another program that is taken over."""
        store = LossyStore()
        UpstreamStateStore(store, "r1").save(upstream_state(service="other"))
        gevent.sleep(0.02)
        settings = NodeSettings(
            "r1", "runner", "r", "a", "dispatch", ("127.0.0.1", 7000), (), 3.0
        )
        runner = LeasedRunner(settings, store, LeasedUpstream(born_ms=1))
        runner._restore_upstream()
        self.assertIsNone(runner.executor.state)
