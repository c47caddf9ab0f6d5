"""
papayaward.state
~~~~~~~~~~~~~~~~

State held in memory by one process.
"""

__all__ = []
