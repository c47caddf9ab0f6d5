"""
tests.test_config_writes
~~~~~~~~~~~~~~~~~~~~~~~~

Configuration writes: concurrent writers, lost answers, store outages, versions.
"""

import json
import random
import signal
import time
from contextlib import contextmanager
from unittest import mock

import gevent
from gevent.pywsgi import WSGIServer
from testtools import TestCase

from papayaward.coordination import config_writer
from papayaward.coordination.acceptance import check_acceptance
from papayaward.coordination.config_sync import ConfigHolder
from papayaward.coordination.config_writer import CONFIG_KEY, ConfigWriter, Submission
from papayaward.protocol.store_errors import StoreError
from papayaward.transport import store_client
from papayaward.transport.store_client import StoreClient
from standins.fleet import call
from standins.store import Store

from .fleet_case import FleetCase, small_config

__all__ = []

_WRITERS = 8
_ROUNDS = 20
_SEED = 20261204
_WRITES = 60
_TXN = ["/v3/kv/txn"]
_FAULTS = (
    {"mode": "ok"},
    {"mode": "ok"},
    {"mode": "down"},
    {"mode": "lose"},
    {"mode": "slow", "delay_s": 0.3, "paths": _TXN},
    {"mode": "slow", "delay_s": 0.8, "paths": _TXN},
)


def text_of(**changes):
    """Returns a configuration text with the given changes."""
    return json.dumps(small_config(**changes))


class _SupersededStore(StoreClient):
    """Loses the answer of a write, and runs another write before the read-back."""

    concurrent_write = None

    def compare_and_swap(self, *args, **kwargs):
        super().compare_and_swap(*args, **kwargs)
        self.concurrent_write()
        raise StoreError("answer lost on purpose")


