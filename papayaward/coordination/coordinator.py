"""
papayaward.coordination.coordinator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Coordinator of jobs: connects request handling, dispatch, results and answers.
"""

import json

import gevent
from gevent.event import Event

from .. import clock
from ..loops import repeat
from ..protocol.gen.ttypes import Query, QueryReply
from ..state.job_records import JobRecords
from .answers import Answers
from .dispatch import Dispatcher
from .request_handler import RequestHandler
from .results import Results

__all__ = ["Coordinator"]

_TICK_S = 0.05

# Tick interval while no job is open and only expired records have to be removed.
_IDLE_TICK_S = 1.0


class Coordinator:
    """Coordinates the jobs submitted to a runner and the executors of its cell.

    Messages to callers and operators call this runner the home of the job.

    Args:
        node: The runner; supplies `hello()`, `incarnation`, `config`, `settings`
            and `draining`.
    """

    def __init__(self, node):
        settings = node.settings
        self._node = node
        self._settings = settings
        self._records = JobRecords(
            settings.result_ttl_s, settings.max_queued_bytes // 2
        )
        self._dispatcher = Dispatcher(node, self._records)
        self._answers = Answers(self._records, self._dispatcher)
        self._results = Results(self._records, self._dispatcher, self._answers)
        self._dispatcher.on_deadline_infeasible = self._results.reject_infeasible
        self._requests = RequestHandler(
            node, self._records, self._dispatcher, self._answers
        )
        self._handlers = {
            Query: self._on_query,
            **self._requests.handlers,
            **self._results.handlers,
        }
        self._active = Event()
        gevent.spawn(repeat, self._wait_and_tick)

    @property
    def queued(self):
        """Number of tasks waiting for a slot."""
        return self._dispatcher.queued

    @property
    def open_jobs(self):
        """Number of jobs without an outcome."""
        return self._records.open_count

    def has_tasks_on(self, member):
        """Returns whether an executor holds tasks of this coordinator."""
        view = self._dispatcher.executors.get(member)
        return view is not None and bool(view.outstanding)

    def on_message(self, link, message, now):
        """Handles a message; returns False if it is not for a coordinator."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(link, message, now)
        self._active.set()
        return True

    def on_config(self):
        """Reschedules tasks after a change of the configuration."""
        self._dispatcher.refresh(clock.now())

    def on_members(self, members):
        """Updates the members of the cell, a list of `Member`."""
        self._dispatcher.on_members(members, clock.now())

    def on_executor_up(self, link, now):
        """Registers a link to an executor and resends its outstanding grants."""
        replaced = self._dispatcher.on_executor_up(link, now)
        if replaced is not None:
            self._results.on_executor_lost(replaced, now)

    def on_executor_down(self, link, now):
        """Starts the grace period of an executor whose link closed."""
        self._dispatcher.on_executor_down(link, now)
        self._active.set()

    def _on_query(self, link, message, now):
        if message.kind == "explain":
            document = self._explain(message.argument, now)
        else:
            document = self._status(now)
        body = json.dumps(document).encode()
        link.try_send(QueryReply(message.request_id, body))

    def _explain(self, job_id, now):
        record = self._records.get(job_id)
        if record is None:
            return {"job_id": job_id, "found": False}
        return {
            "job_id": job_id,
            "found": True,
            "tenant": record.spec.account,
            "class": record.spec.job_class,
            "tasks": record.tasks,
            "missing": record.missing_results,
            "outcome": record.outcome.outcome if record.done else "running",
            "reason": record.outcome.reason if record.done else "",
            "age_ms": int((now - record.arrived) * 1000),
            "events": record.timeline.export(),
        }

    def _status(self, now):
        return {
            "queued": self._dispatcher.queued,
            "open_jobs": self.open_jobs,
            "open_bytes": self._records.open_bytes,
            "messages_sent": dict(self._node.stats.sent),
            "executors": [
                {
                    "member": view.member,
                    "domain": view.domain,
                    "linked": view.link is not None,
                    "slots": view.slots,
                    "outstanding": len(view.outstanding),
                    "limit": view.limit,
                    "accepting": view.accepting,
                    "slowness": round(self._dispatcher.speeds.slowness(view.member), 2),
                }
                for view in self._dispatcher.executors.values()
            ],
            "ejected": self._dispatcher.ejection.ejected(now),
        }

    def _wait_and_tick(self):
        if self._idle:
            self._active.clear()
            self._active.wait(_IDLE_TICK_S)
        else:
            gevent.sleep(_TICK_S)
        self._tick(clock.now())

    @property
    def _idle(self):
        views = self._dispatcher.executors.values()
        return (
            not self.open_jobs
            and not self._dispatcher.queued
            and all(view.disconnected_at is None for view in views)
        )

    def _tick(self, now):
        for view in list(self._dispatcher.executors.values()):
            disconnected_at = view.disconnected_at
            grace_s = self._settings.reconnect_grace_s
            if disconnected_at is not None and now - disconnected_at > grace_s:
                self._results.on_executor_lost(view, now)
        for record in self._records.pop_overdue(now):
            self._results.expire(record, now)
        self._records.expire(now)
        self._results.start_due_hedges(now)
        self._dispatcher.refresh(now)
