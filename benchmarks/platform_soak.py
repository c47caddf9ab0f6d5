"""
benchmarks.platform_soak
~~~~~~~~~~~~~~~~~~~~~~~~

Randomised soak test of the platform's processes under injected faults.

Usage: `python -m benchmarks.platform_soak --seed N --seconds S [--runners R]
[--entries E] [--upstream-faults] [--path-faults] [--only FAULT]`. With `--only`, one
fault of `RESTART_FAULTS` or `PATH_FAULTS` is injected again and again, or with
`path_all` all of the latter, and only their jobs are submitted. The last line is
`soak: ok` or `soak: failed`. It is preceded by the events in order of time (if the run
failed or its logs are kept), the violations, the answers by status and the command that
repeats the run. The seed determines the faults and the jobs, but not how the operating
system interleaves the processes.
"""

import argparse
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import gevent

from standins.platform_fleet import PlatformFleet

from .path_faults import PATH_FAULTS, submit_path_load
from .restart_faults import RESTART_FAULTS
from .upstream_faults import UPSTREAM_FAULTS, WORK_MS

__all__ = ["FAULTS", "LOAD_FAULTS", "main", "run_soak"]

_DOMAINS = ("a", "b", "c")
_ENTRIES = 2
_CALLERS = 6
_CORES = 4
# Capacity if there is only one fault, so that lost tasks start again at once.
_AMPLE_CORES = 16
_RETRY_DELAY_S = 1.3
_ATTEMPTS = 3
_REFUSED_PAUSE_S = 0.5
_DOMAIN_OUT_BOUND_S = 5.0
_ANSWER_SLACK_S = 0.7
# An entry may answer late for this long after the end of a fault.
_FAULT_EFFECT_S = 4.0
_STARTUP_S = 0.5
# Pauses of this process that are recorded as events.
_OWN_PAUSE_S = 0.2
_OWN_PAUSE_POLL_S = 0.05
_ERROR_MARKERS = ("request_failed", "step_failed", "message_failed", "Traceback")
# A smaller capacity counts after this time.
_SHRINK_BOUND_S = 3.3
# Upstreams that may crash under a task, and starts of it after that.
_MAX_CRASHES = 3
_MAX_LATE_STARTS = 2
_DEADLY_SHARE = 0.15
_DEADLY_PREFIX = "dead"
# Name for `--only` that selects all of `PATH_FAULTS`.
_ALL_PATH_FAULTS = "path_all"
# Path faults per second, alone and beside all others, and their jobs per second.
_PATH_RATE = 0.8
_MIXED_PATH_RATE = 0.5
_PATH_JOBS_RATE = 25
_MIXED_PATH_JOBS_RATE = 5


@dataclass
class _Attempt:
    """One submission of a job by a caller."""

    job_id: str
    tasks: int
    entry: str
    sent_at: float
    deadline_s: float
    ended_at: float = 0.0
    status: int | None = None
    state: str = ""


