"""
papayaward.coordination.crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that crash: what is told of them, which jobs are the likely cause, and how
these are kept apart from the others.
"""

__all__ = []
