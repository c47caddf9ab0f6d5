"""
papayaward.coordination.leased_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an executor keeps of each run and of each entry that it runs tasks for.
"""

from dataclasses import dataclass, field

from ..protocol.jobs import Resources

__all__ = ["Owner", "Run"]


@dataclass
class Run:
    """A task that holds room."""

    task: str
    run: int
    spec: str
    need: Resources
    owner: object
    request_id: str
    expected_s: float
    started_at: float
    running: bool = False
    stopping: bool = False
    ended: bool = False
    percent: int = -1
    advanced_at: float = 0.0

    def remaining_s(self, percent, now):
        """Returns how long the run still takes at the pace seen so far, seconds.

        Args:
            percent: Progress that the upstream lists now.
            now: Time, seconds.
        """
        if percent != self.percent:
            self.percent, self.advanced_at = percent, now
        left = 100 - percent
        pace_s = (now - self.started_at) / max(percent, 1)
        return left * max(pace_s, now - self.advanced_at)


@dataclass
class Owner:
    """An entry whose tasks run here."""

    member: str
    incarnation: int
    link: object
    last_alive_at: float
    lost_at: float | None = None
    last_batch: int = 0
    runs: int = 0
    ends: list = field(default_factory=list)
    slow: list = field(default_factory=list)
    room_changed: bool = True
    room_sent_at: float = 0.0
    told_accepting: bool = False
    told_free: Resources = Resources()