class _Soak:
    """State of a run: the fleet, the faults and the callers' submissions."""

    def __init__(
        self, fleet, seed, runners, with_upstream_faults=False, entries=_ENTRIES
    ):
        self.fleet = fleet
        self._seed = seed
        self.rng = random.Random(seed)
        # Apart, so that the faults and jobs of earlier seeds stay the same.
        self.load_rng = random.Random(-seed - 1)
        self.upstream_rng = random.Random(seed + 10**6)
        self.restart_rng = random.Random(seed + 2 * 10**6)
        self.path_rng = random.Random(seed + 3 * 10**6)
        self.with_upstream_faults = with_upstream_faults
        self._work_ms = WORK_MS if with_upstream_faults else WORK_MS[:-1]
        self._requests = {}
        self.entries = [f"e{i}" for i in range(entries)]
        self.runners = [f"r{i}" for i in range(runners)]
        self.started_at = time.monotonic()
        # The same in seconds since 1970, as in the logs of the processes.
        self.started_at_s = time.time()
        self.events = []
        started_at = datetime.fromtimestamp(self.started_at_s, UTC)
        self.note(f"started at {started_at.isoformat()}")
        self.attempts = []
        self.callers = []
        self.fault_spans = defaultdict(list)
        self.domains_out = {}
        self.domain_spans = []
        self.version = 1
        self.deadly_share = 0.0
        self.stopped = False

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.started_at:6.2f} s  {text}")

    def record_fault(self, name, seconds):
        """Records that a process or the store has a fault for the next seconds."""
        now = time.monotonic()
        self.fault_spans[name].append((now, now + seconds))

    def had_fault(self, name, start, end):
        return any(
            begin < end and start < until + _FAULT_EFFECT_S
            for begin, until in self.fault_spans[name]
        )

    def run_caller(self, number):
        """Submits jobs one after the other, with the retries of a caller."""
        rng = random.Random(self.rng.random())
        # A stream for each caller: how many jobs a caller submits depends on timing,
        # and must not decide which faults follow.
        deadly_rng = random.Random(f"{self._seed} {number}")
        while not self.stopped:
            job_id = f"{rng.getrandbits(64):016x}"
            work_ms, tasks = rng.choice(self._work_ms), rng.randint(1, 5)
            spec = str(work_ms)
            if deadly_rng.random() < self.deadly_share:
                job_id = _DEADLY_PREFIX + job_id[len(_DEADLY_PREFIX) :]
                spec = f"deadly:{work_ms}:0"
            deadline_s = rng.uniform(1.5, 4.0)
            if self.with_upstream_faults:
                deadline_s += work_ms / 1000.0
            for _ in range(_ATTEMPTS):
                entry = rng.choice(self.entries)
                attempt = _Attempt(job_id, tasks, entry, time.monotonic(), deadline_s)
                self.attempts.append(attempt)
                self._send(attempt, spec, work_ms)
                if attempt.status not in (None, 502, 504):
                    break
                gevent.sleep(_RETRY_DELAY_S)
            refused = attempt.status == 503
            gevent.sleep(_REFUSED_PAUSE_S if refused else rng.uniform(0.0, 0.2))

    def _send(self, attempt, spec, work_ms):
        reply = None
        patience = gevent.Timeout(attempt.deadline_s + 2 * _ANSWER_SLACK_S)
        self._requests[patience] = gevent.getcurrent(), attempt
        try:
            with patience:
                reply = self.fleet.submit(
                    attempt.job_id,
                    spec,
                    attempt.entry,
                    attempt.tasks,
                    estimate_ms=work_ms,
                    deadline_ms=int(attempt.deadline_s * 1000),
                )
        except gevent.Timeout as timeout:
            if timeout is not patience:
                raise
        finally:
            del self._requests[patience]
        attempt.ended_at = time.monotonic()
        if reply is not None and reply[0] is not None:
            attempt.status = reply[0]
            attempt.state = json.loads(reply[1] or b"{}").get("state", "")

    def submit_burst(self, rng, jobs, seconds, tasks, work_ms, deadline_s):
        """Submits jobs evenly over some time, without waiting for their answers.

        Args:
            rng: Random generator for the jobs.
            jobs: Number of jobs.
            seconds: Time over which they are submitted, seconds.
            tasks: Number of tasks of each.
            work_ms: Run time of the tasks, milliseconds.
            deadline_s: Time after which their callers leave, seconds.
        """
        for i in range(jobs):
            attempt = _Attempt(
                f"{rng.getrandbits(64):016x}",
                tasks,
                rng.choice(self.entries),
                0.0,
                deadline_s,
            )
            delay_s = i * seconds / jobs
            self.callers.append(
                gevent.spawn_later(delay_s, self._submit_once, attempt, work_ms)
            )

    def _submit_once(self, attempt, work_ms):
        attempt.sent_at = time.monotonic()
        self.attempts.append(attempt)
        self._send(attempt, str(work_ms), work_ms)

    def disconnect_callers(self, entry):
        """Has the callers of an entry close their connections."""
        for patience, (caller, attempt) in list(self._requests.items()):
            if attempt.entry == entry:
                caller.kill(patience, block=False)

    def restart_at_once(self, name):
        """Kills a process and starts it again, unless another fault has ended it."""
        self.restart_after(name, 0.0)

    def restart_after(self, name, downtime_s):
        """Kills a process and starts it again later, unless another fault has ended it.

        Args:
            name: Name of the process.
            downtime_s: Time until it is started again, seconds.
        """
        if self.fleet.processes[name].poll() is not None:
            return
        returns = f"after {downtime_s:.1f} s" if downtime_s else "at once"
        self.note(f"kill {name}, which returns {returns}")
        self.record_fault(name, downtime_s + 1.0)
        self.fleet.kill(name)
        if downtime_s:
            gevent.sleep(downtime_s)
        _start_process(self, name)

    def terminate(self, name):
        """Terminates a process and starts it again once it has exited.

        Args:
            name: Name of the process.
        """
        process = self.fleet.processes[name]
        self.note(f"SIGTERM {name}")
        self.record_fault(name, 5.0)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            gevent.sleep(0.05)
        _start_process(self, name)

    def pause(self, name, seconds):
        """Stops a process for some time.

        Args:
            name: Name of the process.
            seconds: Duration, seconds.
        """
        self.note(f"pause {name} for {seconds:.1f} s")
        self.record_fault(name, seconds)
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        process.send_signal(signal.SIGCONT)


