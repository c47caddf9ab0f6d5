"""
benchmarks.causes
~~~~~~~~~~~~~~~~~

Causes of missed targets, where they are known, for the report.
"""

__all__ = ["CAUSES"]

# By key of the figures.
CAUSES = {
    "response_over_ideal_p50": (
        "three parts, each of 3 to 10 % of the median: the fixed network delay (6 ms "
        "in oberland, 10 ms in cabinetline) and processor time on the way, 15 ms a "
        "job in all on the busy machine; learned speeds, whose average over some "
        "twenty tasks of unequal size ranks similar upstreams wrongly (0 to 10 % in "
        "the ideal with learned speeds); and the time from a result to the next "
        "grant, in which the slot is idle (6 ms cost 2 to 11 % in the ideal)."
    ),
    "response_over_ideal_p99": (
        "a few jobs with tasks of several seconds decide it: a long task that gets "
        "a slot of speed 0.5 instead of 2 takes up to 7 s more, in the ideal as well "
        "as here, so runs differ in both directions."
    ),
    "entry_cpu_us_per_task": (
        "about 30 us are the two entries' idle cost, heartbeats of ten runners and "
        "reads of the store, spread over some 1,000 tasks a second; the rest is near "
        "35 us."
    ),
    "added_ms_p50": (
        "processor time of six processes on the way, which grows with the load of "
        "the shared machine; a run while it was less busy had 4.7 ms."
    ),
    "idle_cpu_share": (
        "processor time of the same work grows with the load of the shared machine; "
        "a run while it was less busy had 0.9 %. In a profile, sends, receives and "
        "codec of heartbeats lead, then the gate's state for `accepting`, which is "
        "computed 33 times a second."
    ),
    "goodput_share": (
        "admission fills the queue up to the deadline by mean service times without "
        "a margin, so jobs that take longer than the mean fail at the deadline after "
        "using slots."
    ),
    "wasted_messages_per_task": (
        "executors send a `SlotReport` at each start and each end of a task to every "
        "linked runner but the task's home; runners that coordinated before, for "
        "instance while the entries' views differed at the start, stay linked. In a "
        "trial without these reports (seed 2, oberland at 0.7) nothing was wasted and "
        "the median over the ideal was 1.12 instead of 1.22."
    ),
}
