"""
papayaward.coordination.executor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts tasks on the upstream; no other module sends tasks to it.
"""

import json
import logging
from dataclasses import dataclass

import gevent

from .. import clock
from ..protocol import mechanisms
from ..protocol.gen.ttypes import CancelTasks, ResultBatch, RunBatch, SlotReport
from ..protocol.gen.ttypes import TaskResult as Result
from ..protocol.options import OptionError, read_json
from ..protocol.outcomes import Reason, TaskStatus
from ..state import invariants, metrics
from ..state.started_tasks import StartedTasks
from ..transport.upstream_http import NotSent, UpstreamClient, UpstreamConnectionLost
from .gate import GateState, check_start
from .usable_slots import UsableSlots

__all__ = ["COORDINATOR_ACTIVE_S", "Executor", "Upstream"]

log = logging.getLogger(__name__)

# Slots that other coordinators take or free are reported only to coordinators that
# have sent a batch within this time.
COORDINATOR_ACTIVE_S = 10.0

_HTTP_OK = 200
_HTTP_TOO_MANY_REQUESTS = 429


@dataclass(frozen=True)
class Upstream:
    """Announcement of the upstream.

    Attributes:
        host: IP address.
        port: Port.
        slots: Number of tasks that it claims to run concurrently.
        leaving: Whether it accepts no new tasks because it is shutting down.
        instance: Identifier that changes when the upstream restarts.
    """

    host: str
    port: int
    slots: int
    leaving: bool = False
    instance: str = ""


def _process(upstream):
    """Returns what differs between two processes that announce themselves."""
    return upstream.host, upstream.port, upstream.instance


