"""
tests.test_idempotency_keys
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs that are submitted with an `Idempotency-Key` instead of an identifier.
"""

import gevent

from papayaward.coordination.idempotency_keys import KeyWriteLimiter
from standins.fleet import call

from .fleet_case import FleetCase

__all__ = []

# Each unanswered call of the store takes an entry 1 s.
_MAX_POSTS = 10

_JOB = {
    "service": "dispatch",
    "tenant": "t1",
    "class": "c1",
    "tasks": [{"work_ms": 100, "echo": 1}],
}


def _post(fleet, key, index=0, **changes):
    headers = {"Idempotency-Key": key}
    document = {**_JOB, **changes}
    return call(fleet.entry(index), "POST", "/v1/jobs", document, headers=headers)


def _is_store_timeout(reply):
    """Returns whether an entry got no answer of the store within its time-out."""
    document = reply.json
    return (
        document.get("reason") == "store_unavailable"
        and "the store did not answer" in document["detail"]
    )


class IdempotencyKeyTest(FleetCase):
    def test_one_key_starts_one_job_through_two_entries_at_once(self):
        """Guards against a second start when both entries map a key at once."""
        fleet = self.start_fleet()
        for number in range(5):
            key = f"order-{number}"
            posts = [gevent.spawn(_post, fleet, key, index) for index in (0, 1, 0, 1)]
            gevent.joinall(posts)
            replies = [post.value for post in posts]
            self.assertEqual({200}, {reply.status for reply in replies})
            self.assertEqual(1, len({reply.json["job_id"] for reply in replies}))
            self.assert_started_once(fleet, replies[0].json["job_id"], 1)
        self.assertEqual(5, len(fleet.records()))

    def test_lost_store_answer_does_not_lose_or_double_the_job(self):
        """Guards against a second identifier after a lost answer of the store."""
        fleet = self.start_fleet()
        fleet.control_store(mode="lose")
        first = _post(fleet, "k1")
        fleet.control_store(mode="ok")
        # A caller sends the same key again while the store does not answer.
        replies = [_post(fleet, "k1", 1)]
        while len(replies) < _MAX_POSTS and _is_store_timeout(replies[-1]):
            self.assertEqual("unknown", replies[-1].json["outcome"], replies[-1].body)
            replies.append(_post(fleet, "k1", 1))
        second = replies[-1]
        self.assertEqual(200, second.status, second.body)
        self.assertIn(first.status, (200, 503), first.body)
        self.assert_started_once(fleet, second.json["job_id"], 1)
        self.assertEqual(1, len(fleet.records()))

    def test_store_outage_is_never_answered_as_not_run(self):
        """Guards against a false `not_run` for a key whose job has run before."""
        fleet = self.start_fleet()
        self.assertEqual(200, _post(fleet, "k1").status)
        fleet.control_store(mode="down")
        reply = _post(fleet, "k1", 1)
        self.assertEqual(503, reply.status, reply.body)
        self.assertEqual("unknown", reply.json["outcome"])
        self.assertIn("Retry-After", {name.title() for name in reply.headers})

    def test_other_body_with_the_same_key_is_refused(self):
        """Guards against answering a new request with an older one's result."""
        fleet = self.start_fleet()
        self.assertEqual(200, _post(fleet, "k1").status)
        reply = _post(fleet, "k1", tasks=[{"work_ms": 1}])
        self.assertEqual(422, reply.status, reply.body)
        self.assertEqual("key_reused", reply.json["reason"])
        self.assertEqual(1, len(fleet.records()))

    def test_key_limit_refills_with_time(self):
        """Guards against more store writes per second than the setting allows."""
        limit = KeyWriteLimiter(10)
        self.assertEqual(10, sum(limit.take(5.0) for _ in range(30)))
        self.assertEqual(5, sum(limit.take(5.5) for _ in range(30)))
