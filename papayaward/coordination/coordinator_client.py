"""
papayaward.coordination.coordinator_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends the requests of an entry to coordinators, and resends them on new links.
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
_ID_BLOCK_SIZE = 256
_POLL_S = 0.02

# Identifiers near their expiry are not handed out, so that callers have time to
# submit and resubmit jobs with them.
_MIN_ID_LIFETIME_S = 60.0


class CoordinatorUnavailable(Exception):
    """The coordinator of a job cannot be reached, or was replaced.

    Attributes:
        sent: Whether the request may have reached the coordinator.
    """

    sent = False


class CoordinatorClient:
    """Sends requests to coordinators and matches the replies by request number.

    Args:
        node: The entry; supplies `members`, `settings` and `config`.
    """

    def __init__(self, node):
        self._node = node
        self._request_numbers = count(1)
        self._pending = {}
        self._id_blocks = {}

    def on_message(self, link, message):
        """Passes a reply to its waiting request; returns False for other messages."""
        if not isinstance(message, _REPLIES):
            return False
        call = self._pending.get(message.request_id)
        if not mechanisms.is_enabled("answer_matching"):
            call = next((c for c in self._pending.values() if c[0] is link), None)
        if call is not None and call[0] is link:
            call[1].put(message)
        return True

    def on_link_down(self, link):
        """Wakes the requests that wait for a reply on a link."""
        for call_link, replies in list(self._pending.values()):
            if call_link is link:
                replies.put(_LINK_DOWN)

    def request(self, member, incarnation, build, deadline):
        """Sends a message to a coordinator and yields its replies.

        The message is sent again on each new link to the runner: coordinators treat
        a duplicate like the first copy.

        Args:
            member: Name of the runner.
            incarnation: Incarnation of the runner.
            build: Function from a request number to the message.
            deadline: Monotonic time at which to give up, seconds.

        Yields:
            The replies in their order.

        Raises:
            CoordinatorUnavailable: The runner was replaced, or was unreachable for the
                grace period.
            TimeoutError: No reply arrived before the deadline.
        """
        sent = False
        while True:
            try:
                link = self._wait_for_link(member, incarnation)
            except CoordinatorUnavailable as error:
                error.sent = sent
                raise
            number = next(self._request_numbers)
            replies = SimpleQueue()
            self._pending[number] = (link, replies)
            try:
                sent = link.try_send(build(number)) or sent
                while True:
                    reply = self._next_reply(link, replies, deadline)
                    if reply is _LINK_DOWN:
                        break
                    yield reply
            finally:
                del self._pending[number]

    def request_once(self, member, incarnation, build, deadline):
        """Returns the first reply to a message; errors as for `request`."""
        replies = self.request(member, incarnation, build, deadline)
        try:
            return next(replies)
        finally:
            replies.close()

    def await_outcome(self, job_id, build, deadline, accepted_only=False, fresh=False):
        """Waits for the outcome of a job; returns None if the deadline passes first.

        Args:
            job_id: `JobId`.
            build: Function from a request number to the message.
            deadline: Monotonic time at which to give up, seconds.
            accepted_only: Whether to return None as soon as the coordinator has
                accepted the job.
            fresh: Whether no caller has received the identifier yet.

        Returns:
            JobOutcome: The outcome; `unknown` if the coordinator is unavailable.

        Raises:
            CoordinatorUnavailable: The identifier is fresh and nothing was sent, so
                the job can be submitted to another coordinator.
        """
        replies = self.request(job_id.member, job_id.incarnation, build, deadline)
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
            numbers, expires = self._id_blocks.get(key, (range(0), 0.0))
            if not numbers or expires < now:
                numbers, expires = self._request_block(hello, wanted, now)
            taken = numbers[: wanted - len(ids)]
            self._id_blocks[key] = (numbers[len(taken) :], expires)
            ids += [JobId(hello.member, hello.incarnation, n) for n in taken]
        return ids

    def take_cached_id(self, view, now):
        """Returns an identifier from a coordinator's cached block, or None."""
        key = (view.hello.member, view.hello.incarnation)
        numbers, expires = self._id_blocks.get(key, (range(0), 0.0))
        if not numbers or expires < now:
            return None
        self._id_blocks[key] = (numbers[1:], expires)
        return JobId(*key, numbers[0])

    def prepare(self, view, now):
        """Activates a coordinator and fetches identifiers from it if few are left.

        Raises:
            CoordinatorUnavailable: The coordinator cannot be reached.
            TimeoutError: The coordinator did not answer within a second.
        """
        self._node.activate_coordinator(view)
        key = (view.hello.member, view.hello.incarnation)
        numbers, expires = self._id_blocks.get(key, (range(0), 0.0))
        if len(numbers) < _ID_BLOCK_SIZE // 4 or expires < now:
            self._id_blocks[key] = self._request_block(view.hello, _ID_BLOCK_SIZE, now)

    def drop_ids(self, hello):
        """Drops the cached identifiers of a runner that left."""
        self._id_blocks.pop((hello.member, hello.incarnation), None)

    def _request_block(self, hello, wanted, now):
        block = self.request_once(
            hello.member,
            hello.incarnation,
            lambda number: IdBlockRequest(number, max(_ID_BLOCK_SIZE, wanted)),
            now + 1.0,
        )
        lifetime_s = block.ttl_ms / 1000
        usable_s = max(lifetime_s / 2, lifetime_s - _MIN_ID_LIFETIME_S)
        return range(block.first, block.first + block.count), now + usable_s

    def _wait_for_link(self, member, incarnation):
        deadline = clock.now() + self._node.settings.reconnect_grace_s
        while True:
            view = self._node.members.get(member)
            if view is not None:
                same = view.hello.incarnation == incarnation
                if not same and mechanisms.is_enabled("incarnation_check"):
                    raise CoordinatorUnavailable(f"{member} was replaced")
                # A closed link stays in the view until its reader has stopped.
                if not view.link.closed:
                    return view.link
            if clock.now() >= deadline:
                raise CoordinatorUnavailable(f"{member} cannot be reached")
            gevent.sleep(_POLL_S)

    def _next_reply(self, link, replies, deadline):
        if link.closed:
            return _LINK_DOWN
        remaining = deadline - clock.now()
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
