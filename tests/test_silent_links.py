"""
tests.test_silent_links
~~~~~~~~~~~~~~~~~~~~~~~

Connections that become permanently silent while new ones work.
"""

import time

import gevent

from standins.callers import Callers

from .fleet_case import FleetCase, echo_tasks

__all__ = []

# Silence is detected after 0.9 s; the rest is for the reconnection and the answer.
_RECOVERY_S = 2.0

_DIRECTIONS = (
    {"to_target": True, "to_client": True},
    {"to_target": True, "to_client": False},
    {"to_target": False, "to_client": True},
)


class SilentLinkTest(FleetCase):
    def test_entry_link_silent(self):
        """Guards against a caller that waits forever on a silent connection."""
        fleet = self.start_fleet(proxied=True)
        coordinator = fleet.coordinator()
        for number, directions in enumerate(_DIRECTIONS):
            tasks = echo_tasks(12, 400, number)
            job = self.submit_async(fleet, tasks)
            gevent.sleep(0.2)
            fleet.proxies[f"{coordinator}>e1"].silence_open(**directions)
            started_at = time.monotonic()
            new_tasks = echo_tasks(3, 10, f"new-{number}")
            new = fleet.submit(new_tasks, timeout_s=10)
            self.assert_complete(new, new_tasks)
            self.assertLess(time.monotonic() - started_at, _RECOVERY_S)
            self.assert_complete(job.get(timeout=10), tasks)
            fleet.wait_ready(3)
        self.assert_no_second_start(fleet)

    def test_executor_link_silent(self):
        """Guards against lost or repeated tasks when a coordinator reconnects."""
        fleet = self.start_fleet(proxied=True)
        coordinator = fleet.coordinator()
        self.assertEqual(200, fleet.submit(echo_tasks(24, 10)).status)
        for number, directions in enumerate(_DIRECTIONS):
            tasks = echo_tasks(48, 300, number)
            job = self.submit_async(fleet, tasks)
            gevent.sleep(0.15)
            started_at = time.monotonic()
            for runner in {"r1", "r2", "r3"} - {coordinator}:
                fleet.proxies[f">{runner}"].silence_open(**directions)
            self.assert_complete(job.get(timeout=10), tasks)
            # Two rounds of tasks and one recovery from silence.
            self.assertLess(time.monotonic() - started_at, 0.6 + _RECOVERY_S)
            self.assert_started_once(fleet, job.get().json["job_id"], 48)

    def test_executor_unreachable(self):
        """Guards against jobs that wait for an unreachable executor."""
        fleet = self.start_fleet(proxied=True)
        self.assertEqual(200, fleet.submit(echo_tasks(24, 10)).status)
        job = self.submit_async(fleet, echo_tasks(24, 8000, "job"))
        single = {"work_ms": 1500, "echo": "single"}
        gevent.sleep(0.2)
        started_at = time.monotonic()
        # Of two links dialled at once between two runners, the one dialled by the lower
        # name is kept, so the coordinator's links may also use its own proxy.
        for runner in ("r1", "r2", "r3"):
            fleet.proxies[f">{runner}"].refuse = True
            fleet.proxies[f">{runner}"].silence_open()
        reply = job.get(timeout=10)
        self.assertEqual("unknown", reply.json["outcome"], reply.body)
        self.assertLess(time.monotonic() - started_at, 2.5)
        # The coordinator's own executor still runs tasks.
        reply = fleet.submit([single], timeout_s=10)
        self.assert_complete(reply, [single])
        self.assert_no_second_start(fleet)

    def test_delayed_and_crossed_answers(self):
        """Guards against answers that reach another caller or are incomplete."""
        fleet = self.start_fleet(proxied=True)
        for number, name in enumerate(sorted(fleet.proxies)):
            fleet.proxies[name].delay_s = 0.02 * (number % 4)
            fleet.proxies[name].delay_to_client_s = 0.05 * (number % 3)
        callers = Callers(fleet, 16, tasks=6, work_ms=80, resubmit_share=0.3)
        gevent.sleep(2.0)
        for name, proxy in fleet.proxies.items():
            proxy.delay_s, proxy.delay_to_client_s = 0.0, 0.0
            if name.startswith(">"):
                proxy.silence_open()
        gevent.sleep(2.5)
        self.assertTrue(callers.stop())
        self.assertEqual({"complete"}, set(callers.outcomes()), callers.outcomes())
        self.assert_starts(fleet, callers)

    def test_delayed_copy_of_a_grant(self):
        """Guards against a start from a grant that arrives after it was abandoned."""
        fleet = self.start_fleet(proxied=True)
        coordinator = fleet.coordinator()
        other = sorted({"r1", "r2", "r3"} - {coordinator})
        self.assertEqual(200, fleet.submit(echo_tasks(24, 10)).status)
        # At first only the executor behind the silent link can take the task.
        job_id = fleet.new_ids(1)[0]
        for name in (coordinator, other[1]):
            fleet.control_upstream(name, leaving=True)
        fleet.wait_until(lambda: _ready(fleet) == 1)
        # Either of the two may have dialled the link, so both proxies are silenced.
        proxy, reverse = fleet.proxies[f">{other[0]}"], fleet.proxies[f">{coordinator}"]
        proxy.refuse = reverse.refuse = True
        proxy.silence_open(to_client=False)
        reverse.silence_open(to_target=False)
        before = len(fleet.records())
        job = self.submit_async(fleet, echo_tasks(1, 10), job_id=job_id)
        gevent.sleep(0.1)
        for name in (coordinator, other[1]):
            fleet.control_upstream(name, leaving=False)
        reply = job.get(timeout=10)
        self.assertEqual("unknown", reply.json["outcome"], reply.body)
        proxy.release()
        reverse.release()
        gevent.sleep(0.5)
        proxy.refuse = reverse.refuse = False
        gevent.sleep(0.5)
        self.assertEqual(before, len(fleet.records()))


def _ready(fleet):
    return sum(member["ready"] for member in fleet.status()["members"])
