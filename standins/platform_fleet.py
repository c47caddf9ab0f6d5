"""
standins.platform_fleet
~~~~~~~~~~~~~~~~~~~~~~~

Fleet of platform processes on one machine, with stand-ins for external systems.
"""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

import gevent
from gevent import socket

from papayaward.transport.upstream_http import (
    NotSent,
    UpstreamClient,
    UpstreamConnectionLost,
)

from .fleet import free_port
from .leased_upstream import LeasedUpstream, serve
from .platform_store import PlatformStoreStandIn
from .proxy import TcpProxy

__all__ = ["HOST", "PREFIX", "URGENT_PREFIX", "PlatformFleet"]

HOST = "127.0.0.1"
# Paths of the two queues; the second one is more urgent.
PREFIX, URGENT_PREFIX = "/q/", "/urgent/"

_ROOT = Path(__file__).resolve().parent.parent
_REPORT_INTERVAL_S = 0.3
# Time from a crash by a task to the next start of the upstream.
_RESTART_S = 1.0
_READY_TIMEOUT_S = 10.0
_EXIT_POLL_S = 0.01
# Clock of the first instance of an upstream, which is older than the runner.
_FIRST_CLOCK_MS = 480_000
_FIRST_BORN_MS = 5
# Who keeps the path to an upstream closed while the upstream itself is down.
_UPSTREAM_DOWN = "upstream"


class _RestartableUpstream:
    """The upstream of a runner; each start creates a new lifetime.

    Args:
        name: Name of the runner.
        settings: Settings of the runner.
        domain: Failure domain.
        cores: Capacity.
        listen: (host, port) to listen on.
        path: `TcpProxy` on the runner's path to the upstream, or None. It refuses
            connections while the upstream does.

    Attributes:
        capacities: Time and number of cores of each change of its capacity.
        draining: Whether it reports that it is draining.
        drains: Each `LeasedUpstream` whose drain was acknowledged, and when.
        reporting: Whether it sends reports.
        report_delay_s: Time after which its reports arrive, seconds.
        clock_rate: Speed of the clock of the instances that start from now on.
    """

    def __init__(self, name, settings, domain, cores, listen, path=None):
        self.name = name
        self.domain = domain
        self.capacities = [(time.monotonic(), cores)]
        self.instances = []
        self.draining = False
        self.drains = []
        self.reporting = True
        self.report_delay_s = 0.0
        self.clock_rate = 1.0
        self._settings = settings
        self._listen = listen
        self._path = path
        self._server = None
        self._reporter = None

    @property
    def cores(self):
        """Capacity that the upstream reports."""
        return self.capacities[-1][1]

    @property
    def current(self):
        """The newest `LeasedUpstream` instance."""
        return self.instances[-1]

    @property
    def records(self):
        """`StartRecord` of every run of every instance."""
        return [record for instance in self.instances for record in instance.records]

    def resize(self, cores):
        """Changes the capacity while the upstream runs."""
        self.capacities.append((time.monotonic(), cores))

    def start(self):
        """Starts a new instance, unless one is running."""
        if self._reporter is not None:
            return
        self.draining = False
        self._begin(f"i-{self.name}-{len(self.instances)}")

    def restart_silently(
        self, downtime_s, first_report_s, mute_s=0.0, inherits_orders=False
    ):
        """Crashes the instance without a sign and starts a lifetime of its identifier.

        Args:
            downtime_s: Time for which nothing replies, seconds.
            first_report_s: Time from the start of the new lifetime to its first report,
                seconds.
            mute_s: Time from the start of the new lifetime for which it executes
                requests without a reply, seconds. Unless it is 0, no connection is
                refused either.
            inherits_orders: Whether it executes the delayed requests to the lifetime
                before, as they name the same identifier.
        """
        if self._reporter is None or self.current.silent:
            return
        crashed = self.current
        self._reporter.kill()
        crashed.silent = True
        crashed.crash()
        gevent.sleep(downtime_s)
        if crashed is self.current and self._reporter is not None:
            listener = None
            if mute_s:
                # A copy of the listening socket keeps accepting while servers change.
                listener = socket.socket(fileno=os.dup(self._server.socket.fileno()))
            else:
                self._close_path()
            self._server.stop(timeout=0)
            self._begin(crashed.instance, first_report_s, listener)
            self.current.mute(mute_s)
            if inherits_orders:
                crashed.next_lifetime = self.current

    def _begin(self, instance, first_report_s=0.0, listener=None):
        is_first = not self.instances
        upstream = LeasedUpstream(
            instance,
            on_crash=self._on_task_crash,
            born_ms=_FIRST_BORN_MS + len(self.instances),
            names_lifetime_in_lists_only=len(self.instances) % 2 == 1,
            first_clock_ms=_FIRST_CLOCK_MS if is_first else 0,
            clock_rate=self.clock_rate,
        )
        self.instances.append(upstream)
        self._server = serve(upstream, listener or self._listen)
        if self._path is not None:
            self._path.open_listener(_UPSTREAM_DOWN)
        self._reporter = gevent.spawn(self._report, upstream, first_report_s)

    def _on_task_crash(self):
        self.crash()
        gevent.spawn_later(_RESTART_S, self.start)

    def crash(self):
        """Crashes the current instance."""
        if self._reporter is not None:
            self._reporter.kill()
            self._close_path()
            self._server.stop(timeout=0)
            self.current.crash()
            self._reporter = None

    def _close_path(self):
        if self._path is not None:
            self._path.close_listener(_UPSTREAM_DOWN)

    def _report(self, upstream, first_report_s):
        host, port = self._settings["listen_addrs"]["control"].split(":")
        client = UpstreamClient(host, int(port))
        sequence = 0
        gevent.sleep(first_report_s)
        while True:
            if self.reporting:
                sequence += 1
                document = self._report_document(upstream, sequence)
                if self.report_delay_s:
                    late_client = UpstreamClient(host, int(port))
                    gevent.spawn_later(
                        self.report_delay_s,
                        self._send_report_and_close,
                        late_client,
                        upstream,
                        document,
                    )
                else:
                    is_acked = self._send_report(client, upstream.instance, document)
                    if is_acked and document["state"] == "draining":
                        self._record_drain(upstream)
            gevent.sleep(_REPORT_INTERVAL_S)

    def _record_drain(self, upstream):
        if all(upstream is not drained for drained, _ in self.drains):
            self.drains.append((upstream, time.monotonic()))

    def send_foreign_report(self, instance, missing, ahead_ms):
        """Sends the runner a report of another program.

        Args:
            instance: Identifier that it names.
            missing: Field that it lacks.
            ahead_ms: Time by which its start is later than the upstream's,
                milliseconds.
        """
        document = self._report_document(self.current, 1_000_000)
        document["born"] += ahead_ms
        del document[missing]
        host, port = self._settings["listen_addrs"]["control"].split(":")
        client = UpstreamClient(host, int(port))
        self._send_report(client, instance, document)
        client.close()

    def _report_document(self, upstream, sequence):
        return {
            "service": "dispatch",
            "address": self._settings["app"],
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "cold_left_ms": 0,
            "state": "draining" if self.draining else "ready",
            "capacity": {"cpu": 1000 * self.cores, "mem_mb": 4096, "gpus": 0},
            "labels": ["a", "r1-1"],
            "seq_no": sequence,
            "born": upstream.born_ms,
        }

    def _send_report_and_close(self, client, upstream, document):
        self._send_report(client, upstream.instance, document)
        client.close()

    def _send_report(self, client, instance, document):
        """Sends a report and returns whether it was acknowledged."""
        path = f"/papayaward/instances/{instance}"
        try:
            status, _ = client.request("PUT", path, json.dumps(document).encode(), {})
        except (NotSent, UpstreamConnectionLost):
            # The runner is unreachable; the next report follows after the interval.
            return False
        return status == 200


