"""
papayaward.coordination.entry_links
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the links of a runner to the entries that it has selected.
"""

import logging

from .entry_selection import EntryAddress, select_entries

__all__ = ["STORE", "EntryLinks"]

log = logging.getLogger(__name__)

# An entry that could not be dialled for this long is replaced by another one until it
# accepts a link again. A restarted process usually accepts links sooner.
_UNREACHABLE_AFTER_S = 1.0
# Time from the notice that an entry will be released until its link is closed, in
# which starts that it sent before it received the notice arrive.
_RELEASE_DELAY_S = 1.0


# Source of the list of entries that was read from the store.
STORE = ""


class EntryLinks:
    """Dials the selected entries and closes the links to others once they are unused.

    Args:
        member: Name of this runner.
        domain: Its failure domain.
        dial: Function that takes an address and returns its `Dialler`.
        release: Function that takes the name of an entry and whether it is to send no
            more tasks.
        is_idle: Function that takes the name of an entry and returns whether no task
            of it runs here.
        seeds: Addresses that are dialled while no entry is linked, (host, port).
    """

    def __init__(self, member, domain, dial, release, is_idle, seeds):
        self._member = member
        self._domain = domain
        self._dial = dial
        self._release = release
        self._is_idle = is_idle
        self._seeds = frozenset(seeds)
        # Lists of entries by their source.
        self._lists = {}
        self._diallers = {}
        # Time at which the release of the entry at an address began.
        self._released_at = {}

    @property
    def addresses(self):
        """Addresses that are linked or being dialled."""
        return set(self._diallers)

    def add_seeds(self, addresses):
        """Adds addresses that are dialled while no entry is linked."""
        self._seeds |= frozenset(addresses)

    def set_list(self, source, entries):
        """Replaces the list of entries from one source.

        Args:
            source: Name of the entry that sent it; `STORE` if it was read there.
            entries: `EntryAddress` of each entry.
        """
        if source:
            # The list of a linked entry is newer than what the store had.
            self._lists.pop(STORE, None)
        self._lists[source] = tuple(entries)

    def remove_list(self, source):
        """Removes the list of a disconnected entry, unless it is the only one left."""
        if len(self._lists) > 1:
            self._lists.pop(source, None)

    def update(self, now):
        """Dials and releases entries according to the lists and the open links.

        Args:
            now: Time, seconds.
        """
        linked = self._linked_entries()
        known = {entry.address: entry for entry in self._listed_entries()}
        known.update({entry.address: entry for entry in linked})
        wanted = self._select(known.values())
        reachable = [
            entry
            for entry in known.values()
            if not self._is_unreachable(entry.address, now)
        ]
        wanted |= self._select(reachable)
        if not linked:
            wanted |= self._seeds
        for address in wanted - set(self._diallers):
            self._diallers[address] = self._dial(address)
        for address in set(self._diallers):
            if address in wanted:
                self._keep(address)
            else:
                self._release_entry(address, now)

    def _listed_entries(self):
        return [entry for entries in self._lists.values() for entry in entries]

    def _linked_entries(self):
        return [
            EntryAddress(dialler.peer.member, address, dialler.peer.domain)
            for address, dialler in self._diallers.items()
            if dialler.peer is not None
        ]

    def _select(self, entries):
        selected = select_entries(self._member, self._domain, entries)
        return {entry.address for entry in selected}

    def _is_unreachable(self, address, now):
        dialler = self._diallers.get(address)
        if dialler is None or dialler.failing_since is None:
            return False
        return now - dialler.failing_since > _UNREACHABLE_AFTER_S

    def _keep(self, address):
        peer = self._diallers[address].peer
        if self._released_at.pop(address, None) is not None and peer is not None:
            self._release(peer.member, False)

    def _release_entry(self, address, now):
        dialler = self._diallers[address]
        if dialler.peer is None:
            self._stop(address)
            return
        member = dialler.peer.member
        if address not in self._released_at:
            self._released_at[address] = now
            self._release(member, True)
        elif now - self._released_at[address] > _RELEASE_DELAY_S:
            if self._is_idle(member):
                log.info("entry_released", extra={"entry": member})
                self._stop(address)

    def _stop(self, address):
        self._released_at.pop(address, None)
        self._diallers.pop(address).stop()
