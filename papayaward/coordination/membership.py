"""
papayaward.coordination.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An entry's view of the runners, and the choice of a coordinator.
"""

import random
from functools import lru_cache
from hashlib import blake2b

__all__ = ["MemberView", "Membership", "cell_of"]


class MemberView:
    """State of a runner as known to an entry.

    Args:
        link: Link to the runner.
        now: Monotonic time, seconds.
    """

    def __init__(self, link, now):
        self.link = link
        self.last_seen = now
        self.config_version = link.peer.config_version
        self.draining = link.peer.draining
        self.ready = False
        self.queued = 0

    @property
    def hello(self):
        """The runner's `Hello`."""
        return self.link.peer

    def on_heartbeat(self, heartbeat, now):
        """Updates the state from a heartbeat."""
        self.last_seen = now
        self.config_version = heartbeat.config_version
        self.draining = heartbeat.draining
        self.ready = heartbeat.ready
        self.queued = heartbeat.queued


def cell_of(member, cells):
    """Returns the cell of a runner, from 0."""
    return _hash(member) % cells


# An entry ranks the members for each job. Without the cache, hashing their names took
# about 40 % of the CPU time of choosing a coordinator.
@lru_cache(maxsize=65_536)
def _hash(text):
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Membership:
    """Runners that are linked to an entry.

    The leaders of cells are looked up for each job but rarely change, so they are
    cached until a runner joins, leaves or changes its state, or the configuration
    changes.
    """

    def __init__(self):
        self._views = {}
        self._config = None
        self._leaders = {}
        self._ready_services = {}

    def __iter__(self):
        return iter(self._views.values())

    def get(self, member):
        """Returns the view of a runner, or None."""
        return self._views.get(member)

    def on_link_up(self, link, now):
        """Adds a runner; returns the link that the new one replaces, if any."""
        self._clear_caches()
        older = self._views.get(link.peer.member)
        self._views[link.peer.member] = MemberView(link, now)
        return None if older is None else older.link

    def on_link_down(self, link):
        """Removes a runner if this is its current link; returns whether it was."""
        view = self._views.get(link.peer.member)
        if view is None or view.link is not link:
            return False
        del self._views[link.peer.member]
        self._clear_caches()
        return True

    def on_heartbeat(self, view, heartbeat, now):
        """Updates the view of a runner from its heartbeat."""
        before = (view.ready, view.draining)
        view.on_heartbeat(heartbeat, now)
        if (view.ready, view.draining) != before:
            self._clear_caches()

    def in_cell(self, service, cell, cells):
        """Returns the views of the runners in a cell of a service."""
        return [
            view
            for view in self._views.values()
            if view.hello.service_name == service
            and cell_of(view.hello.member, cells) == cell
        ]

    def choose_coordinator(self, config, service):
        """Returns the view of the coordinator for a new job, or None.

        Picks two cells at random and takes the one whose leader has the shorter
        queue. The leader of a cell coordinates its new jobs. It is the ready runner
        with the highest rendezvous hash, so all entries that see the same runners
        choose the same one.

        Args:
            config: `FleetConfig`.
            service: `Service`.
        """
        cells = random.sample(range(service.cells), min(2, service.cells))
        leaders = [self.leader(config, service, cell) for cell in cells]
        leaders = [leader for leader in leaders if leader is not None]
        if not leaders and service.cells > 2:
            every = (self.leader(config, service, c) for c in range(service.cells))
            leaders = [leader for leader in every if leader is not None]
        return min(leaders, key=lambda view: view.queued, default=None)

    def leader(self, config, service, cell):
        """Returns the view of the leader of a cell, or None."""
        self._use_config(config)
        key = (service.name, cell)
        if key not in self._leaders:
            self._leaders[key] = self._find_leader(config, service, cell)
        return self._leaders[key]

    def _find_leader(self, config, service, cell):
        ready = [
            view
            for view in self.in_cell(service.name, cell, service.cells)
            if _is_usable(view, config)
        ]
        return max(
            ready,
            key=lambda view: _hash(f"{service.name}/{cell}/{view.hello.member}"),
            default=None,
        )

    def has_ready(self, config, service_name):
        """Returns whether a service has a ready runner in a domain in service."""
        self._use_config(config)
        if service_name not in self._ready_services:
            self._ready_services[service_name] = any(
                view.hello.service_name == service_name and _is_usable(view, config)
                for view in self._views.values()
            )
        return self._ready_services[service_name]

    def _use_config(self, config):
        if config is not self._config:
            self._config = config
            self._clear_caches()

    def _clear_caches(self):
        self._leaders.clear()
        self._ready_services.clear()

    def missing_dependency(self, config, service):
        """Returns a service that this one depends on and that is not ready, or None."""
        pending = list(service.depends_on)
        seen = {service.name}
        while pending:
            name = pending.pop()
            if name in seen:
                continue
            seen.add(name)
            if not self.has_ready(config, name):
                return name
            if name in config.services:
                pending += config.services[name].depends_on
        return None


def _is_usable(view, config):
    return (
        view.ready and not view.draining and view.hello.domain not in config.domains_out
    )
