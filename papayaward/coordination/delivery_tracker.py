"""
papayaward.coordination.delivery_tracker
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is known of one start that may need several attempts.
"""

from .upstream_requests import Delivery

__all__ = ["DeliveryTracker"]


class DeliveryTracker:
    """Follows what is known of one start over several attempts.

    Args:
        on_delivery: Function that takes each new `Delivery`.
        on_unanswered: Function that takes the number of requests without a reply
            whenever it changes, and again when the latest of them has got none in time.
        on_identified: Function called when the lifetime of the session is known to have
            begun the run.
        is_open: Function that returns whether the session is open and the run wanted.
            Otherwise the executor may have reported what was not sent as not run, and
            may count no further request to start the run.
    """

    def __init__(self, on_delivery, on_unanswered, on_identified, is_open):
        self._on_delivery = on_delivery
        self._on_unanswered = on_unanswered
        self._on_identified = on_identified
        self._is_open = is_open
        self._unanswered = 0

    @property
    def unanswered(self):
        """Number of requests that were sent and have no reply."""
        return self._unanswered

    def may_send(self):
        """Records that an attempt is about to be sent; returns whether it may be."""
        if not self._is_open():
            return False
        self._add_unanswered(1)
        self._on_delivery(Delivery.UNANSWERED)
        return True

    def on_no_reply(self):
        """Records that an attempt got no reply in time.

        It may have been sent as late as now if the process could not run meanwhile.
        """
        self._add_unanswered(0)

    def on_reply(self, started, is_identified=False):
        """Records the reply to an attempt; earlier ones may remain unanswered.

        Args:
            started: Whether the run has begun.
            is_identified: Whether the lifetime of the session is known to have replied.
        """
        self._add_unanswered(-1)
        if started:
            self._on_delivery(Delivery.STARTED)
            if is_identified:
                self._on_identified()
        elif not self._unanswered:
            self._on_delivery(Delivery.NOT_DELIVERED)

    def _add_unanswered(self, count):
        self._unanswered += count
        self._on_unanswered(self._unanswered)
