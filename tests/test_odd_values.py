"""
tests.test_odd_values
~~~~~~~~~~~~~~~~~~~~~

Readers of what other programs write, with every odd value of one table.

One odd value may cost the entry that holds it, but not the others, and no reader may
raise anything but its own error.
"""

import json
import logging
from dataclasses import asdict
from functools import partial

import gevent
from gevent.server import StreamServer
from testtools import TestCase

from papayaward.coordination.store_sync import Snapshot
from papayaward.coordination.upstream_state_store import UpstreamStateStore
from papayaward.protocol.gen.ttypes import Member, Members
from papayaward.protocol.options import (
    OptionError,
    get_address,
    get_int,
    get_number,
    get_string,
    get_string_list,
    read_object,
)
from papayaward.protocol.settings import SettingsError, check_settings
from papayaward.rejection_log import RejectionLog
from papayaward.runner import Runner
from papayaward.transport.http_api import read_numbers
from papayaward.transport.peers import Dialler
from tests import odd_values
from tests.leased_case import FakeLink, upstream_state

__all__ = []


def in_deep_stack(function, depth=60):
    """Calls a function with less stack left than the parser had."""
    return in_deep_stack(function, depth - 1) if depth else function()


class OptionsTest(TestCase):
    def test_odd_texts_are_no_objects(self):
        """Guards against another error, or a value that cannot be passed on."""
        cases = odd_values.TEXTS.items()
        lines = odd_values.not_rejected(read_object, OptionError, cases)
        self.assertEqual([], lines)

    def test_error_about_a_huge_value_is_short(self):
        """Guards against a log line, or a reply, of megabytes."""
        document = {"a": "x" * (1 << 20)}
        error = self.assertRaises(OptionError, get_string, document, "a")
        self.assertTrue(len(str(error)) < 300)

    def test_odd_values_are_rejected(self):
        """Guards against a getter that raises another error, or accepts the value."""
        lists = {n: f for n, f in odd_values.OBJECTS.items() if n != "list"}
        for getter, fragments in (
            (get_int, odd_values.NUMBERS),
            (get_string, odd_values.TEXT_VALUES),
            (get_address, odd_values.ADDRESSES),
            (get_string_list, lists),
        ):

            def read(fragment, getter=getter):
                return getter(read_object('{"a": %s}' % fragment), "a")

            lines = odd_values.not_rejected(read, OptionError, fragments.items())
            self.assertEqual([], lines, getter.__name__)

    def test_number_out_of_range_is_rejected(self):
        """Guards against a sum or a message that fails on an infinite number."""
        for value in (float("inf"), float("-inf"), float("nan"), 10**400, -1):
            self.assertRaises(OptionError, get_number, {"a": value}, "a")

    def test_error_can_be_described_with_little_stack_left(self):
        """Guards against a `RecursionError` from the description of a nested value."""
        value = []
        for _ in range(990):
            value = [value]
        read = partial(get_int, {"a": value}, "a")
        self.assertRaises(OptionError, in_deep_stack, read)

    def test_long_items_of_a_list_are_rejected(self):
        """Guards against a label of megabytes in each message to the entries."""
        self.assertRaises(OptionError, get_string_list, {"a": ["x" * (1 << 20)]}, "a")

    def test_odd_numbers_of_a_query_are_rejected(self):
        """Guards against a 500 response to a caller's typing error."""
        for text in ("\u00b2", "\u0663", "9" * 5000, "-1", "1e3", "", "0x1"):
            numbers = read_numbers({"a": text})
            self.assertRaises(OptionError, get_int, numbers, "a")
        self.assertEqual(20, get_int(read_numbers({"a": "20"}), "a"))

    def test_last_of_two_equal_keys_is_checked(self):
        """Guards against a check of another value than the one that is used."""
        document = read_object(b'{"a": 1, "a": 99}')
        self.assertRaises(OptionError, get_int, document, "a", high=9)


def _peer_addresses():
    """Returns the odd addresses that a message can hold, which is encoded as UTF-8."""
    texts = [text for text in odd_values.PEER_ADDRESSES.values() if text[0] == '"']
    addresses = [json.loads(text) for text in texts]
    return [address for address in addresses if "\ud800" not in address]


