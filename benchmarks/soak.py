"""
benchmarks.soak
~~~~~~~~~~~~~~~

Randomised soak test: real processes under injected faults, checked for invariants.

Usage: `python -m benchmarks.soak --seed N --seconds S`. The last line is
`soak: ok` or `soak: failed`. After a failure it is preceded by the events in order
of time, the violations, and the command that repeats the run. The seed determines
the faults and the jobs, but not how the operating system interleaves the processes.
"""

import argparse
import json
import random
import shutil
import signal
import sys
import time
from collections import Counter

import gevent

from standins.callers import Callers, fleet_findings, start_findings
from standins.fleet import Fleet, call

__all__ = ["FAULTS", "main", "run_soak"]

_DOMAINS = ("a", "b", "c")
_RUNNERS = 5
_SLOTS = 4
_CALLERS = 16
_MAX_FAULTS_AT_ONCE = 2
_DEADLINE_S = 8.0
_RECOVERY_S = 15.0


class _Soak:
    """State of a run: the fleet, active faults and accepted configuration changes."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.started_at = time.time()
        self.callers = None
        self.faulty = set()
        self.events = []
        self.findings = []
        self.domains_out = frozenset()
        self.out_since = {}
        self.domain_changes = []
        self.versions = Counter()

    def note(self, text):
        """Adds an event to the list that a failed run prints."""
        self.events.append(f"{time.time() - self.started_at:6.2f} s  {text}")

    def pick_healthy(self, names):
        """Returns a process without an active fault and marks it, or None."""
        # The callers need one entry without a fault at any time.
        if self.faulty & {"e1", "e2"}:
            names = [name for name in names if not name.startswith("e")]
        free = sorted(set(names) - self.faulty)
        if not free:
            return None
        name = self.rng.choice(free)
        self.faulty.add(name)
        return name

    @property
    def runners(self):
        """Names of the runners."""
        return [f"r{number + 1}" for number in range(_RUNNERS)]

    @property
    def processes(self):
        """Names of the runners and entries."""
        return [*self.runners, "e1", "e2"]


def _restart(soak, name):
    if name.startswith("e"):
        soak.fleet.start_entry(name)
    else:
        soak.fleet.start_runner(name)


def _kill_process(soak):
    name = soak.pick_healthy(soak.processes)
    if name is None:
        return
    soak.note(f"kill {name}")
    soak.fleet.kill(name)
    gevent.sleep(soak.rng.uniform(0.1, 3.0))
    soak.note(f"restart {name}")
    _restart(soak, name)
    gevent.sleep(1.0)
    soak.faulty.discard(name)


def _stop_process(soak):
    name = soak.pick_healthy(soak.processes)
    if name is None:
        return
    soak.note(f"stop {name}")
    soak.fleet.signal(name, signal.SIGTERM)
    process = soak.fleet.processes[name]
    stop_deadline = time.monotonic() + 35.0
    while process.poll() is None and time.monotonic() < stop_deadline:
        gevent.sleep(0.05)
    if process.poll() is None:
        soak.findings.append(f"{name} did not stop")
        soak.fleet.kill(name)
    soak.note(f"restart {name}")
    _restart(soak, name)
    gevent.sleep(1.0)
    soak.faulty.discard(name)


def _pause_process(soak):
    name = soak.pick_healthy(soak.processes)
    if name is None:
        return
    soak.note(f"pause {name}")
    soak.fleet.signal(name, signal.SIGSTOP)
    gevent.sleep(soak.rng.choice([0.5, 1.5, 2.5, 4.5]))
    soak.note(f"resume {name}")
    soak.fleet.signal(name, signal.SIGCONT)
    gevent.sleep(0.5)
    soak.faulty.discard(name)


def _silence_links(soak):
    names = soak.rng.sample(sorted(soak.fleet.proxies), soak.rng.randint(1, 4))
    directions = soak.rng.choice([(True, True), (True, False), (False, True)])
    soak.note(f"silence {names} {directions}")
    for name in names:
        soak.fleet.proxies[name].silence_open(*directions)
    gevent.sleep(soak.rng.uniform(0.2, 2.0))
    if soak.rng.random() < 0.3:
        soak.note("deliver the data held back")
        for name in names:
            soak.fleet.proxies[name].release()


def _refuse_connections(soak):
    name = soak.rng.choice(sorted(soak.fleet.proxies))
    proxy = soak.fleet.proxies[name]
    soak.note(f"unreachable {name}")
    proxy.refuse = True
    proxy.silence_open()
    gevent.sleep(soak.rng.uniform(0.5, 3.0))
    proxy.refuse = False
    soak.note(f"reachable {name}")


def _delay_links(soak):
    names = soak.rng.sample(sorted(soak.fleet.proxies), 3)
    delay_s = soak.rng.choice([0.05, 0.2, 0.6])
    soak.note(f"delay answers of {names} by {delay_s} s")
    for name in names:
        soak.fleet.proxies[name].delay_to_client_s = delay_s
    gevent.sleep(soak.rng.uniform(0.5, 3.0))
    for name in names:
        soak.fleet.proxies[name].delay_to_client_s = 0.0
    soak.note(f"no delay of {names}")


def _store_fault(soak):
    if "store" in soak.faulty:
        return
    soak.faulty.add("store")
    mode = soak.rng.choice(["down", "slow", "lose"])
    soak.note(f"store {mode}")
    soak.fleet.control_store(mode=mode, delay_s=soak.rng.choice([0.3, 0.9, 2.0]))
    gevent.sleep(soak.rng.uniform(0.5, 5.0))
    soak.fleet.control_store(mode="ok")
    soak.note("store ok")
    soak.faulty.discard("store")


def _upstream_fault(soak, **fault):
    name = soak.pick_healthy([f"u-{name}" for name in soak.runners])
    if name is None:
        return
    soak.note(f"{name} {fault}")
    soak.fleet.control_upstream(name[2:], **fault)
    gevent.sleep(soak.rng.uniform(0.5, 3.0))
    soak.fleet.control_upstream(name[2:], mode="ok", leaving=False, announcing=True)
    soak.note(f"{name} ok")
    soak.faulty.discard(name)


def _fail_upstream(soak):
    _upstream_fault(soak, mode="fail")


def _busy_upstream(soak):
    _upstream_fault(soak, mode="busy")


def _slow_upstream(soak):
    _upstream_fault(soak, mode="slow", factor=20)
    for name in soak.runners:
        soak.fleet.control_upstream(name, factor=1.0)


def _drain_upstream(soak):
    _upstream_fault(soak, leaving=True)


def _stop_announcing(soak):
    _upstream_fault(soak, announcing=False)


def _cancel_jobs(soak):
    soak.note("cancel half of the open jobs")
    try:
        soak.callers.cancel_open(soak.rng.randrange(2), 0.5, soak.rng)
    except (OSError, ValueError):
        soak.note("the cancellation was not answered")


def _cycle_domains(soak):
    if "domains" in soak.faulty:
        return
    soak.faulty.add("domains")
    out = frozenset(soak.rng.sample(_DOMAINS, soak.rng.choice([1, 1, 2])))
    if _set_domains(soak, out):
        gevent.sleep(soak.rng.uniform(1.0, 6.0))
    _set_domains(soak, frozenset())
    soak.faulty.discard("domains")


def _set_domains(soak, out):
    """Sets the domains out of service; returns whether the change was accepted."""
    began = time.time()
    for domain in soak.domains_out - out:
        # An attempt to bring the domain back may succeed although its reply is lost.
        soak.domain_changes.append((domain, soak.out_since.pop(domain), began))
    soak.domains_out = frozenset(soak.domains_out & out)
    for _ in range(40):
        reply = _change_config(
            soak, lambda config: config.update(domains_out=sorted(out))
        )
        if reply is not None and reply["accepted"]:
            accepted = time.time()
            soak.note(f"domains out {sorted(out)}, version {reply['version']}")
            for domain in out - soak.domains_out:
                soak.out_since[domain] = accepted
            soak.domains_out = out
            return True
        gevent.sleep(0.25)
    return False


def _change_config(soak, edit):
    """Edits the configuration through a random entry; returns the reply or None."""
    address = soak.fleet.entry(soak.rng.randrange(2))
    try:
        current = call(address, "GET", "/admin/config", timeout_s=3.0)
        headers = {name.lower(): value for name, value in current.headers.items()}
        config = current.json
        edit(config)
        document = {
            "text": json.dumps(config),
            "expected_version": int(headers["papayaward-version"]),
            "author": "soak",
            "wait_ms": 3000,
        }
        reply = call(address, "POST", "/admin/config", document, timeout_s=10.0)
    except (OSError, ValueError, KeyError):
        return None
    if reply.status != 200:
        return None
    soak.versions[reply.json["version"]] += 1
    return reply.json


def _concurrent_changes(soak):
    def edit(config):
        config["tenants"] = [
            {"name": "t1", "weight": soak.rng.randint(1, 9)},
            {"name": "t2"},
        ]

    soak.note("two concurrent configuration changes")
    gevent.joinall([gevent.spawn(_change_config, soak, edit) for _ in range(2)])


FAULTS = {
    "busy": _busy_upstream,
    "cancel": _cancel_jobs,
    "delay": _delay_links,
    "domains": _cycle_domains,
    "fail": _fail_upstream,
    "kill": _kill_process,
    "leave": _drain_upstream,
    "pause": _pause_process,
    "quiet": _stop_announcing,
    "rivals": _concurrent_changes,
    "silence": _silence_links,
    "stop": _stop_process,
    "store": _store_fault,
    "straggle": _slow_upstream,
    "unreachable": _refuse_connections,
}


def run_soak(seed, seconds, faults=None, logs=None):
    """Runs the fleet under faults and checks the invariants.

    Args:
        seed: Seed of the faults and jobs.
        seconds: Duration of the faults, in seconds.
        faults: Names of the faults to use; None for all.
        logs: Directory for the logs of a failed run; None to discard them.

    Returns:
        tuple: Findings (list of str), events (list of str) and the number of jobs by
            outcome (Counter).
    """
    config = {
        "services": [{"name": "dispatch"}],
        "tenants": [{"name": "t1"}, {"name": "t2"}],
        "classes": [{"name": "c1"}],
        "domains": list(_DOMAINS),
        "domains_out": [],
    }
    runners = [
        {"domain": _DOMAINS[number % 3], "slots": _SLOTS} for number in range(_RUNNERS)
    ]
    with Fleet(config, 2, runners, proxied=True) as fleet:
        soak = _Soak(fleet, random.Random(seed))
        soak.callers = Callers(
            fleet,
            _CALLERS,
            seed=seed,
            deadline_s=_DEADLINE_S,
            idempotent_share=0.2,
            resubmit_share=0.15,
        )
        _inject_faults(soak, seconds, sorted(faults or FAULTS))
        _check_recovery(soak)
        soak.findings += start_findings(
            soak.callers.views, fleet.records(), soak.domain_changes
        )
        soak.findings += [
            f"version {version} was written {count} times"
            for version, count in soak.versions.items()
            if count > 1
        ]
        soak.findings += fleet_findings(fleet)
        if soak.findings and logs:
            records = json.dumps(fleet.records(), indent=0)
            (fleet.directory / "records.json").write_text(records)
            views = json.dumps([view.__dict__ for view in soak.callers.views])
            (fleet.directory / "views.json").write_text(views)
            shutil.copytree(fleet.directory, logs, dirs_exist_ok=True)
    return soak.findings, soak.events, soak.callers.outcomes()


def _inject_faults(soak, seconds, names):
    running = []
    until = time.time() + seconds
    while time.time() < until:
        running = [greenlet for greenlet in running if not greenlet.dead]
        if len(running) < _MAX_FAULTS_AT_ONCE:
            fault = FAULTS[soak.rng.choice(names)]
            running.append(gevent.spawn(fault, soak))
        gevent.sleep(soak.rng.uniform(0.2, 1.0))
    gevent.joinall(running)
    for greenlet in running:
        greenlet.get()


def _check_recovery(soak):
    fleet = soak.fleet
    soak.note("no more faults")
    if not soak.callers.stop(_DEADLINE_S + 6.0):
        soak.findings.append("callers still wait 6 s after the last deadline")
    try:
        fleet.wait_ready(_RUNNERS, _RECOVERY_S)
        for index in range(2):
            reply = fleet.submit([{"work_ms": 1, "echo": "last"}], index, timeout_s=5)
            if reply.json["outcome"] != "complete":
                soak.findings.append(f"after recovery: {reply.body[:200]}")
    except (OSError, ValueError, TimeoutError) as error:
        soak.findings.append(f"no recovery: {error!r}")
    try:
        fleet.wait_until(lambda: _versions_agree(soak), 8.0)
    except TimeoutError:
        soak.findings.append("the accepted configuration is not in force everywhere")


def _versions_agree(soak):
    accepted = max(soak.versions, default=1)
    found = set()
    for index in range(2):
        status = soak.fleet.status(index)
        found |= {m["config_version"] for m in status["members"]}
        found.add(status["config_version"])
    return len(found) == 1 and found.pop() >= accepted


def main(args):
    """Runs the soak test; returns 0 if no invariant was violated, else 1."""
    parser = argparse.ArgumentParser(prog="benchmarks.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--faults", help="names of faults, separated by commas")
    parser.add_argument("--logs", help="directory for the logs of a failed run")
    options = parser.parse_args(args)
    faults = options.faults.split(",") if options.faults else None
    findings, events, outcomes = run_soak(
        options.seed, options.seconds, faults, options.logs
    )
    print(f"seed {options.seed}: jobs by outcome {dict(outcomes)}")
    if not findings:
        print("soak: ok")
        return 0
    print("\n".join(events))
    print("\n".join(f"violated: {finding}" for finding in findings[:50]))
    command = f"python -m benchmarks.soak --seed {options.seed}"
    command += f" --seconds {options.seconds:g}"
    if options.faults:
        command += f" --faults {options.faults}"
    print(f"repeat: {command}")
    print("soak: failed")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
