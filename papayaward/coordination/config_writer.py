"""
papayaward.coordination.config_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads and writes the configuration and its history in the platform's store.
"""

import json
import logging
from dataclasses import asdict, dataclass

import gevent

from .. import clock
from ..protocol.config_diff import diff_texts, summarise
from ..protocol.options import OptionError, get_int, get_string, read_object
from ..protocol.store_errors import StoreError, StoreRefused
from ..rejection_log import RejectionLog
from ..transport.store_client import delete_operation, put_operation

__all__ = [
    "CONFIG_KEY",
    "ConfigWriter",
    "Envelope",
    "HistoryEntry",
    "Submission",
    "WriteResult",
]

log = logging.getLogger(__name__)

CONFIG_KEY = "papayaward/config"
HISTORY_KEY = "papayaward/history/"

# Number of versions whose history entries are kept. At 2,300 changes a day this is
# about half a day, and less than 1 MB in the store.
HISTORY_VERSIONS = 1000

# Largest value that the store accepts.
_MAX_VALUE_BYTES = 1_000_000

# A write whose reply was lost is read back until its result is known, for at least
# this long.
_READ_BACK_S = 2.0
_READ_BACK_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Envelope:
    """The value of the configuration key.

    Attributes:
        version: Version, one higher than its predecessor's.
        write_id: Identifier of the write, to recognise it after a lost reply.
        author: Who wrote it.
        text: Configuration text.
    """

    version: int
    write_id: str
    author: str
    text: str


@dataclass(frozen=True)
class HistoryEntry:
    """History record of a version in the store.

    Attributes:
        version: Version.
        write_id: Identifier of the write.
        author: Who wrote it.
        time: Time of the write by the entry's clock, in seconds since 1970.
        summary: One-line summary of the changes since the previous version.
    """

    version: int
    write_id: str
    author: str
    time: int
    summary: str


@dataclass(frozen=True)
class Submission:
    """A change that an operator submits.

    Attributes:
        text: Validated configuration text, str.
        expected_version: Version that the change is based on.
        author: Who makes it.
        write_id: Identifier of the write. A submission that is sent again with the
            same one takes effect at most once.
    """

    text: str
    expected_version: int
    author: str
    write_id: str


@dataclass(frozen=True)
class WriteResult:
    """Outcome of a write.

    Attributes:
        status: `written`; `conflict`, `unavailable` or `too_large`, which guarantee
            that nothing was changed; or `unknown`.
        version: Version written, or found in case of a conflict.
        found: `Envelope` found in case of a conflict.
        detail: Explanation for operators.
    """

    status: str
    version: int
    found: Envelope | None = None
    detail: str = ""


