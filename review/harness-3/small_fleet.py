"""Starts the deployed programs on loopback addresses, with the project's stand-ins.

The programs run as the deploy file says (`python3 platform entry|runner`, libraries in
target/deps). The store and the upstreams are the project's own stand-ins, in this
process.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(DEPS), str(ROOT)]

import gevent  # noqa: E402
from gevent import socket  # noqa: E402

from standins.platform_fleet import PlatformFleet  # noqa: E402

HOST = "127.0.0.1"
_CANNOT_RUN = 2


def _on_terminate(number, frame):
    # Raised in the case, which then ends all processes that it has started.
    raise SystemExit(_CANNOT_RUN)


signal.signal(signal.SIGTERM, _on_terminate)


class SmallFleet(PlatformFleet):
    """`PlatformFleet` whose programs are started as in the deployment."""

    def __init__(self, folder, **options):
        super().__init__(folder, **options)
        self.limits_by_role = {
            "entry": {"memory_mb": 300, "max_fds": 4100, "cores": 2},
            "runner": {"memory_mb": 168, "max_fds": 4096, "cores": 1},
        }

    def start(self, name, role, domain="a"):
        """Starts a process with the command of the deploy file."""
        if name not in self.settings:
            settings = self._make_settings(name, role, domain)
            settings["limits"] = self.limits_by_role[role]
            settings["bounds"] = {"grace_s": 6}
            self.settings[name] = settings
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        log = open(self.folder / f"{name}.log", "ab")
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            ["python3", "platform", role],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PAPAYAWARD_SETTINGS": str(path),
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(DEPS),
            },
        )

    def address(self, name, kind="front"):
        """Returns (host, port) of a listener of a process."""
        host, port = self.settings[name]["listen_addrs"][kind].split(":")
        return host, int(port)

    def rss_mb(self, name, field="VmRSS"):
        """Returns the resident memory of a process, MB; None if it has ended."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        return None

    def begin(self, entries, runners, cores=16, timeout_s=20.0):
        """Starts the fleet and waits until each entry has completed a job."""
        for number in range(entries):
            self.start(f"e{number + 1}", "entry")
        for number in range(runners):
            self.start(f"r{number + 1}", "runner")
            self.start_upstream(f"r{number + 1}", cores=cores)
        for number in range(entries):
            if not self.wait_ready(f"e{number + 1}"):
                return False
        gevent.sleep(1.0)
        return True


def http(address, method, path, body=None, headers=(), timeout_s=5.0):
    """Sends one HTTP request on a connection of its own.

    Returns:
        tuple: Status, None if there was no whole response in time, and the body.
    """
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Host: q.example"]
    lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + content
    try:
        with gevent.Timeout(timeout_s):
            sock = socket.create_connection(address)
            try:
                sock.sendall(data)
                return _read_response(sock)
            finally:
                sock.close()
    except gevent.Timeout:
        return None, f"no response within {timeout_s} s"
    except OSError as error:
        return None, str(error)


def _read_response(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return None, "closed without a response"
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    while len(rest) < length:
        part = sock.recv(65536)
        if not part:
            return None, "closed within the response"
        rest += part
    return status, rest.decode(errors="replace")


def job(tasks=1, spec="50", cpu=1000, estimate_ms=100, **phase):
    """Returns the body of a best-effort job of one step."""
    return {
        "spec": spec,
        "best_effort": True,
        "phases": [
            {"count": tasks, "cpu": cpu, "est_runtime_ms": estimate_ms, **phase}
        ],
    }


class Record:
    """Writes `record.txt` of a case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text):
        """Writes a line with the time since the start, seconds."""
        elapsed = time.monotonic() - self._started
        print(f"{elapsed:8.3f}  {text}", file=self._file, flush=True)
        print(f"{elapsed:8.3f}  {text}", flush=True)
