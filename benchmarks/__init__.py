"""
benchmarks
~~~~~~~~~~

Measurements on one machine, the report of them and the demo; not installed.
"""

__all__ = []
