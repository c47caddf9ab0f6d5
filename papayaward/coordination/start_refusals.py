"""
papayaward.coordination.start_refusals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the reasons mean for which an executor refuses a start.
"""

from .run_starter import OLD_RUN

__all__ = [
    "CRASHING_REASON",
    "FINAL_REASONS",
    "LASTING_REASONS",
    "NOT_RUN_PREFIX",
    "NO_CAPACITY_REASONS",
    "PASSING_REASONS",
]

# Prefix of the outcome of a start that did not lead to a run; the reason follows.
NOT_RUN_PREFIX = "not_run:"
# Reasons for which no executor will ever run a task, with the reason of the outcome.
FINAL_REASONS = {
    "invalid": "rejected by the upstream",
}
# Reasons for which an executor accepts no task for a long time.
LASTING_REASONS = ("draining", "domain_out")
# Reason for which an executor refuses a job after too many crashes under it.
CRASHING_REASON = "crashing"
# Reasons for which an executor refuses a start that it may accept a moment later.
NO_CAPACITY_REASONS = ("busy", "kept", "not_isolated")
# The same, and that it accepts under the next number.
PASSING_REASONS = (*NO_CAPACITY_REASONS, OLD_RUN)