class MembersTest(TestCase):
    def test_coordinator_dials_the_other_members_of_a_list(self):
        """Guards against a link that closes with each list of its entry."""
        settings = check_settings(
            {
                "role": "runner",
                "member": "r1",
                "domain": "a",
                "listen": "127.0.0.1:7000",
                "http": "127.0.0.1:7001",
                "service": "s",
                "entries": ["127.0.0.1:7002"],
            }
        )
        runner = Runner(settings)
        link = FakeLink("e1")
        members = [
            Member(f"m{number}", 0, address, "a", "s")
            for number, address in enumerate([*_peer_addresses(), None])
        ]
        members.append(Member("x", 0, "127.0.0.1:9", "a", "s"))
        with odd_values.LogRecorder() as recorder:
            for _ in range(3):
                runner.on_message(link, Members(members), 0.0)
        dialled = {address for address in runner._diallers}
        for _, dialler in runner._diallers.values():
            dialler.stop()
        self.assertEqual({("127.0.0.1", 9)}, dialled)
        self.assertEqual(len(members) - 1, len(recorder.events("member_invalid")))

    def test_advertised_address_is_checked(self):
        """Guards against a runner that no other can dial because of a typing error."""
        document = {"role": "runner", "advertise": "10.0.0.1:70000"}
        error = self.assertRaises(SettingsError, check_settings, document)
        self.assertIn("advertise: found", str(error))


class DiallerTest(TestCase):
    def test_unusable_address_is_an_ordinary_failure(self):
        """Guards against a traceback in the log for each attempt."""
        for address in (("127.0.0.1", 70_000), ("h" * 500, 7000), ("a\0b", 7000)):
            with odd_values.LogRecorder() as recorder:
                dialler = Dialler(address, None)
                gevent.sleep(0.2)
                self.assertIsNotNone(dialler.failing_since)
                dialler.stop()
            self.assertEqual([], recorder.events("link_failed"), address)

    def test_repeated_fault_of_a_link_is_logged_once(self):
        """Guards against a traceback in the log for each attempt."""
        server = StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(1.0))
        server.start()
        self.addCleanup(server.stop)
        with odd_values.LogRecorder() as recorder:
            # A process without any of the functions that a link calls.
            dialler = Dialler(("127.0.0.1", server.server_port), None)
            gevent.sleep(0.5)
            dialler.stop()
        self.assertEqual(1, len(recorder.events("link_failed")))


class RejectionLogTest(TestCase):
    def test_key_is_logged_again_after_it_was_accepted(self):
        """Guards against an unusable entry that nobody notices."""
        for key in ("a", "\u00e9", "x" * 500):
            with odd_values.LogRecorder() as recorder:
                rejections = RejectionLog(logging.getLogger("papayaward"), "odd")
                for _ in range(2):
                    rejections.reject(key, "reason")
                    rejections.reject(key, "another reason")
                    rejections.accept(key)
            self.assertEqual(2, len(recorder.events("odd")), key)

    def test_number_of_keys_is_bounded(self):
        """Guards against a program that fills the log and the memory with new keys."""
        with odd_values.LogRecorder() as recorder:
            rejections = RejectionLog(logging.getLogger("papayaward"), "odd")
            for number in range(5000):
                rejections.reject(number, "reason")
        self.assertEqual(1000, len(recorder.events("odd")))
        self.assertEqual(1, len(recorder.events("further_rejections_not_logged")))


class _OneKeyStore:
    def __init__(self):
        self.value = None

    def read(self, prefix):
        return Snapshot(1, {prefix: self.value})


class UpstreamStateStoreTest(TestCase):
    def test_odd_report_is_not_recalled(self):
        """Guards against a restarted runner that fails on the stored report."""
        store = _OneKeyStore()
        states = UpstreamStateStore(store, "r1")
        state = upstream_state(labels=("a", "r1-3"))
        document = asdict(state)
        store.value = json.dumps(document).encode()
        self.assertEqual(state, states.load())
        fields = {
            ("instance",): odd_values.TEXT_VALUES,
            ("service",): odd_values.TEXT_VALUES,
            ("domain",): odd_values.TEXT_VALUES,
            ("capacity",): odd_values.OBJECTS,
            ("capacity", "cpu_millis"): odd_values.NUMBERS,
            ("capacity", "memory_mb"): odd_values.NUMBERS,
            ("capacity", "gpus"): odd_values.NUMBERS,
            ("labels", 0): odd_values.TEXT_VALUES,
            ("draining",): {"number": "1", "text": '"no"', "null": "null"},
            ("sequence",): odd_values.NUMBERS,
            ("born_ms",): odd_values.NUMBERS,
        }

        def load(text):
            store.value = text
            if states.load() is None:
                raise ValueError

        cases = odd_values.odd_texts(document, fields)
        self.assertEqual([], odd_values.not_rejected(load, ValueError, cases))
