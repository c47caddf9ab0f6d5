"""
papayaward.coordination.acceptance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides when a written configuration version is accepted.
"""

from dataclasses import dataclass

__all__ = ["Acceptance", "check_acceptance"]

# A new entry does not know the members yet. Runners redial within 0.5 s and a
# dial fails after 0.5 s, so after this time the missing ones are unreachable.
_LEARN_MEMBERS_S = 1.5


@dataclass(frozen=True)
class Acceptance:
    """How far a version has spread.

    Attributes:
        accepted: Whether more than half of the known members confirmed it.
        in_force_everywhere: Whether all of them did.
        confirmed: Names of members that have the version or a higher one.
        unconfirmed: Names of the other known members.
    """

    accepted: bool
    in_force_everywhere: bool
    confirmed: tuple
    unconfirmed: tuple


def check_acceptance(version, versions, up_s):
    """Returns the `Acceptance` of a version that is known to be in the store.

    Args:
        version: Version.
        versions: Version in force by member, for every known member; None for a
            member that is not linked.
        up_s: Time since this entry started to listen, in seconds.
    """
    confirmed, missing = [], []
    for name, in_force in sorted(versions.items()):
        reached = in_force is not None and in_force >= version
        (confirmed if reached else missing).append(name)
    # Before the first version nothing can have started under an older one.
    first = version == 1 and not versions
    majority = len(confirmed) * 2 > len(versions)
    return Acceptance(
        first or (majority and (version == 1 or up_s >= _LEARN_MEMBERS_S)),
        not missing and (version == 1 or up_s >= _LEARN_MEMBERS_S),
        tuple(confirmed),
        tuple(missing),
    )
