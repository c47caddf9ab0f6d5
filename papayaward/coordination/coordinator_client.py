"""
papayaward.coordination.coordinator_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests of an entry to the homes of jobs, across lost links.
"""

from itertools import count

import gevent
from gevent.queue import Empty, SimpleQueue

from .. import clock
from ..protocol import mechanisms
from ..protocol.gen.ttypes import (
    Accepted,
    Answer,
    CancelReply,
    IdBlock,
    IdBlockRequest,
    QueryReply,
)
from ..protocol.identifiers import JobId
from ..protocol.outcomes import JobOutcome, Outcome, Reason
from ..state import invariants

__all__ = ["CoordinatorClient", "CoordinatorUnavailable"]

_REPLIES = (Accepted, Answer, CancelReply, IdBlock, QueryReply)
_LINK_DOWN = object()
_ID_BLOCK = 256
_POLL_S = 0.02

# Identifiers near their expiry are not handed out, so that a caller has time to
# use and to resubmit them.
_MIN_ID_LIFETIME_S = 60.0


class CoordinatorUnavailable(Exception):
    """The home of a job cannot be reached, or was replaced.

    Attributes:
        sent: Whether a message may have reached the home before.
    """

    sent = False


class CoordinatorClient:
    """Calls to homes, matched to their replies by request number.

    Args:
        node: The entry; supplies `members`, `settings` and `config`.
    """

    def __init__(self, node):
        self._node = node
        self._numbers = count(1)
        self._open = {}
        self._blocks = {}

    def on_message(self, link, message):
        """Hands a reply to its caller and returns whether it was a reply."""
        if not isinstance(message, _REPLIES):
            return False
        call = self._open.get(message.request_id)
        if not mechanisms.is_enabled("answer_matching"):
            call = next((c for c in self._open.values() if c[0] is link), None)
        if call is not None and call[0] is link:
            call[1].put(message)
        return True

    def on_link_down(self, link):
        """Wakes the callers that wait on a link."""
        for call_link, replies in list(self._open.values()):
            if call_link is link:
                replies.put(_LINK_DOWN)

    def request(self, home, incarnation, build, until):
        """Sends a message to a home and yields its replies.

        The message is sent again when the link was replaced: homes treat a second
        copy like the first.

        Args:
            home: Name of the runner.
            incarnation: Incarnation of the runner.
            build: Function from a request number to the message.
            until: Monotonic time at which to give up, seconds.

        Yields:
            The replies in their order.

        Raises:
            CoordinatorUnavailable: The home was replaced or not reachable for the
                grace time.
            TimeoutError: No reply came until the given time.
        """
        sent = False
        while True:
            try:
                link = self._wait_for_link(home, incarnation)
            except CoordinatorUnavailable as error:
                error.sent = sent
                raise
            number = next(self._numbers)
            replies = SimpleQueue()
            self._open[number] = (link, replies)
            try:
                sent = link.try_send(build(number)) or sent
                while True:
                    reply = self._next_reply(link, replies, until)
                    if reply is _LINK_DOWN:
                        break
                    yield reply
            finally:
                del self._open[number]

    def request_once(self, home, incarnation, build, until):
        """Returns the first reply to a message; errors as for `request`."""
        replies = self.request(home, incarnation, build, until)
        try:
            return next(replies)
        finally:
            replies.close()

    def await_outcome(self, job_id, build, until, accepted_only=False, fresh=False):
        """Returns the outcome of a job, or None if it is not due yet.

        Args:
            job_id: `JobId`.
            build: Function from a request number to the message.
            until: Monotonic time at which to give up, seconds.
            accepted_only: Returns None as soon as the home has accepted the job.
            fresh: Whether the identifier was never handed to a caller.

        Returns:
            JobOutcome: The answer; `unknown` when the home is gone.

        Raises:
            CoordinatorUnavailable: The identifier is fresh and nothing was sent to
                its home, so the job can be given to another home.
        """
        replies = self.request(job_id.member, job_id.incarnation, build, until)
        try:
            for reply in replies:
                if isinstance(reply, Answer):
                    invariants.check(
                        "answer_to_its_caller",
                        reply.job_id == str(job_id),
                        job=str(job_id),
                        answered=reply.job_id,
                    )
                    return _outcome(reply)
                if accepted_only:
                    return None
        except CoordinatorUnavailable as error:
            if fresh and not error.sent:
                raise
            return JobOutcome(Outcome.UNKNOWN, Reason.HOME_GONE, str(error))
        except TimeoutError:
            return None
        finally:
            replies.close()

    def new_ids(self, view, wanted, now):
        """Returns job identifiers issued by a coordinator.

        Args:
            view: `MemberView` of the coordinator.
            wanted: Number of identifiers.
            now: Monotonic time, seconds.

        Raises:
            CoordinatorUnavailable: The coordinator cannot be reached.
            TimeoutError: The coordinator did not answer within a second.
        """
        self._node.activate_coordinator(view)
        hello = view.hello
        key = (hello.member, hello.incarnation)
        ids = []
        while len(ids) < wanted:
            numbers, expires = self._blocks.get(key, (range(0), 0.0))
            if not numbers or expires < now:
                numbers, expires = self._request_block(hello, wanted, now)
            taken = numbers[: wanted - len(ids)]
            self._blocks[key] = (numbers[len(taken) :], expires)
            ids += [JobId(hello.member, hello.incarnation, n) for n in taken]
        return ids

    def take_cached_id(self, view, now):
        """Returns an identifier from the present block of a coordinator, or None."""
        key = (view.hello.member, view.hello.incarnation)
        numbers, expires = self._blocks.get(key, (range(0), 0.0))
        if not numbers or expires < now:
            return None
        self._blocks[key] = (numbers[1:], expires)
        return JobId(*key, numbers[0])

    def prepare(self, view, now):
        """Makes a coordinator ready for jobs: its cell and a block of identifiers.

        Raises:
            CoordinatorUnavailable: The coordinator cannot be reached.
            TimeoutError: The coordinator did not answer within a second.
        """
        self._node.activate_coordinator(view)
        key = (view.hello.member, view.hello.incarnation)
        numbers, expires = self._blocks.get(key, (range(0), 0.0))
        if len(numbers) < _ID_BLOCK // 4 or expires < now:
            self._blocks[key] = self._request_block(view.hello, _ID_BLOCK, now)

    def drop_ids(self, hello):
        """Drops the identifiers of a runner that is gone."""
        self._blocks.pop((hello.member, hello.incarnation), None)

    def _request_block(self, hello, wanted, now):
        block = self.request_once(
            hello.member,
            hello.incarnation,
            lambda number: IdBlockRequest(number, max(_ID_BLOCK, wanted)),
            now + 1.0,
        )
        lifetime_s = block.ttl_ms / 1000
        usable_s = max(lifetime_s / 2, lifetime_s - _MIN_ID_LIFETIME_S)
        return range(block.first, block.first + block.count), now + usable_s

    def _wait_for_link(self, home, incarnation):
        give_up = clock.now() + self._node.settings.reconnect_grace_s
        while True:
            view = self._node.members.get(home)
            if view is not None:
                same = view.hello.incarnation == incarnation
                if not same and mechanisms.is_enabled("incarnation_check"):
                    raise CoordinatorUnavailable(f"{home} was replaced")
                # A closed link stays in the view until its reader has ended.
                if not view.link.closed:
                    return view.link
            if clock.now() >= give_up:
                raise CoordinatorUnavailable(f"{home} cannot be reached")
            gevent.sleep(_POLL_S)

    def _next_reply(self, link, replies, until):
        if link.closed:
            return _LINK_DOWN
        remaining = until - clock.now()
        if remaining <= 0:
            raise TimeoutError
        try:
            return replies.get(timeout=remaining)
        except Empty:
            raise TimeoutError from None


def _outcome(answer):
    return JobOutcome(
        Outcome(answer.outcome),
        Reason(answer.reason),
        answer.detail,
        tuple(answer.results),
        answer.retry_after_ms,
        answer.started,
        answer.queue_us,
        answer.service_us,
    )
