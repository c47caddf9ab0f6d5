"""
tests.test_odd_platform_values
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Readers of the adapter and of the lists of entries, with the table of odd values.
"""

import json
import os
import sys
from base64 import b64encode
from functools import partial
from pathlib import Path
from tempfile import NamedTemporaryFile
from types import SimpleNamespace

import gevent
from gevent.pywsgi import WSGIServer
from testtools import TestCase

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from adapter import process  # noqa: E402
from adapter.callers import CallerApi, UnsupportedJob, read_job  # noqa: E402
from adapter.configuration import parse_routing, watch_operator_keys  # noqa: E402
from adapter.registry import Registry  # noqa: E402
from adapter.settings import read_settings  # noqa: E402
from adapter.store import PlatformStore  # noqa: E402
from adapter.upstream import PlatformUpstream, read_state  # noqa: E402

from papayaward.coordination.store_sync import (  # noqa: E402
    Presence,
    watch_prefix,
)
from papayaward.coordination.upstream_requests import (  # noqa: E402
    NoReply,
    PollRequest,
    Unreachable,
)
from papayaward.leased_entry import LeasedEntry  # noqa: E402
from papayaward.leased_node import NodeSettings  # noqa: E402
from papayaward.leased_runner import LeasedRunner  # noqa: E402
from papayaward.protocol.codec import encode  # noqa: E402
from papayaward.protocol.config_text import ConfigError  # noqa: E402
from papayaward.protocol.gen.ttypes import Member, Members  # noqa: E402
from papayaward.protocol.options import OptionError, read_object  # noqa: E402
from papayaward.protocol.store_errors import StoreError  # noqa: E402
from tests import odd_values  # noqa: E402
from tests.leased_case import FakeLink, job_queue  # noqa: E402

__all__ = []

HOST = "127.0.0.1"
PREFIX = "papayaward/entries/"
_SETTLE_S = 0.05


class _Server:
    """HTTP server that answers each request with the same body.

    Attributes:
        status: Status line of the next responses.
        content: Body of the next responses, bytes.
        paths: Paths of the requests.
    """

    def __init__(self, case):
        self.status = "200 OK"
        self.content = b"{}"
        self.paths = []
        self._server = WSGIServer((HOST, 0), self._answer, log=None)
        self._server.start()
        case.addCleanup(self._server.stop)

    @property
    def address(self):
        return HOST, self._server.server_port

    def _answer(self, environ, start_response):
        environ["wsgi.input"].read()
        self.paths.append(environ["PATH_INFO"])
        length = str(len(self.content))
        start_response(self.status, [("Content-Length", length)])
        return [self.content]


def _item(key, value, revision=5):
    return {"key": key, "value": b64encode(value).decode(), "rev": revision}


