"""
tests.test_path
~~~~~~~~~~~~~~~

The whole path of a job: caller, entry, coordinator, executors and upstreams.
"""

from standins.fleet import call

from .fleet_case import FleetCase

__all__ = []


class PathTest(FleetCase):
    def test_job_gets_one_complete_answer(self):
        """Guards against lost, repeated or reordered results."""
        fleet = self.start_fleet()
        tasks = [{"work_ms": 20, "echo": number} for number in range(60)]
        reply = fleet.submit(tasks)
        self.assertEqual(200, reply.status, reply.body)
        self.assertEqual("complete", reply.json["outcome"])
        echoes = [result["echo"] for result in reply.json["results"]]
        self.assertEqual(list(range(60)), echoes)
        self.assert_started_once(fleet, reply.json["job_id"], 60)

    def test_resubmission_through_another_entry_starts_nothing(self):
        """Guards against a second start when a caller resubmits a job."""
        fleet = self.start_fleet()
        job_id = fleet.new_ids(1)[0]
        tasks = [{"work_ms": 50, "echo": number} for number in range(10)]
        first = fleet.submit(tasks, job_id=job_id)
        second = fleet.submit(tasks, index=1, job_id=job_id)
        self.assertEqual(200, first.status, first.body)
        self.assertEqual(first.json["results"], second.json["results"])
        self.assert_started_once(fleet, job_id, 10)

    def test_bad_input_is_refused_as_not_run(self):
        """Guards against a crash or a wrong outcome for malformed requests."""
        fleet = self.start_fleet()
        for body, status in (
            (b"{", 400),
            (b"[]", 400),
            (b'{"service": "dispatch", "tenant": "t1", "class": "c1"}', 400),
            (
                b'{"service": "x", "tenant": "t1", "class": "c1", "tasks": [1]}',
                422,
            ),
        ):
            reply = call(fleet.entry(), "POST", "/v1/jobs", body)
            self.assertEqual(status, reply.status, reply.body)
            self.assertEqual("not_run", reply.json["outcome"])
        self.assertEqual(200, fleet.submit([{"work_ms": 1}]).status)

    def test_fetch_before_the_submission_does_not_use_up_the_identifier(self):
        """Guards against refusing a submission after an early fetch of its result."""
        fleet = self.start_fleet(entries=1)
        job_id = fleet.new_ids(1)[0]
        early = call(fleet.entry(), "GET", f"/v1/jobs/{job_id}")
        self.assertEqual((404, "not_submitted"), (early.status, early.json["reason"]))
        self.assertEqual("unknown", early.json["outcome"])
        reply = fleet.submit([{"work_ms": 1}], job_id=job_id)
        self.assertEqual(200, reply.status, reply.body)

    def test_identifier_with_another_body_does_not_get_its_answer(self):
        """Guards against answering a request with another request's result."""
        fleet = self.start_fleet()
        job_id = fleet.new_ids(1)[0]
        first = fleet.submit([{"work_ms": 1, "echo": "a"}], job_id=job_id)
        other = fleet.submit([{"work_ms": 1, "echo": "b"}], index=1, job_id=job_id)
        self.assertEqual(200, first.status, first.body)
        self.assertEqual((422, "key_reused"), (other.status, other.json["reason"]))
        self.assert_started_once(fleet, job_id, 1)
