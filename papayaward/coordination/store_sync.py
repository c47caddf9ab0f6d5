"""
papayaward.coordination.store_sync
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Watches keys in the platform's store and publishes the key of this process.

The client of the store has the methods `read(prefix)`,
`wait(prefix, revision, wait_s)`, `grant_lease(ttl_s)`, `renew_lease(lease)`,
`revoke_lease(lease)` and `put(key, value, lease)`; all raise `StoreError`.
"""

import logging
import random
from dataclasses import dataclass

import gevent

from .. import clock
from ..protocol.store_errors import StoreError

__all__ = ["HistoryLost", "Presence", "Snapshot", "watch_prefix"]

log = logging.getLogger(__name__)

# Longest wait of a watch. If its connection goes silent, changes are noticed only when
# the watch is repeated.
_WATCH_TIMEOUT_S = 1.5
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 0.8
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


class _OutageTracker:
    """Logs the start and end of outages of the store, and delays retries."""

    def __init__(self, purpose):
        self._purpose = purpose
        self._outage_start = None
        self._retry_delay_s = _MIN_RETRY_DELAY_S

    def on_unexpected_error(self, error):
        """Handles an error that is not the store's, which must not end the loop."""
        if self._outage_start is None:
            log.exception("store_call_failed", extra={"purpose": self._purpose})
        self.on_error(error)

    def on_success(self):
        if self._outage_start is not None:
            outage_s = round(clock.now() - self._outage_start, 3)
            log.info(
                "store_regained", extra={"purpose": self._purpose, "away_s": outage_s}
            )
            self._outage_start = None
        self._retry_delay_s = _MIN_RETRY_DELAY_S

    def on_error(self, error):
        if self._outage_start is None:
            self._outage_start = clock.now()
            log.warning(
                "store_lost", extra={"purpose": self._purpose, "error": str(error)}
            )
        gevent.sleep(self._retry_delay_s * random.uniform(0.7, 1.0))
        self._retry_delay_s = min(_MAX_RETRY_DELAY_S, self._retry_delay_s * 2)


def watch_prefix(store, prefix, on_snapshot, min_interval_s=0.0):
    """Reads the values under a prefix after each change; does not return.

    Args:
        store: Client of the store.
        prefix: Prefix of the keys.
        on_snapshot: Function that takes each `Snapshot` and the current time.
        min_interval_s: Minimum time from one reading to the next, seconds.
    """
    outages = _OutageTracker(prefix)
    while True:
        try:
            snapshot = store.read(prefix)
            outages.on_success()
            _handle(on_snapshot, snapshot)
            revision, changed = snapshot.revision, False
            while not changed:
                revision, changed = store.wait(prefix, revision, _WATCH_TIMEOUT_S)
            gevent.sleep(min_interval_s)
        except HistoryLost as error:
            log.info(
                "store_history_lost", extra={"prefix": prefix, "error": str(error)}
            )
        except StoreError as error:
            outages.on_error(error)
        except Exception as error:
            outages.on_unexpected_error(error)


def _handle(on_snapshot, snapshot):
    """Handles a snapshot; an exception must not end the watch for later changes."""
    try:
        on_snapshot(snapshot, clock.now())
    except Exception:
        log.exception("snapshot_failed", extra={"revision": snapshot.revision})


class Presence:
    """Keeps a key of this process in the store, under a lease, while it runs.

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
        self._task = gevent.spawn(self._keep_alive)

    def republish(self):
        """Writes the key again; called by a watcher that finds it missing."""
        self._lease = None
        self._task.kill(block=False)
        self._task = gevent.spawn(self._keep_alive)

    def remove(self):
        """Removes the key when the process stops."""
        self._task.kill(block=False)
        if self._lease is not None:
            try:
                self._store.revoke_lease(self._lease)
            except StoreError as error:
                # The lease expires shortly afterwards.
                log.info("lease_not_revoked", extra={"error": str(error)})

    def _keep_alive(self):
        outages = _OutageTracker(self._key)
        while True:
            try:
                if self._lease is None:
                    lease = self._store.grant_lease(_LEASE_TTL_S)
                    self._store.put(self._key, self._value, lease)
                    self._lease = lease
                elif not self._store.renew_lease(self._lease):
                    self._lease = None
                    continue
                outages.on_success()
                gevent.sleep(_RENEW_INTERVAL_S)
            except StoreError as error:
                outages.on_error(error)
            except Exception as error:
                outages.on_unexpected_error(error)
