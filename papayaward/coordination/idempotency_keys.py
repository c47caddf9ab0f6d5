"""
papayaward.coordination.idempotency_keys
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maps callers' idempotency keys to job identifiers through the platform's store.

Two entries must not give one key two identifiers, and they share nothing but the
store, so each new key costs one create-if-absent write. Callers that can ask for
identifiers ahead of time need none of this.
"""

import json
from dataclasses import dataclass
from hashlib import blake2b

from ..protocol.identifiers import parse_job_id
from ..protocol.store_errors import StoreError

__all__ = ["IdempotencyKeys", "KeyMapping", "KeyWriteLimiter"]

_PREFIX = "papayaward/keys"
_MAPPING_TTL_S = 24 * 3600

# One lease serves all keys of an hour, so that a key costs one write and not two.
_LEASE_REUSE_S = 3600


class KeyWriteLimiter:
    """Token bucket that bounds the store writes of one entry.

    Args:
        rate: Writes per second.
    """

    def __init__(self, rate):
        self._rate = rate
        self._tokens = float(rate)
        self._updated = None

    def take(self, now):
        """Takes one write and returns whether it is allowed now."""
        if self._updated is not None:
            gained = (now - self._updated) * self._rate
            self._tokens = min(float(self._rate), self._tokens + gained)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True)
class KeyMapping:
    """Identifier that a key stands for.

    Attributes:
        job_id: `JobId`.
        fingerprint: Hash of the body that came first with the key.
        revision: Revision of the mapping in the store, 0 if written just now.
    """

    job_id: object
    fingerprint: str
    revision: int


class IdempotencyKeys:
    """Mappings from keys to identifiers.

    Args:
        store: `StoreClient`.
    """

    def __init__(self, store):
        self._store = store
        self._lease = 0
        self._lease_granted = 0.0

    def find(self, tenant, key):
        """Returns the `KeyMapping` of a key, or None.

        Raises:
            StoreError: The store did not answer.
        """
        found = self._store.get(_store_key(tenant, key))
        return None if found is None else _parse(found)

    def create(self, tenant, key, job_id, fingerprint, now, revision=0):
        """Maps a key to an identifier unless another entry was first.

        Args:
            tenant: Name of the tenant.
            key: The caller's key.
            job_id: `JobId` that the key shall stand for.
            fingerprint: Hash of the body.
            now: Monotonic time, seconds.
            revision: Revision of the mapping to replace, 0 to create one.

        Returns:
            KeyMapping: The mapping that is in the store now.

        Raises:
            StoreError: It is not known what the store holds.
        """
        value = json.dumps({"id": str(job_id), "fingerprint": fingerprint}).encode()
        store_key = _store_key(tenant, key)
        try:
            lease = self._current_lease(now)
            written, other = self._store.compare_and_swap(
                store_key, value, revision, lease
            )
        except StoreError:
            # The write may have taken effect; what the store holds now decides.
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
        if not self._lease or now - self._lease_granted > _LEASE_REUSE_S:
            self._lease = self._store.grant_lease(_MAPPING_TTL_S + _LEASE_REUSE_S)
            self._lease_granted = now
        return self._lease


def _store_key(tenant, key):
    digest = blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{_PREFIX}/{tenant}/{digest}"


def _parse(found):
    document = json.loads(found.value)
    job_id = parse_job_id(document["id"])
    return KeyMapping(job_id, document["fingerprint"], found.revision)
