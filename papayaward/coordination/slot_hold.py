"""
papayaward.coordination.slot_hold
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps a slow slot free while a task is done earlier on a faster executor.
"""

from .placement import faster_by_waiting

__all__ = ["SlotHold"]

# Upper bound on how long a slow slot is kept free for a faster one, in case no
# faster slot becomes free as expected.
_MAX_HOLD_S = 0.25


class SlotHold:
    """Decides whether the best free slot stays idle.

    Args:
        speeds: `SpeedEstimates`.
        enabled: Whether slots are held at all.
    """

    def __init__(self, speeds, enabled):
        self._speeds = speeds
        self._enabled = enabled
        self._until = None

    def holds(self, view, waiting, now):
        """Returns whether to keep the best free slot idle and wait for a faster one.

        Args:
            view: View of the executor with the best free slot.
            waiting: Number of queued tasks.
            now: Monotonic time, seconds.
        """
        if not self._enabled or not view.outranked:
            return False
        slowness = self._speeds.slowness(view.member)
        waits = faster_by_waiting(view, slowness, waiting)
        if not waits or self._speeds.is_uncertain(view.member, now):
            self._until = None
            return False
        if self._until is None:
            self._until = now + _MAX_HOLD_S
        if now < self._until:
            return True
        self._until = None
        return False
