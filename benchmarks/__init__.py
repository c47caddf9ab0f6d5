"""
benchmarks
~~~~~~~~~~

Benchmarks on one machine, their report and the demo; not installed.
"""

__all__ = []
