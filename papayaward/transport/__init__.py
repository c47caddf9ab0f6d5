"""
papayaward.transport
~~~~~~~~~~~~~~~~~~~~

Connections between processes and HTTP to the outside.
"""

__all__ = []
