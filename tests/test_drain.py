"""
tests.test_drain
~~~~~~~~~~~~~~~~

Graceful stops of entries, runners and upstreams under load.
"""

import signal
import socket
import time

import gevent
from gevent import socket as gevent_socket

from standins.callers import Callers
from standins.fleet import call

from .fleet_case import FleetCase, echo_tasks

__all__ = []

_RUNNERS = [{"domain": domain} for domain in "abca"]


class DrainTest(FleetCase):
    def test_executor_stops(self):
        """Guards against tasks that are aborted when their executor stops."""
        fleet = self.start_fleet(runners=_RUNNERS)
        coordinator = fleet.coordinator()
        victim = min({"r1", "r2", "r3", "r4"} - {coordinator})
        self._stop_under_load(fleet, victim)

    def test_coordinator_stops(self):
        """Guards against jobs that are aborted when their coordinator stops."""
        fleet = self.start_fleet(runners=_RUNNERS)
        self._stop_under_load(fleet, fleet.coordinator())

    def test_coordinator_stops_with_a_long_queue(self):
        """Guards against queued tasks that are dropped when their coordinator stops."""
        fleet = self.start_fleet(runners=_RUNNERS)
        coordinator = fleet.coordinator()
        tasks = echo_tasks(200, 200)
        job = self.submit_async(fleet, tasks)
        gevent.sleep(0.3)
        fleet.signal(coordinator, signal.SIGTERM)
        self.assert_complete(job.get(timeout=20), tasks)
        self._wait_end(fleet, coordinator)
        self.assert_no_second_start(fleet)

    def test_entry_stops(self):
        """Guards against requests that are aborted when their entry stops."""
        fleet = self.start_fleet(runners=_RUNNERS)
        tasks = [echo_tasks(6, 700, n) for n in range(8)]
        jobs = [self.submit_async(fleet, one) for one in tasks]
        # An idle connection must not delay the stop.
        host, _, port = fleet.entry().rpartition(":")
        idle = socket.create_connection((host, int(port)))
        self.addCleanup(idle.close)
        gevent.sleep(0.3)
        fleet.signal("e1", signal.SIGTERM)
        gevent.sleep(0.1)
        refused = fleet.submit(echo_tasks(1, 1))
        self.assertEqual("not_run", refused.json["outcome"], refused.body)
        self.assertEqual(503, call(fleet.entry(), "GET", "/readyz").status)
        for one, job in zip(tasks, jobs):
            self.assert_complete(job.get(timeout=10), one)
        self._wait_end(fleet, "e1")
        after = echo_tasks(6, 10, "after")
        self.assert_complete(fleet.submit(after, index=1), after)

    def test_entry_stops_during_slow_transfers(self):
        """Guards against a stop that truncates an upload or a response."""
        fleet = self.start_fleet()
        host, _, port = fleet.entry().rpartition(":")
        # 3 MB of echo values do not fit into the buffers of a socket.
        task = {"work_ms": 1, "echo": "x" * 3_000_000}
        body = (
            b'{"service": "dispatch", "tenant": "t1", "class": "c1", "tasks": ['
            b'{"work_ms": 1, "echo": "' + b"x" * 3_000_000 + b'"}]}'
        )
        head = (
            f"POST /v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        uploading = gevent_socket.create_connection((host, int(port)))
        uploading.sendall(head.encode() + body[:1000])
        reading = gevent_socket.create_connection((host, int(port)))
        reading.sendall(head.encode() + body)
        gevent.sleep(1.0)
        fleet.signal("e1", signal.SIGTERM)
        gevent.sleep(1.5)
        uploading.sendall(body[1000:])
        upload_reply = _read_reply(uploading)
        # The upload was incomplete when the stop began, so the job is refused.
        self.assertIn(b"HTTP/1.1 503", upload_reply[:20])
        self.assertIn(b'"not_run"', upload_reply)
        answer = _read_reply(reading)
        self.assertIn(b"HTTP/1.1 200", answer[:20])
        self.assertIn(task["echo"].encode(), answer)
        self._wait_end(fleet, "e1")

    def test_upstream_leaves(self):
        """Guards against starts on a leaving upstream, and against aborted tasks."""
        fleet = self.start_fleet(runners=_RUNNERS)
        callers = Callers(fleet, 24, seed=5, work_ms=200)
        gevent.sleep(1.0)
        for name in ("r1", "r2"):
            fleet.control_upstream(name, leaving=True)
            left_at = time.time()
            gevent.sleep(3.2)
            records = fleet.records(name)
            late = [r["start"] - left_at for r in records if r["start"] > left_at + 3.0]
            self.assertEqual([], late)
            # The platform stops the upstream.
            fleet.kill(f"u-{name}")
            self.assertEqual([], [r for r in records if r["end"] is None])
            gevent.sleep(0.5)
        self.assertTrue(callers.stop())
        self.assertEqual({"complete"}, set(callers.outcomes()), callers.outcomes())

    def _stop_under_load(self, fleet, victim):
        callers = Callers(fleet, 24, seed=4, work_ms=200, resubmit_share=0.2)
        gevent.sleep(1.0)
        fleet.signal(victim, signal.SIGTERM)
        gevent.sleep(2.5)
        self.assertTrue(callers.stop())
        self._wait_end(fleet, victim)
        # A coordinator that stops refuses new jobs; all others must be complete.
        refused = [v for v in callers.views if v.outcome != "complete"]
        found = {(v.outcome, v.reason) for v in refused}
        self.assertEqual(set(), found - {("not_run", "draining")})
        self.assertLess(len(refused), len(callers.views) / 10)
        self.assert_starts(fleet, callers)

    def _wait_end(self, fleet, name):
        fleet.wait_until(lambda: fleet.processes[name].poll() is not None, 10)
        self.assertEqual(0, fleet.processes[name].returncode)


def _read_reply(sock):
    data = b""
    head, length = None, None
    with gevent.Timeout(10):
        while head is None or len(data) < len(head) + 4 + length:
            chunk = sock.recv(65536)
            if not chunk:
                return data
            data += chunk
            if head is None and b"\r\n\r\n" in data:
                head = data.split(b"\r\n\r\n")[0]
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
    return data
