"""
tests.test_mechanisms
~~~~~~~~~~~~~~~~~~~~~

Each invariant is violated when the mechanism that protects it is disabled.

Every scenario runs twice, with the mechanism and without. Violations are found in
the upstreams' own records of starts and in the callers' views; logs are used only for
the order of versions.
"""

import signal
import time
from collections import Counter

import gevent
from gevent.pool import Pool
from testtools import TestCase

from papayaward.protocol.mechanisms import MECHANISMS
from papayaward.protocol.settings import SettingsError, check_settings
from standins.callers import Callers, fleet_findings, start_findings
from standins.fleet import Fleet, call

from .fleet_case import echo_tasks, small_config

__all__ = []

_PARALLEL_SCENARIOS = 3
_TASK_COUNT = 30
_BLOCK_TTL_S = 4.0

_RUNNERS = [{"domain": "a"}, {"domain": "b"}]


def _double_starts(fleet):
    starts = Counter((r["job"], r["task"]) for r in fleet.records())
    return [key for key, count in starts.items() if count > 1]


def _other_runner(fleet):
    return min(set(fleet.runner_http) - {fleet.coordinator()})


def _late_starts(fleet, name, since):
    return [r["start"] - since for r in fleet.records(name) if r["start"] > since]


def _accepting_executors(fleet, coordinator):
    """Returns the names of the executors that can get tasks of a coordinator."""
    document = call(fleet.entry(), "GET", "/admin/status?detail=1").json
    return {
        view["member"]
        for status in document["coordinators"]
        if status["member"] == coordinator
        for view in status["executors"]
        if view["linked"] and view["accepting"]
    }


def _wait_for_executors(fleet, coordinator, names):
    """Waits until exactly the named executors can get tasks of a coordinator."""
    fleet.wait_until(lambda: _accepting_executors(fleet, coordinator) == names)


def _accept_only_on(fleet, coordinator, name):
    """Lets only one executor accept tasks of a coordinator.

    An executor answers a second grant of a task from its own record, and placement
    may choose the same executor for both runs of a job. On two different executors a
    second run cannot remain unnoticed.
    """
    for other in fleet.runner_http:
        fleet.control_upstream(other, leaving=other != name)
    _wait_for_executors(fleet, coordinator, {name})


def _run_on_coordinator(fleet):
    """Runs a job on its coordinator's executor, which accepts no later tasks.

    Returns:
        str: The identifier of the job.
    """
    coordinator, other = fleet.coordinator(), _other_runner(fleet)
    _accept_only_on(fleet, coordinator, coordinator)
    job_id = fleet.new_ids(1)[0]
    reply = fleet.submit(echo_tasks(_TASK_COUNT, 5), job_id=job_id)
    assert reply.status == 200, reply.body
    _accept_only_on(fleet, coordinator, other)
    return job_id


def start_dedup(fleet):
    """Invariant 1: the coordinator resends grants after a link became silent."""
    coordinator, other = fleet.coordinator(), _other_runner(fleet)
    fleet.submit(echo_tasks(16, 5))
    job = gevent.spawn(fleet.submit, echo_tasks(16, 2500, "job"))
    gevent.sleep(0.3)
    for name in (f">{coordinator}", f">{other}"):
        fleet.proxies[name].silence_open()
    job.get(timeout=15)
    return _double_starts(fleet)


def record_dedup(fleet):
    """Invariant 1: the caller submits the same job twice."""
    job_id = _run_on_coordinator(fleet)
    fleet.submit(echo_tasks(_TASK_COUNT, 5), index=1, job_id=job_id)
    return _double_starts(fleet)


def block_expiry(fleet):
    """Invariant 1: a duplicate arrives after its record and block expired."""
    job_id = _run_on_coordinator(fleet)
    # The block was issued before the job ran.
    expired = time.monotonic() + _BLOCK_TTL_S
    path = f"/admin/explain/{job_id}"
    fleet.wait_until(
        lambda: call(fleet.entry(), "GET", path).json.get("found") is False
    )
    gevent.sleep(max(0.0, expired - time.monotonic()))
    fleet.submit(echo_tasks(_TASK_COUNT, 5), index=1, job_id=job_id)
    return _double_starts(fleet)


def incarnation_check(fleet):
    """Invariant 1: a duplicate arrives after the coordinator was restarted."""
    coordinator = fleet.coordinator()
    job_id = fleet.new_ids(3)[-1]
    fleet.submit(echo_tasks(_TASK_COUNT, 5), job_id=job_id)
    fleet.kill(coordinator)
    fleet.start_runner(coordinator)
    fleet.wait_ready(2)
    # Both entries hold an ID block of 256, so the job's number may be in the second
    # block; the new incarnation must have issued that number, too.
    fleet.new_ids(600)
    fleet.submit(echo_tasks(_TASK_COUNT, 5), job_id=job_id)
    return _double_starts(fleet)


