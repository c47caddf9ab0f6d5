"""
papayaward.coordination.upstream_state_store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps an upstream's latest report in the store, for the next process beside it.

An upstream reports every second or two. A runner that was restarted would leave its
upstream without work for that long.
"""

import json
import logging
from dataclasses import asdict

import gevent
from gevent.event import Event

from ..protocol.jobs import Resources
from ..protocol.store_errors import StoreError
from .upstream_requests import UpstreamState

__all__ = ["UpstreamStateStore"]

log = logging.getLogger(__name__)

_PREFIX = "papayaward/upstreams/"
_RETRY_S = 1.0


class UpstreamStateStore:
    """Writes the report when it changes, and reads it at the start.

    Args:
        store: Client of the store (see `store_sync`).
        member: Name of the runner.
    """

    def __init__(self, store, member):
        self._store = store
        self._key = _PREFIX + member
        self._state = None
        self._changed = Event()
        self._saved = None
        gevent.spawn(self._run)

    def load(self):
        """Returns the `UpstreamState` that was kept, or None."""
        try:
            value = self._store.read(self._key).values.get(self._key)
            if value is None:
                return None
            document = json.loads(value)
            document["capacity"] = Resources(**document["capacity"])
            document["labels"] = tuple(document["labels"])
            return UpstreamState(**document)
        except (StoreError, ValueError, KeyError, TypeError) as error:
            # The upstream's next report serves as well, only later.
            log.info("upstream_not_remembered", extra={"error": str(error)})
            return None

    def save(self, state):
        """Takes the latest report, None when the upstream has left."""
        self._state = state
        self._changed.set()

    def _run(self):
        while True:
            self._changed.wait()
            self._changed.clear()
            content = None if self._state is None else _lasting(self._state)
            if content == self._saved or self._state is None:
                continue
            value = json.dumps(asdict(self._state)).encode()
            try:
                self._store.put(self._key, value, 0)
                self._saved = content
            except StoreError as error:
                log.info("upstream_not_kept", extra={"error": str(error)})
                gevent.sleep(_RETRY_S)
                self._changed.set()


def _lasting(state):
    """Returns what does not change with each report."""
    return {**asdict(state), "sequence": 0}
