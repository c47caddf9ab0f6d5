"""
papayaward.coordination.acceptance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a written configuration version is accepted by the members.
"""

from dataclasses import dataclass

__all__ = ["Acceptance", "check_acceptance"]

# A new entry does not know the members yet. Runners reconnect within 0.5 s (an attempt
# times out after 0.3 s), so runners that are missing after this time are unreachable.
_DISCOVERY_S = 1.5


@dataclass(frozen=True)
class Acceptance:
    """Progress of the roll-out of a configuration version.

    Attributes:
        accepted: Whether more than half of the known members confirmed it.
        in_force_everywhere: Whether all known members confirmed it.
        confirmed: Names of the members that use this version or a later one.
        unconfirmed: Names of the other known members.
    """

    accepted: bool
    in_force_everywhere: bool
    confirmed: tuple
    unconfirmed: tuple


def check_acceptance(version, versions, uptime_s):
    """Returns the `Acceptance` of a version that is already in the store.

    Args:
        version: Number of the version.
        versions: Version in force by member, for every known member; None for a
            member that is not connected.
        uptime_s: Time since this entry started to listen, seconds.
    """
    confirmed, missing = [], []
    for name, in_force in sorted(versions.items()):
        reached = in_force is not None and in_force >= version
        (confirmed if reached else missing).append(name)
    # Before the first version no task can have started under an older one.
    first = version == 1 and not versions
    majority = len(confirmed) * 2 > len(versions)
    return Acceptance(
        first or (majority and (version == 1 or uptime_s >= _DISCOVERY_S)),
        not missing and (version == 1 or uptime_s >= _DISCOVERY_S),
        tuple(confirmed),
        tuple(missing),
    )