# Faults: each function injects one and returns when it has ended.


def _kill_process(soak):
    name = soak.rng.choice(soak.entries + soak.runners)
    soak.note(f"kill {name}")
    downtime_s = soak.rng.uniform(0.1, 2.0)
    soak.record_fault(name, downtime_s + 1.0)
    soak.fleet.kill(name)
    gevent.sleep(downtime_s)
    _start_process(soak, name)


def _terminate_process(soak):
    soak.terminate(soak.rng.choice(soak.entries + soak.runners))


def _pause_process(soak):
    name = soak.rng.choice(soak.entries + soak.runners)
    soak.pause(name, soak.rng.uniform(0.2, 3.0))


def _reload_process(soak):
    name = soak.rng.choice(soak.entries + soak.runners)
    soak.note(f"SIGHUP {name}")
    process = soak.fleet.processes[name]
    process.send_signal(signal.SIGHUP)
    gevent.sleep(_STARTUP_S)
    # Before a process has set its handlers, the signal ends it; the platform would
    # start it again.
    if process.poll() == -signal.SIGHUP and soak.fleet.processes[name] is process:
        soak.note(f"{name} was still starting and is started again")
        _start_process(soak, name)


def _link_fault(soak):
    name = soak.rng.choice(soak.entries)
    proxy = soak.fleet.link_proxies[name]
    mode = soak.rng.choice(("cut", "silent", "to_entry", "to_runners", "delay"))
    seconds = soak.rng.uniform(0.3, 3.0)
    soak.note(f"links of {name}: {mode} for {seconds:.1f} s")
    soak.record_fault(name, seconds)
    if mode == "cut":
        proxy.cut()
    elif mode == "silent":
        proxy.silence_open()
    elif mode == "delay":
        proxy.delay_s = soak.rng.uniform(0.005, 0.2)
    else:
        proxy.silent_to_target = mode == "to_entry"
        proxy.silent_to_client = mode == "to_runners"
    gevent.sleep(seconds)
    proxy.silent_to_target = proxy.silent_to_client = False
    proxy.delay_s = 0.0


def _store_fault(soak):
    mode = soak.rng.choice(("busy", "silent", "lossy", "leases", "history", "cut"))
    seconds = soak.rng.uniform(0.5, 4.0)
    soak.note(f"store: {mode} for {seconds:.1f} s")
    soak.record_fault("store", seconds)
    if mode == "leases":
        soak.fleet.store.revoke_leases()
    elif mode == "history":
        soak.fleet.store.compacted_revision = 10**9
    elif mode == "cut":
        soak.fleet.store_proxy.silence_open()
    else:
        soak.fleet.store.mode = mode
    gevent.sleep(seconds)
    soak.fleet.store.mode = "ok"
    soak.fleet.store.compacted_revision = 0


def _upstream_fault(soak):
    name = soak.rng.choice(soak.runners)
    upstream = soak.fleet.upstreams[name]
    mode = soak.rng.choice(("crash", "late", "unanswered", "drain"))
    soak.note(f"upstream of {name}: {mode}")
    if mode == "late":
        for _ in range(4):
            upstream.current.fail_request("start", delay_s=soak.rng.uniform(0.1, 3.0))
    elif mode == "unanswered":
        upstream.current.fail_request("poll", times=soak.rng.randint(1, 8))
        upstream.current.fail_request("stop", times=1)
    else:
        if mode == "drain":
            upstream.draining = True
            gevent.sleep(2.0)
        upstream.crash()
        gevent.sleep(soak.rng.uniform(0.1, 1.5))
        upstream.start()


def _resize_upstream(soak):
    name = soak.load_rng.choice(soak.runners)
    cores = soak.load_rng.randint(1, 2 * _CORES)
    soak.note(f"upstream of {name} has {cores} cores")
    soak.fleet.upstreams[name].resize(cores)
    gevent.sleep(soak.load_rng.uniform(0.5, 8.0))
    soak.fleet.upstreams[name].resize(_CORES)


def _crash_with_tasks(soak):
    seconds = soak.load_rng.uniform(0.5, 3.0)
    soak.note(f"tasks crash upstreams for {seconds:.1f} s")
    soak.deadly_share = _DEADLY_SHARE
    gevent.sleep(seconds)
    soak.deadly_share = 0.0


