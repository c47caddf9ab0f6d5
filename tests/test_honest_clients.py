"""
tests.test_honest_clients
~~~~~~~~~~~~~~~~~~~~~~~~~

Unusual clients within the limits, each served by a calm entry.
"""

import json
import tempfile

import gevent
from gevent import socket
from testtools import TestCase

from standins.platform_fleet import PlatformFleet

__all__ = []

_CORES = 8
_LARGEST_SPEC = 4000
_PHASES = 1000
_READ_TIMEOUT_S = 30.0


def _job(phases=1, spec="5"):
    phase = {"count": 1, "cpu": 10, "est_runtime_ms": 10}
    return {"spec": spec, "best_effort": True, "phases": [phase] * phases}


def _head(number, framing):
    return (
        f"POST /q/{number:016x} HTTP/1.1\r\nHost: q.example\r\nDeadline: 20000\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


def _request(number, job):
    body = json.dumps(job).encode()
    return _head(number, f"Content-Length: {len(body)}") + body


class HonestClientTest(TestCase):
    """Each test guards against a limit that refuses a client within the pages' ones."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        # The smallest VM of an entry.
        limits = {"memory_mb": 160, "max_fds": 4100}
        self.fleet = PlatformFleet(folder.name, limits=limits)
        self.addCleanup(self.fleet.stop)
        self.fleet.start("e1", "entry")
        self.fleet.start("r0", "runner")
        self.fleet.start_upstream("r0", _CORES)
        self.assertTrue(self.fleet.wait_ready("e1"), self.fleet.log("e1")[-2000:])
        address = self.fleet.settings["e1"]["listen_addrs"]["front"]
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), _READ_TIMEOUT_S)
        self.addCleanup(self.sock.close)

    def check_replies(self, number=1):
        replies = b""
        while replies.count(b'{"state": "completed"}') < number:
            data = self.sock.recv(65_536)
            self.assertTrue(data, replies)
            replies += data
        self.assertEqual(number, replies.count(b"HTTP/1.1 200 OK"), replies)

    def test_largest_spec(self):
        self.sock.sendall(_request(1, _job(spec="5".ljust(_LARGEST_SPEC))))
        self.check_replies()

    def test_many_phases(self):
        self.sock.sendall(_request(1, _job(_PHASES)))
        self.check_replies()

    def test_body_in_chunks_of_one_byte(self):
        self.sock.sendall(_head(1, "Transfer-Encoding: chunked"))
        for byte in json.dumps(_job()).encode():
            self.sock.sendall(b"1\r\n%c\r\n" % byte)
        self.sock.sendall(b"0\r\nX-Checksum: 1\r\n\r\n")
        self.check_replies()

    def test_slow_sender(self):
        request = _request(1, _job())
        for start in range(0, len(request), 10):
            self.sock.sendall(request[start : start + 10])
            gevent.sleep(0.1)
        self.check_replies()

    def test_pipelined_jobs(self):
        requests = [_request(number, _job()) for number in range(1, 6)]
        self.sock.sendall(b"".join(requests))
        self.check_replies(len(requests))

    def test_interim_response(self):
        body = json.dumps(_job()).encode()
        framing = f"Content-Length: {len(body)}\r\nExpect: 100-continue"
        self.sock.sendall(_head(1, framing))
        self.assertIn(b"HTTP/1.1 100 Continue", self.sock.recv(1000))
        self.sock.sendall(body)
        self.check_replies()
