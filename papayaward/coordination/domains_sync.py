"""
papayaward.coordination.domains_sync
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The failure domains out of service, and the exchange of their list with peers.
"""

import logging

from ..protocol.gen.ttypes import DomainsPush

__all__ = ["DomainsHolder"]

log = logging.getLogger(__name__)


class DomainsHolder:
    """Holds the list that was read at the highest revision of the store."""

    def __init__(self):
        self._revision = 0
        self._out = frozenset()
        self._listeners = []

    @property
    def revision(self):
        """Revision of the store at which the list was read, 0 before the first."""
        return self._revision

    @property
    def out(self):
        """Names of the failure domains out of service."""
        return self._out

    def is_out(self, domain):
        """Returns whether a failure domain is out of service."""
        return domain in self._out

    def on_change(self, listener):
        """Registers a listener that is called with the time after each change."""
        self._listeners.append(listener)

    def offer(self, revision, domains, now):
        """Replaces the list if the given one is newer."""
        if revision <= self._revision:
            return
        self._revision = revision
        domains = frozenset(domains)
        if domains == self._out:
            return
        self._out = domains
        log.info(
            "domains_changed", extra={"revision": revision, "out": sorted(domains)}
        )
        for listener in self._listeners:
            listener(now)

    def on_message(self, message, now):
        """Handles a `DomainsPush`; returns False for other messages."""
        if not isinstance(message, DomainsPush):
            return False
        self.offer(message.revision, message.domains_out, now)
        return True

    def on_peer_revision(self, link, revision):
        """Sends the list to a peer that has an older one."""
        if (revision or 0) < self._revision:
            link.try_send(DomainsPush(self._revision, sorted(self._out)))
