"""
standins
~~~~~~~~

Small stand-ins for external systems in tests and benchmarks; not installed.
"""

__all__ = []
