"""
papayaward.coordination
~~~~~~~~~~~~~~~~~~~~~~~

Decisions: placement, limits, retries, membership, the start gate.
"""

__all__ = []
