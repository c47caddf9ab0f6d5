"""
papayaward.coordination.executor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts tasks on the upstream: the only place of the system that does so.
"""

import json
import logging
from dataclasses import dataclass

import gevent

from .. import clock
from ..protocol import mechanisms
from ..protocol.gen.ttypes import CancelTasks, ResultBatch, RunBatch, SlotReport
from ..protocol.gen.ttypes import TaskResult as Result
from ..protocol.outcomes import Reason, TaskStatus
from ..state import invariants, metrics
from ..state.started_tasks import StartedTasks
from ..transport.upstream_http import NotSent, UpstreamClient, UpstreamConnectionLost
from .gate import GateState, check_start
from .usable_slots import UsableSlots

__all__ = ["ACTIVE_S", "Executor", "Upstream"]

log = logging.getLogger(__name__)

# A coordinator that sent nothing for this time gets no reports on slots in use.
ACTIVE_S = 10.0

_HTTP_OK = 200
_HTTP_TOO_MANY_REQUESTS = 429


@dataclass(frozen=True)
class Upstream:
    """What the upstream announced.

    Attributes:
        host: IP number.
        port: Port.
        slots: Tasks that it says it runs at once.
        leaving: Whether it takes no new work.
        instance: Name that changes when the upstream restarts.
    """

    host: str
    port: int
    slots: int
    leaving: bool = False
    instance: str = ""


def _place(upstream):
    return upstream.host, upstream.port