def whole_answers(fleet):
    """Invariant 2: a job has a fast and a slow task."""
    tasks = [{"work_ms": 1, "echo": 0}, {"work_ms": 300, "echo": 1}]
    reply = fleet.submit(tasks)
    echoes = [result and result["echo"] for result in reply.json["results"]]
    return [] if echoes == [0, 1] else [f"partial answer {echoes}"]


def domain_gate(fleet):
    """Invariant 3: jobs are submitted while a domain is out of service."""
    callers = Callers(fleet, 6, tasks=6)
    gevent.sleep(0.3)
    status, reply = fleet.set_domains_out(["a"])
    assert status == 200 and reply["accepted"], reply
    accepted = time.time()
    gevent.sleep(3.4)
    callers.stop()
    changes = [("a", accepted, time.time())]
    return start_findings(callers.views, fleet.records(), changes)


def evidence(fleet):
    """Invariant 3: a partitioned coordinator works while its domain is taken out."""
    coordinator = fleet.coordinator()
    domain = {"r1": "a", "r2": "b", "r3": "c"}[coordinator]
    # Jobs of one task each, as tasks on other executors are lost with the links.
    document = {
        **{"service": "dispatch", "tenant": "t1", "class": "c1"},
        "tasks": echo_tasks(1, 500, "job"),
        "deadline_ms": 60_000,
    }
    pool = Pool(10)
    for _ in range(400):
        pool.spawn(call, fleet.entry(), "POST", "/v1/jobs?wait=0", document)
    pool.join()
    # Runners also receive versions from each other.
    for name in (f"{coordinator}>e1", f"{coordinator}>e2", ">r1", ">r2", ">r3"):
        fleet.proxies[name].refuse = True
        fleet.proxies[name].cut()
    # The other members are a majority without the unreachable coordinator.
    out = {**fleet.config, "domains_out": [domain]}
    status, reply = fleet.apply(out, 1, wait_ms=2000)
    assert status == 200 and reply["accepted"], reply
    accepted = time.time()
    gevent.sleep(3.6)
    return [s for s in _late_starts(fleet, coordinator, accepted) if s > 3.0]


def answer_matching(fleet):
    """Invariant 4: answers arrive in a different order from the requests."""
    jobs = [
        gevent.spawn(fleet.submit, echo_tasks(1, 400 - 40 * number, number))
        for number in range(8)
    ]
    gevent.joinall(jobs, timeout=4)
    findings = []
    for number, job in enumerate(jobs):
        results = job.value and job.value.json.get("results")
        if not results or results[0]["echo"] != f"{number}/0":
            findings.append(f"caller {number} got {results}")
    return findings


def refusal_kept(fleet):
    """Invariant 5: a copy of a submission arrives after its refusal."""
    job_id = fleet.new_ids(1)[0]
    path = f"/v1/jobs/{job_id}"
    refused = call(fleet.entry(), "PUT", path, {"service": "dispatch"})
    assert refused.json["outcome"] == "not_run", refused.body
    fleet.submit(echo_tasks(2, 5), index=1, job_id=job_id)
    return [r for r in fleet.records() if r["job"] == job_id]


def retry_guard(fleet):
    """Invariant 6: an executor is killed during requests that are not idempotent."""
    victim = _other_runner(fleet)
    _wait_for_executors(fleet, fleet.coordinator(), set(fleet.runner_http))
    body = {"service": "dispatch", "tenant": "t1", "class": "c1"}
    requests = [
        gevent.spawn(
            call,
            fleet.entry(),
            "POST",
            "/v1/requests",
            {**body, "body": {"work_ms": 2000, "echo": number}},
        )
        for number in range(12)
    ]
    # A request that was granted but not started is started only once.
    fleet.wait_until(lambda: fleet.records(victim))
    fleet.kill(victim)
    gevent.joinall(requests, timeout=10)
    return _double_starts(fleet)


def leaving_gate(fleet):
    """Invariant 7: an upstream announces its shutdown."""
    callers = Callers(fleet, 6, tasks=6)
    name = _other_runner(fleet)
    gevent.sleep(0.3)
    fleet.control_upstream(name, leaving=True)
    left_at = time.time()
    gevent.sleep(3.4)
    callers.stop()
    return [start for start in _late_starts(fleet, name, left_at) if start > 3.0]


def drain(fleet):
    """Invariant 8: a coordinator is stopped with a job in progress."""
    job = gevent.spawn(fleet.submit, echo_tasks(24, 500, "job"))
    gevent.sleep(0.2)
    fleet.signal(fleet.coordinator(), signal.SIGTERM)
    reply = job.get(timeout=20)
    return [] if reply.status == 200 else [reply.body]


