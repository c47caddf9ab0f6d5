"""
benchmarks
~~~~~~~~~~

Measurements of papayaward with real processes; not installed.
"""

__all__ = []
