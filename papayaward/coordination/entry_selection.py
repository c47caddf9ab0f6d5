"""
papayaward.coordination.entry_selection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Choice of the entries to which a runner keeps links.

In a small fleet each runner is linked to every entry. In a large one that would cost
each process heartbeats and reports in proportion to the size of the fleet, so a runner
chooses a fixed number of entries by rendezvous hashing. All runners choose
independently, so the runners of one entry are spread evenly over the fleet, and the
arrival or loss of an entry changes few choices.
"""

from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["MAX_LINKED_ENTRIES", "EntryAddress", "select_entries"]

# Number of entries to which a runner keeps links.
MAX_LINKED_ENTRIES = 10
# Largest number of these in the runner's own failure domain: enough for an
# entry to find most executors nearby, and few enough that it keeps the others if its
# failure domain is taken out of service.
_MAX_LOCAL_ENTRIES = 4


@dataclass(frozen=True, order=True)
class EntryAddress:
    """Where an entry accepts links.

    Attributes:
        member: Name of the entry.
        address: (host, port) for links.
        domain: Failure domain of the entry; empty if it is not known.
    """

    member: str
    address: tuple
    domain: str = ""


def select_entries(runner, domain, entries):
    """Returns the entries that a runner should be linked to.

    Args:
        runner: Name of the runner.
        domain: Failure domain of the runner.
        entries: `EntryAddress` of each entry that is available.

    Returns:
        list: At most `MAX_LINKED_ENTRIES` of the entries.
    """
    ranked = sorted(entries, key=lambda entry: _weight(runner, entry), reverse=True)
    if len(ranked) <= MAX_LINKED_ENTRIES:
        return ranked
    local = [entry for entry in ranked if entry.domain == domain]
    selected = local[:_MAX_LOCAL_ENTRIES]
    remote = [entry for entry in ranked if entry.domain != domain]
    selected += remote[: MAX_LINKED_ENTRIES - len(selected)]
    # Only if there are too few entries in other failure domains.
    selected += local[_MAX_LOCAL_ENTRIES:][: MAX_LINKED_ENTRIES - len(selected)]
    return selected


def _weight(runner, entry):
    key = f"{runner}/{entry.member}/{entry.address}".encode()
    return blake2b(key, digest_size=8).digest()
