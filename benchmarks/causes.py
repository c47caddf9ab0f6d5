"""
benchmarks.causes
~~~~~~~~~~~~~~~~~

Known causes of missed targets, for the report.
"""

__all__ = ["CAUSES"]

# Cause by key of the result.
CAUSES = {
    "response_over_ideal_p50": (
        "three parts, each of 3 to 10 % of the median: the fixed network delay (6 ms "
        "in oberland, 10 ms in cabinetline) and CPU time along the path, 15 ms "
        "per job in total on the busy machine; learned speeds, whose "
        "average over about twenty tasks of unequal size ranks similar upstreams "
        "wrongly (0 to 10 % in the ideal simulation with learned speeds); and the idle "
        "time of a slot between a result and the next grant (6 ms cost 2 to 11 % in "
        "the ideal simulation)."
    ),
    "response_over_ideal_p99": (
        "a few jobs with tasks of several seconds determine this percentile: a long "
        "task in a slot of speed 0.5 instead of 2 takes up to 7 s longer, in the ideal "
        "simulation too, so runs differ in both directions."
    ),
    "entry_cpu_us_per_task": (
        "about 30 us are the idle cost of the two entries (heartbeats of ten runners "
        "and reads of the store), divided by about 1,000 tasks per second; the rest is "
        "about 35 us."
    ),
    "added_ms_p50": (
        "CPU time of the six processes on the path, which grows with the load of the "
        "shared machine; a run while it was less busy had 4.7 ms."
    ),
    "idle_cpu_share": (
        "the CPU time of the same work grows with the load of the shared machine; a "
        "run while it was less busy had 0.9 %. In a profile, sending, receiving, "
        "encoding and decoding heartbeats take the most time, followed by the state "
        "of the gate for `accepting`, which is computed 33 times per second."
    ),
    "goodput_share": (
        "admission fills the queue up to the deadline according to mean service times "
        "without a margin, so jobs that take longer than the mean fail at the deadline "
        "after using slots."
    ),
    "wasted_messages_per_task": (
        "executors send a `SlotReport` at each start and end of a task to every linked "
        "runner except the coordinator of the task; former coordinators, for instance "
        "from the start, when the views of the entries differed, stay linked. In a "
        "trial without these reports (seed 2, oberland at load 0.7) no message was "
        "wasted and the median over the ideal was 1.12 instead of 1.22."
    ),
}
