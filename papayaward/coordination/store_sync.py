"""
papayaward.coordination.store_sync
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a process reads from and writes to the platform's store.

The store is reached through an object with the methods `read(prefix)`,
`wait(prefix, revision, wait_s)`, `grant_lease(ttl_s)`, `renew_lease(lease)` and
`put(key, value, lease)`; all raise `StoreError`.
"""

import logging
import random
from dataclasses import dataclass

import gevent

from .. import clock
from ..protocol.store_errors import StoreError

__all__ = ["HistoryLost", "Presence", "Snapshot", "watch_prefix"]

log = logging.getLogger(__name__)

_WATCH_S = 25.0
_SHORTEST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.8
_LEASE_TTL_S = 10.0
_RENEW_INTERVAL_S = 3.0


class HistoryLost(StoreError):
    """The store no longer has the changes after a revision."""


@dataclass(frozen=True)
class Snapshot:
    """The values under a prefix.

    Attributes:
        revision: Revision of the store from which to watch for changes.
        values: bytes by key.
    """

    revision: int
    values: dict


class _Dependency:
    """Logs when the store is lost and regained, and paces the retries."""

    def __init__(self, purpose):
        self._purpose = purpose
        self._lost_at = None
        self._delay_s = _SHORTEST_RETRY_S

    def on_success(self):
        if self._lost_at is not None:
            away_s = round(clock.now() - self._lost_at, 3)
            log.info(
                "store_regained", extra={"purpose": self._purpose, "away_s": away_s}
            )
            self._lost_at = None
        self._delay_s = _SHORTEST_RETRY_S

    def on_error(self, error):
        if self._lost_at is None:
            self._lost_at = clock.now()
            log.warning(
                "store_lost", extra={"purpose": self._purpose, "error": str(error)}
            )
        gevent.sleep(self._delay_s * random.uniform(0.7, 1.0))
        self._delay_s = min(_LONGEST_RETRY_S, self._delay_s * 2)


def watch_prefix(store, prefix, on_snapshot):
    """Reads the values under a prefix at each change; does not return.

    Args:
        store: Client of the store.
        prefix: Prefix of the keys.
        on_snapshot: Function that takes each `Snapshot` and the present time.
    """
    dependency = _Dependency(prefix)
    while True:
        try:
            snapshot = store.read(prefix)
            dependency.on_success()
            on_snapshot(snapshot, clock.now())
            revision, changed = snapshot.revision, False
            while not changed:
                revision, changed = store.wait(prefix, revision, _WATCH_S)
        except HistoryLost as error:
            log.info(
                "store_history_lost", extra={"prefix": prefix, "error": str(error)}
            )
        except StoreError as error:
            dependency.on_error(error)


class Presence:
    """Keeps a key of this process in the store while the process lives.

    Args:
        store: Client of the store.
        key: The key.
        value: bytes.
    """

    def __init__(self, store, key, value):
        self._store = store
        self._key = key
        self._value = value
        self._lease = None
        self._task = gevent.spawn(self._keep)

    def republish(self):
        """Writes the key again; for a watcher that sees that it has vanished."""
        self._lease = None
        self._task.kill(block=False)
        self._task = gevent.spawn(self._keep)

    def remove(self):
        """Lets the key go when the process stops."""
        self._task.kill(block=False)
        if self._lease is not None:
            try:
                self._store.end_lease(self._lease)
            except StoreError as error:
                # The lease runs out by itself a little later.
                log.info("lease_not_ended", extra={"error": str(error)})

    def _keep(self):
        dependency = _Dependency(self._key)
        while True:
            try:
                if self._lease is None:
                    lease = self._store.grant_lease(_LEASE_TTL_S)
                    self._store.put(self._key, self._value, lease)
                    self._lease = lease
                elif not self._store.renew_lease(self._lease):
                    self._lease = None
                    continue
                dependency.on_success()
                gevent.sleep(_RENEW_INTERVAL_S)
            except StoreError as error:
                dependency.on_error(error)