class StoreTest(TestCase):
    def setUp(self):
        super().setUp()
        self.server = _Server(self)
        self.store = PlatformStore(self.server.address)

    def not_rejected(self, call, document, fields):
        def read(text):
            self.server.content = text
            return call()

        cases = odd_values.odd_texts(document, fields)
        return odd_values.not_rejected(read, StoreError, cases)

    def test_odd_replies_are_store_errors(self):
        """Guards against a watch, or a lease, that ends with an odd reply."""
        lists = {n: f for n, f in odd_values.OBJECTS.items() if n != "list"}
        numbers = odd_values.NUMBERS
        page = {"at_rev": 7, "items": [], "has_more": False}
        fields = {("at_rev",): numbers, ("items",): {**lists, "object": "{}"}}
        read = partial(self.store.read, PREFIX)
        self.assertEqual([], self.not_rejected(read, page, fields))
        wait = partial(self.store.wait, PREFIX, 1, 0.1)
        fields = {("at_rev",): numbers}
        self.assertEqual(
            [], self.not_rejected(wait, {"at_rev": 7, "events": []}, fields)
        )
        grant = partial(self.store.grant_lease, 10.0)
        # An identifier may use all 64 bits.
        self.assertEqual(
            [], self.not_rejected(grant, {"lease_id": 3}, {("lease_id",): numbers})
        )
        put = partial(self.store.put, "k", b"v", 0)
        self.assertEqual([], self.not_rejected(put, {"rev": 3}, {("rev",): numbers}))
        self.server.status = "412 Precondition Failed"
        put = partial(self.store.put, "k", b"v", 0, 1)
        lines = self.not_rejected(
            put, {"items": [{"rev": 3}]}, {("items", 0, "rev"): numbers}
        )
        self.assertEqual([], lines)

    def test_odd_item_costs_only_itself(self):
        """Guards against a list that is not followed because of one item."""
        good = [_item(PREFIX + "a", b"1"), _item(PREFIX + "z", b"2")]
        expected = {PREFIX + "a": b"1", PREFIX + "z": b"2"}
        odd = _item(PREFIX + "odd", b"3")
        values = {**odd_values.TEXT_VALUES, "no base64": '"/w="', "other": '"\\u00b2"'}
        # A value may be empty, or long.
        del values["null"], values["long text"]
        for path, fragments in (
            (("items", 1), odd_values.OBJECTS),
            (("items", 1, "key"), odd_values.TEXT_VALUES),
            (("items", 1, "value"), values),
        ):
            for name, fragment in fragments.items():
                page = {"at_rev": 7, "items": [good[0], odd, good[1]]}
                text = odd_values.with_fragment(page, path, fragment)
                # Odd enough to make the whole reply unreadable.
                if name in ("nested", "infinity", "not a number"):
                    continue
                self.server.content = text
                found = self.store.read(PREFIX).values
                self.assertEqual(expected, found, f"{path}: {name}")

    def test_odd_item_is_logged_once(self):
        """Guards against a log line for each reading of the list."""
        items = [_item(PREFIX + "a", b"1"), {"key": PREFIX + "odd", "value": 7}]
        self.server.content = json.dumps({"at_rev": 7, "items": items}).encode()
        with odd_values.LogRecorder() as recorder:
            for _ in range(3):
                self.store.read(PREFIX)
        records = recorder.events("store_item_invalid")
        self.assertEqual([PREFIX + "odd"], [record.key for record in records])

    def test_page_without_progress_ends_the_reading(self):
        """Guards against dozens of calls for the same page."""
        reply = {"at_rev": 7, "items": [{"key": 7}], "has_more": True}
        self.server.content = json.dumps(reply).encode()
        self.assertRaises(StoreError, self.store.read, PREFIX)
        self.assertEqual(1, len(self.server.paths))


class _FailingStore:
    """Store whose first call fails with an error of another kind."""

    def __init__(self, reply):
        self._reply = reply
        self.calls = 0

    def _call(self, *args):
        self.calls += 1
        if self.calls == 1:
            raise OverflowError("port must be 0-65535.")
        return self._reply

    read = wait = grant_lease = put = renew_lease = _call


class LoopsTest(TestCase):
    def test_watch_goes_on_after_an_unexpected_error(self):
        """Guards against a list that no process follows any more."""
        store = _FailingStore(None)
        task = gevent.spawn(watch_prefix, store, PREFIX, lambda snapshot, now: None)
        self.addCleanup(task.kill, block=False)
        gevent.sleep(0.3)
        self.assertFalse(task.dead)
        self.assertTrue(store.calls > 1)

    def test_presence_goes_on_after_an_unexpected_error(self):
        """Guards against an entry whose key vanishes while it runs."""
        store = _FailingStore(1)
        presence = Presence(store, PREFIX + "a", b"1")
        self.addCleanup(presence.remove)
        store.revoke_lease = lambda lease: None
        gevent.sleep(0.3)
        self.assertTrue(store.calls > 2)

    def test_unusable_address_of_a_request_is_no_reply(self):
        """Guards against a poll loop that ends with an `OverflowError`."""
        for host, port in ((HOST, 70_000), (HOST, -1), ("\0", 7000), ("h" * 500, 1)):
            upstream = PlatformUpstream((host, port))
            poll = partial(upstream.poll, "i-1", PollRequest(1, 0), 1.0)
            self.assertRaises((NoReply, Unreachable), poll)
            self.assertRaises(StoreError, PlatformStore((host, port)).read, PREFIX)


def _settings(role, service=""):
    return NodeSettings("e1", role, "r", "a", service, (HOST, 7000), (), 3.0)


class _Snapshots:
    """Store that holds some values, without a network.

    Attributes:
        values: bytes by key.
    """

    def __init__(self, values):
        self.values = values
        self.revision = 1

    def read(self, prefix):
        from papayaward.coordination.store_sync import Snapshot

        values = {k: v for k, v in self.values.items() if k.startswith(prefix)}
        return Snapshot(self.revision, values)

    def wait(self, prefix, revision, wait_s):
        gevent.sleep(0.01)
        return self.revision, self.revision > revision


class _EncodingLink(FakeLink):
    """Link that encodes each message, as one with a socket does."""

    def try_send(self, message):
        encode(message)
        return super().try_send(message)


