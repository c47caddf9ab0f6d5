"""
standins.callers
~~~~~~~~~~~~~~~~

Callers that submit jobs in a loop, and checks of the answers that they receive.

The checks compare the callers' view with the start records of the upstreams.
"""

import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from .fleet import call

__all__ = ["Callers", "JobView", "fleet_findings", "start_findings"]

# Every caller must have its answer within this time after the deadline.
ANSWER_MARGIN_S = 3.0

# Guarantee to operators: no task starts in a domain later than this after the
# domain was taken out of service.
DOMAIN_REMOVAL_S = 3.0


@dataclass
class JobView:
    """One job as its caller sees it; times are wall clock, seconds."""

    job_id: str
    tasks: list
    deadline_s: float
    idempotent: bool
    submitted: float
    outcome: str = ""
    reason: str = ""
    answered: float | None = None
    resubmitted: int = 0
    cancelled: bool = False
    findings: list = field(default_factory=list)

    @property
    def latency_s(self):
        """Time from the submission to the answer."""
        return self.answered - self.submitted


class Callers:
    """Callers of a fleet; each submits one job after the other.

    Args:
        fleet: `Fleet`.
        count: Number of callers.
        seed: Seed of the callers' choices.
        tasks: Maximum number of tasks in a job.
        work_ms: Maximum service time of a task on an upstream of speed 1, in
            milliseconds.
        deadline_s: Deadline of the jobs, in seconds.
        idempotent_share: Share of jobs that are single idempotent requests, which
            the fleet may retry.
        resubmit_share: Share of jobs that are submitted a second time through
            another entry while they run.
        entries: Indices of the entries used.
        pause_s: Maximum pause of a caller between two jobs, in seconds.
    """

    def __init__(
        self,
        fleet,
        count,
        seed=0,
        tasks=8,
        work_ms=60,
        deadline_s=8.0,
        idempotent_share=0.0,
        resubmit_share=0.0,
        entries=(0, 1),
        pause_s=0.05,
    ):
        self._fleet = fleet
        self._tasks = tasks
        self._work_ms = work_ms
        self._deadline_s = deadline_s
        self._idempotent_share = idempotent_share
        self._resubmit_share = resubmit_share
        self._entries = entries
        self._pause_s = pause_s
        self._stopped = False
        self.views = []
        self.failed_id_requests = 0
        self._greenlets = [
            gevent.spawn(self._run, random.Random(f"{seed}/{number}"), number)
            for number in range(count)
        ]

    def stop(self, timeout_s=30.0):
        """Waits for every caller to finish its job; returns whether all did."""
        self._stopped = True
        gevent.joinall(self._greenlets, timeout=timeout_s)
        return all(greenlet.ready() for greenlet in self._greenlets)

    def outcomes(self):
        """Returns the number of jobs by outcome."""
        return Counter(view.outcome for view in self.views)

    def cancel_open(self, index, share, rng):
        """Cancels a random share of the unanswered jobs in one request."""
        ids = []
        for view in self.views:
            if view.answered is None and rng.random() < share:
                view.cancelled = True
                ids.append(view.job_id)
        if ids:
            call(self._fleet.entry(index), "POST", "/v1/cancel", {"ids": ids}, 5.0)

    def _run(self, rng, number):
        sequence = 0
        while not self._stopped:
            job_id = self._new_id(rng)
            if job_id is None:
                gevent.sleep(0.1)
                continue
            sequence += 1
            single = rng.random() < self._idempotent_share
            count = 1 if single else rng.randint(1, self._tasks)
            tasks = [
                {
                    "work_ms": rng.randint(1, self._work_ms),
                    "echo": f"{number}/{sequence}/{index}",
                }
                for index in range(count)
            ]
            view = JobView(job_id, tasks, self._deadline_s, single, time.time())
            self.views.append(view)
            copies = [gevent.spawn(self._submit, view, rng)]
            if rng.random() < self._resubmit_share:
                gevent.sleep(rng.uniform(0.0, 0.3))
                view.resubmitted += 1
                copies.append(gevent.spawn(self._submit, view, rng))
            gevent.joinall(copies)
            gevent.sleep(rng.uniform(0.0, self._pause_s))

    def _new_id(self, rng):
        entry = rng.choice(self._entries)
        try:
            document = {"count": 1, "service": "dispatch"}
            address = self._fleet.entry(entry)
            reply = call(address, "POST", "/v1/ids", document, 5.0)
            return reply.json["ids"][0]
        except (OSError, ValueError, KeyError):
            self.failed_id_requests += 1
            return None

    def _submit(self, view, rng):
        until = view.submitted + view.deadline_s + ANSWER_MARGIN_S
        while True:
            reply = self._put(view, rng.choice(self._entries), until)
            if reply is not None:
                self._record_answer(view, reply)
                return
            if time.time() >= until:
                view.findings.append("no answer within 3 s after the deadline")
                return
            view.resubmitted += 1
            gevent.sleep(0.05)

    def _put(self, view, entry, until):
        document = {
            "service": "dispatch",
            "tenant": "t1",
            "class": "c1",
            "deadline_ms": int(view.deadline_s * 1000),
        }
        kind = "jobs"
        if view.idempotent:
            document.update(body=view.tasks[0], idempotent=True)
            kind = "requests"
        else:
            document["tasks"] = view.tasks
        path = f"/v1/{kind}/{view.job_id}"
        # Without an answer after half the deadline, the caller tries another entry,
        # as behind a load balancer.
        wait_s = max(0.1, min(until - time.time(), view.deadline_s / 2))
        try:
            return call(self._fleet.entry(entry), "PUT", path, document, wait_s)
        except (OSError, ValueError):
            return None

    def _record_answer(self, view, reply):
        document = reply.json
        outcome = document.get("outcome", "")
        if outcome == "complete":
            self._check_results(view, document)
        elif "results" in document or "result" in document:
            view.findings.append(f"answer {outcome} contains results")
        final_outcomes = ("complete", "failed", "not_run", "cancelled")
        if (
            view.outcome in final_outcomes
            and outcome in final_outcomes
            and outcome != view.outcome
        ):
            view.findings.append(f"conflicting answers {view.outcome} and {outcome}")
        if view.outcome not in final_outcomes:
            view.outcome, view.reason = outcome, document.get("reason", "")
        if view.answered is None:
            view.answered = time.time()

    def _check_results(self, view, document):
        results = document["results"] if "results" in document else [document["result"]]
        echoes = [result.get("echo") for result in results]
        if echoes != [task["echo"] for task in view.tasks]:
            view.findings.append(f"wrong results: {echoes}")


