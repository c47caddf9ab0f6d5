"""
benchmarks.path_faults
~~~~~~~~~~~~~~~~~~~~~~

Faults of the soak on the path from a runner to its upstream, which itself runs on.

A path that refuses connections shows nothing about the runs behind it. Each fault draws
its parameters before it waits, so that overlapping faults of a seed stay the same.
"""

import random

import gevent

__all__ = ["PATH_FAULTS", "LateOrders", "submit_path_load"]

_WORK_MS = (200, 1000, 2200)
_TASKS = 2
_DEADLINE_S = 5.0
_RETURNING_SHARE = 0.3
_REFUSED_S = (0.02, 1.5)
_RESET_SHARE = 0.5
_FLAPS = (3, 8)
_FLAP_REFUSED_S = (0.01, 0.15)
_FLAP_OPEN_S = (0.01, 0.3)
_SILENT_S = (0.1, 1.5)
_ERROR_SHARE = 0.2
_LOST_SHARE = 0.2
_LATE_ORDER_S = (0.0, 1.5)
# A second event begins at most this long after the refusals begin.
_SECOND_EVENT_S = 0.3
_DOWNTIME_S = (0.05, 1.0)
_UPSTREAM_DOWNTIME_S = (0.05, 0.5)
_FIRST_REPORT_S = (0.0, 1.0)
_REPORT_DELAY_S = (0.3, 2.0)
_SHORT_S = (0.02, 0.5)
_MUTE_S = (0.2, 1.5)
_LINKS_CUT_S = (0.1, 1.5)
# While orders are late: shares of late orders and of errors, delays of the orders, time
# until an upstream crashes, how long it is down and its path disturbed, and how often a
# process is killed.
_LATE_SHARE = (0.4, 0.6)
_LATE_ERROR_SHARE = 0.1
_LONG_LATE_ORDER_S = (0.2, 2.5)
_LATE_CRASH_S = (0.3, 1.5)
_LATE_DOWNTIME_S = (0.05, 1.2)
_LATE_PATH_S = (0.1, 2.0)
_KILLED_SHARE = 0.2


def submit_path_load(soak, rate, seconds):
    """Submits jobs whose tasks keep all upstreams busy, without waiting for answers.

    Args:
        soak: `_Soak`.
        rate: Jobs per second.
        seconds: Duration, seconds.
    """
    for work_ms in _WORK_MS:
        jobs = round(rate * seconds / len(_WORK_MS))
        soak.submit_burst(
            soak.path_rng,
            jobs,
            seconds,
            _TASKS,
            work_ms,
            _DEADLINE_S,
            _RETURNING_SHARE,
        )


def _choose_runners(soak):
    return soak.path_rng.sample(soak.runners, soak.path_rng.randint(1, 2))


def _draw_refusal(soak):
    """Draws for how long a path refuses, and whether open connections are reset."""
    rng = soak.path_rng
    return rng.uniform(*_REFUSED_S), rng.random() < _RESET_SHARE


def _refuse(soak, names, seconds, resets, reason=""):
    """The kernel refuses connections to the upstreams of runners for some time."""
    soak.note(
        f"path of {', '.join(names)} to the upstream refuses for {seconds:.2f} s"
        + ", open connections are reset" * resets
        + reason
    )
    closer = object()
    proxies = [soak.fleet.upstream_proxies[name] for name in names]
    for proxy in proxies:
        proxy.close_listener(closer)
        if resets:
            proxy.reset()
    gevent.sleep(seconds)
    for proxy in proxies:
        proxy.open_listener(closer)


def _refuse_connections(soak):
    """Paths refuse connections."""
    names = _choose_runners(soak)
    _refuse(soak, names, *_draw_refusal(soak))


def _flap(soak):
    """A path refuses connections for short times in a row."""
    rng = soak.path_rng
    name = rng.choice(soak.runners)
    phases = [
        (
            rng.uniform(*_FLAP_REFUSED_S),
            rng.random() < _RESET_SHARE,
            rng.uniform(*_FLAP_OPEN_S),
        )
        for _ in range(rng.randint(*_FLAPS))
    ]
    for refused_s, resets, open_s in phases:
        _refuse(soak, [name], refused_s, resets)
        gevent.sleep(open_s)


def _draw_silence(soak):
    rng = soak.path_rng
    seconds, resets = rng.uniform(*_SILENT_S), rng.random() < _RESET_SHARE
    return seconds, resets, rng.choice(("both", "to_upstream", "to_runner"))


def _silence(soak):
    """A path is silent in one or both directions, and may be reset after that."""
    name = soak.path_rng.choice(soak.runners)
    _silence_path(soak, name, *_draw_silence(soak))


def _silence_path(soak, name, seconds, resets, direction):
    """A path holds back data, and delivers it later unless it is reset."""
    soak.note(
        f"path of {name} to the upstream is silent ({direction}) for {seconds:.2f} s"
        + ", then reset" * resets
    )
    proxy = soak.fleet.upstream_proxies[name]
    proxy.silent_to_target = direction != "to_runner"
    proxy.silent_to_client = direction != "to_upstream"
    gevent.sleep(seconds)
    if resets:
        proxy.reset()
    proxy.silent_to_target = proxy.silent_to_client = False


