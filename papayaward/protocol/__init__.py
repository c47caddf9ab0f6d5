"""
papayaward.protocol
~~~~~~~~~~~~~~~~~~~

Messages, identifiers, outcomes, settings and the operators' text.
"""

__all__ = []
