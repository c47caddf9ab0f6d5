"""
tests.test_odd_values
~~~~~~~~~~~~~~~~~~~~~

Readers of what other programs write, with every odd value of one table.

One odd value may cost the entry that holds it, but not the others, and no reader may
raise anything but its own error.
"""

import json
from dataclasses import asdict
from functools import partial

from testtools import TestCase

from papayaward.coordination.store_sync import Snapshot
from papayaward.coordination.upstream_state_store import UpstreamStateStore
from papayaward.protocol.options import (
    OptionError,
    get_address,
    get_int,
    get_number,
    get_string,
    get_string_list,
    read_object,
)
from tests import odd_values
from tests.leased_case import upstream_state

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

    def test_last_of_two_equal_keys_is_checked(self):
        """Guards against a check of another value than the one that is used."""
        document = read_object(b'{"a": 1, "a": 99}')
        self.assertRaises(OptionError, get_int, document, "a", high=9)


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
