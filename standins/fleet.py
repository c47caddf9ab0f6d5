"""
standins.fleet
~~~~~~~~~~~~~~

Starts a small fleet of real processes for tests, benchmarks and the demo.
"""

import fcntl
import json
import os
import random
import shutil
import signal
import socket as plain_socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from .proxy import TcpProxy

__all__ = ["Fleet", "HttpReply", "call", "free_port", "process_cpu_s"]

_ROOT = Path(__file__).resolve().parent.parent
_READY_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class HttpReply:
    """Reply to `call`."""

    status: int
    body: bytes
    headers: dict = field(default_factory=dict)

    @property
    def json(self):
        """The body as a JSON document."""
        return json.loads(self.body)


def call(address, method, path, document=None, timeout_s=30.0, headers=None):
    """Sends one HTTP request on a new connection.

    Args:
        address: `host:port`.
        method: Method.
        path: Path with query.
        document: JSON document, or bytes that are sent as they are.
        timeout_s: Maximum time without data from the server, in seconds.
        headers: Headers by name.

    Returns:
        HttpReply: The reply.
    """
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host, int(port), connection_timeout=5.0, network_timeout=timeout_s
    )
    body = document if isinstance(document, bytes) else json.dumps(document or {})
    try:
        response = client.request(method, path, body=body, headers=headers or {})
        content = bytes(response.read())
        return HttpReply(response.status_code, content, dict(response.items()))
    except HTTPParseError as error:
        # Raised by the library when the connection closes within a reply.
        raise ConnectionError(str(error)) from error
    finally:
        client.close()


# Below the kernel's ephemeral port range, so that no outgoing connection takes a
# port between its selection and the start of its process.
_PORTS = range(10_000, 32_000)
_port_locks = []


