"""
papayaward.protocol
~~~~~~~~~~~~~~~~~~~

Messages, identifiers, outcomes, settings and the configuration text.
"""

__all__ = []