def _silence_and_disturb(soak):
    """A path is silent while links of an entry are cut or the runner is disturbed."""
    rng = soak.path_rng
    name, entry = rng.choice(soak.runners), rng.choice(soak.entries)
    silence = _draw_silence(soak)
    delay_s, seconds = rng.uniform(0.0, _SECOND_EVENT_S), rng.uniform(*_DOWNTIME_S)
    disturb = rng.choice(
        (
            lambda: _cut_links(soak, entry, seconds),
            lambda: soak.pause(name, seconds),
            lambda: soak.restart_after(name, seconds),
        )
    )
    event = gevent.spawn_later(delay_s, disturb)
    _silence_path(soak, name, *silence)
    event.join()


def _return_twice(soak):
    """An upstream returns twice in a row while its path refuses now and then."""
    rng = soak.path_rng
    name = rng.choice(soak.runners)
    returns = [
        (rng.uniform(*_SHORT_S), rng.uniform(*_SHORT_S), rng.uniform(*_MUTE_S))
        for _ in range(2)
    ]
    is_mute = rng.random() < 0.5
    seconds, resets = rng.uniform(*_SHORT_S), rng.random() < _RESET_SHARE
    refusal = gevent.spawn(_refuse, soak, [name], seconds, resets)
    upstream = soak.fleet.upstreams[name]
    for downtime_s, lifetime_s, mute_s in returns:
        soak.note(f"upstream of {name} returns after {downtime_s:.2f} s")
        upstream.restart_silently(
            downtime_s, lifetime_s, mute_s * is_mute, inherits_orders=True
        )
        gevent.sleep(lifetime_s)
    refusal.join()


def _refuse_and_lose_replies(soak):
    """Paths refuse while their upstreams answer with errors and lose replies."""
    names = _choose_runners(soak)
    seconds, resets = _draw_refusal(soak)
    rng = random.Random(soak.path_rng.random())
    instances = [soak.fleet.upstreams[name].current for name in names]
    for instance in instances:
        instance.is_unhealthy = lambda name: rng.random() < _ERROR_SHARE
        instance.order_loss = lambda: (
            rng.uniform(*_LATE_ORDER_S) if rng.random() < _LOST_SHARE else None
        )
    gevent.sleep(_SECOND_EVENT_S)
    _refuse(soak, names, seconds, resets, "; replies are lost and errors")
    gevent.sleep(_SECOND_EVENT_S)
    for instance in instances:
        instance.is_unhealthy = lambda name: False
        instance.order_loss = lambda: None


def _refuse_and_restart(soak):
    """A path refuses while the runner is killed, paused or terminated."""
    rng = soak.path_rng
    name = rng.choice(soak.runners)
    seconds, resets = _draw_refusal(soak)
    delay_s, downtime_s = rng.uniform(0.0, _SECOND_EVENT_S), rng.uniform(*_DOWNTIME_S)
    stop = rng.choice(
        (
            lambda: soak.restart_after(name, downtime_s),
            lambda: soak.pause(name, downtime_s),
            lambda: soak.terminate(name),
        )
    )
    event = gevent.spawn_later(delay_s, stop)
    _refuse(soak, [name], seconds, resets)
    event.join()


def _refuse_and_crash(soak):
    """A path refuses while its upstream returns, or another instance replaces it."""
    rng = soak.path_rng
    name = rng.choice(soak.runners)
    seconds, resets = _draw_refusal(soak)
    delay_s = rng.uniform(0.0, _SECOND_EVENT_S)
    kind = rng.choice(("returns", "returns without replies", "is replaced"))
    downtime_s = rng.uniform(*_UPSTREAM_DOWNTIME_S)
    first_report_s, mute_s = rng.uniform(*_FIRST_REPORT_S), rng.uniform(*_MUTE_S)
    upstream = soak.fleet.upstreams[name]

    def crash():
        if kind == "is replaced":
            upstream.crash()
            gevent.sleep(downtime_s)
            upstream.start()
        elif kind == "returns":
            upstream.restart_silently(downtime_s, first_report_s)
        else:
            upstream.restart_silently(
                downtime_s, first_report_s, mute_s, inherits_orders=True
            )

    event = gevent.spawn_later(delay_s, crash)
    reason = f"; after {delay_s:.2f} s the upstream crashes for {downtime_s:.2f} s and "
    _refuse(soak, [name], seconds, resets, reason + kind)
    event.join()