class EntriesTest(TestCase):
    good = json.dumps({"link": "10.0.0.1:7000", "domain": "a"}).encode()

    def odd_entries(self):
        """Returns the values of odd entries by key."""
        document = {"link": "10.0.0.9:7000", "domain": "a"}
        fields = {
            ("link",): odd_values.PEER_ADDRESSES,
            ("domain",): odd_values.TEXT_VALUES,
        }
        cases = list(odd_values.odd_texts(document, fields))
        cases += odd_values.incomplete_texts(document, fields)
        odd = {f"{PREFIX}{number}": value for number, (_, value) in enumerate(cases)}
        return {**odd, PREFIX: self.good, PREFIX + "\ud800": self.good}

    def entry(self):
        entry = LeasedEntry(_settings("entry"), parse_routing, None, None)
        self.republished = []
        entry._presence = SimpleNamespace(
            republish=lambda: self.republished.append("e1")
        )
        return entry

    def test_entry_registers_again_if_its_key_names_another_address(self):
        """Guards against an entry that no runner finds since its key was replaced."""
        entry = self.entry()
        own = {"link": f"{HOST}:7000", "domain": "a"}
        for changes, republished in (({}, 0), ({"link": "10.0.0.9:1"}, 1), ({}, 1)):
            value = json.dumps({**own, **changes}).encode()
            store = _Snapshots({PREFIX + "e1": value})
            entry._on_entries(store.read(PREFIX), 0.0)
            self.assertEqual(republished, len(self.republished), changes)

    def test_entry_tells_the_runners_all_other_entries(self):
        """Guards against runners that do not learn of entries because of an odd one."""
        entry = self.entry()
        link = _EncodingLink("r1", "runner")
        entry.on_link_up(link, 0.0)
        store = _Snapshots({**self.odd_entries(), PREFIX + "x": self.good})
        entry._on_entries(store.read(PREFIX), 0.0)
        listed = [member.member for member in link.of_type(Members)[-1].members]
        self.assertEqual(["x"], listed)

    def test_odd_entries_are_logged_once(self):
        """Guards against a log line for each reading of the list."""
        entry = self.entry()
        store = _Snapshots(self.odd_entries())
        with odd_values.LogRecorder() as recorder:
            for _ in range(3):
                entry._on_entries(store.read(PREFIX), 0.0)
        keys = [record.key for record in recorder.events("entry_key_invalid")]
        self.assertEqual(len(store.values), len(keys))
        self.assertEqual(len(keys), len(set(keys)))

    def test_runner_dials_the_other_entries_of_the_store(self):
        """Guards against a runner without entries because of an odd one."""
        store = _Snapshots({**self.odd_entries(), PREFIX + "x": self.good})
        runner = LeasedRunner(_settings("runner", "s"), store, None)
        gevent.spawn(runner._discover_entries)
        gevent.sleep(_SETTLE_S)
        self.assertEqual({("10.0.0.1", 7000)}, runner._entry_links.addresses)

    def test_runner_dials_the_other_members_of_a_list(self):
        """Guards against a link that closes with each list of its entry."""
        runner = LeasedRunner(_settings("runner", "s"), _Snapshots({}), None)
        link = FakeLink("e1")
        runner.on_link_up(link, 0.0)
        texts = [text for text in odd_values.PEER_ADDRESSES.values() if text[0] == '"']
        odd = [json.loads(text) for text in texts]
        members = [
            Member(f"m{number}", 0, address, "a", "")
            for number, address in enumerate([*odd, None])
        ]
        members.append(Member("x", 0, "10.0.0.1:7000", "a", ""))
        with odd_values.LogRecorder() as recorder:
            for _ in range(3):
                runner.on_message(link, Members(members), 0.0)
        self.assertIn(("10.0.0.1", 7000), runner._entry_links.addresses)
        self.assertEqual(1, len(runner._entry_links.addresses))
        records = recorder.events("member_invalid")
        self.assertEqual(len(members) - 1, len(records))


