"""
papayaward.coordination.executor_views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a coordinator knows of each executor of its cell.
"""

__all__ = ["ExecutorView"]


class ExecutorView:
    """One executor as its coordinator sees it.

    Args:
        member: Name of the runner.
        incarnation: Incarnation of the runner.
        domain: Failure domain of the runner.
    """

    def __init__(self, member, incarnation, domain):
        self.member = member
        self.incarnation = incarnation
        self.domain = domain
        self.link = None
        self.lost_at = None
        self.heard = 0.0
        # Whether an entry lists the runner; an unlisted one gets no new tasks.
        self.listed = True
        self.slots = 0
        self.used_by_others = 0
        self.accepting = False
        self.in_service = True
        self.limit = 0
        self.outstanding = {}

    @property
    def usable(self):
        """Whether grants may be sent to the executor at all."""
        return (
            self.link is not None
            and self.listed
            and self.accepting
            and self.in_service
            and self.limit > 0
        )

    @property
    def free(self):
        """Slots that a new grant may take; 0 or less when none is free."""
        if not self.usable:
            return 0
        own = len(self.outstanding)
        return min(self.slots - self.used_by_others, self.limit) - own

    def on_report(self, report):
        """Takes a slot report of the executor."""
        self.slots = report.slots
        self.used_by_others = report.used_by_others
        self.accepting = report.accepting