def _change_config(soak):
    soak.version += soak.rng.randint(1, 3)
    soak.note(f"configuration version {soak.version}")
    soak.fleet.configure(soak.version, timeout_ms=soak.rng.randint(1000, 2000))


def _cycle_domain(soak):
    domain = soak.rng.choice(_DOMAINS)
    if domain in soak.domains_out:
        return
    soak.note(f"domain {domain} out")
    out_at = soak.domains_out[domain] = time.monotonic()
    soak.fleet.store.put(f"op/evacuate/{domain}", {})
    gevent.sleep(soak.rng.uniform(1.0, 9.0))
    soak.fleet.store.delete(f"op/evacuate/{domain}")
    soak.domain_spans.append((domain, out_at, time.monotonic()))
    del soak.domains_out[domain]


FAULTS = {
    "kill": _kill_process,
    "terminate": _terminate_process,
    "pause": _pause_process,
    "reload": _reload_process,
    "links": _link_fault,
    "store": _store_fault,
    "upstream": _upstream_fault,
    "configure": _change_config,
    "domain": _cycle_domain,
}

# Changes of what the upstreams can and have to run.
LOAD_FAULTS = {"deadly": _crash_with_tasks, "resize": _resize_upstream}


def _start_process(soak, name):
    """Starts a process again, unless another fault has already done so."""
    if soak.fleet.processes[name].poll() is None:
        return
    role = "entry" if name in soak.entries else "runner"
    soak.fleet.start(name, role, soak.fleet.settings[name]["zone"])


def _inject_faults(soak):
    """Starts random faults, which may overlap, until the run stops."""
    active = set()

    def run(name):
        try:
            FAULTS[name](soak)
        finally:
            active.discard(name)

    while not soak.stopped:
        name = soak.rng.choice(sorted(FAULTS))
        if name not in active:
            active.add(name)
            # Process faults run one at a time, so that each hits a running process.
            if name in ("kill", "terminate", "pause"):
                active.update(("kill", "terminate", "pause"))
                run(name)
                active.difference_update(("kill", "terminate", "pause"))
            else:
                gevent.spawn(run, name)
        gevent.sleep(soak.rng.expovariate(1.5))


def _inject_load_faults(soak):
    """Starts random changes of the load, one after the other, until the run stops."""
    while not soak.stopped:
        gevent.sleep(soak.load_rng.expovariate(0.5))
        LOAD_FAULTS[soak.load_rng.choice(sorted(LOAD_FAULTS))](soak)


def _inject_from(soak, faults, rng, rate):
    """Starts random faults, which overlap, until the run stops.

    Args:
        soak: `_Soak`.
        faults: Function by name.
        rng: Random generator for their choice and times.
        rate: Mean number of faults per second.
    """
    active = []
    while not soak.stopped:
        gevent.sleep(rng.expovariate(rate))
        active.append(gevent.spawn(faults[rng.choice(sorted(faults))], soak))
    gevent.joinall(active)


def _repeat_fault(soak, fault):
    while not soak.stopped:
        fault(soak)


def _record_own_pauses(soak):
    """Records when this process could not run, and so saw answers late."""
    while True:
        due_at = time.monotonic() + _OWN_PAUSE_POLL_S
        gevent.sleep(_OWN_PAUSE_POLL_S)
        pause_s = time.monotonic() - due_at
        if pause_s > _OWN_PAUSE_S:
            soak.note(f"the soak itself could not run for {pause_s:.2f} s")


# Checks.