class OperatorKeysTest(TestCase):
    route = {"name": "q", "host": "h", "prefix": "/q/", "service": "s"}

    def test_odd_configurations_are_rejected(self):
        """Guards against a process that exits on an odd configuration."""
        document = {"version": 1, "routes": [self.route]}
        lists = {n: f for n, f in odd_values.OBJECTS.items() if n != "list"}
        fields = {
            ("version",): odd_values.NUMBERS,
            ("routes",): {**lists, "object": '{"a": 1}'},
            ("routes", 0): odd_values.OBJECTS,
            ("routes", 0, "name"): odd_values.TEXT_VALUES,
            ("routes", 0, "host"): odd_values.TEXT_VALUES,
            ("routes", 0, "prefix"): odd_values.TEXT_VALUES,
            ("routes", 0, "service"): odd_values.TEXT_VALUES,
        }
        for name in ("priority", "attempts"):
            fields["routes", 0, name] = odd_values.NUMBERS
        for name in ("stretch", "target_duration_ms", "timeout_ms"):
            numbers = dict(odd_values.NUMBERS)
            del numbers["fraction"]
            fields["routes", 0, name] = numbers
        cases = odd_values.odd_texts(document, fields)
        self.assertEqual([], odd_values.not_rejected(parse_routing, ConfigError, cases))

    def test_incomplete_configurations_are_rejected(self):
        """Guards against routes that vanish since another program wrote a version."""
        document = {"version": 1, "routes": [self.route]}
        paths = [("version",), ("routes",)]
        paths += [("routes", 0, name) for name in self.route]
        cases = odd_values.incomplete_texts(document, paths)
        self.assertEqual([], odd_values.not_rejected(parse_routing, ConfigError, cases))

    def test_domains_are_followed_beside_an_odd_configuration(self):
        """Guards against a domain that stays in service, and a line for each read."""
        text = json.dumps({"version": 3, "routes": [self.route]}).encode()
        store = _Snapshots({"op/config": b"[" * 200_000, "op/evacuate/a": b"{}"})
        configs, domains = [], []
        task = gevent.spawn(
            watch_operator_keys,
            store,
            lambda version, text, now: configs.append(version),
            lambda revision, out, now: domains.append(out),
        )
        self.addCleanup(task.kill, block=False)
        with odd_values.LogRecorder() as recorder:
            for _ in range(3):
                store.revision += 1
                gevent.sleep(_SETTLE_S)
        self.assertEqual(["a"], domains[-1])
        self.assertEqual(1, len(recorder.events("config_invalid")))
        store.values["op/config"] = text
        store.revision += 1
        gevent.sleep(_SETTLE_S)
        self.assertEqual([3], configs)

    def test_longest_timeout_of_a_queue_fits_in_a_message(self):
        """Guards against jobs of a queue that cannot be sent to any runner."""
        queue = job_queue(timeout_s=1e9)
        body = b'{"best_effort": true, "phases": [{"cpu": 1}]}'
        job = read_job("0" * 16, body, {}, queue)
        self.assertTrue(job.timeout_s * 1000 < 2**31, job.timeout_s)


def _report():
    return {
        "service": "s",
        "address": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 1000, "mem_mb": 64, "gpus": 0},
        "labels": ["a"],
        "seq_no": 1,
        "born": 1_700_000_000_000,
    }


_REPORT_FIELDS = {
    ("service",): odd_values.TEXT_VALUES,
    ("address",): odd_values.ADDRESSES,
    ("zone",): odd_values.TEXT_VALUES,
    ("version",): odd_values.TEXT_VALUES,
    ("slots",): odd_values.NUMBERS,
    ("state",): odd_values.TEXT_VALUES,
    ("cold_left_ms",): {n: f for n, f in odd_values.NUMBERS.items() if n != "fraction"},
    ("capacity",): odd_values.OBJECTS,
    ("capacity", "cpu"): odd_values.NUMBERS,
    ("capacity", "mem_mb"): odd_values.NUMBERS,
    ("capacity", "gpus"): odd_values.NUMBERS,
    ("labels",): {n: f for n, f in odd_values.OBJECTS.items() if n != "list"},
    ("labels", 0): odd_values.TEXT_VALUES,
    ("seq_no",): odd_values.NUMBERS,
    ("born",): {**odd_values.NUMBERS, "far future": str(2**53)},
}


