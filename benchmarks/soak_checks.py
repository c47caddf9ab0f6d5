"""
benchmarks.soak_checks
~~~~~~~~~~~~~~~~~~~~~~

Checks of the guarantees after a run of the soak.
"""

import json
import time
from collections import defaultdict
from datetime import datetime

__all__ = ["ANSWER_SLACK_S", "check_run"]

# An answer may be later than its deadline by this time.
ANSWER_SLACK_S = 0.7
_DOMAIN_OUT_BOUND_S = 5.0
_ERROR_MARKERS = ("request_failed", "step_failed", "message_failed", "Traceback")
# No task may start on an upstream for longer than this after it was acknowledged that
# the upstream is draining.
_DRAIN_BOUND_S = 2.0
# A smaller capacity counts after this time.
_SHRINK_BOUND_S = 3.3
# Upstreams that may crash under a task, and starts of it after that.
_MAX_CRASHES = 3
_MAX_LATE_STARTS = 2


def check_run(soak):
    """Checks the guarantees at the end of a run.

    Args:
        soak: The soak, whose fleet still runs.

    Returns:
        list of str: Violations.
    """
    found = list(soak.findings)
    by_task = defaultdict(list)
    for upstream in soak.fleet.upstreams.values():
        found += _check_drains(soak, upstream)
        for instance in upstream.instances:
            found += _check_capacity(soak, upstream, instance)
            for record in instance.records:
                by_task[record.task].append((record, upstream))
    now = time.monotonic()
    for task, runs in by_task.items():
        spans = sorted((r.started_at, r.ended_at or now) for r, _ in runs)
        for (_, end), (start, _) in zip(spans, spans[1:]):
            if start < end:
                at = start - soak.started_at
                found.append(
                    f"two runs of task {task} overlapped from {at:.2f} s for "
                    f"{end - start:.3f} s: "
                    + "; ".join(
                        f"{upstream.name} run {r.run} "
                        f"{r.started_at - soak.started_at:.2f} to "
                        f"{(r.ended_at or now) - soak.started_at:.2f} {r.outcome}"
                        for r, upstream in runs
                    )
                )
    found += [
        f"task {task} was started {_late_starts(runs)} times after its third crash"
        for task, runs in by_task.items()
        if _late_starts(runs) > _MAX_LATE_STARTS
    ]
    soak.note(_count_starts(by_task))
    found += _check_answers(soak, by_task)
    found += _check_domains_out(soak, by_task)
    for name in soak.fleet.processes:
        log = soak.fleet.log(name)
        found += [f"{name} logged {error}" for error in _ERROR_MARKERS if error in log]
    return found


def _count_starts(by_task):
    """Describes how often tasks were started, also after they were done.

    Args:
        by_task: (`StartRecord`, upstream) of each run by task.
    """
    starts = after_done = 0
    for runs in by_task.values():
        starts += len(runs)
        done_at = min((r.ended_at for r, _ in runs if r.outcome == "done"), default=0.0)
        after_done += sum(r.started_at > done_at > 0.0 for r, _ in runs)
    return (
        f"{len(by_task)} tasks were started {starts} times, {after_done} of them after "
        "the task was done"
    )


def _late_starts(runs):
    """Returns how often a task was started after too many upstreams crashed under it.

    Args:
        runs: (`StartRecord`, upstream) of each run of the task.
    """
    crashes = sorted(r.ended_at for r, _ in runs if r.outcome == "crashed")
    if len(crashes) < _MAX_CRASHES:
        return 0
    return sum(r.started_at > crashes[_MAX_CRASHES - 1] for r, _ in runs)


def _check_capacity(soak, upstream, instance):
    changes = []
    for record in instance.records:
        changes.append((record.started_at, 1))
        changes.append((record.ended_at or time.monotonic(), -1))
    running = 0
    for at, change in sorted(changes):
        running += change
        capacity = _capacity_at(upstream, at)
        if change > 0 and running > capacity:
            return [
                f"upstream of {upstream.name} ran {running} tasks of {capacity} at "
                f"{at - soak.started_at:.2f} s"
            ]
    return []


def _check_drains(soak, upstream):
    return [
        f"task {record.task} started on {upstream.name} at "
        f"{record.started_at - soak.started_at:.2f} s, "
        f"{record.started_at - acked_at:.2f} s after the drain was acknowledged"
        for instance, acked_at in upstream.drains
        for record in instance.records
        if record.started_at > acked_at + _DRAIN_BOUND_S
    ]


def _capacity_at(upstream, at):
    """Returns the number of cores that the runs on an upstream may use at a time."""
    times = [changed_at for changed_at, _ in upstream.capacities[1:]]
    return max(
        cores
        for (_, cores), until in zip(upstream.capacities, [*times, at + 1.0])
        if until > at - _SHRINK_BOUND_S
    )


def _check_answers(soak, by_task):
    found = []
    for attempt in soak.attempts:
        runs = [
            by_task.get(f"{attempt.job_id}.0.0.{i}", ()) for i in range(attempt.tasks)
        ]
        if attempt.state == "completed":
            if not all(any(r.outcome == "done" for r, _ in task) for task in runs):
                found.append(f"job {attempt.job_id} completed although a task did not")
        if attempt.status == 503 and any(
            attempt.sent_at <= r.started_at <= attempt.ended_at
            for task in runs
            for r, _ in task
        ):
            found.append(f"job {attempt.job_id} was refused although a task started")
        late_s = attempt.ended_at - attempt.sent_at - attempt.deadline_s
        # An answer that came while the soak itself could not run is seen late.
        late_s -= soak.own_pause_s(attempt.sent_at, attempt.ended_at)
        if late_s > ANSWER_SLACK_S and not soak.had_fault(
            attempt.entry, attempt.sent_at, attempt.ended_at
        ):
            found.append(
                f"job {attempt.job_id} had no answer within its deadline of "
                f"{attempt.deadline_s:.2f} s: sent to {attempt.entry} at "
                f"{attempt.sent_at - soak.started_at:.2f} s, status {attempt.status} "
                f"after {attempt.ended_at - attempt.sent_at:.2f} s; the entry "
                f"logged: {_logged_ends(soak, attempt) or 'nothing'}"
            )
    return found


def _logged_ends(soak, attempt):
    """Returns when and why an entry ended a job, according to its log."""
    ends = []
    for line in soak.fleet.log(attempt.entry).splitlines():
        if "job_ended" not in line or attempt.job_id not in line:
            continue
        try:
            end = json.loads(line)
        except ValueError:
            # A process that is killed may leave an incomplete line.
            continue
        at = datetime.fromisoformat(end["time"]).timestamp() - soak.started_at_s
        ends.append(f"{end['reason']!r} at {at:.2f} s after {end['seconds']} s")
    return ", ".join(ends)


def _check_domains_out(soak, by_task):
    found = []
    for domain, out_at, in_at in soak.domain_spans:
        if soak.had_fault("store", out_at, out_at + _DOMAIN_OUT_BOUND_S):
            continue
        for task, runs in by_task.items():
            for record, upstream in runs:
                late = out_at + _DOMAIN_OUT_BOUND_S < record.started_at < in_at
                if upstream.domain == domain and late:
                    found.append(f"task {task} started in domain {domain} while out")
    return found
