"""
papayaward.coordination.cell_executors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The executors of a coordinator's cell: membership, links, load limits and order.
"""

from operator import attrgetter

from ..protocol import mechanisms
from .executor_views import ExecutorView
from .placement import set_faster_rates

__all__ = ["CellExecutors"]

# An executor that returns after a shorter absence gets its full load at once;
# after a longer one, its load is ramped up.
_RAMP_MIN_ABSENCE_S = 0.5
_RECENTRE_INTERVAL_S = 1.0
_SUSPECT_RANK_PENALTY = 10_000

# Grants are sent again only while the executor is certain to remember which tasks
# it started (60 s) and to keep their results (10 s).
_RESEND_WINDOW_S = 8.0


class CellExecutors:
    """Views of the executors of a cell, by name of the runner.

    Args:
        node: The runner.
        speeds: `SpeedEstimates`.
        ejection: `Ejection`.
        binding: `EarlyBinding`, whose backlogs end with their executor.
    """

    def __init__(self, node, speeds, ejection, binding):
        self._node = node
        self._speeds = speeds
        self._ejection = ejection
        self._binding = binding
        self._views = {}
        self._free = {}
        self._recentre_at = 0.0

    @property
    def views(self):
        """`ExecutorView` by member."""
        return self._views

    def usable(self):
        """Returns the views to which grants may be sent."""
        return [view for view in self._views.values() if view.usable]

    def free(self):
        """Returns the views with free slots to which grants can be sent."""
        return [view for view in self._free.values() if view.linked]

    def best_untried(self, record):
        """Returns the fastest free executor that was not tried, or None.

        If the request was tried on every usable executor, any of them may be chosen.
        """
        tried = record.tried_executors
        if all(view.member in tried for view in self.usable()):
            tried = ()
        others = (view for view in self.free() if view.member not in tried)
        return min(others, key=attrgetter("order"), default=None)

    def set_members(self, members, now):
        """Updates the executors to the current members of the cell.

        Args:
            members: List of `Member`.
            now: Monotonic time, seconds.
        """
        present = {(member.member, member.incarnation) for member in members}
        for member in members:
            view = self._views.get(member.member)
            # The `Hello` of a connected executor, or of one in its grace period, is
            # more recent than the member list of an entry.
            unlinked = view is None or (
                view.link is None and view.disconnected_at is None
            )
            if unlinked and (view is None or view.incarnation != member.incarnation):
                self._add(member.member, member.incarnation, member.domain)
        names = {member.member for member in members}
        for view in list(self._views.values()):
            view.listed = view.member in names
            known = (view.member, view.incarnation) in present
            if not known and not view.outstanding and view.link is None:
                self._binding.unbind(view)
                del self._views[view.member]
                self._free.pop(view.member, None)
            else:
                self.update(view, now)

    def connect(self, link, now):
        """Registers a link to an executor.

        Returns:
            tuple: The executor's view, and the view that it replaces, whose tasks are
                lost, or None.
        """
        replaced = None
        hello = link.peer
        view = self._views.get(hello.member)
        if (
            view is None
            or view.incarnation != hello.incarnation
            or _resend_window_passed(view, now)
        ):
            replaced = view
            view = self._add(hello.member, hello.incarnation, hello.domain)
        view.link = link
        view.disconnected_at = None
        return view, replaced

    def disconnect(self, link, now):
        """Starts the grace period of an executor whose link closed."""
        view = self._views.get(link.peer.member)
        if view is not None and view.link is link:
            view.link = None
            view.disconnected_at = now
            view.last_echo_at = link.echoed_us / 1e6
            self.update(view, now)

    def drop(self, view, now):
        """Discards what is known of a lost executor."""
        view.link = None
        view.disconnected_at = None
        self._binding.unbind(view)
        self._speeds.remove_executor(view.member)
        self._ejection.remove_executor(view.member)
        self.update(view, now)

    def update(self, view, now):
        """Updates the load limit and placement order of an executor.

        Must be called after each change of its state.
        """
        if self._views.get(view.member) is not view:
            return
        domains_out = self._node.config.config.domains_out
        view.in_service = view.domain not in domains_out or not mechanisms.is_enabled(
            "domain_gate"
        )
        self._track_absence(view, now)
        view.limit = self._ejection.limit(view.member, view.slots, now)
        if now < view.paused_until:
            view.limit = 0
        free = view.free
        if free <= 0:
            self._free.pop(view.member, None)
            return
        rank = self._speeds.rank(view.member, bool(view.outstanding), now)
        if self._ejection.is_suspect(view.member, now):
            rank += _SUSPECT_RANK_PENALTY
        view.order = (rank, -free, view.member)
        self._free[view.member] = view

    def refresh(self, now):
        """Updates every executor.

        Returns:
            int: Total slots of the usable executors.
        """
        for view in self._views.values():
            self.update(view, now)
        usable = self.usable()
        set_faster_rates(usable, self._speeds.slowness)
        if now >= self._recentre_at:
            self._recentre_at = now + _RECENTRE_INTERVAL_S
            self._speeds.recentre()
        return sum(view.slots for view in usable)

    def _add(self, member, incarnation, domain):
        view = ExecutorView(member, incarnation, domain)
        older = self._views.get(member)
        if older is not None:
            self._binding.unbind(older)
        self._views[member] = view
        self._free.pop(member, None)
        return view

    def _track_absence(self, view, now):
        """Starts a load ramp when an executor is new or returns."""
        if view.link is None or not view.accepting or not view.in_service:
            if view.absent_since is None:
                view.absent_since = now
        elif view.absent_since is not None:
            absent_s = now - view.absent_since
            view.absent_since = None
            # When the whole cell starts, every executor is new, and a ramp would
            # protect nothing.
            if absent_s > _RAMP_MIN_ABSENCE_S and self._speeds.any_known:
                self._ejection.start_ramp(view.member, view.slots)
                self._speeds.mark_uncertain(view.member)


def _resend_window_passed(view, now):
    # A coordinator that was paused detects closed links when it resumes, not when
    # they broke. Its last timestamp that the executor echoed is a lower bound for
    # the time of the last contact.
    if not view.outstanding:
        return False
    echo_at = view.last_echo_at if view.link is None else view.link.echoed_us / 1e6
    return now - echo_at > _RESEND_WINDOW_S
