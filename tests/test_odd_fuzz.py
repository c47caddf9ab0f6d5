"""
tests.test_odd_fuzz
~~~~~~~~~~~~~~~~~~~

Random changes of valid texts, with a fixed seed, for the readers of the adapter.

A reader may reject a text with its own error. What it accepts has to fit in the
messages to other processes.
"""

import json
import random
import sys
from dataclasses import asdict
from functools import partial
from pathlib import Path

from testtools import TestCase

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from adapter.callers import UnsupportedJob, read_job  # noqa: E402
from adapter.configuration import parse_routing  # noqa: E402
from adapter.settings import read_settings  # noqa: E402
from adapter.store import PlatformStore  # noqa: E402
from adapter.upstream import PlatformUpstream, read_state  # noqa: E402

from papayaward.coordination.config_writer import ConfigWriter  # noqa: E402
from papayaward.coordination.store_sync import Snapshot  # noqa: E402
from papayaward.coordination.upstream_requests import (  # noqa: E402
    NoReply,
    PollRequest,
)
from papayaward.coordination.upstream_state_store import (  # noqa: E402
    UpstreamStateStore,
)
from papayaward.leased_entry import entry_addresses, entry_rejections  # noqa: E402
from papayaward.protocol.codec import (  # noqa: E402
    MESSAGE_CODES,
    FrameError,
    decode,
    encode,
)
from papayaward.protocol.config_text import ConfigError  # noqa: E402
from papayaward.protocol.gen import ttypes  # noqa: E402
from papayaward.protocol.jobs import resources_to_wire  # noqa: E402
from papayaward.protocol.options import OptionError, read_object  # noqa: E402
from papayaward.protocol.store_errors import StoreError  # noqa: E402
from papayaward.transport.store_client import StoreValue  # noqa: E402
from tests import odd_values  # noqa: E402
from tests.leased_case import job_queue, upstream_state  # noqa: E402

__all__ = []

_SEED = 20261205
_TEXTS = 1500
_FRAMES = 4000
_MAX_BODY_BYTES = 64

_ROUTE = {
    "name": "q",
    "host": "h",
    "prefix": "/q/",
    "service": "s",
    "priority": 1,
    "attempts": 2,
    "stretch": 1.5,
    "target_duration_ms": 60,
    "timeout_ms": 3000,
}
_JOB = {
    "best_effort": True,
    "spec": "1",
    "phases": [
        {"cpu": 1000, "mem_mb": 64, "est_runtime_ms": 90, "constraints": "a"},
        {"count": 3, "cpu": 1000, "after": [0], "affinity": "r1", "max_per_server": 1},
    ],
}
_REPORT = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 1000, "mem_mb": 64, "gpus": 0},
    "labels": ["a", "r1-3"],
    "seq_no": 1,
    "born": 1_700_000_000_000,
}
_REPLY = {
    "clock_ms": 5,
    "born": 1,
    "running": [["a.0.0.0", 1, "", 50, 7]],
    "ended": [[1, "a.0.0.0", 1, "done", ""]],
}
_PAGE = {"at_rev": 7, "items": [{"key": "a", "value": "MQ==", "rev": 5}]}
_ENTRY = {"link": "10.0.0.1:7000", "domain": "a"}
_ENVELOPE = {"version": 3, "write_id": "0" * 16, "author": "o", "text": "{}"}
_SETTINGS = {
    "node_name": "n",
    "ip": "10.0.0.1",
    "zone": "a",
    "region": "r",
    "service": "s",
    "port_range": [7720, 7735],
    "seeds": ["10.0.0.2:8166"],
    "platform": {"address": "10.0.0.3:8169"},
    "bounds": {"grace_s": 3},
    "listen_addrs": {"front": "10.0.0.1:80"},
    "app": "10.0.0.1:81",
}


class _Client:
    """HTTP client that answers each request with the same text."""

    def __init__(self, content):
        self._content = content

    def request(self, method, path, body, headers):
        return 200, self._content

    def post(self, path, body, headers, check):
        check()
        return 200, self._content


class _OneKeyStore:
    def __init__(self, value):
        self._value = value

    def read(self, prefix):
        return Snapshot(1, {prefix: self._value})

    def revision(self, key):
        return 1

    def get(self, key):
        return StoreValue(self._value, 1)