class UpstreamTest(TestCase):
    def test_odd_reports_are_rejected(self):
        """Guards against a state that no message can hold."""
        cases = odd_values.odd_texts(_report(), _REPORT_FIELDS)

        def read(text):
            return read_state("i-1", read_object(text))

        self.assertEqual([], odd_values.not_rejected(read, OptionError, cases))

    def test_incomplete_reports_are_rejected(self):
        """Guards against a report of another program that is taken for the upstream's.

        Its later start would hide the upstream (review/9).
        """
        paths = [path for path in _REPORT_FIELDS if path != ("labels", 0)]
        cases = odd_values.incomplete_texts(_report(), paths)

        def read(text):
            return read_state("i-1", read_object(text))

        self.assertEqual([], odd_values.not_rejected(read, OptionError, cases))

    def test_incomplete_report_changes_nothing_that_is_known_of_the_upstream(self):
        """Guards against an upstream that is hidden by a report of another program."""
        runner = LeasedRunner(_settings("runner", "s"), _Snapshots({}), None)
        registry = Registry(runner)
        self.assertEqual("200 OK", _put_report(registry, json.dumps(_report())))
        known = runner.executor.state
        later = {**_report(), "seq_no": 9, "born": 1_800_000_000_000}
        paths = [path for path in _REPORT_FIELDS if path != ("labels", 0)]
        for instance in ("i-1", "x-1"):
            for name, text in odd_values.incomplete_texts(later, paths):
                status = _put_report(registry, text, instance)
                self.assertEqual("400 Bad Request", status, name)
                self.assertIs(known, runner.executor.state, name)

    def test_registry_refuses_odd_reports_and_logs_each_upstream_once(self):
        """Guards against a registry that fails, and a line for each report."""
        runner = LeasedRunner(_settings("runner", "s"), _Snapshots({}), None)
        registry = Registry(runner)
        cases = list(odd_values.odd_texts(_report(), _REPORT_FIELDS))
        with odd_values.LogRecorder() as recorder:
            statuses = {_put_report(registry, text) for _, text in cases}
        self.assertEqual({"400 Bad Request"}, statuses)
        self.assertEqual(1, len(recorder.events("report_ignored")))
        self.assertIsNone(runner.executor.state)

    def test_registry_reads_no_endless_report(self):
        """Guards against a runner that runs out of memory."""
        runner = LeasedRunner(_settings("runner", "s"), _Snapshots({}), None)
        text = json.dumps({**_report(), "x": "x" * (5 << 20)}).encode()
        self.assertEqual("400 Bad Request", _put_report(Registry(runner), text))

    def test_odd_replies_are_no_replies(self):
        """Guards against a poll loop that ends with an odd reply."""
        server = _Server(self)
        upstream = PlatformUpstream(server.address)

        def poll(text):
            server.content = text
            return upstream.poll("i-1", PollRequest(1, 0), odd_values.ALIVE_S)

        document = {
            "clock_ms": 5,
            "born": 1,
            "running": [["a.0.0.0", 1, "", 50, 7]],
            "ended": [[1, "a.0.0.0", 1, "done", ""]],
        }
        poll(json.dumps(document).encode())
        numbers, lists = odd_values.NUMBERS, dict(odd_values.OBJECTS)
        del lists["list"]
        fields = {
            ("clock_ms",): numbers,
            ("born",): numbers,
            ("running",): lists,
            ("ended",): lists,
            ("running", 0): odd_values.OBJECTS,
            ("running", 0, 0): odd_values.TEXT_VALUES,
            ("running", 0, 1): numbers,
            ("ended", 0): odd_values.OBJECTS,
            ("ended", 0, 0): numbers,
            ("ended", 0, 1): odd_values.TEXT_VALUES,
            ("ended", 0, 2): numbers,
            ("ended", 0, 3): odd_values.TEXT_VALUES,
        }
        cases = list(odd_values.odd_texts(document, fields))
        self.assertEqual([], odd_values.not_rejected(poll, NoReply, cases))
        server.status = "409 Conflict"
        cases = [
            (name, b'{"reason": %s}' % fragment.encode())
            for name, fragment in odd_values.TEXT_VALUES.items()
        ]
        self.assertEqual([], odd_values.not_rejected(poll, NoReply, cases))

    def test_odd_progress_is_limited_to_percents(self):
        """Guards against a remaining time that no message can hold."""
        server = _Server(self)
        upstream = PlatformUpstream(server.address)
        for percent in (-(10**12), 10**12):
            row = ["a.0.0.0", 1, "", percent]
            document = {"clock_ms": 5, "running": [row], "ended": []}
            server.content = json.dumps(document).encode()
            reply = upstream.poll("i-1", PollRequest(1, 0), odd_values.ALIVE_S)
            self.assertIn(reply.running["a.0.0.0", 1], (0, 100))


class _Body:
    def __init__(self, content):
        self._content = content

    def read(self, size=None):
        return self._content if size is None else self._content[:size]


def _environ(method, path, content):
    return {
        "wsgi.input": _Body(content),
        "CONTENT_LENGTH": str(len(content)),
        "HTTP_HOST": "h:1",
        "PATH_INFO": path,
        "REQUEST_METHOD": method,
    }