class PlatformFleet:
    """Entries and runners as processes; store, upstreams and proxies in this process.

    Args:
        folder: Folder for settings and logs.
        proxied: Whether runners connect to entries and to their upstreams, and both
            roles to the store, through fault-injecting proxies.
        limits: Limits of the VM of each process, as the platform names them.

    Attributes:
        folder: `Path` of the folder.
        store: `PlatformStoreStandIn`.
        processes: Running process by name.
        upstreams: Upstream of each runner by the runner's name.
        link_proxies: `TcpProxy` in front of the link port of each entry by name.
        upstream_proxies: `TcpProxy` in front of the upstream of each runner by the
            runner's name.
        store_proxy: `TcpProxy` in front of the store, or None.
    """

    def __init__(self, folder, proxied=False, limits=None):
        self.folder = Path(folder)
        self._limits = limits or {}
        self._proxied = proxied
        self._logs = []
        self.settings = {}
        self.processes = {}
        self.upstreams = {}
        self.link_proxies = {}
        self.upstream_proxies = {}
        self._upstream_addresses = {}
        address = (HOST, free_port())
        self.store = PlatformStoreStandIn(address)
        self.store_proxy = TcpProxy(address) if proxied else None
        self._store_address = self.store_proxy.address if proxied else address
        self._route = {
            "name": "q",
            "host": "q.example",
            "prefix": PREFIX,
            "service": "dispatch",
            "attempts": 2,
            "stretch": 1.6,
            "target_duration_ms": 60,
            "priority": 1,
        }
        self._urgent_route = {
            **self._route,
            "name": "urgent",
            "prefix": URGENT_PREFIX,
            "priority": 0,
        }
        self.configure(1)

    def configure(self, version, **changes):
        """Writes a version of the configuration.

        Args:
            version: Version.
            changes: Fields of the first queue; the urgent one stays as it is.
        """
        routes = [{**self._route, **changes}, self._urgent_route]
        document = {"version": version, "routes": routes}
        self.store.put("op/config", document)

    def start(self, name, role, domain="a"):
        """Starts a process; its ports are selected at the first start."""
        if name not in self.settings:
            self.settings[name] = self._make_settings(name, role, domain)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        log = open(self.folder / f"{name}.log", "ab")
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "platform", role],
            cwd=_ROOT,
            stdout=log,
            stderr=log,
            env={"PAPAYAWARD_SETTINGS": str(path), "PATH": os.environ["PATH"]},
        )

    def start_upstream(self, name, cores=4, clock_rate=1.0):
        """Starts the upstream of a runner, with a clock of a relative speed."""
        settings = self.settings[name]
        upstream = _RestartableUpstream(
            name,
            settings,
            settings["zone"],
            cores,
            self._upstream_addresses[name],
            self.upstream_proxies.get(name),
        )
        upstream.clock_rate = clock_rate
        self.upstreams[name] = upstream
        upstream.start()
        return upstream

    def kill(self, name):
        """Kills a process and waits until it has exited.

        Other greenlets run meanwhile. On a busy machine a killed process can take more
        than a second to exit, and the stand-ins and callers share this process.
        """
        process = self.processes[name]
        process.kill()
        while process.poll() is None:
            gevent.sleep(_EXIT_POLL_S)

    def stop(self):
        """Stops everything that this fleet started."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for upstream in self.upstreams.values():
            upstream.crash()
        proxies = [*self.link_proxies.values(), *self.upstream_proxies.values()]
        for proxy in [*proxies, self.store_proxy]:
            if proxy is not None:
                proxy.close()
        self.store.stop()
        for log in self._logs:
            log.close()

    def wait_ready(self, entry):
        """Waits until an entry completes a job; returns whether it did in time."""
        until = time.monotonic() + _READY_TIMEOUT_S
        while self.submit("00000000000000ff", 1, entry)[0] != 200:
            if time.monotonic() > until:
                return False
            gevent.sleep(0.05)
        return True

    def log(self, name):
        """Returns the output of a process."""
        return (self.folder / f"{name}.log").read_text()

    def events(self, name, event):
        """Returns the log lines of a process with an event, as documents."""
        lines = (json.loads(line) for line in self.log(name).splitlines())
        return [line for line in lines if line.get("event") == event]

    def call(self, method, path, body=b"", entry="e1", deadline_ms=3000):
        """Sends a request as a caller.

        Returns:
            tuple: Status (None if the connection failed) and body.
        """
        host, port = self.settings[entry]["listen_addrs"]["front"].split(":")
        client = UpstreamClient(host, int(port))
        headers = {"Deadline": deadline_ms, "Request-Id": "r-1", "Host": "q.example"}
        try:
            return client.request(method, path, body, headers)
        except (NotSent, UpstreamConnectionLost) as error:
            return None, str(error)
        finally:
            client.close()

    def submit(
        self,
        job_id,
        spec,
        entry="e1",
        tasks=1,
        estimate_ms=100,
        prefix=PREFIX,
        **options,
    ):
        """Submits a job of one phase whose tasks take one core each.

        Args:
            job_id: Identifier of the job.
            spec: Specification of the job, as `LeasedUpstream` takes it.
            entry: Name of the entry.
            tasks: Number of tasks.
            estimate_ms: Declared run time, milliseconds.
            prefix: Prefix of the queue's path.
            options: Further arguments of `call`.
        """
        body = {
            "spec": str(spec),
            "best_effort": True,
            "phases": [{"count": tasks, "cpu": 1000, "est_runtime_ms": estimate_ms}],
        }
        content = json.dumps(body).encode()
        return self.call("POST", prefix + job_id, content, entry, **options)

    def _make_settings(self, name, role, domain):
        addresses = {"control": f"{HOST}:{free_port()}"}
        if role == "entry":
            addresses["front"] = f"{HOST}:{free_port()}"
            addresses["ready"] = f"{HOST}:{free_port()}"
        link = free_port()
        if role == "entry" and self._proxied:
            proxy = self.link_proxies[name] = TcpProxy((HOST, link))
            self.store.address_map[f"{HOST}:{link}"] = "%s:%d" % proxy.address
        app = self._upstream_addresses[name] = (HOST, free_port())
        if role == "runner" and self._proxied:
            # A port of its own, which nobody else takes while the listener is closed.
            proxy = TcpProxy(app, listen=(HOST, free_port()))
            proxy.close_listener(_UPSTREAM_DOWN)
            self.upstream_proxies[name] = proxy
            app = proxy.address
        return {
            "node_name": name,
            "ip": HOST,
            "zone": domain,
            "region": "r",
            "port_range": [link, link + 10],
            "listen_addrs": addresses,
            "seeds": [],
            "service": "dispatch" if role == "runner" else None,
            "app": "%s:%d" % app,
            "bounds": {"grace_s": 3},
            "limits": self._limits,
            "platform": {"address": "%s:%d" % self._store_address},
        }
