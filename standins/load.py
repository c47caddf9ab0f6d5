"""
standins.load
~~~~~~~~~~~~~

Open-loop load generator: submits jobs at the times of a trace and records answers.

Response times are measured from the time at which a job is due in the trace, so that
a slow server does not slow down the load; `lag_s` is the delay of this tool itself.
Jobs are submitted under identifiers, and a job whose connection failed is resubmitted
under the same identifier through the next entry.
"""

import argparse
import json
import random
import sys
import time
from collections import Counter, deque
from dataclasses import asdict, dataclass

import gevent
from gevent import socket
from gevent.pool import Pool
from geventhttpclient import HTTPClient

__all__ = [
    "Arrival",
    "Load",
    "evaluate_result",
    "main",
    "percentile",
    "poisson_arrivals",
    "write_trace",
]

_MAX_OPEN_JOBS = 4000
_ID_BATCH_SIZE = 32
_ID_REFILL_LEVEL = 16
_RESEND_DELAY_S = 0.05

# An entry whose connection failed gets no new jobs for this time, as behind a load
# balancer with health checks.
_ENTRY_BACKOFF_S = 2.0


@dataclass(frozen=True)
class Arrival:
    """One job of a trace.

    Attributes:
        number: Position in the trace.
        at_s: Time at which it is due, from the start of the load, in seconds.
        tenant: Name of the tenant.
        job_class: Name of the class.
        work_ms: Service time of each task on an upstream of speed 1, in
            milliseconds.
        deadline_ms: Deadline, in milliseconds.
    """

    number: int
    at_s: float
    tenant: str
    job_class: str
    work_ms: tuple
    deadline_ms: int = 30_000

    @property
    def echoes(self):
        """Expected echo of each result in a complete answer."""
        return [[self.number, index] for index in range(len(self.work_ms))]


class _IdPool:
    """Identifiers fetched in batches in advance, so that a job costs one request."""

    def __init__(self, request, service):
        self._request = request
        self._service = service
        self._free = deque()
        self._fetching = None

    def take(self):
        """Returns an identifier, or None when no entry issues one."""
        if len(self._free) < _ID_REFILL_LEVEL:
            if not self._fetching:
                self._fetching = gevent.spawn(self._fetch)
            if not self._free:
                self._fetching.join()
        return self._free.popleft() if self._free else None

    def drop(self, job_id):
        """Drops the identifiers that name the same coordinator as a given one."""
        coordinator = job_id.rpartition("-")[0]
        self._free = deque(i for i in self._free if i.rpartition("-")[0] != coordinator)

    def _fetch(self):
        document = {"count": _ID_BATCH_SIZE, "service": self._service}
        body = json.dumps(document).encode()
        try:
            for _ in range(20):
                status, content, _ = self._request("POST", "/v1/ids", body, 2.0)
                if status == 200:
                    self._free.extend(json.loads(content)["ids"])
                    return
                gevent.sleep(_RESEND_DELAY_S)
        finally:
            self._fetching = None


class Load:
    """Submits a trace to the entries of a fleet.

    Args:
        entries: HTTP addresses of the entries, `host:port`.
        service: Name of the service.
        answer_timeout_s: Maximum time from the due time of a job to its answer,
            in seconds; then the job is abandoned.
    """

    def __init__(self, entries, service="dispatch", answer_timeout_s=20.0):
        self._service = service
        self._answer_timeout_s = answer_timeout_s
        self._clients = [self._client(address) for address in entries]
        self._preferred_entry = 0
        self._backoff_until = [0.0] * len(entries)
        self._ids = _IdPool(self._request_any, service)
        self._results = []

    def run(self, arrivals, start_at=None):
        """Submits the jobs and returns one result for each job, as dicts.

        Args:
            arrivals: List of `Arrival`, in order of time.
            start_at: Wall-clock time of the start, in seconds; None for now.
        """
        start_at = time.time() if start_at is None else start_at
        # All waits use the monotonic clock, since the wall clock may be stepped.
        began = time.monotonic() + start_at - time.time()
        bodies = [self._body(arrival) for arrival in arrivals]
        pool = Pool(_MAX_OPEN_JOBS)
        self._ids.take()
        for arrival, body in zip(arrivals, bodies):
            delay = began + arrival.at_s - time.monotonic()
            # Yields even when late, so that other greenlets can read answers.
            gevent.sleep(max(0.0, delay))
            pool.spawn(self._submit, arrival, body, began, start_at)
        pool.join(timeout=self._answer_timeout_s + 1.0)
        return self._results

    def _body(self, arrival):
        tasks = [
            {"work_ms": work_ms, "echo": echo}
            for work_ms, echo in zip(arrival.work_ms, arrival.echoes)
        ]
        document = {
            "service": self._service,
            "tenant": arrival.tenant,
            "class": arrival.job_class,
            "deadline_ms": arrival.deadline_ms,
            "tasks": tasks,
        }
        return json.dumps(document).encode()

    def _submit(self, arrival, body, began, start_at):
        due = began + arrival.at_s
        result = {
            "number": arrival.number,
            "due": start_at + arrival.at_s,
            "lag_s": time.monotonic() - due,
            "job": None,
            "sent": 0,
            "status": None,
            "body": b"",
            "answered": None,
        }
        self._results.append(result)
        job_id = self._ids.take()
        result["job"] = job_id
        if job_id is None:
            return
        index = arrival.number % len(self._clients)
        if self._backoff_until[index] > time.monotonic():
            index = (index + 1) % len(self._clients)
        while time.monotonic() - due < self._answer_timeout_s:
            result["sent"] += 1
            remaining = due + self._answer_timeout_s - time.monotonic()
            status, content = self._request(
                index, "PUT", f"/v1/jobs/{job_id}", body, remaining
            )
            if status is not None:
                now = time.monotonic()
                result.update(status=status, body=content)
                result.update(answered=start_at + now - began)
                result["response_s"] = now - due
                if b"home_gone" in content[:1000]:
                    self._ids.drop(job_id)
                return
            self._backoff_until[index] = time.monotonic() + _ENTRY_BACKOFF_S
            index = (index + 1) % len(self._clients)
            gevent.sleep(_RESEND_DELAY_S)

    def _client(self, address):
        host, _, port = address.rpartition(":")
        client = HTTPClient(
            host,
            int(port),
            concurrency=_MAX_OPEN_JOBS,
            connection_timeout=1.0,
            network_timeout=self._answer_timeout_s + 1.0,
        )
        pool = client._connection_pool
        pool.after_connect = _no_delay
        # After a connection failure, the library would retry a PUT as many times as
        # the pool size; here the job is sent to the next entry instead.
        pool.size = -1
        return client

    def _request_any(self, method, path, body, timeout_s):
        for _ in self._clients:
            index = self._preferred_entry
            status, content = self._request(index, method, path, body, timeout_s)
            if status is not None:
                return status, content, index
            self._preferred_entry = (index + 1) % len(self._clients)
        return None, b"", None

    def _request(self, index, method, path, body, timeout_s):
        with gevent.Timeout(max(0.01, timeout_s), False):
            try:
                reply = self._clients[index].request(method, path, body=body)
                return reply.status_code, bytes(reply.read())
            except Exception:
                return None, b""
        return None, b""


