"""
papayaward.state.metrics
~~~~~~~~~~~~~~~~~~~~~~~~

Prometheus metrics of a process.
"""

from prometheus_client import REGISTRY, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily

__all__ = [
    "ANSWERS",
    "CONFIG_VERSION",
    "EVIDENCE_AGE",
    "HEDGES",
    "INTERFERING_PAIRS",
    "INVARIANT_VIOLATIONS",
    "KEPT_CPU",
    "QUEUED_TASKS",
    "QUEUE_SECONDS",
    "REJECTED_GRANTS",
    "REJECTED_REQUESTS",
    "RESPONSE_OVER_SERVICE",
    "RESPONSE_SECONDS",
    "SERVICE_SECONDS",
    "SLOTS_IN_USE",
    "UPSTREAM_CRASHES",
    "count_rejected_requests",
    "export",
    "export_link_stats",
]

_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
_RATIOS = (1.0, 1.05, 1.1, 1.15, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
_LABELS = ("tenant", "job_class")

RESPONSE_SECONDS = Histogram(
    "papayaward_response_seconds",
    "Time from a job's arrival at its home to its answer.",
    _LABELS,
    buckets=_SECONDS,
)
QUEUE_SECONDS = Histogram(
    "papayaward_queue_seconds",
    "Time that a task waited for a slot.",
    _LABELS,
    buckets=_SECONDS,
)
SERVICE_SECONDS = Histogram(
    "papayaward_service_seconds",
    "Time that the upstream took for a task.",
    _LABELS,
    buckets=_SECONDS,
)
RESPONSE_OVER_SERVICE = Histogram(
    "papayaward_response_over_ideal",
    "Response time of a job over its longest task, the ideal on a free fleet.",
    _LABELS,
    buckets=_RATIOS,
)
ANSWERS = Counter(
    "papayaward_answers_total",
    "Answers by outcome and reason.",
    ("tenant", "outcome", "reason"),
)
REJECTED_GRANTS = Counter(
    "papayaward_rejected_grants_total",
    "Grants that the start gate refused, by reason.",
    ("reason",),
)
REJECTED_REQUESTS = Counter(
    "papayaward_rejected_requests_total",
    "Requests of clients outside the limits, by status or fault.",
    ("reason",),
)
INVARIANT_VIOLATIONS = Counter(
    "papayaward_invariant_violations_total",
    "Violations of invariants; any is a fault of the program.",
    ("invariant",),
)
HEDGES = Counter(
    "papayaward_hedges_total",
    "Second copies of slow idempotent requests, started and answered first.",
    ("event",),
)
QUEUED_TASKS = Gauge(
    "papayaward_queued_tasks", "Tasks that wait for a slot at this coordinator."
)
SLOTS_IN_USE = Gauge("papayaward_slots_in_use", "Slots of this executor in use.")
INTERFERING_PAIRS = Gauge(
    "papayaward_interfering_pairs", "Pairs of queues of which one slows the other down."
)
KEPT_CPU = Gauge("papayaward_kept_cpu_cores", "Cores kept here for more urgent queues.")
UPSTREAM_CRASHES = Counter(
    "papayaward_upstream_crashes_total",
    "Unplanned ends of the local upstream while tasks ran on it.",
)
CONFIG_VERSION = Gauge("papayaward_config_version", "Version in force here.")
EVIDENCE_AGE = Gauge(
    "papayaward_evidence_age_seconds", "Age of the configuration evidence here."
)


class _LinkCollector:
    """Exports the counters that `LinkStats` keeps as plain integers."""

    def __init__(self):
        self.stats = None

    def collect(self):
        """Yields the metric families with the values at the time of the scrape."""
        stats = self.stats
        if stats is None:
            return
        for direction, counts, sizes, size in (
            ("sent", stats.sent, stats.sent_bytes, stats.bytes_sent),
            ("received", stats.received, stats.received_bytes, stats.bytes_received),
        ):
            for metric, numbers in (("messages", counts), ("message_bytes", sizes)):
                family = CounterMetricFamily(
                    f"papayaward_{metric}_{direction}",
                    f"{metric.capitalize().replace('_', ' ')} {direction}, by type.",
                    labels=("type",),
                )
                for name, number in sorted(numbers.items()):
                    family.add_metric((name,), number)
                yield family
            yield CounterMetricFamily(
                f"papayaward_link_bytes_{direction}",
                f"Bytes {direction} on the links.",
                value=size,
            )


_LINKS = _LinkCollector()
REGISTRY.register(_LINKS)


def export_link_stats(stats):
    """Exports the message and byte counters of this process's links.

    Args:
        stats: `LinkStats` of the process; replaces any previous one.
    """
    _LINKS.stats = stats


def count_rejected_requests(reason, number):
    """Counts requests of clients outside the limits.

    Args:
        reason: Status of the response, fault of the body, or `unfinished`.
        number: Number of requests.
    """
    REJECTED_REQUESTS.labels(reason).inc(number)


def export():
    """Returns all metrics in the Prometheus text format, bytes."""
    return generate_latest()
