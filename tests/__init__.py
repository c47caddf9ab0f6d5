"""
tests
~~~~~

Tests of papayaward; `python -m tests` runs them all.
"""

__all__ = []
