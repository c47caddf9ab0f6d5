"""
tests.test_platform_soak
~~~~~~~~~~~~~~~~~~~~~~~~

Short platform runs with faults from fixed seeds; longer ones are run by hand.
"""

import socket
from tempfile import TemporaryDirectory
from unittest.mock import MagicMock, Mock, patch

import gevent
from testtools import TestCase

from benchmarks import platform_soak
from benchmarks.platform_soak import run_soak
from benchmarks.soak_checks import check_run
from benchmarks.upstream_faults import UPSTREAM_FAULTS
from standins import platform_fleet

__all__ = []

_SECONDS = 15.0
_PAUSES_SECONDS = 8.0
_MIN_COMPLETED = 20


class PlatformSoakTest(TestCase):
    def test_seed_1(self):
        """Guards against violated guarantees under combined faults."""
        self._run(1)

    def test_seed_3(self):
        """Guards against a task that crashes one upstream after the other."""
        self._run(3)

    def test_seed_7(self):
        """Guards against overlapping runs of a task.

        The second run did not wait until a silent upstream had killed the first one,
        and overlapped with it for 44 ms.
        """
        self._run(7)

    def test_seed_14(self):
        """Guards against overlapping runs of a task.

        A crashed upstream stand-in continued to serve requests.
        """
        self._run(14)

    def test_seed_15(self):
        """Guards against overlapping runs of a task.

        A delayed connection replaced a later one.
        """
        self._run(15)

    def test_seed_18(self):
        """Guards against the failure of seed 15 under other faults."""
        self._run(18)

    def test_seed_519(self):
        """Guards against a crash that nobody counts beside a killed runner.

        A task was started three times after its third crash.
        """
        self._run(519)

    def test_seed_629(self):
        """Guards against tasks in a domain that is out, after a watch went silent."""
        self._run(629)

    def test_seed_720(self):
        """Guards against starts beyond a capacity that an outdated report promises."""
        self._run(720)

    def test_seed_916(self):
        """Guards against orders that a crashed upstream of the soak still executes."""
        self._run(916)

    def test_ports_are_assigned_once(self):
        """Guards against an entry that cannot start beside an upstream (seed 733)."""
        with TemporaryDirectory() as directory:
            first, second = _unused_ports()
            with (
                patch("tempfile.gettempdir", return_value=directory),
                patch("random.choice", side_effect=[first, first, second]),
                patch("random.randint", side_effect=[first, first, second]),
            ):
                ports = [platform_fleet.free_port() for _ in range(2)]
        self.assertEqual([first, second], ports)

    def test_callers_run_while_a_killed_process_exits(self):
        """Guards against answers that the soak itself receives late.

        It waited for the exit of a killed entry without serving its callers, and
        reported that the other entry had not answered within a job's deadline.
        """
        with TemporaryDirectory() as directory:
            fleet = platform_fleet.PlatformFleet(directory)
            self.addCleanup(fleet.stop)
            fleet.processes["e0"] = Mock(**{"poll.side_effect": [None, None, -9]})
            caller = gevent.spawn(lambda: None)
            fleet.kill("e0")
        self.assertTrue(caller.dead)

    def test_answer_during_a_pause_of_the_soak_is_not_late(self):
        """Guards against late answers that only the soak itself received late."""
        fleet = Mock(processes={}, upstreams={}, **{"log.return_value": ""})
        for pause_s, late in ((0.0, 1), (1.0, 1), (3.5, 0)):
            soak = platform_soak._Soak(fleet, 1, 1)
            attempt = platform_soak._Attempt("ab", 1, "e0", 10.0, 2.0, 16.0, 504)
            soak.attempts.append(attempt)
            soak.own_pauses.append((11.0, 11.0 + pause_s))
            self.assertEqual(late, len(check_run(soak)), pause_s)

    def test_jobs_do_not_change_the_faults_of_a_seed(self):
        """Guards against runs of a seed that have different faults.

        Tasks crashed upstreams in none to two periods of the 15 s of seed 18.
        """
        fleet = Mock(**{"submit.return_value": (200, b"{}")})
        soak = platform_soak._Soak(fleet, 18, 3)
        before = soak.load_rng.getstate()
        caller = gevent.spawn(soak.run_caller, 0)
        while fleet.submit.call_count < 3:
            gevent.sleep(0.01)
        caller.kill()
        self.assertEqual(before, soak.load_rng.getstate())

    def test_requests_do_not_change_the_upstream_faults_of_a_seed(self):
        """Guards against runs of a seed that have different faults."""
        upstream = Mock()
        fleet = MagicMock(upstreams={"r0": upstream})
        soak = platform_soak._Soak(fleet, 2003, 1, with_upstream_faults=True)
        for name in ("refuse", "late"):
            fault = gevent.spawn(UPSTREAM_FAULTS[name], soak)
            gevent.sleep(0.01)
            before = soak.upstream_rng.getstate()
            upstream.current.order_loss()
            if name == "refuse":
                upstream.current.is_unhealthy("poll")
            self.assertEqual(before, soak.upstream_rng.getstate(), name)
            fault.kill()

    def test_seed_2003_with_upstream_faults(self):
        """Guards against overlapping runs beside uncertain upstreams.

        On the code before, upstreams that refused stops or started again under their
        identifiers ran tasks a second time.
        """
        findings, events, answers = run_soak(
            2003, _SECONDS, runners=4, with_upstream_faults=True
        )
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], 0, answers)

    def test_clients_that_do_not_behave(self):
        """Guards against violated guarantees beside clients that don't behave."""
        findings, events, answers = run_soak(56, _SECONDS, with_odd_clients=True)
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], 0, answers)

    def test_pauses_of_several_processes(self):
        """Guards against violated guarantees when several processes stop at once."""
        findings, events, answers = run_soak(5002, _PAUSES_SECONDS, only="pauses")
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], 0, answers)

    def test_upstreams_taken_out_of_use_while_starts_have_no_reply(self):
        """Guards against starts at upstreams that drain, shrink or are out of service.

        On the code before, tasks started up to 3 s after a drain was acknowledged.
        """
        findings, events, answers = run_soak(9001, _SECONDS, only="withdraw")
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], 0, answers)

    def test_reports_of_another_program(self):
        """Guards against upstreams that are hidden by incomplete reports."""
        findings, events, answers = run_soak(9002, _SECONDS, only="foreign")
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], _MIN_COMPLETED, answers)

    def _run(self, seed):
        findings, events, answers = run_soak(seed, _SECONDS)
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], _MIN_COMPLETED, answers)


def _unused_ports():
    """Returns two ports of the loopback address that no process uses."""
    with socket.socket() as first, socket.socket() as second:
        for sock in (first, second):
            sock.bind(("127.0.0.1", 0))
        return first.getsockname()[1], second.getsockname()[1]
