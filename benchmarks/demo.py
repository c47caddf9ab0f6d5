"""
benchmarks.demo
~~~~~~~~~~~~~~~

Runs a small fleet under a mixed load and temporarily takes a failure domain out of
service.
"""

import random
import sys
import time
from collections import Counter

import gevent
from gevent.pool import Pool

from standins.fleet import Fleet

__all__ = ["main"]

_LOAD_S = 16.0
_DOMAIN_OUT_AT_S = 4.0
_DOMAIN_IN_AT_S = 11.0
_JOBS_PER_S = 12.0

# Guaranteed bound in seconds from an accepted change to the last start of a task in a
# domain that was taken out.
_LAST_START_BOUND_S = 3.0

_CONFIG = {
    "services": [{"name": "dispatch"}],
    "tenants": [{"name": "oberland", "weight": 2}, {"name": "cabinetline"}],
    "classes": [
        {"name": "fault-check", "priority": 1},
        {"name": "reservation", "priority": 5},
        {"name": "layout-quote", "priority": 5},
    ],
    "domains": ["rosenheim", "weilheim", "traunstein"],
    "domains_out": [],
}
_JOB_KINDS = (
    ("oberland", "fault-check", 1, 3, 50),
    ("oberland", "reservation", 1, 8, 120),
    ("cabinetline", "layout-quote", 4, 20, 200),
)
_SPEEDS = (1.0, 0.5, 1.0, 0.7, 0.25, 1.0)


class _Demo:
    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._pool = Pool(300)
        self.answers = []
        self.cycle = {}

    def run(self):
        """Submits the load, cycles the domain and returns the number of jobs."""
        began = time.monotonic()
        domain_cycle = gevent.spawn(self._cycle_domain)
        number = 0
        while time.monotonic() - began < _LOAD_S:
            tenant, job_class, low, high, work_ms = self._random.choice(_JOB_KINDS)
            tasks = [
                {
                    "work_ms": round(work_ms * self._random.uniform(0.5, 1.5)),
                    "echo": [number, index],
                }
                for index in range(self._random.randint(low, high))
            ]
            self._pool.spawn(self._submit, number, tenant, job_class, tasks)
            number += 1
            gevent.sleep(self._random.expovariate(_JOBS_PER_S))
        self._pool.join(timeout=12.0)
        domain_cycle.get(timeout=12.0)
        return number

    def _submit(self, number, tenant, job_class, tasks):
        began = time.monotonic()
        reply = self._fleet.submit(
            tasks, index=number % 2, tenant=tenant, **{"class": job_class}
        )
        document = reply.json
        echoes = [result["echo"] for result in document.get("results", ())]
        self.answers.append(
            {
                "class": job_class,
                "job": document.get("job_id"),
                "outcome": document["outcome"],
                "tasks": len(tasks),
                "whole": echoes == [task["echo"] for task in tasks],
                "response_s": time.monotonic() - began,
            }
        )

    def _cycle_domain(self):
        gevent.sleep(_DOMAIN_OUT_AT_S)
        self.cycle["out_at"] = time.time()
        status, reply = self._fleet.set_domains_out(["traunstein"])
        self.cycle["out_in_force_s"] = time.time() - self.cycle["out_at"]
        self.cycle["out_ok"] = status == 200 and reply["accepted"]
        gevent.sleep(_DOMAIN_IN_AT_S - _DOMAIN_OUT_AT_S)
        self.cycle["in_at"] = time.time()
        status, reply = self._fleet.set_domains_out([])
        self.cycle["in_in_force_s"] = time.time() - self.cycle["in_at"]
        self.cycle["in_ok"] = status == 200 and reply["accepted"]


def _print_summary(demo, records, submitted):
    """Prints the summary and returns a sentence for each failed check."""
    answers, cycle = demo.answers, demo.cycle
    outcomes = Counter(answer["outcome"] for answer in answers)
    tasks = sum(answer["tasks"] for answer in answers)
    print(f"jobs answered      {len(answers)} of {submitted}: {dict(outcomes)}")
    print(f"tasks              {tasks}")
    for job_class in sorted({answer["class"] for answer in answers}):
        times = sorted(a["response_s"] for a in answers if a["class"] == job_class)
        median, slowest = times[len(times) // 2] * 1000, times[-1] * 1000
        print(
            f"  {job_class:16} {len(times):4} jobs, "
            f"median {median:.0f} ms, slowest {slowest:.0f} ms"
        )
    starts = Counter((record["job"], record["task"]) for record in records)
    double_starts = sum(count - 1 for count in starts.values())
    incomplete = sum(
        answer["outcome"] == "complete"
        and (
            not answer["whole"]
            or any((answer["job"], i) not in starts for i in range(answer["tasks"]))
        )
        for answer in answers
    )
    by_domain = Counter(record["domain"] for record in records)
    print(f"starts by domain   {dict(by_domain)}, started twice: {double_starts}")
    delays_s = [
        record["start"] - cycle["out_at"]
        for record in records
        if record["domain"] == "traunstein"
        and cycle["out_at"] <= record["start"] < cycle["in_at"]
    ]
    starts_since_return = sum(
        record["domain"] == "traunstein" and record["start"] >= cycle["in_at"]
        for record in records
    )
    last_start_s = max(delays_s, default=0.0)
    print(
        f"traunstein out     in force after {cycle['out_in_force_s']:.2f} s, "
        f"last start there after {last_start_s:.2f} s"
    )
    print(
        f"traunstein in      in force after {cycle['in_in_force_s']:.2f} s, "
        f"{starts_since_return} starts there since"
    )
    checks = {
        "a job was not answered": len(answers) == submitted,
        "a job was not complete": outcomes["complete"] == len(answers),
        "a complete answer lacked results or starts": not incomplete,
        "a task started twice": not double_starts,
        "a change was not accepted": cycle["out_ok"] and cycle["in_ok"],
        "a task started in the domain out of service": (
            last_start_s <= _LAST_START_BOUND_S
        ),
        "no task started in the domain after its return": starts_since_return > 0,
    }
    return [sentence for sentence, holds in checks.items() if not holds]


def main(args):
    """Runs the demo.

    Args:
        args: Optionally the seed of the load.

    Returns:
        int: 0 if every check passed, else 1.
    """
    seed = int(args[0]) if args else 1
    runners = [
        {"domain": _CONFIG["domains"][index % 3], "slots": 8, "speed": speed}
        for index, speed in enumerate(_SPEEDS)
    ]
    print("starting a store, 2 entries, 6 runners and 6 upstreams in 3 domains")
    try:
        with Fleet(_CONFIG, entries=2, runners=runners) as fleet:
            demo = _Demo(fleet, seed)
            print(
                f"submitting about {_JOBS_PER_S:.0f} jobs a second "
                f"for {_LOAD_S:.0f} s; traunstein "
                f"is taken out of service at {_DOMAIN_OUT_AT_S:.0f} s and returned at "
                f"{_DOMAIN_IN_AT_S:.0f} s"
            )
            submitted = demo.run()
            records = fleet.records()
            violations = fleet.status()["violations"]
            problems = _print_summary(demo, records, submitted)
            if violations:
                problems.append(f"invariants were violated: {violations}")
    except Exception as error:
        print(f"demo: failed: {type(error).__name__}: {error}")
        return 1
    if problems:
        print(f"demo: failed: {'; '.join(problems)}")
        return 1
    print(f"demo: ok, {submitted} jobs, each answered once and complete")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
