"""
benchmarks.slopes.whole_fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cost of the runners of a real fleet.
"""

import gevent

from standins.fleet import Fleet

from ..sampling import measure, rss_mib
from .figures import WARM_UP_S, WINDOWS, figures
from .fleets import config_document
from .load import Callers

__all__ = ["idle", "memory_growth"]


def idle(points, seconds):
    """Yields the cost of an idle runner of 2 entries and 10 runners by window."""
    runners = [{"domain": "abcd"[n % 4]} for n in range(10)]
    document = config_document(2, domains=4)
    document["domains"] = list("abcd")
    with Fleet(document, 2, runners) as fleet:
        processes = {
            name: (fleet.processes[name].pid, http)
            for name, http in fleet.runner_http.items()
        }
        gevent.sleep(2 * WARM_UP_S)
        for x in points:
            usages = measure(processes, seconds, WINDOWS).values()
            yield x, _summary([figures(usage) for usage in usages])


def _summary(values):
    summary = {}
    for name in ("cpu_core", "rss_mib", "control_bytes_s"):
        ordered = sorted(v[name] for v in values)
        summary[f"{name}_min"] = ordered[0]
        summary[f"{name}_median"] = ordered[len(ordered) // 2]
        summary[f"{name}_max"] = ordered[-1]
    return summary


def memory_growth(points, seconds):
    """Yields the memory of the runners by the number of finished tasks."""
    runners = [{"domain": "abc"[n % 3], "slots": 32} for n in range(3)]
    document = config_document(2, domains=3)
    document["domains"] = list("abc")
    with Fleet(document, 2, runners) as fleet:
        callers = Callers(fleet.entry(), 100, 2)
        submitted = 0
        for x in points:
            while callers.answered * 100 < x:
                if submitted - callers.answered - callers.refused < 20:
                    callers.submit(submitted)
                    submitted += 1
                gevent.sleep(0.002)
            rss = {n: rss_mib(fleet.processes[n].pid) for n in fleet.runner_http}
            ordered = sorted(rss.values())
            yield (
                callers.answered * 100,
                {
                    "rss_mib_min": ordered[0],
                    "rss_mib_max": ordered[-1],
                    "refused": callers.refused,
                },
            )
