"""
papayaward.coordination.upstream_state_store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Persists an upstream's latest report in the store, for a restart of the runner.

An upstream reports every second or two. With the stored report, a restarted runner
stops the runs of its predecessor before that, so that tasks start as soon as the report
comes. They do not start earlier: the capacity may have shrunk while the store was away,
or while no runner was there to handle the report.
"""

import json
import logging
from dataclasses import asdict

import gevent
from gevent.event import Event

from ..loops import repeat
from ..protocol.jobs import Resources
from ..protocol.options import (
    MAX_INT32,
    OptionError,
    get_bool,
    get_int,
    get_object,
    get_string,
    get_string_list,
    read_object,
)
from ..protocol.store_errors import StoreConflict, StoreError
from .upstream_requests import UpstreamState

__all__ = ["UpstreamStateStore"]

log = logging.getLogger(__name__)

_PREFIX = "papayaward/upstreams/"
_RETRY_S = 1.0
# Stored instead of a report, since the store's client deletes no keys.
_NO_UPSTREAM = b"{}"


class UpstreamStateStore:
    """Writes the report to the store when it changes, and reads it after a restart.

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
        # Expected revision of the stored report; a conflict tells the actual one.
        self._revision = 0
        gevent.spawn(repeat, self._run)

    def load(self):
        """Returns the stored `UpstreamState`, or None."""
        try:
            value = self._store.read(self._key).values.get(self._key)
            return None if value in (None, _NO_UPSTREAM) else _parse_state(value)
        except (StoreError, OptionError) as error:
            # Not fatal: the upstream's next report is used instead, only later.
            log.info("upstream_state_not_loaded", extra={"error": str(error)})
            return None

    def save(self, state):
        """Schedules a write of the latest report.

        Args:
            state: `UpstreamState`; None if the upstream has deregistered and runs
                nothing, so that a restarted runner does not recall it.
        """
        self._state = state
        self._changed.set()

    def _run(self):
        self._changed.wait()
        self._changed.clear()
        content = _without_sequence(self._state)
        if content == self._saved:
            return
        value = _encode_state(self._state)
        # Without a reply, the write may have taken effect.
        self._saved = None
        try:
            self._write(value)
            self._saved = content
        except StoreError as error:
            log.info("upstream_state_not_saved", extra={"error": str(error)})
            gevent.sleep(_RETRY_S)
            self._changed.set()

    def _write(self, value):
        """Writes a report unless another write takes effect at the same time.

        A write without a reply may take effect seconds later. The condition keeps it
        from replacing a newer report.
        """
        try:
            self._revision = self._store.put(self._key, value, 0, self._revision)
        except StoreConflict as conflict:
            self._revision = self._store.put(self._key, value, 0, conflict.revision)


def _encode_state(state):
    return _NO_UPSTREAM if state is None else json.dumps(asdict(state)).encode()


def _parse_state(value):
    """Decodes a stored report.

    Raises:
        OptionError: The report is malformed; another program must have written it.
    """
    document = read_object(value)
    capacity = get_object(document, "capacity")
    return UpstreamState(
        instance=get_string(document, "instance"),
        service=get_string(document, "service"),
        domain=get_string(document, "domain"),
        capacity=Resources(
            get_int(capacity, "cpu_millis", high=MAX_INT32),
            get_int(capacity, "memory_mb", high=MAX_INT32),
            get_int(capacity, "gpus", high=MAX_INT32),
        ),
        labels=get_string_list(document, "labels"),
        draining=get_bool(document, "draining"),
        sequence=get_int(document, "sequence"),
        born_ms=get_int(document, "born_ms"),
    )


def _without_sequence(state):
    """Returns a report, or nothing, without the number that changes every time."""
    return {} if state is None else {**asdict(state), "sequence": 0}
