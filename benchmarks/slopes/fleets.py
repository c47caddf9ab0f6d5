"""
benchmarks.slopes.fleets
~~~~~~~~~~~~~~~~~~~~~~~~

Fleets in which one real role is measured beside simulated peers.
"""

import json
from contextlib import contextmanager

import gevent

from standins.fleet import Fleet, call

from ..peers import (
    RawUpstream,
    SimulatedCoordinator,
    SimulatedEntry,
    SimulatedExecutor,
    SimulatedRunner,
)

__all__ = [
    "add_runners",
    "config_document",
    "entry_fleet",
    "entry_processes",
    "executor_fleet",
    "link_executors",
    "runner_fleet",
    "runner_process",
    "store_calls",
    "wait_until",
]

# Tenants and services are limited to 1,000 each.
_MAX_FILLERS = 900


def config_document(tenants=68, domains=9, services=1, size=0):
    """Returns a configuration as a document.

    Args:
        tenants: Number of tenants, each with a quota.
        domains: Number of failure domains.
        services: Number of services; the first is `dispatch`.
        size: Size in bytes up to which tenants and services are added.
    """
    document = {
        "services": [{"name": "dispatch"}]
        + [{"name": f"service{n}"} for n in range(1, services)],
        "tenants": [
            {"name": f"t{n}", "weight": 1 + n % 4, "quota": round(0.5 / tenants, 5)}
            for n in range(tenants)
        ],
        "classes": [{"name": "c1"}],
        "domains": ["a"] + [f"d{n}" for n in range(1, domains)],
        "domains_out": [],
    }
    tenant = {"name": "filler", "weight": 1, "quota": 0.0}
    _fill(document, "tenants", tenant, size)
    service = {"name": "other", "depends_on": ["dispatch"], "cells": 1}
    _fill(document, "services", service, size)
    return document


def _fill(document, section, item, size):
    """Adds numbered copies of an item until the document has a size in bytes."""
    missing_bytes = max(0, size - len(json.dumps(document)))
    item_bytes = len(json.dumps({**item, "name": item["name"] + "0000"})) + 2
    for number in range(min(_MAX_FILLERS, missing_bytes // item_bytes)):
        document[section].append({**item, "name": f"{item['name']}{number:04d}"})


@contextmanager
def entry_fleet(members, document, entries=1):
    """A real store and real entries with simulated runners; r0 is the coordinator."""
    with Fleet(document, entries=entries, runners=()) as fleet:
        runners = []
        try:
            add_runners(fleet, runners, members)
            yield fleet, runners
        finally:
            for runner in runners:
                runner.stop()


def add_runners(fleet, runners, members):
    """Adds simulated runners to a list until it has that many, and links them."""
    while len(runners) < members:
        runner = SimulatedRunner(f"r{len(runners)}", ready=not runners)
        for address in fleet.entry_link.values():
            runner.dial(address)
        runners.append(runner)
        if len(runners) % 20 == 0:
            gevent.sleep(0.02)
    entries = len(fleet.entry_link)
    wait_until(lambda: all(len(r.links) == entries for r in runners))


def entry_processes(fleet):
    """Returns process identifier and HTTP address of each entry by name."""
    return {
        name: (fleet.processes[name].pid, http)
        for name, http in fleet.entry_http.items()
    }


def store_calls(fleet):
    """Returns the number of calls that the store has received."""
    return sum(fleet.control_store()["calls"].values())


@contextmanager
def runner_fleet(document, entries=1, **settings):
    """A real runner with simulated entries; its upstream is stopped."""
    text = json.dumps(document).encode()
    peers = [SimulatedEntry(f"e{n}", text) for n in range(entries)]
    settings = {"entries": [e.address for e in peers], **settings}
    fleet = Fleet(None, 0, [{"domain": "a"}], {"runner": settings})
    try:
        with fleet:
            fleet.kill("u-r1")
            wait_until(lambda: all(e.links for e in peers))
            yield fleet, peers
    finally:
        for entry in peers:
            entry.stop()


def link_executors(entry, executors, count):
    """Adds simulated executors to a list until it has that many, and links them."""
    while len(executors) < count:
        executors.append(SimulatedExecutor(f"x{len(executors)}"))
    entry.set_members(executors)
    wait_until(lambda: all(x.links for x in executors))


@contextmanager
def executor_fleet(coordinators, slots, document):
    """A real executor with simulated coordinators and a simulated upstream."""
    with runner_fleet(document, announce_ttl_s=600.0) as (fleet, _):
        upstream = RawUpstream()
        call(
            fleet.runner_http["r1"],
            "POST",
            "/announce",
            {
                "service": "dispatch",
                "address": f"127.0.0.1:{upstream.port}",
                "slots": slots,
            },
        )
        peers = [SimulatedCoordinator(f"h{n}") for n in range(coordinators)]
        try:
            for coordinator in peers:
                coordinator.dial(fleet.runner_link["r1"])
            wait_until(lambda: all(c.links for c in peers))
            yield fleet, peers
        finally:
            for coordinator in peers:
                coordinator.stop()
            upstream.stop()


def runner_process(fleet):
    """Returns process identifier and HTTP address of the runner by name."""
    return {"r1": (fleet.processes["r1"].pid, fleet.runner_http["r1"])}


def wait_until(condition, timeout_s=30.0):
    """Waits until a function returns true.

    Raises:
        TimeoutError: It did not in time.
    """
    with gevent.Timeout(timeout_s, TimeoutError("condition not met in time")):
        while not condition():
            gevent.sleep(0.02)