def _no_delay(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def evaluate_result(arrival, result):
    """Returns a result with the outcome and whether the answer was complete."""
    evaluated = {key: value for key, value in result.items() if key != "body"}
    evaluated.update(outcome=None, reason=None, whole=False)
    try:
        document = json.loads(result["body"])
    except ValueError:
        return evaluated
    evaluated["outcome"] = document.get("outcome")
    evaluated["reason"] = document.get("reason")
    if evaluated["outcome"] == "complete":
        echoes = [answer["echo"] for answer in document["results"]]
        evaluated["whole"] = echoes == arrival.echoes
    return evaluated


def poisson_arrivals(rate, seconds, seed, tasks=1, work_ms=50.0):
    """Returns identical jobs with Poisson arrivals, as a list of `Arrival`."""
    rng = random.Random(seed)
    arrivals = []
    at_s = rng.expovariate(rate)
    while at_s < seconds:
        works = (work_ms,) * tasks
        arrivals.append(Arrival(len(arrivals), at_s, "t1", "c1", works))
        at_s += rng.expovariate(rate)
    return arrivals


def percentile(values, share):
    """Returns the nearest-rank percentile of values; NaN if there are none."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def write_trace(path, arrivals):
    """Writes a trace as one JSON document per line."""
    with open(path, "w", encoding="utf-8") as stream:
        for arrival in arrivals:
            stream.write(json.dumps(asdict(arrival)) + "\n")


def _read_trace(path):
    with open(path, encoding="utf-8") as stream:
        for line in stream:
            document = json.loads(line)
            document["work_ms"] = tuple(document["work_ms"])
            yield Arrival(**document)


def main(args):
    """Runs one load and prints a summary.

    Returns:
        int: 0 if every job was answered, else 1.
    """
    parser = argparse.ArgumentParser(prog="standins.load", description=__doc__)
    parser.add_argument("--entry", action="append", required=True)
    parser.add_argument("--rate", type=float, default=10.0, help="jobs per second")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tasks", type=int, default=1, help="tasks in a job")
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--service", default="dispatch")
    parser.add_argument("--give-up", type=float, default=20.0, help="seconds")
    parser.add_argument("--trace", help="trace to submit instead of a random one")
    parser.add_argument("--start-at", type=float, help="wall-clock time of the start")
    parser.add_argument("--out", help="output file, one JSON document per job")
    options = parser.parse_args(args)
    if options.trace:
        arrivals = list(_read_trace(options.trace))
    else:
        arrivals = poisson_arrivals(
            options.rate,
            options.seconds,
            options.seed,
            options.tasks,
            options.work_ms,
        )
    load = Load(options.entry, options.service, options.give_up)
    raw = load.run(arrivals, options.start_at)
    by_number = {arrival.number: arrival for arrival in arrivals}
    results = [evaluate_result(by_number[result["number"]], result) for result in raw]
    if options.out:
        with open(options.out, "w", encoding="utf-8") as stream:
            stream.writelines(json.dumps(result) + "\n" for result in results)
    answered = [result for result in results if result["answered"] is not None]
    times = [result["response_s"] for result in answered]
    summary = {
        "jobs": len(results),
        "answered": len(answered),
        "outcomes": Counter(result["outcome"] for result in answered),
        "response_ms_p50": percentile(times, 0.5) * 1000,
        "response_ms_p99": percentile(times, 0.99) * 1000,
        "lag_ms_p99": percentile([r["lag_s"] for r in results], 0.99) * 1000,
    }
    print(json.dumps(summary))
    return 0 if len(answered) == len(arrivals) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