def _encode_job(text):
    job = read_job("0" * 16, text, {}, job_queue())
    for phase in job.phases:
        expected_ms = int(phase.expected_s * 1000)
        group = ttypes.StartGroup(
            job.spec,
            resources_to_wire(phase.need),
            int(job.timeout_s * 1000),
            job.request_id,
            expected_ms,
            [ttypes.TaskStart("t", 1)],
            expected_ms,
        )
        encode(ttypes.StartBatch(1, [group]))


def _encode_state(state):
    capacity = resources_to_wire(state.capacity)
    room = ttypes.RoomReport(
        1, capacity, capacity, True, list(state.labels), state.key, 0, 1.0, 0
    )
    encode(ttypes.EndBatch([], room))


def _encode_reply(text):
    upstream = PlatformUpstream(("127.0.0.1", 1))
    upstream._client = _Client(text)
    reply = upstream.poll("i-1", PollRequest(1, 0), 1.0)
    ends = [ttypes.TaskEnd(end.task, end.run, end.outcome, 1) for end in reply.ends]
    slow = [ttypes.SlowRun(task, pct, 1) for (task, _), pct in reply.running.items()]
    encode(ttypes.EndBatch(ends, None, slow))


def _encode_page(text):
    store = PlatformStore(("127.0.0.1", 1))
    store._client = _Client(text)
    snapshot = store.read("")
    encode(ttypes.DomainsPush(snapshot.revision, sorted(snapshot.values)))


def _encode_entry(text):
    rejections = entry_rejections()
    for entry in entry_addresses(Snapshot(1, {"a": text}), rejections):
        address = "%s:%d" % entry.address
        encode(ttypes.Members([ttypes.Member(entry.member, 0, address, "", "")]))


def _encode_version(version):
    encode(ttypes.Heartbeat(1, 1, version, -1, False, True, 0, 0))


class FuzzTest(TestCase):
    def check(self, document, read, *errors):
        """Reads the changed texts; the valid one must be accepted."""
        read(json.dumps(document).encode())
        for text in odd_values.mutated_texts(document, _SEED, _TEXTS):
            try:
                read(text)
            except errors:
                pass
            except Exception as error:
                self.fail(f"{type(error).__name__}: {error} for {text!r}"[:500])

    def test_operators_keys(self):
        """Guards against a configuration that ends the process that reads it."""

        def read(text):
            _encode_version(parse_routing(text).version)

        self.check({"version": 1, "routes": [_ROUTE]}, read, ConfigError)

    def test_entries_keys(self):
        """Guards against an entry's key that no list of members can hold."""
        self.check(_ENTRY, _encode_entry)

    def test_store_replies(self):
        """Guards against a reply that ends a watch."""
        self.check(_PAGE, _encode_page, StoreError)

    def test_jobs(self):
        """Guards against a job that no message can hold."""
        self.check(_JOB, _encode_job, OptionError, UnsupportedJob)

    def test_reports(self):
        """Guards against a report that no message can hold."""

        def read(text):
            _encode_state(read_state("i-1", read_object(text)))

        self.check(_REPORT, read, OptionError)

    def test_replies(self):
        """Guards against a reply that ends the poll loop."""
        self.check(_REPLY, _encode_reply, NoReply)

    def test_settings(self):
        """Guards against a traceback in place of the event `reload_failed`."""
        self.check(_SETTINGS, partial(read_settings, role="runner"), ValueError)

    def test_stored_reports(self):
        """Guards against a restarted runner that fails on the stored report."""
        store = _OneKeyStore(b"")
        states = UpstreamStateStore(store, "r1")

        def read(text):
            store._value = text
            state = states.load()
            if state is not None:
                _encode_state(state)

        self.check(asdict(upstream_state(labels=("a",))), read)

    def test_configuration_keys(self):
        """Guards against a version that no heartbeat can hold."""

        def read(text):
            writer = ConfigWriter(_OneKeyStore(text))
            _encode_version(writer.read_if_changed().version)

        self.check(_ENVELOPE, read, StoreError)

    def test_frames(self):
        """Guards against a frame that raises another error than `FrameError`."""
        rng = random.Random(_SEED)
        codes = sorted(MESSAGE_CODES.values())
        for _ in range(_FRAMES):
            body = rng.randbytes(rng.randint(0, _MAX_BODY_BYTES))
            try:
                decode(rng.choice(codes), body)
            except FrameError:
                pass
