"""
tests.test_odd_store_values
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Readers of the key-value service of papayaward's own path, with the odd values.
"""

import json
from base64 import b64encode
from functools import partial
from pathlib import Path
from tempfile import NamedTemporaryFile

from testtools import TestCase

from papayaward.coordination.config_sync import ConfigHolder
from papayaward.coordination.config_writer import ConfigWriter
from papayaward.coordination.executor import _as_json
from papayaward.coordination.idempotency_keys import IdempotencyKeys
from papayaward.job_requests import RequestError, parse_job
from papayaward.protocol.config_text import ConfigError, FleetConfig, parse_config
from papayaward.protocol.options import OptionError, read_json, read_object
from papayaward.protocol.settings import SettingsError, load_settings
from papayaward.protocol.store_errors import StoreError
from papayaward.transport.entry_client import EntryReply
from papayaward.transport.store_client import StoreClient, StoreValue
from tests import odd_values

__all__ = []


class _Reply:
    status_code = 200

    def __init__(self, content):
        self._content = content

    def read(self):
        return self._content


class _HttpClient:
    """Answers each call with the same content."""

    def __init__(self):
        self.content = b""

    def post(self, path, body):
        return _Reply(self.content)


class StoreClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.http = _HttpClient()
        self.store = StoreClient([("127.0.0.1", 1)])
        self.store._clients = [self.http]

    def not_rejected(self, call, document, fields):
        def read(text):
            self.http.content = text
            return call()

        read(json.dumps(document).encode())
        cases = odd_values.odd_texts(document, fields)
        return odd_values.not_rejected(read, StoreError, cases)

    def test_odd_replies_are_store_errors(self):
        """Guards against an entry that reports a failed step at each poll."""
        item = {"mod_revision": "3", "value": b64encode(b"v").decode()}
        lists = {n: f for n, f in odd_values.OBJECTS.items() if n != "list"}
        revisions = {n: f for n, f in odd_values.NUMBERS.items() if n != "text"}
        fields = {
            ("kvs",): {**lists, "object": '{"a": 1}'},
            ("kvs", 0): odd_values.OBJECTS,
            ("kvs", 0, "mod_revision"): {**revisions, "letters": '"x"'},
        }
        values = {**odd_values.TEXT_VALUES, "no base64": '"/w="'}
        # A value may be absent, or long.
        del values["long text"], values["null"]
        with_values = {**fields, ("kvs", 0, "value"): values}
        document = {"kvs": [item]}
        for call, expected in (
            (partial(self.store.revision, "k"), fields),
            (partial(self.store.get, "k"), with_values),
        ):
            self.assertEqual([], self.not_rejected(call, document, expected))
        call = partial(self.store.list, "k", "l", 5)
        only_values = dict(with_values)
        del only_values["kvs", 0, "mod_revision"]
        self.assertEqual([], self.not_rejected(call, document, only_values))
        call = partial(self.store.grant_lease, 10)
        self.assertEqual([], self.not_rejected(call, {"ID": "5"}, {("ID",): revisions}))
        call = partial(self.store.compare_and_swap, "k", b"v", 1)
        document = {"responses": [{"response_range": document}]}
        path = ("responses", 0, "response_range")
        fields = {
            ("responses",): {**lists, "object": '{"a": 1}', "list": "[]"},
            ("responses", 0): odd_values.OBJECTS,
            path: odd_values.OBJECTS,
            (*path, "kvs", 0): odd_values.OBJECTS,
        }
        self.assertEqual([], self.not_rejected(call, document, fields))


class _OneKeyStore:
    """Store that holds the same value under each key."""

    def __init__(self):
        self.value = b""

    def revision(self, key):
        return 1

    def get(self, key):
        return StoreValue(self.value, 1)

    def list(self, first, end, limit):
        return {"odd": self.value, "good": json.dumps(_HISTORY).encode()}


_ENVELOPE = {"version": 3, "write_id": "0" * 16, "author": "o", "text": "{}"}
_HISTORY = {"version": 3, "write_id": "0" * 16, "author": "o", "time": 5, "summary": ""}
_TEXTS = {n: f for n, f in odd_values.TEXT_VALUES.items() if n != "long text"}


class StoreValuesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = _OneKeyStore()

    def read(self, call, text):
        self.store.value = text
        return call()

    def test_odd_configuration_is_a_store_error(self):
        """Guards against a version that ends the heartbeats of each link."""
        fields = {("version",): odd_values.NUMBERS}
        fields |= {(name,): _TEXTS for name in ("write_id", "author", "text")}
        cases = odd_values.odd_texts(_ENVELOPE, fields)

        def read(text):
            return self.read(ConfigWriter(self.store).read_if_changed, text)

        self.assertEqual([], odd_values.not_rejected(read, StoreError, cases))

    def test_odd_history_entry_costs_only_itself(self):
        """Guards against a history that operators cannot read for one odd entry."""
        writer = ConfigWriter(self.store)
        fields = {("version",): odd_values.NUMBERS, ("time",): odd_values.NUMBERS}
        fields |= {(name,): _TEXTS for name in ("write_id", "author", "summary")}
        with odd_values.LogRecorder() as recorder:
            for name, text in odd_values.odd_texts(_HISTORY, fields):
                entries = self.read(partial(writer.read_history, 5), text)
                self.assertEqual([3], [entry.version for entry in entries], name)
        self.assertEqual(1, len(recorder.events("history_entry_invalid")))

    def test_odd_mapping_of_a_key_is_a_store_error(self):
        """Guards against a failed request, with a traceback, for each use of a key."""
        keys = IdempotencyKeys(self.store)
        document = {"id": "j-r1-1-1", "fingerprint": "0"}
        read = partial(self.read, partial(keys.find, "t", "k"))
        read(json.dumps(document).encode())
        fields = {
            ("id",): odd_values.TEXT_VALUES,
            ("fingerprint",): odd_values.TEXT_VALUES,
        }
        cases = odd_values.odd_texts(document, fields)
        self.assertEqual([], odd_values.not_rejected(read, StoreError, cases))


class ConfigHolderTest(TestCase):
    def test_invalid_version_is_logged_once(self):
        """Guards against a log line for each heartbeat of a peer that has it."""
        holder = ConfigHolder()
        with odd_values.LogRecorder() as recorder:
            for version in (5, 5, 5, 6, 6):
                holder.offer(version, b"[" * 200_000, 0.0)
        records = recorder.events("config_invalid")
        self.assertEqual([5, 6], [record.version for record in records])


class TextsTest(TestCase):
    def test_odd_settings_files_are_rejected(self):
        """Guards against a traceback in place of the finding."""
        with NamedTemporaryFile() as file:

            def read(text):
                Path(file.name).write_bytes(text)
                return load_settings(file.name)

            cases = odd_values.TEXTS.items()
            self.assertEqual([], odd_values.not_rejected(read, SettingsError, cases))

    def test_odd_configuration_texts_are_rejected(self):
        """Guards against an entry that fails on an operator's text."""
        document = {"services": [{"name": "s"}], "limits": {"max_tasks": 5}}
        document["tenants"] = [{"name": "t", "weight": 1.0}]
        parse_config(json.dumps(document))
        fields = {
            ("services",): odd_values.OBJECTS,
            ("services", 0): odd_values.OBJECTS,
            ("services", 0, "name"): odd_values.TEXT_VALUES,
            ("limits",): odd_values.OBJECTS,
            ("limits", "max_tasks"): odd_values.NUMBERS,
            ("tenants", 0, "weight"): {
                n: f for n, f in odd_values.NUMBERS.items() if n != "fraction"
            },
        }
        cases = odd_values.odd_texts(document, fields)
        self.assertEqual([], odd_values.not_rejected(parse_config, ConfigError, cases))

    def test_odd_jobs_are_refused(self):
        """Guards against a task that cannot be encoded, and a 500 response."""
        document = {"service": "s", "tenant": "t", "class": "c", "tasks": [1]}
        config = FleetConfig()

        def find_service(name):
            raise RequestError(None, name)

        def read(text):
            return parse_job(read_object(text), False, config, find_service)

        fields = {
            ("service",): odd_values.TEXT_VALUES,
            ("tenant",): odd_values.TEXT_VALUES,
            ("class",): odd_values.TEXT_VALUES,
            ("deadline_ms",): odd_values.NUMBERS,
            ("tasks",): odd_values.OBJECTS,
            ("tasks", 0): {n: odd_values.NUMBERS[n] for n in ("nested", "infinity")},
        }
        cases = odd_values.odd_texts(document, fields)
        errors = (OptionError, RequestError)
        self.assertEqual([], odd_values.not_rejected(read, errors, cases))

    def test_odd_result_becomes_a_string(self):
        """Guards against an answer to a job that its caller cannot parse."""
        for name, text in odd_values.TEXTS.items():
            result = json.loads(_as_json(text), parse_constant=self.fail)
            if name not in ("list", "number"):
                self.assertIsInstance(result, str, name)

    def test_odd_reply_of_an_entry_is_shown_as_text(self):
        """Guards against an operator's tool that ends with a traceback."""
        for name, text in odd_values.TEXTS.items():
            reply = EntryReply("e", 502, text)
            self.assertIsInstance(reply.json, dict, name)

    def test_json_of_any_kind_can_be_read(self):
        """Guards against a reader that accepts objects only."""
        for value in (None, True, 5, 0.5, "x", [1], {"a": [{}]}, [[[]]] * 100):
            self.assertEqual(value, read_json(json.dumps(value)))
