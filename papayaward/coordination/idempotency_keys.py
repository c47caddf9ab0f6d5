"""
papayaward.coordination.idempotency_keys
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maps callers' idempotency keys to job identifiers through the platform's store.

Two entries must not map one key to different identifiers, and the store is all that
they share, so each new key costs one create-if-absent write. Callers that request
identifiers in advance need no keys.
"""

import json
from dataclasses import dataclass
from hashlib import blake2b

from ..protocol.identifiers import IdentifierError, parse_job_id
from ..protocol.options import OptionError, get_string, read_object
from ..protocol.store_errors import StoreError

__all__ = ["IdempotencyKeys", "KeyMapping", "KeyWriteLimiter"]

_PREFIX = "papayaward/keys"
_MAPPING_TTL_S = 24 * 3600

# All keys written within an hour share a lease, so that a key costs one write, not two.
_LEASE_REUSE_S = 3600


class KeyWriteLimiter:
    """Token bucket that limits the rate of an entry's writes to the store.

    Args:
        rate: Writes per second.
    """

    def __init__(self, rate):
        self._rate = rate
        self._tokens = float(rate)
        self._refilled_at = None

    def take(self, now):
        """Takes a token for one write; returns False if none is available."""
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(float(self._rate), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True)
class KeyMapping:
    """Job identifier that an idempotency key is mapped to.

    Attributes:
        job_id: `JobId`.
        fingerprint: Hash of the request body that was first sent with the key.
        revision: Revision of the mapping in the store, 0 if written just now.
    """

    job_id: object
    fingerprint: str
    revision: int


class IdempotencyKeys:
    """Reads and writes the mappings from keys to job identifiers.

    Args:
        store: `StoreClient`.
    """

    def __init__(self, store):
        self._store = store
        self._lease_id = 0
        self._lease_granted_at = 0.0

    def find(self, account, key):
        """Returns the `KeyMapping` of a key, or None.

        Raises:
            StoreError: The store did not answer.
        """
        found = self._store.get(_store_key(account, key))
        return None if found is None else _parse(found)

    def create(self, account, key, job_id, fingerprint, now, revision=0):
        """Maps a key to an identifier unless another entry has already mapped it.

        Args:
            account: Name of the client account.
            key: The caller's key.
            job_id: `JobId` to map the key to.
            fingerprint: Hash of the request body.
            now: Monotonic time, seconds.
            revision: Revision of the mapping to replace, 0 to create one.

        Returns:
            KeyMapping: The mapping that is in the store now.

        Raises:
            StoreError: The mapping in the store could not be determined.
        """
        value = json.dumps({"id": str(job_id), "fingerprint": fingerprint}).encode()
        store_key = _store_key(account, key)
        try:
            lease = self._current_lease(now)
            written, other = self._store.compare_and_swap(
                store_key, value, revision, lease
            )
        except StoreError:
            # The write may have taken effect, so the mapping is read back.
            found = self._store.get(store_key)
            if found is None or found.revision == revision:
                raise
            return _parse(found)
        if written:
            return KeyMapping(job_id, fingerprint, 0)
        if other is None:
            raise StoreError("the mapping expired during the write")
        return _parse(other)

    def _current_lease(self, now):
        if not self._lease_id or now - self._lease_granted_at > _LEASE_REUSE_S:
            self._lease_id = self._store.grant_lease(_MAPPING_TTL_S + _LEASE_REUSE_S)
            self._lease_granted_at = now
        return self._lease_id


def _store_key(account, key):
    digest = blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{_PREFIX}/{account}/{digest}"


def _parse(found):
    """Decodes a mapping in the store.

    Raises:
        StoreError: The mapping is malformed; another program must have written it.
    """
    try:
        document = read_object(found.value)
        job_id = parse_job_id(get_string(document, "id"))
        fingerprint = get_string(document, "fingerprint")
    except (OptionError, IdentifierError) as error:
        raise StoreError(f"the store holds a malformed mapping: {error}") from error
    return KeyMapping(job_id, fingerprint, found.revision)
