"""
tests.test_platform
~~~~~~~~~~~~~~~~~~~

The platform's processes with stand-ins of its store and its upstreams.
"""

import json
import signal
import tempfile

import gevent
from testtools import TestCase

from standins.fleet import free_port
from standins.platform_fleet import HOST, PlatformFleet
from standins.platform_store import PlatformStoreStandIn
from tests import odd_values


class PlatformTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(folder.name)
        self.addCleanup(self.fleet.stop)

    def start_fleet(self, runners=2):
        self.fleet.start("e1", "entry")
        upstreams = []
        for i in range(runners):
            self.fleet.start(f"r{i}", "runner")
            upstreams.append(self.fleet.start_upstream(f"r{i}"))
        self.assertTrue(self.fleet.wait_ready("e1"), self.fleet.log("e1")[-2000:])
        return upstreams

    def test_job_is_served_and_unknown_paths_are_rejected(self):
        """Guards against a broken request path through the platform's adapter."""
        upstreams = self.start_fleet()
        status, content = self.fleet.submit("0123456789abcdef", 50, tasks=6)
        self.assertEqual((200, {"state": "completed"}), (status, json.loads(content)))
        started = [r for u in upstreams for r in u.records if r.task[0] == "0"]
        self.assertEqual(6, len([r for r in started if r.task.startswith("01234")]))
        self.assertEqual(404, self.fleet.call("POST", "/other/0123456789abcdef")[0])
        self.assertEqual(400, self.fleet.call("POST", "/q/0123456789abcdef", b"{")[0])
        self.assertEqual(410, self.fleet.call("GET", "/q/0123456789abcdef")[0])
        pending = json.loads(self.fleet.call("GET", "/q/")[1])
        self.assertEqual({"pending_jobs": 0}, pending)

    def test_unsupported_job_is_refused(self):
        """Guards against accepting a job with options that are not supported."""
        self.start_fleet(runners=1)
        phase = {"count": 1, "cpu": 1}
        bodies = [
            {"spec": "1", "phases": [phase]},
            {"spec": "1", "best_effort": True, "phases": [{**phase, "gang": True}]},
            {"spec": "1", "best_effort": True, "repeat_count": 2, "phases": [phase]},
        ]
        for body in bodies:
            content = json.dumps(body).encode()
            reply = self.fleet.call("POST", "/q/0123456789abcde0", content)
            self.assertEqual(503, reply[0], body)

    def test_reload_applies_the_new_address_of_the_store(self):
        """Guards against a process that still uses the store's old address."""
        self.start_fleet(runners=1)
        moved = PlatformStoreStandIn((HOST, free_port()))
        self.addCleanup(moved.stop)
        route = {"name": "q", "host": "q.example", "prefix": "/new/", "service": "x"}
        moved.put("op/config", {"version": 9, "routes": [route]})
        self.fleet.store.stop()
        path = f"{self.fleet.folder}/e1.json"
        with open(path) as file:
            settings = json.load(file)
        settings["platform"]["address"] = "%s:%d" % moved.address
        with open(path, "w") as file:
            json.dump(settings, file)
        self.fleet.processes["e1"].send_signal(signal.SIGHUP)
        gevent.sleep(4.0)
        self.assertEqual(404, self.fleet.submit("0123456789abcdef", 1)[0])

    def test_configuration_change_stays_in_force_without_the_store(self):
        """Guards against handling requests with an older configuration."""
        self.start_fleet(runners=1)
        self.fleet.configure(4, prefix="/new/")
        gevent.sleep(0.5)
        self.assertEqual(404, self.fleet.submit("0123456789abcdef", 1)[0])
        self.fleet.store.mode = "silent"
        body = {"spec": "1", "best_effort": True, "phases": [{"cpu": 1000}]}
        content = json.dumps(body).encode()
        self.assertEqual(
            200, self.fleet.call("POST", "/new/0123456789abcdef", content)[0]
        )

    def test_operators_change_arrives_after_lost_history_and_outage(self):
        """Guards against a watch that ends permanently."""
        self.start_fleet(runners=1)
        self.fleet.store.mode = "busy"
        gevent.sleep(0.3)
        self.fleet.store.compacted_revision = 10**9
        self.fleet.configure(5, prefix="/new/")
        self.fleet.store.mode = "ok"
        gevent.sleep(2.0)
        self.assertEqual(404, self.fleet.submit("0123456789abcdef", 1)[0])

    def test_change_arrives_although_the_watch_went_silent_before(self):
        """Guards against a watch whose connection is silent for good unnoticed."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(folder.name, proxied=True)
        self.addCleanup(self.fleet.stop)
        self.start_fleet(runners=1)
        gevent.sleep(0.5)
        self.fleet.store_proxy.silence_open()
        # From 3 s after the disruption a version has to be in force within 2 s.
        gevent.sleep(3.0)
        self.fleet.configure(5, prefix="/new/")
        gevent.sleep(2.0)
        self.assertEqual(404, self.fleet.submit("0123456789abcdef", 1)[0])

    def test_job_is_stopped_when_its_caller_disconnects(self):
        """Guards against runs that continue when the caller submits elsewhere."""
        (upstream,) = self.start_fleet(runners=1)
        waiting = gevent.spawn(self.fleet.submit, "0123456789abcdef", 5000)
        gevent.sleep(0.3)
        waiting.kill()
        gevent.sleep(0.3)
        record = [r for r in upstream.records if r.task.startswith("01234")][0]
        self.assertEqual("stopped", record.outcome)

    def test_killed_entry_leaves_no_run_behind(self):
        """Guards against a second run when the caller resubmits after 1.3 s."""
        (upstream,) = self.start_fleet(runners=1)
        waiting = gevent.spawn(self.fleet.submit, "0123456789abcdef", 5000)
        gevent.sleep(0.3)
        self.fleet.kill("e1")
        waiting.join(1.0)
        self.assertEqual(None, waiting.value[0])
        gevent.sleep(1.3)
        self.assertEqual({}, upstream.current.running)

    def restart_without_reports(self, upstream):
        """Kills the runner and waits until its successor has taken the upstream over.

        The upstream sends no report meanwhile.
        """
        upstream.reporting = False
        self.fleet.kill("r0")
        self.fleet.store.mode = "ok"
        taken = len(self.fleet.events("r0", "upstream_taken"))
        self.fleet.start("r0", "runner")
        with gevent.Timeout(5.0):
            while len(self.fleet.events("r0", "upstream_taken")) == taken:
                gevent.sleep(0.05)

    def test_restarted_runner_takes_its_upstream_over_before_its_report(self):
        """Guards against an upstream that stays idle after its report has come.

        The predecessor's runs are stopped and its requests are fenced before that.
        """
        (upstream,) = self.start_fleet(runners=1)
        gevent.sleep(0.5)
        waiting = gevent.spawn(self.fleet.submit, "0123456789abcde0", 5000)
        gevent.sleep(0.3)
        self.restart_without_reports(upstream)
        self.assertEqual(1, len(self.fleet.events("r0", "upstream_recalled")))
        self.assertEqual({}, upstream.current.running)
        waiting.kill()
        upstream.reporting = True
        gevent.sleep(0.4)
        self.assertEqual(200, self.fleet.submit("0123456789abcdef", 20)[0])

    def test_upstream_that_shrank_unstored_is_not_overloaded_after_a_restart(self):
        """Guards against starts with a capacity that the store has and that is gone."""
        (upstream,) = self.start_fleet(runners=1)
        self.fleet.store.mode = "busy"
        upstream.resize(2)
        gevent.sleep(0.5)
        changed = self.fleet.events("r0", "upstream_capacity_changed")
        self.assertEqual(2000, changed[-1]["capacity"]["cpu_millis"])
        self.restart_without_reports(upstream)
        submissions = []
        for number in range(4):
            job_id = f"0123456789abcde{number}"
            submissions.append(gevent.spawn(self.fleet.submit, job_id, 1500))
        gevent.sleep(0.5)
        self.assertLessEqual(len(upstream.current.running), 2)
        upstream.reporting = True
        gevent.sleep(0.4)
        for number in range(4, 8):
            job_id = f"0123456789abcde{number}"
            submissions.append(gevent.spawn(self.fleet.submit, job_id, 1500))
        gevent.sleep(0.3)
        self.assertEqual(2, len(upstream.current.running))
        gevent.killall(submissions)

    def test_expired_entry_key_is_republished(self):
        """Guards against an entry that others cannot find after a store outage."""
        self.start_fleet(runners=1)
        self.fleet.store.revoke_leases()
        gevent.sleep(1.0)
        self.assertEqual(
            ["papayaward/entries/e1"], self.fleet.store.keys("papayaward/entries/")
        )

    def test_requests_in_progress_are_answered_before_shutdown(self):
        """Guards against requests that are aborted by a planned stop."""
        self.start_fleet(runners=1)
        waiting = gevent.spawn(self.fleet.submit, "0123456789abcdef", 600)
        gevent.sleep(0.2)
        self.fleet.processes["e1"].send_signal(signal.SIGTERM)
        waiting.join(3.0)
        self.assertEqual(200, waiting.value[0])
        self.assertEqual(0, self.fleet.processes["e1"].wait(timeout=3.0))

    def test_job_that_cannot_end_before_shutdown_is_answered_at_once(self):
        """Guards against waiting for a job that a closing entry cannot finish."""
        self.start_fleet(runners=1)
        # The only earlier job declared 100 ms and took at least 1 ms, so the ratio of
        # actual to declared time is estimated as at least 0.01. Even at that ratio this
        # job takes 20 s, longer than the grace period of 3 s.
        waiting = gevent.spawn(
            self.fleet.submit,
            "0123456789abcdef",
            20_000,
            estimate_ms=2_000_000,
            deadline_ms=10_000_000,
        )
        gevent.sleep(0.2)
        self.fleet.processes["e1"].send_signal(signal.SIGTERM)
        # Otherwise the answer would come at the end of the grace period.
        waiting.join(1.5)
        self.assertEqual(504, waiting.value[0])
        self.assertEqual(0, self.fleet.processes["e1"].wait(timeout=3.0))
        ended = self.fleet.events("e1", "job_ended")[-1]
        self.assertEqual(("unknown", "closing"), (ended["outcome"], ended["reason"]))

    def test_log_shows_the_outcome_of_a_request(self):
        """Guards against logs that do not tell on-call staff why a job failed."""
        self.start_fleet(runners=1)
        self.fleet.submit("0123456789abcdef", 5000, deadline_ms=200)
        gevent.sleep(0.2)
        ended = self.fleet.events("e1", "job_ended")[-1]
        self.assertEqual("r-1", ended["request_id"])
        self.assertEqual(("unknown", "deadline"), (ended["outcome"], ended["reason"]))
        stopped = self.fleet.events("r0", "run_stopped")[-1]
        self.assertEqual("r-1", stopped["request_id"])

    def test_log_shows_why_a_request_was_refused(self):
        """Guards against logs that do not tell on-call staff why a job was refused."""
        self.start_fleet(runners=1)
        self.fleet.kill("r0")
        gevent.sleep(0.3)
        status, _ = self.fleet.submit("0123456789abcdef", 50)
        self.assertEqual(503, status)
        gevent.sleep(0.2)
        ended = self.fleet.events("e1", "job_ended")[-1]
        self.assertEqual(("r-1", "not_run"), (ended["request_id"], ended["outcome"]))
        self.assertEqual("overload", ended["reason"])

    def test_log_shows_the_outcome_of_a_request_whose_entry_was_killed(self):
        """Guards against logs that do not tell on-call staff why a run was stopped."""
        self.start_fleet(runners=1)
        waiting = gevent.spawn(self.fleet.submit, "0123456789abcdef", 5000)
        gevent.sleep(0.3)
        self.fleet.kill("e1")
        gevent.sleep(1.0)
        self.assertEqual(None, waiting.value[0])
        stopped = self.fleet.events("r0", "run_stopped")[-1]
        self.assertEqual(
            ("r-1", "the entry is silent"), (stopped["request_id"], stopped["reason"])
        )

    def test_jobs_are_served_beside_odd_keys_of_another_program(self):
        """Guards against processes that end, or stop following the store's lists."""
        self.start_fleet(runners=1)
        odd = [text for text in odd_values.PEER_ADDRESSES.values() if text[0] == '"']
        values = [b'{"link": %s}' % text.encode() for text in odd]
        values += odd_values.TEXTS.values()
        for number, value in enumerate(values):
            for prefix in ("papayaward/entries/odd", "op/evacuate/", "op/odd"):
                self.fleet.store.put_bytes(f"{prefix}{number}", value)
        self.fleet.store.put_bytes("papayaward/upstreams/r1", b"[" * 200_000)
        self.fleet.start("e2", "entry")
        self.fleet.start("r1", "runner")
        self.fleet.start_upstream("r1")
        self.assertTrue(self.fleet.wait_ready("e2"), self.fleet.log("e2")[-2000:])
        for entry in ("e1", "e2"):
            status, content = self.fleet.submit("0" * 15 + entry[1], 50, entry=entry)
            self.assertEqual(200, status, content)
        self.fleet.configure(4, prefix="/new/")
        gevent.sleep(1.0)
        for entry in ("e1", "e2"):
            self.assertEqual(404, self.fleet.submit("0" * 16, 1, entry=entry)[0])
        for name, process in self.fleet.processes.items():
            self.assertIsNone(process.poll(), name)
        keys = [event["key"] for event in self.fleet.events("e1", "entry_key_invalid")]
        self.assertEqual(len(values), len(set(keys)))
        self.assertEqual(len(keys), len(set(keys)))
