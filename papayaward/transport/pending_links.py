"""
papayaward.transport.pending_links
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Accepted connections whose peer has not introduced itself.

Anybody who reaches the port of the links can open one, so their number is bounded. A
process of the fleet introduces itself within milliseconds, so the oldest connection is
the least likely to come from one.
"""

__all__ = ["PendingLinks"]


class PendingLinks:
    """Pending links in the order in which they were accepted.

    Args:
        max_links: Largest number.
    """

    def __init__(self, max_links):
        self._max_links = max_links
        self._links = {}

    def __len__(self):
        return len(self._links)

    def add(self, link):
        """Adds a link and returns the one to be closed for it, or None."""
        oldest = None
        if len(self._links) >= self._max_links:
            oldest = next(iter(self._links))
            del self._links[oldest]
        self._links[link] = None
        return oldest

    def remove(self, link):
        """Removes a link whose handshake has ended."""
        self._links.pop(link, None)