class WriterTest(TestCase):
    """Tests the writer with a stand-in of the store in the same process."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        server = WSGIServer(
            ("127.0.0.1", 0), self.store.handle, log=None, error_log=None
        )
        server.start()
        self.addCleanup(server.stop)
        self.address = ("127.0.0.1", server.server_port)
        self.writer = self.new_writer()

    def new_writer(self, client=StoreClient):
        return ConfigWriter(client([self.address]))

    def write(self, expected, writer=None, in_force=0, write_id=None, **changes):
        submission = Submission(
            text_of(**changes), expected, "op", write_id or f"id-{expected}"
        )
        deadline = time.monotonic() + 1.0
        writer = writer or self.writer
        return writer.write(submission, in_force, time.time(), deadline)

    def control(self, **fields):
        self.store._control(fields)

    def history(self):
        return [entry.version for entry in self.writer.read_history(100)]

    def test_one_of_several_concurrent_writes_wins(self):
        """Guards against two writes that are both reported as the next version."""
        for expected in range(_ROUNDS):
            tasks = [
                gevent.spawn(
                    self.write,
                    expected,
                    self.new_writer(),
                    write_id=f"{expected}-{number}",
                    domains_out=["a"] if number % 2 else [],
                )
                for number in range(_WRITERS)
            ]
            results = [task.get(timeout=10) for task in tasks]
            statuses = sorted(result.status for result in results)
            self.assertEqual(["conflict"] * (_WRITERS - 1) + ["written"], statuses)
            self.assertEqual({expected + 1}, {result.version for result in results})
        self.assertEqual(list(range(_ROUNDS, 0, -1)), self.history())

    def test_lost_answer_is_recognised_by_the_write_id(self):
        """Guards against a write that took effect and is reported as a conflict."""
        self.control(mode="lose")
        result = self.write(0)
        self.assertEqual(("written", 1), (result.status, result.version))
        self.assertEqual([1], self.history())

    def test_lost_answer_of_a_write_that_was_replaced(self):
        """Guards against a successful write that is reported as failed.

        Another write replaces it before the read-back.
        """
        writer = self.new_writer(_SupersededStore)
        writer._store.concurrent_write = lambda: self.write(1, write_id="rival")
        result = self.write(0, writer, write_id="own")
        self.assertEqual(("written", 1), (result.status, result.version))
        self.assertEqual([2, 1], self.history())
        # With a history of 1 entry nothing shows who wrote version 3, once version 4 is
        # written.
        with mock.patch.object(config_writer, "HISTORY_VERSIONS", 1):
            writer._store.concurrent_write = lambda: self.write(3, write_id="rival")
            result = self.write(2, writer, write_id="own2")
        self.assertEqual("unknown", result.status)

    def test_late_write_is_unknown_and_takes_effect_once(self):
        """Guards against a late write that is reported as failed or applied twice."""
        self.control(mode="slow", delay_s=6.0, paths=["/v3/kv/txn"])
        first = self.write(0, write_id="same")
        self.assertEqual("unknown", first.status)
        with gevent.Timeout(20):
            while not self.history():
                gevent.sleep(0.1)
        self.control(mode="ok")
        again = self.write(0, write_id="same")
        self.assertEqual(("written", 1), (again.status, again.version))
        self.assertEqual([1], self.history())

    def test_random_faults_and_concurrent_writes(self):
        """Guards against any report of a write that the history contradicts."""
        rng = random.Random(_SEED)
        reports = []

        def write_repeatedly(name):
            writer = self.new_writer()
            for number in range(_WRITES):
                write_id = f"{name}-{number}"
                result = self.write(max(versions), writer, write_id=write_id)
                versions.add(result.version if result.status != "unknown" else 0)
                reports.append((write_id, result))
                gevent.sleep(rng.uniform(0, 0.05))

        def inject_faults():
            while True:
                self.control(**rng.choice(_FAULTS))
                gevent.sleep(rng.uniform(0.02, 0.2))

        versions = {0}
        with (
            mock.patch.object(store_client, "_TIMEOUT_S", 0.1),
            mock.patch.object(config_writer, "_READ_BACK_S", 0.3),
        ):
            faults = gevent.spawn(inject_faults)
            operators = [gevent.spawn(write_repeatedly, f"op{n}") for n in range(4)]
            gevent.joinall(operators, timeout=60, raise_error=True)
            faults.kill()
        self.assertEqual(4 * _WRITES, len(reports))
        self.control(mode="ok")
        # Longer than a delayed write takes.
        gevent.sleep(1.0)
        entries = self.writer.read_history(1000)
        found = [entry.version for entry in entries]
        self.assertEqual(list(range(len(found), 0, -1)), found)
        written = {entry.write_id: entry.version for entry in entries}
        self.assertEqual(len(entries), len(written))
        for write_id, result in reports:
            if result.status == "written":
                self.assertEqual(result.version, written.get(write_id), result)
            elif result.status != "unknown":
                self.assertNotIn(write_id, written, result)
        # Which other statuses occur depends on the timing of the faults; each has a
        # test of its own.
        statuses = {result.status for _, result in reports}
        allowed = {"written", "conflict", "unavailable", "unknown"}
        self.assertEqual(set(), statuses - allowed)
        self.assertIn("written", statuses)

    def test_store_down_changes_nothing(self):
        """Guards against an outage that is reported as a conflict or a success."""
        self.control(mode="down")
        self.assertEqual("unavailable", self.write(0).status)
        self.control(mode="ok")
        self.assertEqual([], self.history())

    def test_versions_rise_after_the_store_lost_its_keys(self):
        """Guards against a lower version number after the store was restored."""
        self.write(0)
        self.control(wipe=True)
        self.assertEqual("conflict", self.write(0, in_force=57).status)
        result = self.write(57, in_force=57)
        self.assertEqual(("written", 58), (result.status, result.version))

    def test_history_is_bounded_and_names_the_changes(self):
        """Guards against a history without a limit or without a summary of changes."""
        with mock.patch.object(config_writer, "HISTORY_VERSIONS", 3):
            for expected in range(6):
                self.write(expected, domains_out=["b"] if expected % 2 else [])
        entries = self.writer.read_history(100)
        self.assertEqual([6, 5, 4], [entry.version for entry in entries])
        self.assertEqual("+ domains_out b", entries[0].summary)
        self.assertEqual("op", entries[0].author)

    def test_values_that_the_store_cannot_hold(self):
        """Guards against a crash on a text that is too large or a malformed value."""
        names = [{"name": f"{'s' * 50}{n}"} for n in range(1000)]
        depends_on = [service["name"] for service in names[:20]]
        services = [{**s, "depends_on": depends_on} for s in names[20:]] + names[:20]
        self.assertEqual("too_large", self.write(0, services=services).status)
        self.assertEqual([], self.history())
        for value in (b"x", b"[]", b'{"version": 1}', b'{"version": "1"}'):
            self.writer._store.compare_and_swap(CONFIG_KEY, value, self.store._revision)
            self.writer._store.compare_and_swap(CONFIG_KEY, value, 0)
            self.assertRaises(StoreError, self.new_writer().read_if_changed)
            self.assertEqual("unavailable", self.write(0).status)
            self.control(wipe=True)


class VersionTest(TestCase):
    def test_lower_version_is_refused(self):
        """Guards against a process that returns to an older configuration."""
        holder = ConfigHolder()
        out = text_of(domains_out=["a"]).encode()
        self.assertTrue(holder.offer(5, out, 0.0))
        for version in (0, 4, 5):
            self.assertFalse(holder.offer(version, text_of().encode(), 0.0))
        self.assertEqual((5, out), (holder.version, holder.text))
        self.assertFalse(holder.offer(6, b'{"services": []}', 0.0))
        self.assertEqual({"a"}, holder.config.domains_out)

    def test_acceptance_needs_more_than_half_of_the_known_members(self):
        """Guards against accepting a version that no majority has in force."""
        for accepted, everywhere, versions, up_s in (
            (False, False, {"a": 3, "b": 2}, 9.0),
            (True, False, {"a": 3, "b": 4, "c": None}, 9.0),
            (True, True, {"a": 3}, 9.0),
            # A majority needs members, and a new entry may not know all of them.
            (False, True, {}, 9.0),
            (False, False, {"a": 3}, 0.5),
        ):
            found = check_acceptance(3, versions, up_s)
            self.assertEqual(
                (accepted, everywhere),
                (found.accepted, found.in_force_everywhere),
                versions,
            )
        self.assertTrue(check_acceptance(1, {}, 0.0).accepted)


class FleetWritesTest(FleetCase):
    """Configuration writes in a fleet of real processes."""

    def post(self, fleet, index=0, **fields):
        document = {"expected_version": 1, "author": "op", "wait_ms": 3000, **fields}
        return call(fleet.entry(index), "POST", "/admin/config", document)

    def test_concurrent_writes_at_two_entries(self):
        """Guards against a change that silently overwrites a concurrent one."""
        fleet = self.start_fleet()
        texts = [text_of(domains_out=["a"]), text_of(domains_out=["b"])]
        for expected in (1, 2, 3):
            tasks = [
                gevent.spawn(
                    self.post,
                    fleet,
                    index,
                    text=texts[index],
                    expected_version=expected,
                    author=f"op{index}",
                )
                for index in (0, 1)
            ]
            replies = [task.get(timeout=20) for task in tasks]
            self.assertEqual([200, 409], sorted(reply.status for reply in replies))
            winner = [reply.status for reply in replies].index(200)
            lost = replies[1 - winner].json
            self.assertEqual(
                (expected + 1, f"op{winner}"), (lost["version"], lost["author"])
            )
            self.assertEqual(texts[winner], lost["text"])
            self.assertEqual(2, len(lost["differences"]))
            [since] = lost["changes_since"]
            self.assertEqual(f"op{winner}", since["author"])
        self.assertEqual(4, fleet.version())

    def test_invalid_text_changes_nothing(self):
        """Guards against an invalid text that is stored or sent to a process."""
        fleet = self.start_fleet(runners=[{"domain": "a"}])
        reply = self.post(fleet, text=text_of(domains_out=["x"]))
        self.assertEqual(422, reply.status, reply.body)
        [finding] = reply.json["findings"]
        self.assertEqual("domains_out[0]", finding["place"])
        for body in (b"", b"[]", b"[" * 100_000, b'{"text": 1}', b"\xff"):
            bad = call(fleet.entry(), "POST", "/admin/config", body)
            self.assertEqual(400, bad.status, bad.body)
        checked = self.post(fleet, text=text_of(domains_out=["a"]), dry_run=True)
        self.assertEqual((200, 2), (checked.status, checked.json["version"]))
        self.assertEqual("a", checked.json["changes"][0]["after"])
        self.assertEqual(1, fleet.version())
        history = call(fleet.entry(), "GET", "/admin/history").json["history"]
        self.assertEqual([1], [entry["version"] for entry in history])

    def test_store_outage_and_processes_that_start_during_it(self):
        """Guards against new processes that do not get the version in force.

        Also guards against reporting a failed write as written.
        """
        fleet = self.start_fleet()
        status, reply = fleet.set_domains_out(["c"])
        self.assertEqual((200, True), (status, reply["in_force_everywhere"]), reply)
        fleet.control_store(mode="down")
        self.assertEqual(
            503, self.post(fleet, text=text_of(), expected_version=2).status
        )
        for name in ("e2", "r1"):
            fleet.kill(name)
        fleet.start_entry("e2")
        fleet.start_runner("r1")
        # The runner in the domain out of service accepts no work.
        fleet.wait_ready(2)
        fleet.wait_until(lambda: [fleet.version(0), fleet.version(1)] == [2, 2])
        for member in fleet.status()["members"]:
            self.assertEqual(2, member["config_version"])
        self.assertEqual(["c"], fleet.status(1)["domains_out"])
        self.assertEqual(200, fleet.submit([{"work_ms": 5}]).status)

    def test_wiped_store_does_not_revert_the_version(self):
        """Guards against an old or empty store that reverts an accepted version."""
        fleet = self.start_fleet()
        fleet.set_domains_out(["c"])
        fleet.control_store(wipe=True)
        # Long enough for several polls of the store.
        time.sleep(1.0)
        self.assertEqual([2, 2], [fleet.version(0), fleet.version(1)])
        status, reply = fleet.set_domains_out([], index=1)
        self.assertEqual((200, 3, True), (status, reply["version"], reply["accepted"]))
        fleet.wait_until(lambda: fleet.version(0) == 3)

    def test_invalid_text_of_another_program_is_no_evidence(self):
        """Guards against starts under a version that the store no longer holds.

        Another program has written a text that no process can put in force.
        """
        fleet = self.start_fleet(entries=1, runners=[{"domain": "a"}])
        host, port = fleet.store.split(":")
        store = StoreClient([(host, int(port))])
        value = {"version": 2, "write_id": "x", "author": "x", "text": "{}"}
        revision = store.revision(CONFIG_KEY)
        store.compare_and_swap(CONFIG_KEY, json.dumps(value).encode(), revision)
        # The runner's echoes are evidence for the version instead of the store.
        time.sleep(1.5)
        self.assertEqual(200, fleet.submit([{"work_ms": 5}]).status)
        with paused(fleet, "r1"):
            time.sleep(2.0)
            status = fleet.status()
        self.assertEqual(1, status["config_version"])
        self.assertGreater(status["evidence_age_ms"], 1500)
        status, reply = fleet.apply(small_config(), 2)
        # Tells a runner that has ended from one that is slow to return.
        details = (reply, fleet.processes["r1"].poll(), fleet.log("r1")[-2000:])
        self.assertEqual(
            (200, 3, True), (status, reply["version"], reply["accepted"]), details
        )

    def test_versions_are_in_force_everywhere_within_the_target(self):
        """Guards against versions that take effect too slowly at any process."""
        fleet = self.start_fleet(runners=[{"domain": d} for d in "abcabc"])
        times = []
        for expected in range(1, 11):
            start = time.monotonic()
            status, reply = fleet.set_domains_out(["c"] if expected % 2 else [])
            self.assertEqual((200, True), (status, reply["in_force_everywhere"]))
            fleet.wait_until(lambda: fleet.version(1) == expected + 1)
            times.append(time.monotonic() - start)
        print(f"in force everywhere: {min(times):.3f} to {max(times):.3f} s")
        self.assertLess(max(times), 2.0)

    def test_lost_answers_at_an_entry(self):
        """Guards against a change that takes effect and is reported as failed."""
        fleet = self.start_fleet(runners=[{"domain": "a"}])
        fleet.control_store(mode="lose")
        status, reply = fleet.set_domains_out(["b"])
        self.assertEqual((200, 2, True), (status, reply["version"], reply["accepted"]))
        fleet.control_store(mode="ok")
        # The operator's tool sends the same write again through another entry.
        fields = {"text": text_of(), "expected_version": 2, "write_id": "ab" * 8}
        first, again = self.post(fleet, **fields), self.post(fleet, 1, **fields)
        self.assertEqual((200, 3), (first.status, first.json["version"]))
        self.assertEqual((200, 3), (again.status, again.json["version"]))
        self.assertEqual(3, fleet.version())

    def test_paused_members_delay_the_acceptance(self):
        """Guards against accepting a version while most members use the old one."""
        fleet = self.start_fleet()
        with paused(fleet, "r1"):
            status, reply = fleet.set_domains_out(["c"])
            self.assertEqual((200, True), (status, reply["accepted"]), reply)
            self.assertEqual(["r1"], reply["unconfirmed"])
            self.assertFalse(reply["in_force_everywhere"])
            with paused(fleet, "r2"):
                reply = self.post(fleet, text=text_of(), expected_version=2).json
                self.assertEqual((3, False), (reply["version"], reply["accepted"]))
                self.assertEqual(["r1", "r2"], reply["unconfirmed"])
        path = "/admin/config/confirmed?version=3"
        fleet.wait_until(
            lambda: call(fleet.entry(1), "GET", path).json["in_force_everywhere"]
        )


@contextmanager
def paused(fleet, name):
    """Pauses a process of a fleet."""
    fleet.signal(name, signal.SIGSTOP)
    try:
        yield
    finally:
        fleet.signal(name, signal.SIGCONT)
