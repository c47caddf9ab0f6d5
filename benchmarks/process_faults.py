"""
benchmarks.process_faults
~~~~~~~~~~~~~~~~~~~~~~~~~

Faults of the soak in processes, links, store, upstreams and configuration, and changes
of the load. Each function injects one and returns when it has ended.
"""

import signal
import time

import gevent

__all__ = ["CORES", "DOMAINS", "FAULTS", "LOAD_FAULTS"]

DOMAINS = ("a", "b", "c")
CORES = 4
_STARTUP_S = 0.5
_DEADLY_SHARE = 0.15


def _kill_process(soak):
    name = soak.rng.choice(soak.entries + soak.runners)
    soak.note(f"kill {name}")
    downtime_s = soak.rng.uniform(0.1, 2.0)
    soak.record_fault(name, downtime_s + 1.0)
    soak.fleet.kill(name)
    gevent.sleep(downtime_s)
    soak.start_process(name)


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
        soak.start_process(name)


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
    cores = soak.load_rng.randint(1, 2 * CORES)
    soak.note(f"upstream of {name} has {cores} cores")
    soak.fleet.upstreams[name].resize(cores)
    gevent.sleep(soak.load_rng.uniform(0.5, 8.0))
    soak.fleet.upstreams[name].resize(CORES)


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
    domain = soak.rng.choice(DOMAINS)
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