class _StartDenied(NotSent):
    """The start gate refused a task just before its request was sent.

    Attributes:
        reason: `Reason` of the refusal.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


def _as_json(body):
    """Returns the body if it is JSON that callers can read, else as a JSON string."""
    try:
        read_json(body)
    except OptionError:
        return json.dumps(body.decode("utf-8", "replace")).encode()
    return body


class Executor:
    """Slots and running tasks of one runner.

    Args:
        node: The runner; supplies `incarnation`, `domain`, `config`, `evidence`,
            `draining` and `settings`.
    """

    def __init__(self, node):
        self._node = node
        self._upstream = None
        self._upstream_present = False
        self._announced_at = 0.0
        self._client = None
        self._usable_slots = UsableSlots()
        self._slots = 0
        self._running = {}
        self._requests_in_flight = 0
        self._started_tasks = StartedTasks()
        self._cancelled_jobs = {}
        self._links = {}
        self._active_coordinators = {}
        self._pending_results = {}

    @property
    def slots(self):
        """Number of tasks that the upstream can run concurrently.

        Learned from its refusals; at most the announced number.
        """
        return self._slots

    @property
    def running(self):
        """Number of running tasks."""
        return len(self._running)

    @property
    def accepting(self):
        """Whether the start gate would pass a task if a slot were free."""
        state = self._gate_state()
        now = clock.now()
        return check_start(state, state.incarnation, False, False, now + 1, now) in (
            Reason.NONE,
            Reason.NO_SLOT,
        )

    def announce(self, upstream, now):
        """Handles an announcement of the upstream.

        Args:
            upstream: `Upstream`.
            now: Monotonic time, seconds.
        """
        previous, was_present = self._upstream, self._upstream_present
        self._announced_at = now
        self._upstream_present = True
        if upstream == previous and was_present:
            return
        self._upstream = upstream
        if previous is None or _process(previous) != _process(upstream):
            # Connections and refusals of an earlier process do not apply to a new one.
            self._client = UpstreamClient(upstream.host, upstream.port)
            self._usable_slots = UsableSlots()
        self._usable_slots.announce(upstream.slots)
        self._slots = self._usable_slots.usable(len(self._running), now)
        log.info(
            "upstream_announced",
            extra={"slots": upstream.slots, "leaving": upstream.leaving},
        )
        self.report_to_all()

    def tick(self, now):
        """Drops an upstream whose announcement expired; reports changes of slots."""
        silent_s = now - self._announced_at
        if self._upstream_present and silent_s > self._node.settings.announce_ttl_s:
            log.warning(
                "upstream_announcement_expired", extra={"silent_s": round(silent_s, 1)}
            )
            self._upstream_present = False
            self.report_to_all()
        slots = self._usable_slots.usable(len(self._running), now)
        if slots != self._slots:
            self._slots = slots
            self.report_to_all()

    def on_message(self, link, message, now):
        """Handles a message from a coordinator.

        Returns:
            bool: Whether the message was meant for an executor.
        """
        if isinstance(message, RunBatch):
            self._on_run_batch(link, message, now)
        elif isinstance(message, CancelTasks):
            self._on_cancel(message, now)
        else:
            return False
        return True

    def on_link_up(self, link):
        """Sends a slot report to a newly connected coordinator."""
        self._links[link.peer.member] = link
        link.try_send(self._slot_report(link.peer.member))

    def on_link_down(self, link):
        """Removes a link; its tasks keep running and their results are kept."""
        if self._links.get(link.peer.member) is link:
            del self._links[link.peer.member]

    def report_to_all(self):
        """Sends a slot report to every connected coordinator."""
        for member, link in self._links.items():
            link.try_send(self._slot_report(member))

    def _report_slot_use(self, excluded, now):
        """Reports taken or freed slots to all active coordinators except one.

        Idle coordinators request a report with an empty batch when they get work.
        """
        for member, active in list(self._active_coordinators.items()):
            if now - active > COORDINATOR_ACTIVE_S:
                del self._active_coordinators[member]
            elif member != excluded and member in self._links:
                self._links[member].try_send(self._slot_report(member))

    def _slot_report(self, member):
        others = sum(coordinator != member for coordinator, _ in self._running.values())
        return SlotReport(self._slots, others, self.accepting)

    def _gate_state(self):
        upstream = self._upstream if self._upstream_present else None
        node = self._node
        return GateState(
            incarnation=node.incarnation,
            domain_out=(
                node.domain in node.config.config.domains_out
                and mechanisms.is_enabled("domain_gate")
            ),
            evidence=(
                node.evidence.latest
                if mechanisms.is_enabled("evidence")
                else clock.now()
            ),
            evidence_max_age_s=node.settings.evidence_max_age_s,
            upstream_present=upstream is not None,
            upstream_leaving=(
                upstream is not None
                and upstream.leaving
                and mechanisms.is_enabled("leaving_gate")
            ),
            draining=node.draining,
            free_slots=self._slots - len(self._running),
        )

    def _on_run_batch(self, link, batch, now):
        coordinator = link.peer.member
        self._active_coordinators[coordinator] = now
        rejected = []
        for grant in batch.grants:
            key = (grant.job_id, grant.index, grant.attempt)
            deduplicate = mechanisms.is_enabled("start_dedup")
            if deduplicate and key in self._running:
                continue
            kept_result = self._started_tasks.result(key) if deduplicate else None
            if kept_result is not None:
                self._queue_result(coordinator, kept_result)
                continue
            deadline = now + grant.deadline_ms / 1000
            reason = check_start(
                self._gate_state(),
                batch.executor_incarnation,
                deduplicate and key in self._started_tasks,
                grant.job_id in self._cancelled_jobs,
                deadline,
                now,
            )
            if reason is Reason.NONE:
                self._start(coordinator, key, grant, deadline, now)
            else:
                rejected.append(self._reject(key, reason, now))
        for result in rejected:
            self._queue_result(coordinator, result)
        if not batch.grants:
            link.try_send(self._slot_report(coordinator))
        self._report_slot_use(coordinator, now)

    def _reject(self, key, reason, now):
        metrics.REJECTED_GRANTS.labels(reason).inc()
        if reason is Reason.DUPLICATE:
            # The task was started or refused before and its result has expired.
            status = TaskStatus.LOST
        else:
            # Recorded as started, so that a copy of this grant on another link
            # cannot start the task after the coordinator has placed it elsewhere.
            self._started_tasks.record_start(key, now)
            status = TaskStatus.REJECTED
        result = Result(*key, status, b"", 0, reason)
        if status is TaskStatus.REJECTED:
            self._started_tasks.record_result(key, result, now)
        return result

    def _start(self, coordinator, key, grant, deadline, now):
        invariants.check(
            "task_started_once", key not in self._started_tasks, key=str(key)
        )
        invariants.check(
            "domain_in_service",
            self._node.domain not in self._node.config.config.domains_out,
            key=str(key),
        )
        self._started_tasks.record_start(key, now)
        task = gevent.Greenlet(self._run, key, grant, deadline, now)
        # The callback also runs for a greenlet that is killed before it starts.
        task.rawlink(lambda done: self._finish(coordinator, key, done.value, now))
        self._running[key] = (coordinator, task)
        metrics.SLOTS_IN_USE.set(len(self._running))
        task.start()

    def _run(self, key, grant, deadline, now):
        may_have_started = False

        def before_sending():
            nonlocal may_have_started
            self._recheck_gate(deadline)
            may_have_started = True

        with gevent.Timeout(max(0.001, deadline - now), False):
            return self._call_upstream(key, grant, before_sending)
        status = TaskStatus.LOST if may_have_started else TaskStatus.REJECTED
        return status, b"", Reason.DEADLINE

    def _recheck_gate(self, deadline):
        """Checks the start gate again once the connection is open.

        The process may have been paused, or the connection may have been slow,
        since the first check.

        Args:
            deadline: Monotonic time at which the job is due, seconds.

        Raises:
            _StartDenied: The task may no longer start.
        """
        state = self._gate_state()
        now = clock.now()
        reason = check_start(state, state.incarnation, False, False, deadline, now)
        # NO_SLOT is expected, since the task itself occupies a slot.
        if reason not in (Reason.NONE, Reason.NO_SLOT):
            raise _StartDenied(reason)

    def _call_upstream(self, key, grant, before_sending):
        job_id, index, attempt = key
        headers = {
            "Papayaward-Job": job_id,
            "Papayaward-Task": index,
            "Papayaward-Attempt": attempt,
            "Papayaward-Tenant": grant.tenant,
            "Papayaward-Class": grant.job_class,
        }
        # Another process may announce itself before this one answers.
        client, usable_slots = self._client, self._usable_slots
        self._requests_in_flight += 1
        try:
            status, body = client.post("/run", grant.body, headers, before_sending)
        except _StartDenied as error:
            return TaskStatus.REJECTED, b"", error.reason
        except NotSent:
            # The upstream gets no task until its next announcement and the end of a
            # pause, and then a single probe task.
            if client is self._client:
                self._upstream_present = False
            usable_slots.on_unreachable(clock.now())
            return TaskStatus.REJECTED, b"", Reason.UPSTREAM_GONE
        except UpstreamConnectionLost:
            return TaskStatus.LOST, b"", Reason.TASK_LOST
        finally:
            self._requests_in_flight -= 1
        if status == _HTTP_TOO_MANY_REQUESTS:
            now = clock.now()
            metrics.REJECTED_GRANTS.labels("upstream_busy").inc()
            # `_running` still includes other refused tasks, since many responses can
            # arrive before the first of their greenlets has finished.
            usable_slots.on_refused(self._requests_in_flight, now)
            self._slots = self._usable_slots.usable(self._requests_in_flight, now)
            return TaskStatus.REJECTED, b"", Reason.NO_SLOT
        usable_slots.on_served()
        if status == _HTTP_OK:
            return TaskStatus.OK, _as_json(body), Reason.NONE
        return TaskStatus.FAILED, body[:1000], Reason.TASK_FAILED

    def _finish(self, coordinator, key, value, started):
        now = clock.now()
        if isinstance(value, gevent.GreenletExit):
            value = (TaskStatus.CANCELLED, b"", Reason.CANCELLED)
        elif value is None:
            value = (TaskStatus.LOST, b"", Reason.TASK_LOST)
        status, body, reason = value
        self._running.pop(key, None)
        metrics.SLOTS_IN_USE.set(len(self._running))
        message = Result(*key, status, body, int((now - started) * 1e6), reason)
        self._started_tasks.record_result(key, message, now)
        self._queue_result(coordinator, message)
        self._report_slot_use(coordinator, now)

    def _queue_result(self, coordinator, result):
        # Results of the same event loop iteration are sent in one message.
        if coordinator not in self._pending_results:
            self._pending_results[coordinator] = []
            gevent.get_hub().loop.run_callback(self._flush, coordinator)
        self._pending_results[coordinator].append(result)

    def _flush(self, coordinator):
        results = self._pending_results.pop(coordinator)
        link = self._links.get(coordinator)
        if link is not None:
            link.try_send(ResultBatch(results, self._slot_report(coordinator)))

    def _on_cancel(self, message, now):
        jobs = set(message.job_ids)
        for job_id in jobs:
            self._cancelled_jobs[job_id] = now
        for key, (_, task) in list(self._running.items()):
            if key[0] in jobs:
                task.kill(block=False)
        self._expire_cancelled(now)

    def _expire_cancelled(self, now):
        while self._cancelled_jobs:
            job_id, cancelled = next(iter(self._cancelled_jobs.items()))
            if now - cancelled < 60.0:
                return
            del self._cancelled_jobs[job_id]