class _HeldBack(NotSent):
    """The gate closed between a task's start and its sending.

    Attributes:
        reason: `Reason`.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


def _as_json(body):
    """Returns the body if it is JSON, else the body as a JSON string."""
    try:
        json.loads(body)
    except (ValueError, RecursionError):
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
        self._present = False
        self._announced = 0.0
        self._client = None
        self._usable = UsableSlots()
        self._slots = 0
        self._running = {}
        self._unanswered = 0
        self._started = StartedTasks()
        self._cancelled = {}
        self._links = {}
        self._active = {}
        self._unsent = {}

    @property
    def slots(self):
        """Slots in use for placement; learned, at most what was announced."""
        return self._slots

    @property
    def running(self):
        """Number of tasks that run now."""
        return len(self._running)

    @property
    def accepting(self):
        """Whether the gate would let a task start if a slot is free."""
        state = self._gate_state()
        now = clock.now()
        return check_start(state, state.incarnation, False, False, now + 1, now) in (
            Reason.NONE,
            Reason.NO_SLOT,
        )

    def announce(self, upstream, now):
        """Takes an announcement of the upstream."""
        previous, was_present = self._upstream, self._present
        self._announced = now
        self._present = True
        if upstream == previous and was_present:
            return
        self._upstream = upstream
        if previous is None or _place(previous) != _place(upstream):
            self._client = UpstreamClient(upstream.host, upstream.port)
        if previous is None or previous.instance != upstream.instance:
            # What an earlier process refused says nothing about this one.
            self._usable = UsableSlots()
        self._usable.announce(upstream.slots)
        self._slots = self._usable.usable(len(self._running), now)
        log.info(
            "upstream_announced",
            extra={"slots": upstream.slots, "leaving": upstream.leaving},
        )
        self.report_to_all()

    def tick(self, now):
        """Drops an upstream that is silent; reports a change of usable slots."""
        silent_s = now - self._announced
        if self._present and silent_s > self._node.settings.announce_ttl_s:
            log.warning("upstream_gone", extra={"silent_s": round(silent_s, 1)})
            self._present = False
            self.report_to_all()
        slots = self._usable.usable(len(self._running), now)
        if slots != self._slots:
            self._slots = slots
            self.report_to_all()

    def on_message(self, link, message, now):
        """Handles a message from a home and returns whether it was one."""
        if isinstance(message, RunBatch):
            self._on_run_batch(link, message, now)
        elif isinstance(message, CancelTasks):
            self._on_cancel(message, now)
        else:
            return False
        return True

    def on_link_up(self, link):
        """Reports the slots to a coordinator that connected."""
        self._links[link.peer.member] = link
        link.try_send(self._report(link.peer.member))

    def on_link_down(self, link):
        """Forgets the link; running tasks go on, their results are kept."""
        if self._links.get(link.peer.member) is link:
            del self._links[link.peer.member]

    def report_to_all(self):
        """Sends the slot report to every linked coordinator."""
        for member, link in self._links.items():
            link.try_send(self._report(member))

    def _report_use(self, but, now):
        """Tells the other active coordinators that slots were taken or freed.

        A linked coordinator without work does not need to know; it asks with an
        empty batch when it gets some.
        """
        for member, active in list(self._active.items()):
            if now - active > ACTIVE_S:
                del self._active[member]
            elif member != but and member in self._links:
                self._links[member].try_send(self._report(member))

    def _report(self, member):
        others = sum(home != member for home, _ in self._running.values())
        return SlotReport(self._slots, others, self.accepting)

    def _gate_state(self):
        upstream = self._upstream if self._present else None
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
        home = link.peer.member
        self._active[home] = now
        rejected = []
        for grant in batch.grants:
            key = (grant.job_id, grant.index, grant.attempt)
            remembers = mechanisms.is_enabled("start_dedup")
            if remembers and key in self._running:
                continue
            kept = self._started.result(key) if remembers else None
            if kept is not None:
                self._queue_result(home, kept)
                continue
            deadline = now + grant.deadline_ms / 1000
            reason = check_start(
                self._gate_state(),
                batch.executor_incarnation,
                remembers and key in self._started,
                grant.job_id in self._cancelled,
                deadline,
                now,
            )
            if reason is Reason.NONE:
                self._start(home, key, grant, deadline, now)
            else:
                rejected.append(self._reject(key, reason, now))
        for result in rejected:
            self._queue_result(home, result)
        if not batch.grants:
            link.try_send(self._report(home))
        self._report_use(home, now)

    def _reject(self, key, reason, now):
        metrics.REJECTED_GRANTS.labels(reason).inc()
        if reason is Reason.DUPLICATE:
            # It ran or was refused before and its result is no longer kept.
            status = TaskStatus.LOST
        else:
            # Remembered, so that a copy of this grant on another link cannot
            # start the task after the home has placed it elsewhere.
            self._started.record_start(key, now)
            status = TaskStatus.REJECTED
        result = Result(*key, status, b"", 0, reason)
        if status is TaskStatus.REJECTED:
            self._started.record_result(key, result, now)
        return result

    def _start(self, home, key, grant, deadline, now):
        invariants.check("task_started_once", key not in self._started, key=str(key))
        invariants.check(
            "domain_in_service",
            self._node.domain not in self._node.config.config.domains_out,
            key=str(key),
        )
        self._started.record_start(key, now)
        task = gevent.Greenlet(self._run, key, grant, deadline, now)
        # A link also fires for a task that is cancelled before its first turn.
        task.rawlink(lambda done: self._finish(home, key, done.value, now))
        self._running[key] = (home, task)
        metrics.SLOTS_IN_USE.set(len(self._running))
        task.start()

    def _run(self, key, grant, deadline, now):
        with gevent.Timeout(max(0.001, deadline - now), False):
            return self._call_upstream(key, grant, deadline)
        return TaskStatus.FAILED, b"", Reason.DEADLINE

    def _check_again(self, deadline):
        """Passes the gate a second time, now that the connection is open.

        A pause or a slow connection may lie between the first time and the sending.

        Raises:
            _HeldBack: The task may not start any more.
        """
        state = self._gate_state()
        now = clock.now()
        reason = check_start(state, state.incarnation, False, False, deadline, now)
        # The task itself holds the slot.
        if reason not in (Reason.NONE, Reason.NO_SLOT):
            raise _HeldBack(reason)

    def _call_upstream(self, key, grant, deadline):
        job_id, index, attempt = key
        headers = {
            "Papayaward-Job": job_id,
            "Papayaward-Task": index,
            "Papayaward-Attempt": attempt,
            "Papayaward-Tenant": grant.tenant,
            "Papayaward-Class": grant.job_class,
        }
        self._unanswered += 1
        try:
            status, body = self._client.post(
                "/run", grant.body, headers, lambda: self._check_again(deadline)
            )
        except _HeldBack as error:
            return TaskStatus.REJECTED, b"", error.reason
        except NotSent:
            # Not offered again until the next announcement, and then with care.
            self._present = False
            self._usable.on_unreachable(clock.now())
            return TaskStatus.REJECTED, b"", Reason.UPSTREAM_GONE
        except UpstreamConnectionLost:
            return TaskStatus.LOST, b"", Reason.TASK_LOST
        finally:
            self._unanswered -= 1
        if status == _HTTP_TOO_MANY_REQUESTS:
            now = clock.now()
            metrics.REJECTED_GRANTS.labels("upstream_busy").inc()
            # Other refused tasks still count as running: many answers can arrive
            # before the first of their tasks is finished.
            self._usable.on_refused(self._unanswered, now)
            self._slots = self._usable.usable(self._unanswered, now)
            return TaskStatus.REJECTED, b"", Reason.NO_SLOT
        self._usable.on_served()
        if status == _HTTP_OK:
            return TaskStatus.OK, _as_json(body), Reason.NONE
        return TaskStatus.FAILED, body[:1000], Reason.TASK_FAILED

    def _finish(self, home, key, value, started):
        now = clock.now()
        if isinstance(value, gevent.GreenletExit):
            value = (TaskStatus.CANCELLED, b"", Reason.CANCELLED)
        elif value is None:
            value = (TaskStatus.LOST, b"", Reason.TASK_LOST)
        status, body, reason = value
        self._running.pop(key, None)
        metrics.SLOTS_IN_USE.set(len(self._running))
        message = Result(*key, status, body, int((now - started) * 1e6), reason)
        self._started.record_result(key, message, now)
        self._queue_result(home, message)
        self._report_use(home, now)

    def _queue_result(self, home, result):
        # Results that are ready in the same turn of the event loop share a message.
        if home not in self._unsent:
            self._unsent[home] = []
            gevent.get_hub().loop.run_callback(self._flush, home)
        self._unsent[home].append(result)

    def _flush(self, home):
        results = self._unsent.pop(home)
        link = self._links.get(home)
        if link is not None:
            link.try_send(ResultBatch(results, self._report(home)))

    def _on_cancel(self, message, now):
        jobs = set(message.job_ids)
        for job_id in jobs:
            self._cancelled[job_id] = now
        for key, (_, task) in list(self._running.items()):
            if key[0] in jobs:
                task.kill(block=False)
        self._expire_cancelled(now)

    def _expire_cancelled(self, now):
        while self._cancelled:
            job_id, cancelled = next(iter(self._cancelled.items()))
            if now - cancelled < 60.0:
                return
            del self._cancelled[job_id]
