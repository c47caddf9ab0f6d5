"""Small deployment for the scripts of the second review.

The entry and runner processes are started with the commands of the deploy file. The
platform's store, the servers that run tasks and the clients are stand-ins in this
process. They use the standard library only and follow PROTOCOL.md. Each machine
has a loopback address of its own, so that the ports are the same on all machines.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 1000
KILL_S = 0.02
# Exit code of a script that broke the rule, for `run.sh`.
BROKEN_EXIT = 10
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_ms": 250,
    "max_stretch_ms": 5000,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": MAX_HOLD_MS,
    "kill_grace_ms": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "retry_delay_ms": 1300,
    "fencing_required": False,
}


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes the events to `record.txt`, with the seconds since the start."""

    def __init__(self, folder):
        self._started = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    @property
    def now(self):
        return time.monotonic() - self._started

    def __call__(self, text):
        self._file.write(f"{self.now:8.3f}  {text}\n")
        self._file.flush()
        return self.now


async def serve_http(handler, host, port):
    """Serves `handler(method, path, headers, body)`, which returns a status and a body.

    A status of None closes the connection without a response.
    """

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, reply = await handler(method, path, headers, body)
                if status is None:
                    return
                content = b"" if reply is None else json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port)


async def http(address, method, path, body=None, headers=(), timeout_s=5.0):
    """Sends one request on a new connection.

    Returns the status and the decoded body; None and the reason if there was no answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            content = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(content)}"]
            lines += [f"{name}: {value}" for name, value in dict(headers).items()]
            if not any(name.lower() == "host" for name in dict(headers)):
                lines.append("Host: %s:%d" % address)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.strip().lower() == b"content-length":
                    length = int(value)
            reply = await reader.readexactly(length)
            try:
                return status, json.loads(reply) if reply else None
            except ValueError:
                return status, None
    except TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, f"{type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self._record = record
        self.revision = 100
        self._items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = (
            self._items[key]["created_rev"] if key in self._items else self.revision
        )
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created_rev": created,
            "lease_id": lease,
        }
        self._items[key] = item
        self._history.append((self.revision, item))
        self._changed.set()
        self._changed = asyncio.Event()

    def delete(self, key):
        if key in self._items:
            self.revision += 1
            del self._items[key]
            row = {"key": key, "rev": self.revision, "compacted": True}
            self._history.append((self.revision, row))
            self._changed.set()
            self._changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, until) in list(self._leases.items()):
                if time.monotonic() > until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self._items.items() if i["lease_id"] == lease]:
            self.delete(key)
        return True

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = url.path.removeprefix("/papayaward/")
        document = json.loads(body) if body else {}
        if name == "kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"at_rev": self.revision}
            return 200, {**item, "at_rev": self.revision}
        if name == "kv-range":
            items = [
                self._items[k]
                for k in sorted(self._items)
                if k.startswith(query["prefix"])
            ]
            after = query.get("after", "")
            items = [item for item in items if item["key"] > after]
            more = len(items) > 500
            return 200, {
                "items": items[:500],
                "has_more": more,
                "at_rev": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-lease":
            self._next_lease += 1
            ttl_s = document["ttl_ms"] / 1000
            self._leases[self._next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease_id": self._next_lease, "ttl_ms": document["ttl_ms"]}
        if name.startswith("kv-keep/"):
            lease = int(name.partition("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if name.startswith("kv-lease-end/"):
            ended = self._end_lease(int(name.partition("/")[2]))
            return (200 if ended else 404), {}
        if name == "kv-txn":
            return self._txn(document)
        return 404, {}

    async def _watch(self, query):
        after, until = (
            int(query["after"]),
            time.monotonic() + int(query["wait_ms"]) / 1000,
        )
        while True:
            changed = self._changed
            events = [
                row
                for rev, row in self._history
                if rev > after and row["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass

    def _txn(self, document):
        for row in document.get("expect", ()):
            item = self._items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                keys = [r["key"] for r in document["expect"]]
                return 412, {
                    "items": [self._items[k] for k in keys if k in self._items]
                }
        for write in document.get("writes", ()):
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
            if write.get("lease_id") and write["lease_id"] not in self._leases:
                return 404, {}
        for write in document.get("writes", ()):
            self.put(
                write["key"], base64.b64decode(write["value"]), write.get("lease_id", 0)
            )
        for key in document.get("deletes", ()):
            self.delete(key)
        return 200, {"rev": self.revision}


class Run:
    """One run of a task on a server."""

    def __init__(self, server, task, run, now):
        self.server, self.task, self.run = server, task, run
        self.began, self.ended, self.how = now, None, ""
        self.timer = None
        self.work_s = 0.0


class Server:
    """A runner of the platform: the application beside a `side` machine.

    Attributes:
        runs: Every `Run` of every lifetime.
        answer_start: Function that takes the body of a run-start and returns `ok`,
            `lost` (no response, nothing is done) or `busy` (503, nothing is done).
    """

    def __init__(self, fleet, machine, cpu=16000):
        self.fleet, self.record, self.machine = fleet, fleet.record, machine
        self.cpu = cpu
        self.runs = []
        self.state = "ready"
        self.answer_start = lambda body: "ok"
        self.born = None
        self.acked_draining_at = None
        self._server = None
        self._reporter = None

    @property
    def clock_ms(self):
        return 480_000 + int((time.monotonic() - self._born_at) * 1000)

    async def begin(self, instance=None):
        """Starts a lifetime."""
        self.instance = instance or "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self._born_at = time.monotonic()
        self.state = "ready"
        self.acked_draining_at = None
        self._seq, self._token, self._deadline_ms, self._ends = 0, 0, 0, []
        self._end_number = 0
        self._last, self.running = {}, {}
        self._ended = asyncio.Event()
        self._gone = False
        self._server = await serve_http(
            self._handle, self.machine.ip, self.machine.app_port
        )
        self._reporter = asyncio.create_task(self._report_always())
        self._lease_task = asyncio.create_task(self._enforce_lease())
        self.record(f"server {self.instance} begins beside {self.machine.name}")

    async def _report_always(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def document(self):
        self._seq += 1
        return {
            "service": SERVICE,
            "address": "%s:%d" % (self.machine.ip, self.machine.app_port),
            "zone": self.machine.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpus": 0},
            "labels": ["a", "r1-1"],
            "clock_ms": self.clock_ms,
            "seq_no": self._seq,
            "born": self.born,
        }

    async def report(self):
        document = self.document()
        status, _ = await http(
            self.machine.control,
            "PUT",
            f"/papayaward/instances/{self.instance}",
            document,
            timeout_s=1.0,
        )
        if (
            status is not None
            and 200 <= status < 300
            and document["state"] == "draining"
        ):
            if self.acked_draining_at is None:
                self.acked_draining_at = self.record(
                    f"{self.instance}: draining acknowledged"
                )
        return status

    async def drain(self):
        """Reports `draining` until it is acknowledged."""
        self.state = "draining"
        self.record(f"{self.instance}: reports draining")
        while self.acked_draining_at is None:
            await self.report()
            await asyncio.sleep(0.2)

    async def leave(self):
        """Deregisters and ends, with all that runs on it."""
        path = f"/papayaward/instances/{self.instance}"
        self._reporter.cancel()
        status, _ = await http(self.machine.control, "DELETE", path, timeout_s=1.0)
        self.record(f"{self.instance}: leaves ({status})")
        self._gone = True
        self._server.close()
        self._lease_task.cancel()
        for run in list(self.running.values()):
            run.timer.cancel()
            run.ended, run.how = self.record.now, "terminated"
            self.record(
                f"{self.instance}: task {run.task} run {run.run} is lost with it"
            )
        self.running.clear()
        self._ended.set()

    async def _enforce_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock_ms >= self._deadline_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        if self.running.pop((run.task, run.run), None) is None:
            return
        run.ended, run.how = self.record.now, how
        if run.timer:
            run.timer.cancel()
        self._last[run.task] = max(run.run, self._last.get(run.task, 0))
        self._end_number += 1
        self._ends.append([self._end_number, run.task, run.run, how, ""])
        self.record(f"{self.instance}: task {run.task} run {run.run} ended {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    def _reply(self, **fields):
        return {"clock_ms": self.clock_ms, "born": self.born, **fields}

    async def _handle(self, method, path, headers, body):
        if self._gone:
            return None, None
        if headers.get("expect-instance", self.instance) != self.instance:
            return 421, self._reply()
        name = path.removeprefix("/papayaward/")
        document = json.loads(body) if body else {}
        if name == "run-start":
            return await self._start(document)
        if document.get("fencing_token", 0) < self._token:
            return 409, self._reply(reason="fence")
        self._token = document.get("fencing_token", 0)
        if name == "run-stop":
            task, run = document["task"], document["run_id"]
            self.record(f"{self.instance}: told to stop {task} run {run}")
            self._last[task] = max(run, self._last.get(task, 0))
            found = self.running.get((task, run))
            if found:
                asyncio.get_running_loop().call_later(
                    KILL_S, self._end, found, "stopped"
                )
            return 200, self._reply()
        if name == "hold":
            return await self._hold(document)
        return 404, {}

    def _extend(self, deadline_ms):
        latest = self.clock_ms + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    async def _hold(self, document):
        if "deadline_ms" in document:
            self._extend(document["deadline_ms"])
        self._ends = [end for end in self._ends if end[0] > document["last_seen"]]
        wait_s = min(document.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self._ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.run, "", self._percent(run), 1000]
            for run in self.running.values()
        ]
        return 200, self._reply(running=running, ended=self._ends[:500])

    def _percent(self, run):
        return min(99, int(100 * (self.record.now - run.began) / run.work_s))

    async def _start(self, document):
        task, number = document["task"], document["run_id"]
        answer = self.answer_start(document)
        self.record(f"{self.instance}: order to start {task} run {number}: {answer}")
        if answer == "lost":
            await asyncio.sleep(30)
            return None, None
        if answer == "busy":
            return 503, self._reply()
        if document.get("fencing_token", 0) < self._token:
            return 409, self._reply(reason="fence")
        self._token = document["fencing_token"]
        if document["deadline_ms"] <= self.clock_ms:
            return 409, self._reply(reason="late")
        self._extend(document["deadline_ms"])
        if (task, number) in self.running:
            return 200, self._reply()
        if number <= self._last.get(task, 0):
            return 409, self._reply(reason="old")
        run = Run(self, task, number, self.record.now)
        self.runs.append(run)
        self.running[task, number] = run
        work_s = run.work_s = int(document["spec"]) / 1000
        self.record(f"{self.instance}: task {task} run {number} begins")
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(work_s, self._end, run, "done")
        return 200, self._reply()


class Machine:
    """A machine of the platform with one process of the system."""

    def __init__(self, fleet, name, role, zone, ip):
        self.fleet, self.name, self.role, self.zone, self.ip = (
            fleet,
            name,
            role,
            zone,
            ip,
        )
        self.app_port = 8165
        self.control = (ip, 8166)
        self.front = (ip, 8161)
        self.process = None
        self.server = None

    def settings(self):
        listen = {"control": "%s:%d" % self.control}
        if self.role == "entry":
            listen["front"] = "%s:%d" % self.front
            listen["ready"] = f"{self.ip}:8167"
        document = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "front" if self.role == "entry" else "side",
            "serves": ["front", "control"] if self.role == "entry" else ["side"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "bayern-sued",
            "zones": {"rosenheim": "bayern-sued", "weilheim": "bayern-sued"},
            "listen_addrs": listen,
            "port_range": [7720, 7735],
            "seeds": self.fleet.seeds,
            "bootstrap": True,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "control_mode": "rpc",
            "platform": {
                "address": "%s:%d" % self.fleet.store_address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        if self.role == "runner":
            document["app"] = f"{self.ip}:{self.app_port}"
            document["service"] = SERVICE
        return document

    async def start(self):
        """Starts the process with the command of the deploy file."""
        folder = self.fleet.folder
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = open(folder / f"{self.name}.log", "ab")
        variables = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "platform",
            self.role,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **variables,
                "PAPAYAWARD_SETTINGS": str(path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
        )
        log.close()
        self.fleet.record(f"process {self.name} started")

    def signal(self, number):
        self.fleet.record(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.fleet.record(f"SIGKILL to {self.name}")
            self.process.kill()
            await self.process.wait()


class Fleet:
    """The machines, the store and the servers of one case."""

    def __init__(self, folder, entries=2, runners=2, cpu=16000):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store_address = (f"{self._net}.200", 8169)
        self.store = Store(self.record)
        zones = ("rosenheim", "weilheim")
        self.entries = [
            Machine(
                self,
                f"front-{zones[i % 2]}-{i // 2 + 1}",
                "entry",
                zones[i % 2],
                f"{self._net}.{10 + i}",
            )
            for i in range(entries)
        ]
        self.runners = [
            Machine(
                self,
                f"side-{zones[i % 2]}-{i // 2 + 1}",
                "runner",
                zones[i % 2],
                f"{self._net}.{50 + i}",
            )
            for i in range(runners)
        ]
        self.machines = [*self.entries, *self.runners]
        self.seeds = ["%s:%d" % entry.control for entry in self.entries[:3]]
        for machine in self.runners:
            machine.server = Server(self, machine, cpu)
        self.tasks = []

    @property
    def servers(self):
        return [machine.server for machine in self.runners]

    def configure(self, version, **changes):
        """Writes a configuration as the operator does."""
        route = {
            "name": "r-wrr6x73",
            "host": HOST_NAME,
            "prefix": PREFIX,
            "route_type": "unsafe",
            "timeout_ms": 1500,
            "target_duration_ms": 60,
            "priority": 0,
            "service": SERVICE,
            "attempts": 4,
            "stretch": 1.6,
            **changes,
        }
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "enforces_capacity": False,
            "standby": False,
        }
        document = {"version": version, "routes": [route], "services": [service]}
        self.store.put("op/config", json.dumps(document).encode())
        self.record(f"configuration {version} acknowledged")

    async def begin(self):
        """Starts everything and waits until a job is done."""
        await serve_http(self.store.handle, *self.store_address)
        self.tasks.append(asyncio.create_task(self.store.expire()))
        self.configure(7)
        for machine in self.machines:
            await machine.start()
        for server in self.servers:
            await server.begin()
        await self.wait_served()

    async def wait_served(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        for entry in self.entries:
            while True:
                status, _ = await self.submit(entry, new_id(), 20)
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} serves no job")
                await asyncio.sleep(0.2)

    async def submit(
        self, entry, job_id, work_ms, count=1, cpu=1600, wait_s=5.0, est_ms=None
    ):
        """Submits a best-effort job as a client and returns the status and the body."""
        body = {
            "spec": str(work_ms),
            "best_effort": True,
            "phases": [
                {
                    "count": count,
                    "cpu": cpu,
                    "mem_mb": 64,
                    "est_runtime_ms": est_ms or work_ms,
                }
            ],
        }
        self.record(
            f"client sends job {job_id} to {entry.name} ({count} x {work_ms} ms)"
        )
        headers = {
            "Host": HOST_NAME,
            "Content-Type": "application/json",
            "Deadline": int(wait_s * 1000),
        }
        status, reply = await http(
            entry.front, "POST", PREFIX + job_id, body, headers, timeout_s=wait_s
        )
        self.record(f"client gets for job {job_id} from {entry.name}: {status} {reply}")
        return status, reply

    async def cancel(self, entry, job_id):
        """Cancels a job as a client."""
        self.record(f"client sends DELETE of job {job_id} to {entry.name}")
        status, reply = await http(
            entry.front, "DELETE", PREFIX + job_id, None, {"Host": HOST_NAME}
        )
        self.record(
            f"client gets for DELETE of {job_id} from {entry.name}: {status} {reply}"
        )
        return status

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            await machine.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    """Returns an identifier as a client chooses it."""
    return "%016x" % random.getrandbits(64)


def play(folder, case, **options):
    """Plays a case; exits with 1 if it broke the rule, 0 if not, 2 if it can't run.

    Args:
        folder: Folder for `record.txt`.
        case: Coroutine function that takes the `Fleet` and returns a list of what
            broke the rule.
        options: Arguments of `Fleet`.
    """

    async def run():
        fleet = Fleet(folder, **options)
        try:
            async with asyncio.timeout(115):
                await fleet.begin()
                found = await case(fleet)
            for text in found:
                fleet.record(f"BROKEN: {text}")
            fleet.record("verdict: " + ("broken" if found else "held"))
            return 1 if found else 0
        except (CannotRun, OSError, TimeoutError) as error:
            fleet.record(f"verdict: could not run: {error!r}")
            return 2
        finally:
            await fleet.end()

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    # Python itself ends with 1 after an exception, so that `run.sh` gets another code.
    sys.exit(BROKEN_EXIT if code == 1 else code)
