"""
tests.order_faults
~~~~~~~~~~~~~~~~~~

Faults of a `World`: each begins, lasts and ends in a greenlet of its own.

A fault takes the `World`, the `Machine` that it hits and a random generator.
"""

import gevent

from tests.order_path import RequestFault

__all__ = ["BURST_FAULTS", "FAULTS", "SPARSE_FAULTS"]

_RETURN_S = (0.03, 1.5)
# Parts of the requests that a fault hits, and their names.
_SHARES = (0.2, 0.6, 1.0)
_HIT_NAMES = (
    ("start",),
    ("stop",),
    ("start", "stop"),
    ("start", "stop", "poll"),
)


def _refuse(world, machine, rng):
    """The path refuses connections while the upstream runs on."""
    seconds, with_reset = rng.uniform(0.02, 1.0), rng.random() < 0.6
    world.note(f"{machine.name}: refuses for {seconds:.2f} s, reset {with_reset}")
    machine.path.refuse(with_reset)
    gevent.sleep(seconds)
    machine.path.accept()


def _reset(world, machine, rng):
    """Open connections break, once or some times in a row."""
    times = rng.choice((1, 1, 3, 6))
    world.note(f"{machine.name}: {times} resets")
    for _ in range(times):
        machine.path.reset()
        gevent.sleep(rng.uniform(0.0, 0.1))


def _silence(world, machine, rng):
    """Requests, replies or both are lost on the path."""
    mode, seconds = rng.choice(("to", "from", "both")), rng.uniform(0.1, 2.0)
    world.note(f"{machine.name}: path silent ({mode}) for {seconds:.2f} s")
    path = machine.path
    path.silent_to = path.silent_to or mode != "from"
    path.silent_from = path.silent_from or mode != "to"
    gevent.sleep(seconds)
    path.silent_to = path.silent_from = False


def _hit_requests(kind):
    def fault(world, machine, rng):
        seconds = rng.uniform(0.1, 1.5)
        _begin_to_hit(world, machine, rng, kind)
        gevent.sleep(seconds)
        machine.path.faults[kind] = RequestFault()

    return fault


def _begin_to_hit(world, machine, rng, kind):
    found = RequestFault(rng.choice(_SHARES), rng.choice(_HIT_NAMES))
    world.note(f"{machine.name}: {kind} {found.share} of {', '.join(found.names)}")
    machine.path.faults[kind] = found


def _disturb_before_end(world, machine, rng):
    """Leaves requests unanswered for a moment before a process ends."""
    if rng.random() < 0.5:
        return
    kinds = rng.sample(("error", "loss", "late"), rng.choice((1, 1, 2)))
    for kind in kinds:
        _begin_to_hit(world, machine, rng, kind)
    gevent.sleep(rng.uniform(0.05, 0.5))
    gevent.spawn_later(rng.uniform(0.0, 0.5), _hit_no_more, machine, kinds)


def _hit_no_more(machine, kinds):
    for kind in kinds:
        machine.path.faults[kind] = RequestFault()


def _crash(world, machine, rng):
    """The upstream crashes and returns, mute or not, with its identifier or not."""
    lifetime = machine.lifetime
    if lifetime.crashed:
        return
    _disturb_before_end(world, machine, rng)
    if rng.random() < 0.15:
        machine.announce(keeps_instance=rng.random() < 0.6)
        gevent.sleep(rng.uniform(0.0, 0.6))
    if machine.lifetime is not lifetime or lifetime.crashed:
        return
    machine.crash(silent=rng.random() < 0.6)
    _return(world, machine, rng)


def _return(world, machine, rng):
    lifetime = machine.lifetime
    gevent.sleep(rng.uniform(*_RETURN_S))
    if machine.lifetime is not lifetime:
        return
    old_state = machine.state
    is_mute, mute_s = rng.random() < 0.3, rng.uniform(0.1, 1.5)
    if is_mute:
        machine.path.silent_from = True
    machine.begin_lifetime(keeps_instance=rng.random() < 0.6)
    returned = machine.lifetime
    report = rng.choice(("at once", "late", "regular", "none"))
    world.note(f"{returned.name}: report {report}, mute {is_mute}")
    machine.reports_regularly = report != "none"
    if report == "at once":
        machine.report()
    elif report == "late":
        gevent.spawn_later(rng.uniform(0.05, 1.5), _report_if, machine, returned)
    if rng.random() < 0.3 and old_state is not None:
        delay_s = rng.uniform(0.0, 1.0)
        world.note(f"{machine.name}: late report of the lifetime before")
        gevent.spawn_later(delay_s, machine.deliver, old_state)
    if is_mute:
        gevent.sleep(mute_s)
        machine.path.silent_from = False
    if report == "none":
        gevent.sleep(rng.uniform(0.5, 3.0))
        machine.reports_regularly = True


def _report_if(machine, lifetime):
    if machine.lifetime is lifetime and not lifetime.crashed:
        machine.report()