class ConfigWriter:
    """Reads and writes the configuration key of the store.

    Args:
        store: `StoreClient`.
    """

    def __init__(self, store):
        self._store = store
        self._revision = 0
        self._head_version = 0
        self._rejections = RejectionLog(log, "history_entry_invalid")

    @property
    def head_version(self):
        """Version that `read_if_changed` last read."""
        return self._head_version

    def read_if_changed(self):
        """Returns the `Envelope` if it changed since the last call, else None.

        Raises:
            StoreError: The store did not answer.
        """
        revision = self._store.revision(CONFIG_KEY)
        if revision == self._revision:
            return None
        found = self._store.get(CONFIG_KEY)
        if found is None:
            return None
        envelope = _parse(Envelope, found.value)
        self._revision = found.revision
        self._head_version = envelope.version
        return envelope

    def read_history(self, limit, after=0):
        """Returns the `HistoryEntry`s of versions above `after`, newest first.

        Raises:
            StoreError: The store did not answer.
        """
        first, end = _history_key(after + 1), HISTORY_KEY + "~"
        entries = []
        for key, value in self._store.list(first, end, limit).items():
            try:
                entries.append(_parse(HistoryEntry, value))
                self._rejections.accept(key)
            except StoreError as error:
                self._rejections.reject(key, error)
        return entries

    def preview(self, submission, in_force):
        """Returns what `write` would do: `written` or a conflict.

        Args:
            submission: `Submission`.
            in_force: Version in force in this process.

        Returns:
            WriteResult: The expected result; nothing is written.
        """
        try:
            found = self._store.get(CONFIG_KEY)
            current = None if found is None else _parse(Envelope, found.value)
        except StoreError as error:
            return WriteResult("unavailable", 0, detail=str(error))
        version = _base_version(current, in_force)
        if version != submission.expected_version:
            return WriteResult("conflict", version, current)
        return WriteResult("written", version + 1, current)

    def write(self, submission, in_force, now_s, deadline):
        """Writes a new version if the current one is the expected one.

        The version and its history entry are written in one transaction, so neither
        exists without the other.

        Args:
            submission: `Submission`.
            in_force: Version in force in this process.
            now_s: Wall-clock time for the history, in seconds since 1970.
            deadline: Monotonic time until which a write without a reply is read
                back.

        Returns:
            WriteResult: The result; `unknown` if the store stopped answering after
            the write was sent.
        """
        version = submission.expected_version + 1
        try:
            found = self._store.get(CONFIG_KEY)
            current = None if found is None else _parse(Envelope, found.value)
            if _base_version(current, in_force) != version - 1:
                return self._resolve_conflict(submission, current, in_force)
        except StoreError as error:
            return WriteResult("unavailable", 0, detail=str(error))
        values = _new_values(submission, current, now_s)
        if any(len(value) > _MAX_VALUE_BYTES for value in values):
            detail = f"the store accepts at most {_MAX_VALUE_BYTES} bytes"
            return WriteResult("too_large", version - 1, detail=detail)
        try:
            written, other = self._store.compare_and_swap(
                CONFIG_KEY,
                values[0],
                0 if found is None else found.revision,
                operations=_history_operations(version, values[1]),
            )
            if written:
                return WriteResult("written", version)
            other = None if other is None else _parse(Envelope, other.value)
            return self._resolve_conflict(submission, other, in_force)
        except StoreRefused as error:
            return WriteResult("unavailable", version - 1, detail=str(error))
        except StoreError:
            deadline = max(deadline, clock.now() + _READ_BACK_S)
            return self._read_back(submission, in_force, deadline)

    def _read_back(self, submission, in_force, deadline):
        version = submission.expected_version + 1
        while clock.now() < deadline:
            try:
                found = self._store.get(CONFIG_KEY)
                current = None if found is None else _parse(Envelope, found.value)
                if current is not None and current.version >= version:
                    return self._resolve_conflict(
                        submission, current, in_force, sent=True
                    )
            except StoreError:
                pass
            # The write may still be in flight, so an unchanged key does not prove
            # that it failed.
            gevent.sleep(_READ_BACK_INTERVAL_S)
        detail = "the store did not answer the write; it may still take effect"
        return WriteResult("unknown", version, detail=detail)

    def _resolve_conflict(self, submission, current, in_force, sent=False):
        """Returns `written` if the submission took effect already, else a conflict.

        Args:
            sent: Whether the write was sent and no reply arrived; without a history
                entry its result is then unknown.
        """
        version = submission.expected_version + 1
        if current is not None and current.version >= version:
            if current.write_id == submission.write_id:
                return WriteResult("written", current.version)
            # Later versions may have replaced this write; its history entry still
            # identifies it.
            if current.version > version:
                value = self._store.get(_history_key(version))
                if value is None and sent:
                    detail = f"the store has no history of version {version}"
                    return WriteResult("unknown", version, detail=detail)
                entry = value and _parse(HistoryEntry, value.value)
                if entry and entry.write_id == submission.write_id:
                    return WriteResult("written", version)
        return WriteResult("conflict", _base_version(current, in_force), current)


def _base_version(current, in_force):
    # The store may have been restored from an old backup. Versions must still
    # increase, since members ignore a version that is not higher than their own.
    return max(0 if current is None else current.version, in_force)


def _new_values(submission, current, now_s):
    version = submission.expected_version + 1
    write_id, author = submission.write_id, submission.author
    before = "" if current is None else current.text
    summary = summarise(diff_texts(before, submission.text))
    entry = HistoryEntry(version, write_id, author, int(now_s), summary)
    return (
        _encode(Envelope(version, write_id, author, submission.text)),
        _encode(entry),
    )


def _history_operations(version, value):
    expired = _history_key(max(1, version - HISTORY_VERSIONS + 1))
    return (
        put_operation(_history_key(version), value),
        delete_operation(_history_key(0), expired),
    )


def _history_key(version):
    return f"{HISTORY_KEY}{version:012d}"


def _encode(item):
    return json.dumps(asdict(item), ensure_ascii=False).encode()


def _parse(kind, value):
    """Decodes an item of the store.

    Raises:
        StoreError: The value is malformed; another program must have written it.
    """
    try:
        document = read_object(value)
        fields = {
            name: _read_field(document, name, field.type)
            for name, field in kind.__dataclass_fields__.items()
        }
    except OptionError as error:
        raise StoreError(f"the store holds a malformed value: {error}") from error
    return kind(**fields)


def _read_field(document, name, kind):
    if kind is int:
        return get_int(document, name)
    if name not in document:
        raise OptionError(name, None, "a string")
    return get_string(document, name, "", _MAX_VALUE_BYTES)