def start_findings(views, records, domain_changes=()):
    """Compares the callers' view with the start records of the upstreams.

    Args:
        views: List of `JobView`.
        records: Start records of all upstreams.
        domain_changes: (domain, accepted, returned) with the wall-clock times, in
            seconds, at which the removal of the domain was accepted and at which
            its return to service began.

    Returns:
        list: One sentence for each violation.
    """
    findings = []
    by_job = {view.job_id: view for view in views}
    starts = Counter((record["job"], record["task"]) for record in records)
    for (job_id, task), count in starts.items():
        view = by_job.get(job_id)
        if view is not None and view.outcome == "not_run":
            findings.append(f"{job_id} task {task} started, but was answered not_run")
        if count > 1 and (view is None or not view.idempotent):
            findings.append(f"{job_id} task {task} started {count} times")
    for view in views:
        findings += [f"{view.job_id}: {finding}" for finding in view.findings]
        if view.answered is None:
            findings.append(f"{view.job_id}: never answered")
        elif view.latency_s > view.deadline_s + ANSWER_MARGIN_S:
            findings.append(f"{view.job_id}: answered after {view.latency_s:.1f} s")
        if view.outcome == "complete":
            missing = [
                index
                for index in range(len(view.tasks))
                if not starts[view.job_id, index]
            ]
            if missing:
                findings.append(
                    f"{view.job_id}: complete, but tasks {missing} never started"
                )
    for domain, accepted, returned in domain_changes:
        late = [
            record["start"] - accepted
            for record in records
            if record["domain"] == domain
            and accepted + DOMAIN_REMOVAL_S < record["start"] < returned
        ]
        if late:
            findings.append(
                f"{len(late)} starts in {domain}, up to {max(late):.2f} s after "
                "it was taken out of service"
            )
    return findings


def fleet_findings(fleet):
    """Returns one sentence for each fault found in the logs of the processes."""
    findings = []
    for path in sorted(fleet.directory.glob("*.log")):
        version = 0
        for line in path.read_text(errors="replace").splitlines():
            if line.startswith("Traceback"):
                findings.append(f"{path.stem}: traceback")
            if not line.startswith("{"):
                continue
            try:
                event = json.loads(line)
            except ValueError:
                continue
            name = event.get("event")
            if name in ("invariant_violated", "request_failed"):
                findings.append(f"{path.stem}: {line[:300]}")
            elif name == "process_spawned":
                version = 0
            elif name == "config_in_force":
                if event["version"] <= version:
                    findings.append(
                        f"{path.stem}: configuration version {event['version']} "
                        f"in force after version {version}"
                    )
                version = event["version"]
    return findings
