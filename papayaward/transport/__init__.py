"""
papayaward.transport
~~~~~~~~~~~~~~~~~~~~

Connections between processes, and HTTP servers and clients.
"""

__all__ = []