def _versions(fleet, name):
    events = fleet.log_events("config_in_force")
    return [event["version"] for event in events if event["member"] == name]


def version_order(fleet):
    """Invariant 9: a push of a version arrives after a later version."""
    proxy = fleet.proxies["r1>e1"]
    proxy.silent_to_client = True
    out = {**fleet.config, "domains_out": ["b"]}
    assert fleet.apply(out, 1, 0, wait_ms=0)[0] == 200
    fleet.wait_until(lambda: fleet.version(1) == 2)
    assert fleet.apply(fleet.config, 2, 1, wait_ms=0)[0] == 200
    fleet.wait_until(lambda: 3 in _versions(fleet, "r1"))
    proxy.silent_to_client = False
    gevent.sleep(0.6)
    return fleet_findings(fleet)


def watchdog(fleet):
    """A caller waits on a connection that is permanently silent."""
    coordinator = fleet.coordinator()
    job = gevent.spawn(fleet.submit, echo_tasks(2, 50))
    fleet.proxies[f"{coordinator}>e1"].silence_open()
    gevent.joinall([job], timeout=4.0)
    return [] if job.successful() else ["no answer after 4 s"]


_SHORT_BLOCK_TTL = {"runner": {"id_block_ttl_s": _BLOCK_TTL_S, "result_ttl_s": 1.0}}
# The delayed push must not be lost because its link is closed as silent.
_LONG_LINK_TIMEOUT = {"runner": {"heartbeat_misses": 20}}

# Scenario, additional settings by role, and whether links go through proxies.
SCENARIOS = {
    "start_dedup": (start_dedup, {}, True),
    "record_dedup": (record_dedup, {}, False),
    "block_expiry": (block_expiry, _SHORT_BLOCK_TTL, False),
    "incarnation_check": (incarnation_check, {}, False),
    "whole_answers": (whole_answers, {}, False),
    "domain_gate": (domain_gate, {}, False),
    "evidence": (evidence, {}, True),
    "answer_matching": (answer_matching, {}, False),
    "refusal_kept": (refusal_kept, {}, False),
    "retry_guard": (retry_guard, {}, False),
    "leaving_gate": (leaving_gate, {}, False),
    "drain": (drain, {}, False),
    "version_order": (version_order, _LONG_LINK_TIMEOUT, True),
    "watchdog": (watchdog, {}, True),
}


def run_scenario(name, disabled):
    """Returns the violations found by a scenario, with or without its mechanism."""
    scenario, settings, proxied = SCENARIOS[name]
    settings = {role: dict(settings.get(role, {})) for role in ("entry", "runner")}
    if disabled:
        for values in settings.values():
            values.update(debug_faults=True, disabled_mechanisms=[name])
    config = small_config(domains=["a", "b"])
    runners = _RUNNERS + ([{"domain": "c"}] if name == "evidence" else [])
    if name == "evidence":
        config = small_config()
    with Fleet(config, 2, runners, settings, proxied=proxied) as fleet:
        return scenario(fleet)


class MechanismTest(TestCase):
    def test_every_mechanism_has_a_scenario(self):
        """Guards against a mechanism that no scenario tests."""
        self.assertEqual(set(MECHANISMS), set(SCENARIOS))

    def test_disabling_needs_the_debug_setting(self):
        """Guards against disabling a mechanism by mistake."""
        document = {
            **{"role": "entry", "member": "e", "domain": "a", "store": []},
            **{"listen": "127.0.0.1:1", "http": "127.0.0.1:2"},
            "disabled_mechanisms": ["drain"],
        }
        self.assertRaises(SettingsError, check_settings, document)
        document["debug_faults"] = True
        check_settings(document)
        document["disabled_mechanisms"] = ["dream"]
        self.assertRaises(SettingsError, check_settings, document)

    def test_violations_show_without_the_mechanisms(self):
        """Guards against scenarios that do not detect a violation."""
        found = _run_all(True)
        missed = [name for name in found if not found[name]]
        self.assertEqual([], missed)

    def test_no_violation_shows_with_the_mechanisms(self):
        """Guards against violations, and against scenarios that report false ones."""
        found = _run_all(False)
        self.assertEqual({}, {name: f for name, f in found.items() if f})


def _run_all(disabled):
    # Scenarios are idle most of the time, so a few of them run in parallel.
    pool = Pool(_PARALLEL_SCENARIOS)
    runs = {name: pool.spawn(run_scenario, name, disabled) for name in SCENARIOS}
    pool.join()
    return {name: run.get() for name, run in runs.items()}
