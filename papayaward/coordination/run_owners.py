"""
papayaward.coordination.run_owners
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The entries that an executor runs tasks for, and when they were last known to be alive.

An entry releases a task when the lease has ended that counts from its last link. So an
entry that has runs here is alive only by what it has answered on a link: a handshake
may be complete on this side only.
"""

from .leased_runs import Owner

__all__ = ["RunOwners"]

# The runs of an entry that was silent for longer are stopped, so that the lease that
# they share with the other entries' runs can be renewed again.
_SILENT_S = 0.6
# Time for an entry to reconnect after its connection broke.
_RECONNECT_GRACE_S = 0.2
# Time after which a disconnected entry has started the tasks elsewhere whose ends it
# was not told.
_KEPT_ENDS_S = 1.1


class RunOwners:
    """`Owner` of each entry that is linked or has runs.

    Attributes:
        by_member: `Owner` by the entry's name.
    """

    def __init__(self):
        self.by_member = {}

    def __iter__(self):
        return iter(list(self.by_member.values()))

    def of_link(self, link):
        """Returns the `Owner` with a link, None if another link has replaced it."""
        owner = self.by_member.get(link.peer.member)
        return owner if owner is not None and owner.link is link else None

    def connect(self, link):
        """Registers a link.

        Returns:
            tuple: `Owner` of the link, and the `Owner` that was replaced because its
                process has restarted, or None.
        """
        peer = link.peer
        owner, replaced = self.by_member.get(peer.member), None
        if owner is not None and owner.incarnation != peer.incarnation:
            owner, replaced = None, owner
        if owner is None:
            owner = Owner(peer.member, peer.incarnation, link, 0.0)
            self.by_member[peer.member] = owner
        owner.link, owner.disconnected_at = link, None
        owner.released = False
        owner.capacity_changed = True
        owner.reported_late_starts = 0
        # The entry numbers the batches of each link from 1.
        owner.last_batch = 0
        if not owner.runs:
            # Tasks can arrive only after the entry has registered the link as well.
            owner.last_alive_at = max(owner.last_alive_at, link.echoed_us / 1e6)
        return owner, replaced

    def disconnect(self, link, now):
        """Records when a link broke."""
        owner = self.of_link(link)
        if owner is not None:
            owner.disconnected_at = now

    def on_heartbeat(self, link, queued):
        """Records when an entry was last known to be alive, and its waiting jobs."""
        owner = self.of_link(link)
        if owner is not None:
            owner.queued = queued
            owner.last_alive_at = max(owner.last_alive_at, link.echoed_us / 1e6)

    def is_idle(self, member):
        """Returns whether no task of an entry uses capacity here."""
        owner = self.by_member.get(member)
        return owner is None or not (owner.runs or owner.ends)

    def silent(self, now):
        """Returns each `Owner` whose runs are to be stopped.

        Disconnected entries without runs are forgotten, later if they have to be told
        of ends.
        """
        found = []
        for owner in self:
            disconnected = (
                owner.disconnected_at is not None
                and now - owner.disconnected_at > _RECONNECT_GRACE_S
            )
            if not disconnected and now - owner.last_alive_at <= _SILENT_S:
                continue
            if owner.runs:
                found.append(owner)
            elif disconnected and not _may_report_ends(owner, now):
                del self.by_member[owner.member]
        return found


def _may_report_ends(owner, now):
    return bool(owner.ends) and now - owner.disconnected_at <= _KEPT_ENDS_S