def free_port():
    """Returns a free TCP port of the loopback address.

    The port stays reserved until this process exits: several test processes select
    ports concurrently, and each holds a lock file for each of its ports.
    """
    directory = Path(tempfile.gettempdir()) / "papayaward-ports"
    directory.mkdir(exist_ok=True)
    while True:
        port = random.choice(_PORTS)
        lock = open(directory / str(port), "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with plain_socket.socket() as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        _port_locks.append(lock)
        return port


class Fleet:
    """Processes of one fleet, with their ports and logs in a scratch directory.

    Args:
        config: Configuration as a document.
        entries: Number of entries.
        runners: List of dicts with `domain` and optionally `slots`, `speed`,
            `service`, `declared`, `name`, `region`.
        settings: Settings added to each process of a role, by role.
        link_address: Function that takes an entry's name, its link address and a
            runner's name, and returns the address at which this runner connects to
            the entry, for instance that of a proxy.
        proxied: Whether every link between two processes goes through a `TcpProxy`
            of this process: `proxies["r1>e1"]` is the link from a runner to an
            entry, `proxies[">r1"]` are the links of other runners to a runner.
        store_proxies: Whether each entry reaches the store through a `TcpProxy`,
            `proxies["e1>store"]`.
    """

    def __init__(
        self,
        config,
        entries=2,
        runners=(),
        settings=None,
        link_address=None,
        proxied=False,
        store_proxies=False,
    ):
        self.directory = Path(tempfile.mkdtemp(prefix="papayaward-"))
        self.processes = {}
        self.entry_http = {}
        self.entry_link = {}
        self.runner_http = {}
        self.runner_link = {}
        self.upstream_http = {}
        self.proxies = {}
        self._proxied = proxied
        self._store_proxies = store_proxies
        self._config = config
        self._settings = settings or {}
        self._link_address = link_address or (lambda entry, address, runner: address)
        self._entries = [f"e{index + 1}" for index in range(entries)]
        self._runners = {
            runner.get("name", f"r{index + 1}"): runner
            for index, runner in enumerate(runners)
        }
        self.store = f"127.0.0.1:{free_port()}"

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        """Starts every process and waits until the fleet is ready."""
        self.spawn("store", "standins.store", "--port", self.store.split(":")[1])
        for name in self._entries:
            self.entry_link[name] = f"127.0.0.1:{free_port()}"
            self.entry_http[name] = f"127.0.0.1:{free_port()}"
            self.start_entry(name)
        for name in self._runners:
            self.runner_link[name] = f"127.0.0.1:{free_port()}"
            self.runner_http[name] = f"127.0.0.1:{free_port()}"
            self.upstream_http[name] = f"127.0.0.1:{free_port()}"
            self.start_runner(name)
            self.start_upstream(name)
        self.wait_until(self._store_answers)
        if self._config is not None:
            self.wait_until(lambda: self.apply(self._config, 0)[0] == 200)
            self.wait_ready(len(self._runners))

    def start_entry(self, name):
        """Starts an entry."""
        store = self.store
        if self._store_proxies:
            store = self._through_proxy(f"{name}>store", store)
        self._start_daemon(
            name,
            "entry",
            domain="entry",
            listen=self.entry_link[name],
            http=self.entry_http[name],
            store=[store],
        )

    def start_extra_entry(self, name, **values):
        """Starts an entry that no runner connects to, with its own settings."""
        listen = f"127.0.0.1:{free_port()}"
        values = {"listen": listen, "store": [self.store], **values}
        self._start_daemon(name, "entry", domain="entry", **values)

    def start_runner(self, name):
        """Starts a runner."""
        runner = self._runners[name]
        values = dict(runner.get("settings", {}))
        if self._proxied:
            link = self.runner_link[name]
            values["advertise"] = self._through_proxy(f">{name}", link)
        self._start_daemon(
            name,
            "runner",
            domain=runner["domain"],
            region=runner.get("region", "default"),
            service=runner.get("service", "dispatch"),
            listen=self.runner_link[name],
            http=self.runner_http[name],
            entries=[self._entry_address(entry, name) for entry in self._entries],
            **values,
        )

    def start_upstream(self, name):
        """Starts the upstream of a runner."""
        runner = self._runners[name]
        arguments = [
            *("--name", name, "--runner", self.runner_http[name]),
            *("--port", self.upstream_http[name].split(":")[1]),
            *("--domain", runner["domain"]),
            *("--service", runner.get("service", "dispatch")),
            *("--slots", str(runner.get("slots", 8))),
            *("--speed", str(runner.get("speed", 1.0))),
        ]
        if "declared" in runner:
            arguments += ["--declared", str(runner["declared"])]
        self.spawn(f"u-{name}", "standins.upstream", *arguments)

    def spawn(self, name, module, *arguments):
        """Starts a Python module as a process with its log in the directory."""
        with open(self.directory / f"{name}.log", "ab") as stream:
            # Separates the output of successive processes in the same log.
            stream.write(b'{"event": "process_spawned"}\n')
            stream.flush()
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=_ROOT,
                stdout=stream,
                stderr=stream,
                stdin=subprocess.DEVNULL,
            )

    def stop(self):
        """Kills every process that this fleet started and removes the directory."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for proxy in self.proxies.values():
            proxy.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def signal(self, name, number):
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kills a process and waits until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait()

    def log(self, name):
        """Returns the log of a process as text."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def log_events(self, event):
        """Returns the log lines of all processes with an event, parsed."""
        found = []
        for path in self.directory.glob("*.log"):
            for line in path.read_text(errors="replace").splitlines():
                if f'"{event}"' in line and line.startswith("{"):
                    document = json.loads(line)
                    if document.get("event") == event:
                        found.append(document)
        return found

    @property
    def config(self):
        """The configuration that the fleet started with, as a document."""
        return self._config

    def entry(self, index=0):
        """Returns the HTTP address of an entry."""
        return self.entry_http[self._entries[index]]

    def apply(self, config, expected_version, index=0, wait_ms=5000):
        """Applies a configuration and returns the status and the reply."""
        document = {
            "text": json.dumps(config),
            "expected_version": expected_version,
            "author": "fleet",
            "wait_ms": wait_ms,
        }
        reply = call(self.entry(index), "POST", "/admin/config", document)
        return reply.status, reply.json

    def version(self, index=0):
        """Returns the configuration version in force at an entry."""
        return self.status(index)["config_version"]

    def coordinator(self, index=0):
        """Returns the name of the runner that coordinates new jobs of an entry."""
        return self.new_ids(1, index)[0].split("-")[1]

    def status(self, index=0):
        """Returns an entry's status."""
        return call(self.entry(index), "GET", "/admin/status").json

    def set_domains_out(self, domains, index=0):
        """Takes exactly the given domains out of service.

        Returns:
            tuple: Status and reply.
        """
        config = {**self._config, "domains_out": list(domains)}
        return self.apply(config, self.version(index), index)

    def submit(self, tasks, index=0, job_id=None, timeout_s=60.0, **fields):
        """Submits a job of the given tasks and returns the `HttpReply`."""
        document = {"service": "dispatch", "tenant": "t1", "class": "c1", **fields}
        document["tasks"] = tasks
        if job_id is None:
            return call(self.entry(index), "POST", "/v1/jobs", document, timeout_s)
        path = f"/v1/jobs/{job_id}"
        return call(self.entry(index), "PUT", path, document, timeout_s)

    def new_ids(self, count, index=0, service="dispatch"):
        """Returns new job identifiers."""
        document = {"count": count, "service": service}
        return call(self.entry(index), "POST", "/v1/ids", document).json["ids"]

    def records(self, name=None):
        """Returns the start records of one upstream or of all."""
        names = [name] if name else list(self.upstream_http)
        records = []
        for upstream in names:
            if self.processes[f"u-{upstream}"].poll() is None:
                reply = call(self.upstream_http[upstream], "GET", "/records")
                records += reply.json["records"]
        return records

    def control_upstream(self, name, **fields):
        """Sets the fault injected by an upstream and returns its state."""
        return call(self.upstream_http[name], "POST", "/control", fields).json

    def control_store(self, **fields):
        """Sets the fault injected by the store and returns its counters."""
        return call(self.store, "POST", "/control", fields).json

    def wait_ready(self, runners, timeout_s=_READY_TIMEOUT_S):
        """Waits until every entry sees the given number of ready runners."""

        def ready():
            return all(
                sum(m["ready"] for m in self.status(index)["members"]) >= runners
                for index in range(len(self._entries))
            )

        self.wait_until(ready, timeout_s)

    def wait_until(self, condition, timeout_s=_READY_TIMEOUT_S):
        """Waits until a condition holds; connection errors count as false."""
        deadline = time.monotonic() + timeout_s
        while True:
            try:
                if condition():
                    return
            except (OSError, ValueError):
                pass
            if time.monotonic() >= deadline:
                raise TimeoutError("the fleet did not reach the expected state")
            gevent.sleep(0.05)

    def _entry_address(self, entry, runner):
        address = self._link_address(entry, self.entry_link[entry], runner)
        if self._proxied:
            return self._through_proxy(f"{runner}>{entry}", address)
        return address

    def _through_proxy(self, name, address):
        if name not in self.proxies:
            host, _, port = address.rpartition(":")
            self.proxies[name] = TcpProxy((host, int(port)))
        host, port = self.proxies[name].address
        return f"{host}:{port}"

    def _store_answers(self):
        return call(self.store, "POST", "/control").status == 200

    def _start_daemon(self, name, role, **values):
        document = {"role": role, "member": name, **values}
        document.update(self._settings.get(role, {}))
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(document))
        self.spawn(name, "papayaward", "--settings", str(path))


def process_cpu_s(pid):
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
