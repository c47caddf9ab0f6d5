"""
standins
~~~~~~~~

Small stand-ins of outside systems for tests and benchmarks; not installed.
"""

__all__ = []
