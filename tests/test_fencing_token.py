"""
tests.test_fencing_token
~~~~~~~~~~~~~~~~~~~~~~~~

Fencing tokens after late requests for earlier lifetimes of an upstream.
"""

from dataclasses import replace

from testtools import TestCase

from papayaward.coordination.fencing_token import FencingToken
from papayaward.coordination.upstream_requests import StartRequest
from tests.replaced_upstream_case import ReplacedUpstreamCase

# Clock of a lifetime that was started eight minutes before its executor.
_OLD_CLOCK_MS = 480_000
_MONTH_MS = 30 * 86400 * 1000


class EqualTokenTest(ReplacedUpstreamCase):
    def test_token_that_equals_that_of_a_predecessor_is_raised(self):
        """Guards against late starts of a predecessor with the same token."""
        self.second.token = 4000
        poll = self.second.poll

        def poll_with_equal_clock(instance, request, *args):
            reply = poll(instance, request, *args)
            return reply if request.fencing_token else replace(reply, clock_ms=4000)

        self.second.poll = poll_with_equal_clock
        self.first.crash()
        self.address.lifetime = self.second
        self.report_second_lifetime()
        self.wait_for(lambda: not self.executor.refusal_reason)
        late = StartRequest("j.0.0.0", 1, "50", self.second.clock_ms + 900, 4000)
        self.assertEqual("fenced", self.second.start("i-1", late).outcome)


class LeftTokenTest(ReplacedUpstreamCase):
    first_clock_ms = _OLD_CLOCK_MS

    def test_lifetime_that_received_an_old_token_is_used_again(self):
        """Guards against an upstream that is idle until its clock is as old."""
        self.start_at_the_second_lifetime()
        self.report_second_lifetime()
        self.wait_for(lambda: not self.executor.refusal_reason)

    def test_restarted_process_uses_a_lifetime_that_received_an_old_token(self):
        """Guards against upstreams that stay out of use after a restart of all."""
        self.start_at_the_second_lifetime()
        successor = self.open_executor(born_ms=2)
        self.assertEqual("", successor.refusal_reason)

    def test_late_request_of_the_earlier_session_starts_nothing(self):
        """Guards against a run that nobody knows at the next lifetime."""
        token = self.executor._current.session.next_token - 1
        self.first.crash()
        self.address.lifetime = self.second
        self.report_second_lifetime()
        self.wait_for(lambda: not self.executor.refusal_reason)
        lease_ms = self.second.clock_ms + 900
        late = StartRequest("j.0.0.0", 1, "50", lease_ms, token)
        self.assertEqual("fenced", self.second.start("i-1", late).outcome)


class SuccessorTokenTest(ReplacedUpstreamCase):
    first_clock_ms = _OLD_CLOCK_MS

    def test_late_start_of_an_earlier_process_is_rejected_by_the_next_lifetime(self):
        """Guards against a run that no process counts after a take-over.

        The clock of the next lifetime is far below that of the lifetime before.
        """
        session = self.executor._current.session
        token = session.next_token - 1
        session.close()
        self.first.crash()
        self.address.lifetime = self.second
        self.open_executor(born_ms=2)
        lease_ms = self.second.clock_ms + 900
        late = StartRequest("j.0.0.0", 1, "50", lease_ms, token)
        self.assertEqual("fenced", self.second.start("i-1", late).outcome)


class FencingTokenTest(TestCase):
    def test_token_of_months_is_exceeded_after_few_rejections(self):
        """Guards against an upstream that is out of use while its token is raised."""
        token = FencingToken()
        token.raise_to(500)
        rejections = 0
        while token.value < 3 * _MONTH_MS:
            token.on_fenced(token.value)
            rejections += 1
        self.assertLess(rejections, 25)

    def test_rejections_of_one_token_raise_it_once(self):
        """Guards against a token that many requests at once raise without need."""
        token = FencingToken(10)
        for _ in range(5):
            token.on_fenced(10)
        raised = token.value
        token.on_fenced(10)
        self.assertEqual(raised, token.value)
