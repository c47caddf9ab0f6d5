"""
papayaward.protocol.store_errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors raised by the store clients.
"""

__all__ = ["StoreConflict", "StoreError", "StoreRefused"]


class StoreError(Exception):
    """The store did not answer; a write may or may not have taken effect."""


class StoreRefused(StoreError):
    """The store refused the call, which had no effect."""


class StoreConflict(StoreRefused):
    """The key has changed, so that a conditional write had no effect.

    Attributes:
        revision: Revision of the key's last change, 0 if the key is absent.
    """

    def __init__(self, revision):
        super().__init__(f"the key is at revision {revision}")
        self.revision = revision
