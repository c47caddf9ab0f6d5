"""
papayaward.transport.peers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Dials peers and accepts links from them; one greenlet per connection.
"""

import logging
import random

import gevent
from gevent import socket
from gevent.server import StreamServer

from .. import clock
from .link import Link, LinkClosed
from .pending_links import PendingLinks
from .turns import Turns

__all__ = ["Dialler", "serve_links"]

log = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 0.3
_MIN_DELAY_S = 0.05
_MAX_DELAY_S = 0.15
_MAX_PENDING_LINKS = 64
# Part of the pending links that may be accepted at once.
_ACCEPTED_PART = 4
_NO_HANDSHAKE = "link_without_handshake"


class Dialler:
    """Keeps one link to an address open until it is stopped.

    Args:
        address: (host, port) of the peer.
        node: The local process, as for `Link`.
        is_linked: Function that returns whether another link to the peer is open.
    """

    def __init__(self, address, node, is_linked=lambda: False):
        self._address = address
        self._node = node
        self._is_linked = is_linked
        self._stopped = False
        self._link = None
        self._failing_since = None
        self._greenlet = gevent.spawn(self._run)

    @property
    def address(self):
        """The peer's address, (host, port)."""
        return self._address

    @property
    def peer(self):
        """The peer's `Hello`, None while no link is open."""
        link = self._link
        return None if link is None or link.closed else link.peer

    @property
    def failing_since(self):
        """Time of the first failed attempt since the last link, or None."""
        return None if self.peer is not None else self._failing_since

    def stop(self):
        """Closes the link and stops dialling."""
        self._stopped = True
        if self._link is not None:
            self._link.close("no longer needed")
        self._greenlet.kill(block=False)

    def _run(self):
        delay = _MIN_DELAY_S
        while not self._stopped:
            if self._is_linked():
                gevent.sleep(_MAX_DELAY_S)
                continue
            try:
                self._link = Link(self._connect(), self._node, dialled=True)
                self._link.run()
                delay = _MIN_DELAY_S
                self._failing_since = None
            except (OSError, LinkClosed) as error:
                log.debug("dial_failed", extra={"error": str(error)})
                delay = self._after_failure(delay)
            except Exception:
                # A fault in the handling of the new link; the next one may work.
                if self._failing_since is None:
                    address = "%s:%d" % self._address
                    log.exception("link_failed", extra={"address": address})
                delay = self._after_failure(delay)
            # Jitter, so that the members do not all reconnect to a restarted entry at
            # the same time.
            gevent.sleep(delay * random.uniform(0.5, 1.0))

    def _connect(self):
        """Returns a connected socket; raises OSError if there is none."""
        try:
            sock = socket.create_connection(self._address, _CONNECT_TIMEOUT_S)
        except (OverflowError, ValueError) as error:
            # Raised for a port or a host that no address can have.
            raise OSError(str(error)) from error
        sock.settimeout(None)
        return sock

    def _after_failure(self, delay):
        """Records a failed attempt and returns the delay before the next one."""
        if self._failing_since is None:
            self._failing_since = clock.now()
        return min(_MAX_DELAY_S, delay * 2)


def serve_links(
    address,
    node,
    max_pending=_MAX_PENDING_LINKS,
    count_rejections=lambda reason, number: None,
):
    """Starts to accept links and returns the server.

    Args:
        address: (host, port) to listen on.
        node: The local process, as for `Link`.
        max_pending: Connections without a handshake that are open at once.
        count_rejections: Function that takes a reason for which connections were closed
            and their number.

    Returns:
        gevent.server.StreamServer: The running server.
    """
    pending = PendingLinks(max_pending)
    turns = Turns()

    def accept(sock, _):
        link = Link(sock, node, dialled=False)
        try:
            shake_hands(link)
        except LinkClosed as error:
            count_rejections(_NO_HANDSHAKE, 1)
            log.debug("accept_failed", extra={"error": str(error)})
            return
        link.serve()

    def shake_hands(link):
        oldest = pending.add(link)
        if oldest is not None:
            oldest.close("too many connections without a handshake")
        try:
            turns.take()
            link.shake_hands()
        finally:
            pending.remove(link)

    server = StreamServer(address, accept)
    # So that most connections count as pending before further ones are accepted.
    server.max_accept = max(1, max_pending // _ACCEPTED_PART)
    server.start()
    return server