def _check_run(soak):
    found = []
    by_task = defaultdict(list)
    for upstream in soak.fleet.upstreams.values():
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
        if late_s > _ANSWER_SLACK_S and not soak.had_fault(
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


def run_soak(
    seed,
    seconds,
    runners=3,
    keep=None,
    with_upstream_faults=False,
    only=None,
    with_path_faults=False,
    entries=_ENTRIES,
):
    """Runs the processes under faults and checks the guarantees.

    Args:
        seed: Seed of faults and jobs.
        seconds: Duration of the faults, in seconds.
        runners: Number of runners.
        keep: Directory for settings and logs; None to discard them.
        with_upstream_faults: Whether to inject the faults of `UPSTREAM_FAULTS` and
            `RESTART_FAULTS` as well.
        only: Name of the fault of `RESTART_FAULTS` or `PATH_FAULTS` that is injected
            again and again, or `path_all`, without any other fault or load; None for
            all faults.
        with_path_faults: Whether to inject the faults of `PATH_FAULTS` as well.
        entries: Number of entries.

    Returns:
        tuple: Findings (list of str), events (list of str) and the number of answers by
            HTTP status (Counter).
    """
    with tempfile.TemporaryDirectory() as folder:
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
        fleet = PlatformFleet(keep or folder, proxied=True)
        soak = _Soak(fleet, seed, runners, with_upstream_faults, entries)
        pauses = gevent.spawn(_record_own_pauses, soak)
        try:
            _start_fleet(soak, _AMPLE_CORES if only else _CORES)
            if only:
                faults = _spawn_only(soak, only, seconds)
            else:
                soak.callers += [
                    gevent.spawn(soak.run_caller, i) for i in range(_CALLERS)
                ]
                faults = _spawn_faults(soak)
            if with_path_faults:
                submit_path_load(soak, _MIXED_PATH_JOBS_RATE, seconds)
                faults.append(_spawn_path_faults(soak, PATH_FAULTS, _MIXED_PATH_RATE))
            gevent.sleep(seconds)
            soak.stopped = True
            gevent.joinall(faults, timeout=20.0)
            gevent.joinall(soak.callers, timeout=20.0)
            recovered = [fleet.wait_ready(entry) for entry in soak.entries]
            findings = _check_run(soak)
            if not all(recovered):
                findings.append("an entry completes no job after the faults")
        finally:
            pauses.kill()
            fleet.stop()
    answers = Counter(str(attempt.status) for attempt in soak.attempts)
    return findings, soak.events, answers


def _spawn_only(soak, only, seconds):
    if only in RESTART_FAULTS:
        return [gevent.spawn(_repeat_fault, soak, RESTART_FAULTS[only])]
    faults = PATH_FAULTS
    if only != _ALL_PATH_FAULTS:
        faults = {only: PATH_FAULTS[only]}
    submit_path_load(soak, _PATH_JOBS_RATE, seconds)
    return [_spawn_path_faults(soak, faults, _PATH_RATE)]


def _spawn_path_faults(soak, faults, rate):
    return gevent.spawn(_inject_from, soak, faults, soak.path_rng, rate)


def _spawn_faults(soak):
    faults = [
        gevent.spawn(_inject_faults, soak),
        gevent.spawn(_inject_load_faults, soak),
    ]
    if soak.with_upstream_faults:
        faults += [
            gevent.spawn(_inject_from, soak, UPSTREAM_FAULTS, soak.upstream_rng, 0.7),
            gevent.spawn(_inject_from, soak, RESTART_FAULTS, soak.restart_rng, 0.2),
        ]
    return faults


def _start_fleet(soak, cores=_CORES):
    for i, name in enumerate(soak.entries):
        soak.fleet.start(name, "entry", _DOMAINS[i % len(_DOMAINS)])
    for i, name in enumerate(soak.runners):
        soak.fleet.start(name, "runner", _DOMAINS[i % len(_DOMAINS)])
        soak.fleet.start_upstream(name, cores)
    for entry in soak.entries:
        soak.fleet.wait_ready(entry)


def main(args):
    """Runs the soak test and prints its findings; returns the exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.platform_soak")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--runners", type=int, default=3)
    parser.add_argument("--entries", type=int, default=_ENTRIES)
    parser.add_argument("--keep", help="directory for settings and logs")
    parser.add_argument("--upstream-faults", action="store_true")
    parser.add_argument("--path-faults", action="store_true")
    names = [*RESTART_FAULTS, *PATH_FAULTS, _ALL_PATH_FAULTS]
    parser.add_argument("--only", choices=sorted(names))
    options = parser.parse_args(args)
    seed = options.seed
    if seed is None:
        seed = random.randrange(10**6)
    findings, events, answers = run_soak(
        seed,
        options.seconds,
        options.runners,
        options.keep,
        options.upstream_faults,
        options.only,
        options.path_faults,
        options.entries,
    )
    if findings or options.keep:
        print("\n".join(events))
    for finding in findings:
        print(f"finding: {finding}")
    print(f"answers: {dict(answers)}")
    print(
        f"repeat: python -m benchmarks.platform_soak --seed {seed} "
        f"--seconds {options.seconds:g} --runners {options.runners}"
        + f" --entries {options.entries}" * (options.entries != _ENTRIES)
        + " --upstream-faults" * options.upstream_faults
        + " --path-faults" * options.path_faults
        + (f" --only {options.only}" if options.only else "")
    )
    print("soak: failed" if findings else "soak: ok")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
