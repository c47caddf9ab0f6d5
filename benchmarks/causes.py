"""
benchmarks.causes
~~~~~~~~~~~~~~~~~

Causes of missed targets, where they are known, for the report.
"""

__all__ = ["CAUSES"]

# By key of the figures, or by command and key.
CAUSES = {
    "wasted_messages_per_task": (
        "executors send a `SlotReport` at each start and each end of a task to every "
        "linked runner but the task's home; runners that coordinated before, for "
        "instance while the entries' views differed at the start, stay linked."
    ),
}
