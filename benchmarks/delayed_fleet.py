"""
benchmarks.delayed_fleet
~~~~~~~~~~~~~~~~~~~~~~~~

A fleet whose links and client connections pass through delaying proxies.
"""

from standins.fleet import Fleet, free_port

__all__ = ["DelayedFleet"]


class DelayedFleet(Fleet):
    """Fleet of a `Profile`, with delaying proxies.

    Each proxy is a separate process, so that the proxies do not limit the throughput
    of the fleet.

    Args:
        profile: `Profile`.
        delayed: Whether the delaying proxies are used.
        settings: Settings added to each process of a role, by role.
        entries: Number of entries.
        runners: Number of runners; None for all runners of the profile.
        proxied: Whether links pass through proxies of this process, as for `Fleet`.
    """

    def __init__(
        self,
        profile,
        delayed=True,
        settings=None,
        entries=2,
        runners=None,
        proxied=False,
    ):
        self.profile = profile
        self._delayed = delayed
        self._link_proxies = {}
        self._client_proxies = {}
        super().__init__(
            profile.config,
            entries,
            profile.runners[:runners],
            settings,
            lambda entry, address, runner: self._link_proxies.get(entry, address),
            proxied,
        )

    @property
    def client_addresses(self):
        """HTTP addresses of the entries as clients see them."""
        return [
            self._client_proxies.get(name, self.entry_http[name])
            for name in self._entries
        ]

    def start_entry(self, name):
        """Starts an entry and, the first time, its proxies."""
        super().start_entry(name)
        if self._delayed and name not in self._link_proxies:
            self._link_proxies[name] = self._start_proxy(
                f"p-{name}", self.entry_link[name], self.profile.link_delay_ms
            )
            self._client_proxies[name] = self._start_proxy(
                f"c-{name}", self.entry_http[name], self.profile.client_delay_ms
            )

    def start_runner(self, name):
        """Starts a runner and, the first time, the proxy of its link port."""
        if self._delayed and f"p-{name}" not in self.processes:
            address = self._start_proxy(
                f"p-{name}", self.runner_link[name], self.profile.link_delay_ms
            )
            self._runners[name]["settings"] = {"advertise": address}
        super().start_runner(name)

    def _start_proxy(self, name, target, delay_ms):
        address = f"127.0.0.1:{free_port()}"
        arguments = ("--delay-ms", str(delay_ms), "--route", f"{address}={target}")
        self.spawn(name, "standins.proxy", *arguments)
        return address
