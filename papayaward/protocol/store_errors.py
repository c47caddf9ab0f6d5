"""
papayaward.protocol.store_errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors raised by the store clients.
"""

__all__ = ["StoreError", "StoreRefused"]


class StoreError(Exception):
    """The store did not answer; a write may or may not have taken effect."""


class StoreRefused(StoreError):
    """The store refused the call, which had no effect."""
