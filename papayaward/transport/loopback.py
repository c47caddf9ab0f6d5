"""
papayaward.transport.loopback
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Link of a runner to itself, so that its coordinator can use its own executor.
"""

import gevent

from .. import clock

__all__ = ["LoopbackLink"]


class LoopbackLink:
    """Delivers messages to the sending process in the next event loop iteration.

    Args:
        node: The local process, as for `Link`.
    """

    closed = False

    def __init__(self, node):
        self._node = node

    @property
    def peer(self):
        """The process's own `Hello`."""
        return self._node.hello()

    def try_send(self, message):
        """Queues a message and returns True."""
        gevent.get_hub().loop.run_callback(self._deliver, message)
        return True

    def _deliver(self, message):
        self._node.on_message(self, message, clock.now())