def _deregister(world, machine, rng):
    """The upstream drains, deregisters, runs on for a while and ends."""
    lifetime = machine.lifetime
    if lifetime.crashed:
        return
    if rng.random() < 0.7:
        machine.draining = True
        world.note(f"{lifetime.name} drains")
        machine.report()
        gevent.sleep(rng.uniform(0.0, 0.5))
    if machine.lifetime is not lifetime or lifetime.crashed:
        return
    machine.reports_regularly = False
    world.note(f"{lifetime.name} deregisters")
    machine.deregister()
    gevent.sleep(rng.uniform(0.0, 1.0))
    if machine.lifetime is lifetime and not lifetime.crashed:
        machine.crash(silent=rng.random() < 0.4)
        _return(world, machine, rng)


def _replace_executor(world, machine, rng):
    """The process beside the upstream is killed and started again."""
    process = machine.process
    if process is None:
        return
    _disturb_before_end(world, machine, rng)
    if process.alive:
        _kill_executor(world, machine, rng)
        _return_executor(world, machine, rng)


def _kill_executor(world, machine, rng):
    process = machine.process
    world.note(f"{machine.name}: process {process.incarnation} killed")
    connections = world.connections(process)
    process.end()
    machine.process = None
    for connection in connections:
        connection.cut()
        delay_s = rng.choice((0.0, rng.uniform(0.0, 0.8)))
        gevent.spawn_later(delay_s, connection.close_at_entry)


def _return_executor(world, machine, rng):
    gevent.sleep(rng.uniform(0.05, 1.0))
    machine.start_process(recalls=rng.random() < 0.7)
    started = machine.process
    world.note(f"{machine.name}: process {machine.incarnation} started")
    gevent.sleep(rng.uniform(0.0, 0.2))
    if started.alive:
        world.connect_executor(started)
    gevent.sleep(rng.uniform(0.0, 0.5))
    if not machine.lifetime.crashed:
        machine.report()


def _replace_entry(world, machine, rng):
    """The process of an entry is killed and started again."""
    number = rng.randrange(len(world.entries))
    if world.entries[number] is not None:
        _kill_entry(world, number, rng)
        _return_entry(world, number, rng)


def _kill_entry(world, number, rng):
    entry = world.entries[number]
    world.note(f"{entry.name}: process {entry.incarnation} killed")
    connections = world.connections(entry)
    entry.end()
    world.entries[number] = None
    for connection in connections:
        connection.cut()
        delay_s = rng.choice((0.0, rng.uniform(0.0, 0.8)))
        gevent.spawn_later(delay_s, connection.close_at_executor)


def _return_entry(world, number, rng):
    gevent.sleep(rng.uniform(0.05, 1.0))
    world.note(f"e{number}: started again")
    world.start_entry(number)


def _replace_both(world, machine, rng):
    """The process beside an upstream and an entry are killed in one step."""
    _disturb_before_end(world, machine, rng)
    number, process = rng.randrange(len(world.entries)), machine.process
    if process is None or not process.alive or world.entries[number] is None:
        return
    _kill_executor(world, machine, rng)
    _kill_entry(world, number, rng)
    gevent.spawn(_return_entry, world, number, rng)
    _return_executor(world, machine, rng)


def _break_link(world, machine, rng):
    """A link breaks in one or both directions, which its ends notice when they do."""
    process = machine.process
    connections = world.connections(process) if process is not None else ()
    if not connections:
        return
    connection = rng.choice(connections)
    mode = rng.choice(("to_entry", "to_executor", "both"))
    world.note(f"link {connection.entry.name}, {machine.name}: cut {mode}")
    connection.cut(mode != "to_executor", mode != "to_entry")
    entry_s, executor_s = rng.uniform(0.0, 0.9), rng.uniform(0.0, 0.9)
    gevent.spawn_later(executor_s, connection.close_at_executor)
    gevent.sleep(entry_s)
    connection.close_at_entry()
    world.note(f"link {connection.entry.name}, {machine.name}: closed at the entry")
    gevent.sleep(rng.uniform(0.0, 1.5))
    world.reconnect(connection)


def _delay_link(world, machine, rng):
    """What is sent on a link arrives late."""
    process = machine.process
    connections = world.connections(process) if process is not None else ()
    if not connections:
        return
    connection, seconds = rng.choice(connections), rng.uniform(0.05, 0.8)
    mode = rng.choice(("to_entry", "to_executor", "both"))
    world.note(
        f"link {connection.entry.name}, {machine.name}: {mode} late by {seconds:.2f} s"
    )
    connection.delay(mode != "to_executor", mode != "to_entry", seconds)


FAULTS = {
    "refuse": _refuse,
    "reset": _reset,
    "silence": _silence,
    "errors": _hit_requests("error"),
    "lost replies": _hit_requests("loss"),
    "late requests": _hit_requests("late"),
    "crash": _crash,
    "deregister": _deregister,
    "executor": _replace_executor,
    "entry": _replace_entry,
    "link": _break_link,
    "delay": _delay_link,
}

# Those of worlds in which each executor is linked with a part of the entries.
SPARSE_FAULTS = {**FAULTS, "both": _replace_both}

# Those of which a burst consists.
BURST_FAULTS = (
    "refuse",
    "reset",
    "silence",
    "errors",
    "lost replies",
    "late requests",
    "crash",
    "executor",
    "link",
    "entry",
)
