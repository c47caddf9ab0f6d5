"""
tests.test_hostile_input
~~~~~~~~~~~~~~~~~~~~~~~~

Random and malformed bytes on every port of a fleet, which must keep serving.
"""

import random
import socket

from papayaward.protocol.codec import HEADER, FrameError, decode, encode
from papayaward.protocol.gen import ttypes
from standins.fleet import call

from .fleet_case import FleetCase

__all__ = []

_SEED = 20261204
_FRAMES = 150


def _random_frames(rng):
    """Yields frames that are mutated and truncated, or have a random body."""
    samples = [
        ttypes.Hello(
            1, "x", 1, "runner", "r", "a", "dispatch", "127.0.0.1:1", 0, False
        ),
        ttypes.Submit(1, "j-r1-1-1", "dispatch", "t", "c", 1000, False, [b"1"]),
        ttypes.RunBatch(1, [ttypes.Grant("j", 0, 1, b"1", 1000, "t", "c")]),
        ttypes.ConfigPush(99, b"{"),
        ttypes.ResultBatch([ttypes.TaskResult("j", 0, 1, 0, b"1", 1, "")], None),
    ]
    for _ in range(_FRAMES):
        frame = bytearray(encode(rng.choice(samples)))
        for _ in range(rng.randint(1, 8)):
            frame[rng.randrange(len(frame))] = rng.randrange(256)
        yield bytes(frame[: rng.randint(0, len(frame))])
        body = rng.randbytes(rng.randint(0, 64))
        yield HEADER.pack(len(body), rng.randrange(1, 22)) + body


def _empty_messages():
    for name in ("Submit", "Fetch", "Members", "RunBatch", "ResultBatch", "Cancel"):
        yield encode(getattr(ttypes, name)())


class HostileInputTest(FleetCase):
    def _check_invariants(self, fleet):
        # Messages that cannot be handled are logged with a traceback on purpose.
        self.assertEqual([], fleet.log_events("invariant_violated"))
        self.assertEqual([], fleet.log_events("request_failed"))

    def test_decoder_raises_only_frame_errors(self):
        """Guards against exceptions other than `FrameError` on malformed frames."""
        rng = random.Random(_SEED)
        for frame in _random_frames(rng):
            if len(frame) < HEADER.size:
                continue
            _, code = HEADER.unpack_from(frame)
            try:
                decode(code, frame[HEADER.size :])
            except FrameError:
                pass

    def test_fleet_keeps_serving_after_hostile_links(self):
        """Guards against a process that dies or hangs on malformed messages."""
        fleet = self.start_fleet(runners=[{"domain": "a"}, {"domain": "b"}])
        rng = random.Random(_SEED)
        hello = ttypes.Hello(
            1, "zz", 7, "runner", "r", "a", "dispatch", "127.0.0.1:1", 0, False
        )
        entry_hello = ttypes.Hello(1, "zz", 7, "entry", "r", "a", "", "x", 0, False)
        ports = (fleet.entry_link["e1"], fleet.runner_link["r1"])
        handshakes = (b"", encode(hello), encode(entry_hello))
        frames = [*_random_frames(rng), *_empty_messages()]
        for number, frame in enumerate(frames):
            host, port = ports[number % 2].split(":")
            with socket.create_connection((host, int(port)), 2.0) as sock:
                sock.sendall(handshakes[number % 3] + frame)
        reply = fleet.submit([{"work_ms": 5, "echo": 1}])
        self.assertEqual(200, reply.status, reply.body)
        for name, process in fleet.processes.items():
            self.assertIsNone(process.poll(), name)

    def test_hostile_http_bodies_are_refused(self):
        """Guards against a 5xx answer or a crash on malformed request bodies."""
        fleet = self.start_fleet(entries=1, runners=[{"domain": "a"}])
        rng = random.Random(_SEED)
        job_id = fleet.new_ids(1)[0]
        bodies = [
            b"[" * 100_000,
            b'{"tasks": ' + b"9" * 5000 + b"}",
            b'{"service": null, "tenant": {}, "class": [], "tasks": "x"}',
            b'{"service": "dispatch", "tenant": "t1", "class": "c1", "tasks": []}',
            b"\xff\xfe\x00",
            b"x" * (9 * 1024 * 1024),
            *(rng.randbytes(rng.randint(1, 200)) for _ in range(30)),
        ]
        for body in bodies:
            for method, path in (
                ("POST", "/v1/jobs"),
                ("POST", "/v1/requests"),
                ("PUT", "/v1/jobs/nonsense"),
                ("POST", "/v1/ids"),
                ("POST", "/v1/cancel"),
                ("POST", "/admin/config"),
            ):
                reply = call(fleet.entry(), method, path, body)
                message = f"{method} {path} {body[:40]!r}: {reply.body[:200]!r}"
                # Unknown keys are allowed, so one of the bodies is a valid request
                # for identifiers.
                valid = path == "/v1/ids" and body.startswith(b'{"service": "disp')
                expected = [200] if valid else range(400, 500)
                self.assertIn(reply.status, expected, message)
        reply = call(fleet.entry(), "PUT", f"/v1/jobs/{job_id}", b"{")
        self.assertEqual((400, "not_run"), (reply.status, reply.json["outcome"]))
        self.assertEqual(200, fleet.submit([{"work_ms": 5}]).status)
