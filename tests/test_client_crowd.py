"""
tests.test_client_crowd
~~~~~~~~~~~~~~~~~~~~~~~

Crowds of clients outside the limits, at the processes that callers connect to.
"""

import os
import subprocess
import sys
import tempfile
import threading

import gevent
from testtools import TestCase

from standins.fleet import call
from standins.platform_fleet import PlatformFleet

from .client_crowd import KINDS
from .crowd_kinds import PLAYS
from .fleet_case import FleetCase

__all__ = ["EntryCrowdCase", "PlatformCrowdCase"]

# Limits of the VM in the settings of the tests: the process is small, so that a
# crowd of a hundred clients suffices.
_MEMORY_MB = 96
_MAX_DESCRIPTORS = 280
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
_MAX_BODY_BYTES = 1024 * 1024
# More than one connection can take in whole requests of the largest size, and less
# than a client of the crowd sends.
_MAX_CONNECTION_BYTES = 20 * 1024 * 1024
_SAMPLE_S = 0.05
# Time from the start of a crowd to the request beside it.
_BESIDE_S = 2.0
_DEADLINE_MS = 20_000
_JOB = {
    "spec": "50",
    "best_effort": True,
    "phases": [{"count": 1, "cpu": 1000, "est_runtime_ms": 100}],
}


def _peak_memory_mb(pid):
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


def _count_sockets(pid):
    folder = f"/proc/{pid}/fd"
    count = 0
    for name in os.listdir(folder):
        try:
            count += os.readlink(f"{folder}/{name}").startswith(("socket:", "pipe:"))
        except FileNotFoundError:
            # Closed since the folder was listed.
            continue
    return count


class _Crowd:
    """A running crowd and the largest number of sockets of its target."""

    def __init__(self, address, path, kind, pid):
        self._pid = pid
        self.max_sockets = 0
        program = "tests.crowd_kinds" if kind in PLAYS else "tests.client_crowd"
        self._process = subprocess.Popen(
            [sys.executable, "-m", program, address, path, kind],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._sampler = gevent.spawn(self._sample)

    def wait(self):
        """Returns the largest number of bytes that one connection took."""
        lines = []
        reader = threading.Thread(
            target=lambda: lines.append(self._process.stdout.readline())
        )
        reader.start()
        while reader.is_alive():
            gevent.sleep(_SAMPLE_S)
        return int(lines[0])

    def _sample(self):
        while self._process.poll() is None:
            self._count_sockets()
            gevent.sleep(_SAMPLE_S)

    def _count_sockets(self):
        try:
            count = _count_sockets(self._pid)
        except FileNotFoundError:
            # The process has ended, which the test checks afterwards.
            return
        self.max_sockets = max(self.max_sockets, count)

    def leave(self):
        """Closes the connections that are still open."""
        if self._process.stdin.closed:
            return
        self._sampler.kill()
        self._process.stdin.close()
        while self._process.poll() is None:
            gevent.sleep(_SAMPLE_S)
        self._process.stdout.close()


class _CrowdChecks:
    """Checks of one target: subclasses start it and send an ordinary request."""

    def check_crowd(self, kind, beside=False):
        """Checks a crowd; with `beside` also an ordinary request while it sends."""
        target, address = self.start_target()
        return self.check_crowds(target, [(address, kind)], beside)

    def check_crowds(self, target, kinds, beside):
        """Checks several crowds at once.

        Args:
            target: Process whose memory and sockets are checked.
            kinds: (address, kind) of each crowd.
            beside: Whether an ordinary request is also sent while they send.
        """
        crowds = []
        for address, kind in kinds:
            crowds.append(_Crowd(address, self.path, kind, target.pid))
            self.addCleanup(crowds[-1].leave)
        if beside:
            gevent.sleep(_BESIDE_S)
            self.check_ordinary_request()
        taken_bytes = max(crowd.wait() for crowd in crowds)
        self.assertIsNone(target.poll(), "the process has ended")
        # The clients whose connections are still open stay.
        self.check_ordinary_request()
        for crowd in crowds:
            crowd.leave()
        self.check_ordinary_request()
        self.assertIsNone(target.poll(), "the process has ended")
        self.assertLess(_peak_memory_mb(target.pid), _MEMORY_MB)
        self.assertLess(taken_bytes, _MAX_CONNECTION_BYTES)
        return max(crowds, key=lambda crowd: crowd.max_sockets)


class PlatformCrowdCase(_CrowdChecks, TestCase):
    """A crowd at one address of a process on the platform."""

    path = "/q/0123456789abcdef"
    # Process and address to which the crowd connects.
    target = "e1"
    listener = "front"

    def start_target(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(
            folder.name,
            limits={"memory_mb": _MEMORY_MB, "max_fds": _MAX_DESCRIPTORS},
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start("e1", "entry")
        self.fleet.start("r0", "runner")
        self.fleet.start_upstream("r0")
        self.assertTrue(self.fleet.wait_ready("e1"), self.fleet.log("e1")[-2000:])
        self.address = self.fleet.settings["e1"]["listen_addrs"]["front"]
        return self.fleet.processes[self.target], self.crowd_address()

    def crowd_address(self):
        """Returns the address to which the crowd connects."""
        return self.fleet.settings[self.target]["listen_addrs"][self.listener]

    def check_ordinary_request(self):
        headers = {"Host": "q.example", "Deadline": str(_DEADLINE_MS)}
        reply = call(self.address, "POST", self.path, _JOB, headers=headers)
        self.assertEqual((200, {"state": "completed"}), (reply.status, reply.json))

    def check_crowds(self, target, kinds, beside):
        crowd = super().check_crowds(target, kinds, beside)
        self.assertLess(crowd.max_sockets, _MAX_DESCRIPTORS - _FILE_DESCRIPTORS)


class EntryCrowdCase(_CrowdChecks, FleetCase):
    """A crowd at the address for callers of an entry of the own interface."""

    path = "/v1/jobs"

    def start_target(self):
        self.fleet = self.start_fleet(
            entries=1,
            runners=[{"domain": "a"}],
            settings={"entry": {"max_body_bytes": _MAX_BODY_BYTES}},
        )
        return self.fleet.processes["e1"], self.fleet.entry()

    def check_ordinary_request(self):
        reply = self.fleet.submit([{"work_ms": 5, "echo": 1}])
        self.assertEqual(200, reply.status, reply.body)


class PlatformCrowdTest(PlatformCrowdCase):
    pass


class EntryCrowdTest(EntryCrowdCase):
    pass


def _add_tests(case):
    """Adds a test of each kind to a case.

    Each guards against a process that ends, hangs or exceeds its VM because of clients
    outside the limits.
    """
    for kind in KINDS:

        def test(self, kind=kind):
            self.check_crowd(kind)

        setattr(case, f"test_{kind}", test)


_add_tests(PlatformCrowdTest)
_add_tests(EntryCrowdTest)