def _refuse_and_delay_reports(soak):
    """A path refuses while reports arrive late, also once the upstream has returned."""
    rng = soak.path_rng
    name = rng.choice(soak.runners)
    seconds, resets = _draw_refusal(soak)
    delay_s, downtime_s = rng.uniform(*_REPORT_DELAY_S), rng.uniform(*_DOWNTIME_S)
    returns, replaced = rng.random() < 0.7, rng.random() < 0.5
    upstream = soak.fleet.upstreams[name]
    upstream.report_delay_s = delay_s
    gevent.sleep(_SECOND_EVENT_S)
    reason = f"; its reports arrive after {delay_s:.2f} s"
    if returns:
        reason += f"; after that it {'is replaced' if replaced else 'returns'}"
    _refuse(soak, [name], seconds, resets, reason)
    upstream.report_delay_s = 0.0
    if returns and replaced:
        upstream.crash()
        gevent.sleep(downtime_s)
        upstream.start()
    elif returns:
        upstream.restart_silently(downtime_s, 0.0)


def _refuse_and_cut_links(soak):
    """Paths refuse while the links of an entry are cut."""
    rng = soak.path_rng
    names = _choose_runners(soak)
    seconds, resets = _draw_refusal(soak)
    entry, cut_s = rng.choice(soak.entries), rng.uniform(*_LINKS_CUT_S)
    delay_s = rng.uniform(0.0, _SECOND_EVENT_S)
    event = gevent.spawn_later(delay_s, _cut_links, soak, entry, cut_s)
    _refuse(soak, names, seconds, resets)
    event.join()


def _return_while_orders_are_late(soak):
    """An upstream returns, and executes late what was sent to the lifetime before.

    Its path is disturbed, so that such a start may precede the runner's first request.
    """
    rng = soak.path_rng
    name, killed = rng.choice(soak.runners), rng.choice(soak.runners + soak.entries)
    share, delay_s = rng.uniform(*_LATE_SHARE), rng.uniform(*_LATE_CRASH_S)
    downtime_s, path_s = rng.uniform(*_LATE_DOWNTIME_S), rng.uniform(*_LATE_PATH_S)
    first_report_s, kill_delay_s = rng.uniform(*_FIRST_REPORT_S), rng.uniform(0.0, 1.0)
    is_killed, is_silent = rng.random() < _KILLED_SHARE, rng.random() < 0.5
    silence = path_s, *_draw_silence(soak)[1:]
    late_orders = LateOrders(share, rng.random())
    upstream = soak.fleet.upstreams[name]
    for other in soak.fleet.upstreams.values():
        late_orders.begin(other.current)
    soak.note(
        f"{share:.2f} of orders are late; in {delay_s:.2f} s the upstream of {name} "
        f"crashes, and returns after {downtime_s:.2f} s"
    )
    gevent.sleep(delay_s)

    def crash():
        upstream.restart_silently(downtime_s, first_report_s, inherits_orders=True)
        late_orders.begin(upstream.current)

    events = [gevent.spawn(crash)]
    if is_silent:
        events.append(gevent.spawn(_silence_path, soak, name, *silence))
    else:
        events.append(gevent.spawn(_refuse, soak, [name], *silence[:2]))
    if is_killed:
        events.append(
            gevent.spawn_later(kill_delay_s, soak.restart_after, killed, downtime_s)
        )
    gevent.joinall(events)
    late_orders.end()


class LateOrders:
    """Instances that execute orders late without a reply or answer with errors.

    Args:
        share: Share of the late orders.
        seed: Seed of a stream for requests, whose number must not decide later faults.
    """

    def __init__(self, share, seed):
        self._share = share
        self._rng = random.Random(seed)
        self._loss = self._draw_delay
        self._instances = []

    def begin(self, instance):
        """Has an instance execute orders late."""
        instance.order_loss = self._loss
        instance.is_unhealthy = self._is_unhealthy
        self._instances.append(instance)

    def end(self):
        """Ends it at all instances for which no later fault has changed it."""
        for instance in self._instances:
            if instance.order_loss is self._loss:
                instance.order_loss = lambda: None
                instance.is_unhealthy = lambda name: False

    def _draw_delay(self):
        if self._rng.random() >= self._share:
            return None
        return self._rng.uniform(*_LONG_LATE_ORDER_S)

    def _is_unhealthy(self, name):
        return self._rng.random() < _LATE_ERROR_SHARE


def _cut_links(soak, entry, seconds):
    soak.note(f"links of {entry} are cut for {seconds:.2f} s")
    soak.record_fault(entry, seconds)
    proxy = soak.fleet.link_proxies[entry]
    closer = object()
    proxy.close_listener(closer)
    proxy.cut()
    gevent.sleep(seconds)
    proxy.open_listener(closer)


PATH_FAULTS = {
    "path_crash": _refuse_and_crash,
    "path_flap": _flap,
    "path_late": _return_while_orders_are_late,
    "path_links": _refuse_and_cut_links,
    "path_lossy": _refuse_and_lose_replies,
    "path_process": _refuse_and_restart,
    "path_reports": _refuse_and_delay_reports,
    "path_refuse": _refuse_connections,
    "path_silent": _silence,
    "path_silent_disturbed": _silence_and_disturb,
    "path_twice": _return_twice,
}
