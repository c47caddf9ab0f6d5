"""
tests.test_platform
~~~~~~~~~~~~~~~~~~~

The platform's processes over its protocol, against stand-ins of store and upstream.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
from gevent import socket
from testtools import TestCase

from papayaward.transport.upstream_http import NotSent, UpstreamClient, UpstreamLost
from standins.leased_upstream import LeasedUpstream, serve
from standins.platform_store import PlatformStoreStandIn

_ROOT = Path(__file__).resolve().parent.parent
_HEARTBEAT_S = 0.3
_READY_S = 10.0


def free_port():
    """Returns a port of the loopback address; neither it nor the next is in use."""
    while True:
        with socket.socket() as sock, socket.socket() as following:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
            try:
                following.bind(("127.0.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            return port


class PlatformTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.processes = {}
        self.settings = {}
        self.store_address = ("127.0.0.1", free_port())
        self.store = PlatformStoreStandIn(self.store_address)
        self.addCleanup(self.store.stop)
        self.route = {
            "name": "q",
            "host": "q.example",
            "prefix": "/q/",
            "service": "dispatch",
            "attempts": 2,
            "stretch": 1.6,
            "target_duration_ms": 60,
        }
        self.configure(1)

    def configure(self, version, **changes):
        document = {"version": version, "routes": [{**self.route, **changes}]}
        self.store.put("op/config", document)

    def start(self, name, role, upstream=None):
        """Starts a process; its HTTP ports are drawn anew the first time."""
        if name not in self.settings:
            self.settings[name] = self.draw_settings(name, role)
        settings = self.settings[name]
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(Path(self.folder.name) / f"{name}.log", "ab")
        self.addCleanup(log.close)
        process = subprocess.Popen(
            [sys.executable, "platform", role],
            cwd=_ROOT,
            stdout=log,
            stderr=log,
            env={"PAPAYAWARD_SETTINGS": str(path), "PATH": os.environ["PATH"]},
        )
        self.processes[name] = process
        self.addCleanup(self.kill, process)
        return process

    def draw_settings(self, name, role):
        addresses = {"control": f"127.0.0.1:{free_port()}"}
        if role == "entry":
            addresses["front"] = f"127.0.0.1:{free_port()}"
            addresses["ready"] = f"127.0.0.1:{free_port()}"
        link = free_port()
        return {
            "node_name": name,
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "r",
            "port_range": [link, link + 10],
            "listen_addrs": addresses,
            "seeds": [],
            "service": "dispatch" if role == "runner" else None,
            "app": f"127.0.0.1:{free_port()}",
            "bounds": {"grace_s": 3},
            "platform": {"address": "%s:%d" % self.store_address},
        }

    def kill(self, process):
        if process.poll() is None:
            process.kill()
        process.wait()

    def start_upstream(self, name):
        """Serves the upstream beside a runner and sends its reports."""
        settings = self.settings[name]
        upstream = LeasedUpstream("i-" + name)
        host, port = settings["app"].split(":")
        server = serve(upstream, (host, int(port)))
        self.addCleanup(server.stop, 0)
        client = UpstreamClient(
            host, int(settings["listen_addrs"]["control"].split(":")[1])
        )
        report = {
            "service": "dispatch",
            "address": settings["app"],
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 4000, "mem_mb": 4096, "gpus": 0},
            "labels": ["a", "r1-1"],
            "seq_no": 0,
            "born": 5,
        }

        def beat():
            while True:
                report["seq_no"] += 1
                try:
                    client.request(
                        "PUT",
                        f"/papayaward/instances/{upstream.instance}",
                        json.dumps(report).encode(),
                        {},
                    )
                except (NotSent, UpstreamLost):
                    pass
                gevent.sleep(_HEARTBEAT_S)

        task = gevent.spawn(beat)
        self.addCleanup(task.kill)
        return upstream

    def start_fleet(self, runners=2):
        self.start("e1", "entry")
        upstreams = []
        for i in range(runners):
            self.start(f"r{i}", "runner")
            upstreams.append(self.start_upstream(f"r{i}"))
        self.wait_ready("e1")
        return upstreams

    def wait_ready(self, entry):
        until = time.monotonic() + _READY_S
        while self.submit("00000000000000ff", 1, entry)[0] != 200:
            self.assertLess(time.monotonic(), until, self.log(entry)[-2000:])
            gevent.sleep(0.05)

    def log(self, name):
        return (Path(self.folder.name) / f"{name}.log").read_text()

    def events(self, name, event):
        found = []
        for line in self.log(name).splitlines():
            document = json.loads(line)
            if document.get("event") == event:
                found.append(document)
        return found

    def call(self, method, path, body=b"", entry="e1", deadline_ms=3000):
        address = self.settings[entry]["listen_addrs"]["front"].split(":")
        client = UpstreamClient(address[0], int(address[1]))
        headers = {"Deadline": deadline_ms, "Request-Id": "r-1", "Host": "q.example"}
        try:
            return client.request(method, path, body, headers)
        except (NotSent, UpstreamLost) as error:
            return None, str(error)
        finally:
            client.close()

    def submit(self, job_id, work_ms, entry="e1", tasks=1, stated_ms=100, **options):
        body = {
            "spec": str(work_ms),
            "best_effort": True,
            "phases": [{"count": tasks, "cpu": 1000, "est_runtime_ms": stated_ms}],
        }
        content = json.dumps(body).encode()
        return self.call("POST", f"/q/{job_id}", content, entry, **options)

    def test_job_is_served_and_unknown_paths_are_not(self):
        """Guards against a broken path through the adapter."""
        upstreams = self.start_fleet()
        status, content = self.submit("0123456789abcdef", 50, tasks=6)
        self.assertEqual((200, {"state": "completed"}), (status, json.loads(content)))
        started = [r for u in upstreams for r in u.records if r.task[0] == "0"]
        self.assertEqual(6, len([r for r in started if r.task.startswith("01234")]))
        self.assertEqual(404, self.call("POST", "/other/0123456789abcdef")[0])
        self.assertEqual(400, self.call("POST", "/q/0123456789abcdef", b"{")[0])
        self.assertEqual(410, self.call("GET", "/q/0123456789abcdef")[0])
        pending = json.loads(self.call("GET", "/q/")[1])
        self.assertEqual({"pending_jobs": 0}, pending)

    def test_job_that_must_be_stored_is_refused(self):
        """Guards against an acceptance that nothing stands behind."""
        self.start_fleet(runners=1)
        body = json.dumps({"spec": "1", "phases": [{"count": 1, "cpu": 1}]}).encode()
        self.assertEqual(503, self.call("POST", "/q/0123456789abcde0", body)[0])

    def test_configuration_changes_without_the_store_afterwards(self):
        """Guards against requests that an older configuration would handle."""
        self.start_fleet(runners=1)
        self.configure(4, prefix="/new/")
        gevent.sleep(0.5)
        self.assertEqual(404, self.submit("0123456789abcdef", 1)[0])
        self.store.mode = "silent"
        body = {"spec": "1", "best_effort": True, "phases": [{"cpu": 1000}]}
        content = json.dumps(body).encode()
        self.assertEqual(200, self.call("POST", "/new/0123456789abcdef", content)[0])

    def test_operators_change_arrives_after_lost_history_and_outage(self):
        """Guards against a watch that ends for good."""
        self.start_fleet(runners=1)
        self.store.mode = "busy"
        gevent.sleep(0.3)
        self.store.forget_before = 10**9
        self.configure(5, prefix="/new/")
        self.store.mode = "ok"
        gevent.sleep(2.0)
        self.assertEqual(404, self.submit("0123456789abcdef", 1)[0])

    def test_caller_that_leaves_stops_its_job(self):
        """Guards against runs that go on when the caller submits elsewhere."""
        (upstream,) = self.start_fleet(runners=1)
        waiting = gevent.spawn(self.submit, "0123456789abcdef", 5000)
        gevent.sleep(0.3)
        waiting.kill()
        gevent.sleep(0.3)
        record = [r for r in upstream.records if r.task.startswith("01234")][0]
        self.assertEqual("stopped", record.outcome)

    def test_killed_entry_leaves_no_run_behind(self):
        """Guards against a second run when the caller returns after 1.3 s."""
        (upstream,) = self.start_fleet(runners=1)
        waiting = gevent.spawn(self.submit, "0123456789abcdef", 5000)
        gevent.sleep(0.3)
        self.processes["e1"].kill()
        waiting.join(1.0)
        self.assertEqual(None, waiting.value[0])
        gevent.sleep(1.3)
        self.assertEqual({}, upstream.running)

    def test_restarted_runner_takes_its_upstream_over_without_a_report(self):
        """Guards against an upstream that idles until its next report."""
        self.start_fleet(runners=1)
        gevent.sleep(0.5)
        self.processes["r0"].kill()
        self.processes["r0"].wait()
        self.start("r0", "runner")
        gevent.sleep(1.5)
        self.assertEqual(1, len(self.events("r0", "upstream_recalled")))
        self.assertEqual(200, self.submit("0123456789abcdef", 20)[0])

    def test_entry_key_that_vanished_comes_back(self):
        """Guards against an entry that others no longer find after an outage."""
        self.start_fleet(runners=1)
        self.store.end_leases()
        gevent.sleep(1.0)
        self.assertEqual(
            ["papayaward/entries/e1"], self.store.keys("papayaward/entries/")
        )

    def test_stop_request_answers_what_is_in_progress(self):
        """Guards against requests that a planned stop cuts."""
        self.start_fleet(runners=1)
        waiting = gevent.spawn(self.submit, "0123456789abcdef", 600)
        gevent.sleep(0.2)
        self.processes["e1"].send_signal(signal.SIGTERM)
        waiting.join(3.0)
        self.assertEqual(200, waiting.value[0])
        self.assertEqual(0, self.processes["e1"].wait(timeout=3.0))

    def test_log_leads_from_a_request_to_its_outcome(self):
        """Guards against failures that on-call engineers cannot explain."""
        self.start_fleet(runners=1)
        self.submit("0123456789abcdef", 5000, deadline_ms=200)
        gevent.sleep(0.2)
        ended = self.events("e1", "job_ended")[-1]
        self.assertEqual("r-1", ended["request_id"])
        self.assertEqual(("unknown", "deadline"), (ended["outcome"], ended["reason"]))
        stopped = self.events("r0", "run_stopped")[-1]
        self.assertEqual("r-1", stopped["request_id"])

    def test_log_tells_why_a_request_was_refused(self):
        """Guards against refusals that on-call engineers cannot explain."""
        self.start_fleet(runners=1)
        self.processes["r0"].kill()
        gevent.sleep(0.3)
        status, _ = self.submit("0123456789abcdef", 50)
        self.assertEqual(503, status)
        gevent.sleep(0.2)
        ended = self.events("e1", "job_ended")[-1]
        self.assertEqual(("r-1", "not_run"), (ended["request_id"], ended["outcome"]))
        self.assertEqual("overload", ended["reason"])

    def test_log_tells_what_became_of_a_request_whose_entry_died(self):
        """Guards against broken connections that on-call engineers cannot explain."""
        self.start_fleet(runners=1)
        waiting = gevent.spawn(self.submit, "0123456789abcdef", 5000)
        gevent.sleep(0.3)
        self.processes["e1"].kill()
        gevent.sleep(1.0)
        self.assertEqual(None, waiting.value[0])
        stopped = self.events("r0", "run_stopped")[-1]
        self.assertEqual(
            ("r-1", "the entry is silent"), (stopped["request_id"], stopped["reason"])
        )
