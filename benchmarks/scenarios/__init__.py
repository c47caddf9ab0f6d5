"""
benchmarks.scenarios
~~~~~~~~~~~~~~~~~~~~

Scenarios of load and faults; each runs a fleet and returns its figures as a dict.
"""

from .faults import (
    run_domain_cycle,
    run_ejection,
    run_entry_loss,
    run_runner_loss,
    run_store_outage,
)
from .idle import run_heartbeats, run_idle
from .load import run_burst, run_entry_cpu, steady

__all__ = ["SCENARIOS"]

SCENARIOS = {
    "oberland": steady("oberland"),
    "cabinetline": steady("cabinetline"),
    "domain-cycle": run_domain_cycle,
    "burst": run_burst,
    "ejection": run_ejection,
    "entry-loss": run_entry_loss,
    "runner-loss": run_runner_loss,
    "store-outage": run_store_outage,
    "idle": run_idle,
    "entry-cpu": run_entry_cpu,
    "heartbeats": run_heartbeats,
}