def _put_report(registry, text, instance="i-1"):
    statuses = []
    content = text if isinstance(text, bytes) else text.encode()
    environ = _environ("PUT", "/papayaward/instances/" + instance, content)
    registry(environ, lambda status, headers: statuses.append(status))
    return statuses[0]


class CallersTest(TestCase):
    def test_odd_jobs_are_rejected(self):
        """Guards against an entry that fails on a job, or cannot send it."""
        phase = {"count": 1, "cpu": 1000, "after": [0]}
        document = {"best_effort": True, "spec": "1", "phases": [{"cpu": 1}, phase]}
        fields = {
            ("spec",): odd_values.TEXT_VALUES,
            ("phases",): odd_values.OBJECTS,
            ("phases", 0): {
                n: f for n, f in odd_values.OBJECTS.items() if n != "object"
            },
            ("phases", 1, "after"): {
                n: f for n, f in odd_values.OBJECTS.items() if n != "list"
            },
            ("phases", 1, "after", 0): odd_values.NUMBERS,
        }
        for name in ("count", "cpu", "mem_mb", "gpus", "est_runtime_ms"):
            fields["phases", 1, name] = odd_values.NUMBERS
        fields["phases", 1, "max_per_server"] = odd_values.NUMBERS
        for name in ("constraints", "affinity"):
            fields["phases", 1, name] = odd_values.TEXT_VALUES

        def read(text):
            return read_job("0" * 16, text, {"deadline": "99"}, job_queue())

        cases = odd_values.odd_texts(document, fields)
        errors = (OptionError, UnsupportedJob)
        self.assertEqual([], odd_values.not_rejected(read, errors, cases))

    def test_endless_job_is_refused(self):
        """Guards against an entry that runs out of memory."""
        entry = LeasedEntry(_settings("entry"), parse_routing, None, None)
        route = OperatorKeysTest.route
        text = json.dumps({"version": 1, "routes": [route]}).encode()
        entry.config.offer(1, text, 0.0)
        statuses = []
        environ = _environ("POST", "/q/" + "0" * 16, b"x" * (3 << 20))
        CallerApi(entry)(environ, lambda status, headers: statuses.append(status[:3]))
        self.assertEqual(["413"], statuses)


class SettingsTest(TestCase):
    def test_odd_settings_are_rejected(self):
        """Guards against a process that ends while it reads its settings again."""
        document = {
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
        read_settings(json.dumps(document), "runner")
        lists = {n: f for n, f in odd_values.OBJECTS.items() if n != "list"}
        grace = {n: f for n, f in odd_values.NUMBERS.items() if n != "fraction"}
        del grace["many digits"]
        # An address that is empty or null is one that is not given.
        addresses = {
            name: fragment
            for name, fragment in odd_values.ADDRESSES.items()
            if name not in ("null", "list", "object")
        }
        services = {n: f for n, f in odd_values.TEXT_VALUES.items() if n != "null"}
        fields = {
            ("node_name",): odd_values.TEXT_VALUES,
            ("ip",): odd_values.TEXT_VALUES,
            ("zone",): odd_values.TEXT_VALUES,
            ("service",): services,
            ("port_range",): odd_values.OBJECTS,
            ("port_range", 0): {**odd_values.NUMBERS, "range": "70000"},
            ("seeds",): {**lists, "object": '{"a": 1}'},
            ("seeds", 0): odd_values.ADDRESSES,
            ("platform",): odd_values.OBJECTS,
            ("platform", "address"): odd_values.ADDRESSES,
            ("bounds",): odd_values.OBJECTS,
            ("bounds", "grace_s"): grace,
            ("listen_addrs",): odd_values.OBJECTS,
            ("listen_addrs", "front"): addresses,
            ("app",): addresses,
        }
        cases = odd_values.odd_texts(document, fields)

        def read(text):
            return read_settings(text, "runner")

        self.assertEqual([], odd_values.not_rejected(read, OptionError, cases))

    def test_odd_file_leaves_the_settings_unchanged(self):
        """Guards against a process that ends while it reads its settings again."""
        applied = []
        with NamedTemporaryFile() as file:
            self.patch(os, "environ", {"PAPAYAWARD_SETTINGS": file.name})
            for content in odd_values.TEXTS.values():
                Path(file.name).write_bytes(content)
                process._reload("runner", applied.append)
        self.assertEqual([], applied)
