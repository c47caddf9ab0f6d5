"""
papayaward.coordination
~~~~~~~~~~~~~~~~~~~~~~~

Scheduling of jobs and tasks, membership, and distribution of the configuration.

This includes placement, limits, retries and the start gate.
"""

__all__ = []
