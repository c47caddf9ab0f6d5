"""
papayaward.coordination.config_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads and writes the configuration in the platform's store.
"""

import json
import secrets
from dataclasses import dataclass

from ..transport.store_client import StoreError

__all__ = ["CONFIG_KEY", "ConfigWriter", "Envelope", "WriteResult"]

CONFIG_KEY = "papayaward/config"

# A write whose answer is lost is read back this often before its fate is
# reported as unknown.
_READ_BACK_ATTEMPTS = 3


@dataclass(frozen=True)
class Envelope:
    """The value of the configuration key.

    Attributes:
        version: Version, one higher than its predecessor's.
        write_id: Identifier of the write, to recognise it after a lost answer.
        author: Who wrote it.
        text: Operators' text.
    """

    version: int
    write_id: str
    author: str
    text: str


@dataclass(frozen=True)
class WriteResult:
    """Outcome of a write.

    Attributes:
        status: `written`, `conflict` or `unknown`.
        version: Version written, or found in case of a conflict.
        found: `Envelope` found in case of a conflict.
    """

    status: str
    version: int
    found: Envelope | None = None


class ConfigWriter:
    """Configuration key of the store.

    Args:
        store: `StoreClient`.
    """

    def __init__(self, store):
        self._store = store
        self._revision = 0

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
        self._revision = found.revision
        return _parse(found.value)

    def write(self, text, expected_version, author):
        """Writes a new version if the present one is the expected one.

        Args:
            text: Checked operators' text, str.
            expected_version: Version that the change was made from.
            author: Who writes it.

        Returns:
            WriteResult: What happened; `unknown` if the store stopped answering.
        """
        write_id = secrets.token_hex(8)
        try:
            found = self._store.get(CONFIG_KEY)
        except StoreError:
            return WriteResult("unavailable", 0)
        present = None if found is None else _parse(found.value)
        version = 0 if present is None else present.version
        if version != expected_version:
            return WriteResult("conflict", version, present)
        envelope = Envelope(version + 1, write_id, author, text)
        value = json.dumps(envelope.__dict__).encode()
        try:
            written, other = self._store.swap(
                CONFIG_KEY, value, 0 if found is None else found.revision
            )
        except StoreError:
            return self._read_back(write_id, version + 1)
        if written:
            return WriteResult("written", version + 1)
        other = _parse(other.value)
        if other.write_id == write_id:
            return WriteResult("written", version + 1)
        return WriteResult("conflict", other.version, other)

    def _read_back(self, write_id, version):
        for _ in range(_READ_BACK_ATTEMPTS):
            try:
                found = self._store.get(CONFIG_KEY)
            except StoreError:
                continue
            present = None if found is None else _parse(found.value)
            if present is not None and present.write_id == write_id:
                return WriteResult("written", version)
            if present is not None and present.version >= version:
                return WriteResult("conflict", present.version, present)
        return WriteResult("unknown", version)


def _parse(value):
    document = json.loads(value)
    return Envelope(
        int(document["version"]),
        document["write_id"],
        document["author"],
        document["text"],
    )
