"""
tests.activity_model
~~~~~~~~~~~~~~~~~~~~

Random orders of events for `RunActivity`, against a model of an upstream.

Nothing waits: the model has a clock of its own. Its requests may be executed late, also
by a later lifetime with the same identifier, and its replies may be lost or late. The
path to that lifetime may refuse all requests while it executes the late ones.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from papayaward.coordination.delivery_tracker import DeliveryTracker
from papayaward.coordination.fencing_token import FencingToken
from papayaward.coordination.late_starts import LateStarts
from papayaward.coordination.lease_clock import LeaseClock
from papayaward.coordination.leased_runs import Run
from papayaward.coordination.run_activity import RunActivity
from papayaward.coordination.run_numbers import RunNumbers
from papayaward.coordination.upstream_requests import Delivery, LossEvidence
from papayaward.protocol.jobs import Resources

__all__ = ["FalseProof", "Model"]

_SLOWEST_RATE = 0.98
_MAX_LEASE_MS = 1000
_KILL_S = 0.05
# Margin that a session adds to the end of its lease.
_KILL_MARGIN_S = 0.1
_UNLEASED_LOSS_S = 1.0
_MAX_DELAY_S = 12.0
_SHORT_DELAY_S = 1.5
_TOKEN_BASE = 10**12
# Number of late renewals before the path is lost, and the time between two polls.
_LATE_RENEWALS = 18
# Delay of the first of them; a start is executed immediately before it.
_FIRST_RENEWAL_S = 10.0
_RENEWAL_INTERVAL_S = 0.16
_CUT_S = 40.0
# Number of polls after which an upstream that is there is taken over.
_RECOVERY_POLLS = 8
# Time after which no request has an effect any more, with all the late ones.
_SETTLED_S = 50.0


class FalseProof(Exception):
    """A run counts as over while it is active or may begin, or its task is released.

    A task may start elsewhere only if no lifetime executes a request to start it.
    """


@dataclass
class _Lifetime:
    instance: str
    born_ms: int
    rate: float
    begun_at: float
    first_clock_ms: int
    token: int = 0
    lease_ms: int = 0
    active: dict = field(default_factory=dict)
    last_runs: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    crashed: bool = False

    def clock_ms(self, now):
        return int(self.first_clock_ms + (now - self.begun_at) * 1000 * self.rate)

    def enforce_lease(self, now):
        if self.clock_ms(now - _KILL_S) > self.lease_ms:
            for task in list(self.active):
                self.end(task)

    def end(self, task):
        run = self.active.pop(task)
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        self.ends.append((task, run))

    def start(self, now, task, run, token, lease_ms):
        if lease_ms <= self.clock_ms(now):
            return "late"
        if not self._accepts(token):
            return "fenced"
        self._extend(now, lease_ms)
        if self.active.get(task) == run:
            return "ok"
        if run <= self.last_runs.get(task, 0):
            return "old_run"
        if task in self.active:
            raise FalseProof(f"{task} is active under {self.active[task]} and {run}")
        self.active[task] = run
        return "ok"

    def stop(self, task, run, token):
        if not self._accepts(token):
            return "fenced"
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        if self.active.get(task) == run:
            self.end(task)
        return "ok"

    def poll(self, now, token, lease_ms):
        if not self._accepts(token):
            return "fenced"
        if lease_ms is not None:
            self._extend(now, lease_ms)
        return "ok"

    def may_accept(self, run, token):
        """Returns whether a late start may begin a run here."""
        return token >= self.token and run.run > self.last_runs.get(run.task, 0)

    def _accepts(self, token):
        self.token = max(self.token, token)
        return token >= self.token

    def _extend(self, now, lease_ms):
        latest_ms = self.clock_ms(now) + _MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(lease_ms, latest_ms))


class _Session:
    """What an `UpstreamSession` knows; see there and `UpstreamCalls`."""

    def __init__(self, instance, born_ms, lowest_token, is_up):
        self.instance = instance
        self.born_ms = born_ms if is_up else 0
        self.is_up = is_up
        self.token = FencingToken(lowest_token)
        self.lease = LeaseClock()
        self.closed = False
        self.taken_over = False
        # Time since which no request has been answered, None if the last one was.
        self.failing_since = None
        self.accepted_polls = 0
        self.identified_at = 0.0

    @property
    def failing(self):
        return self.failing_since is not None

    def on_no_reply(self, now):
        self.failing_since = now if self.failing_since is None else self.failing_since

    @property
    def all_ended_at(self):
        return self.lease.until + _KILL_MARGIN_S

    def may_have_reached_other(self, sent_at):
        return sent_at >= self.identified_at

    def is_same_lifetime(self, reply, sent_at):
        if not self.born_ms:
            return False
        if reply.born_ms:
            return reply.born_ms == self.born_ms
        return self.lease.continues(reply.clock_ms, sent_at)

    def is_other_lifetime(self, reply):
        return bool(self.born_ms and reply.born_ms and reply.born_ms != self.born_ms)


@dataclass(frozen=True)
class _Reply:
    outcome: str
    instance: str
    clock_ms: int
    born_ms: int
    active: dict
    ends: tuple


class Model:
    """An executor and its upstream.

    Args:
        seed: Seed of the order of events.

    Attributes:
        events: (time, text) of each event so far.
        proofs: `Proof` of each run that is over.
    """

    def __init__(self, seed):
        self.events = []
        self.proofs = []
        self._rng = random.Random(seed)
        self._now = 100.0
        self._due = []
        self._numbers = itertools.count(1)
        self._instances = 0
        self._lifetimes = 0
        self._lowest_token = 1
        # (run, instance, token) of each start that is under way.
        self._under_way = {}
        self._late_starts = LateStarts()
        self._run_numbers = RunNumbers()
        # Names of the tasks that had a run, the latest last.
        self._started = []
        self._trackers = {}
        # Time until which the entries start a task at this executor only, by its name.
        self._pinned_until = {}
        # Time until which the path refuses requests.
        self._cut_until = 0.0
        # Names of the tasks whose start will be answered; it is sent again otherwise.
        self._answered = set()
        self._runs = {}
        self._activity = RunActivity(self._runs, self._finish)
        self._lifetime = None
        self._begin_lifetime(keeps_instance=False)
        self._session = None
        self._open(is_up=True)

    def play(self, events):
        """Plays some events.

        Args:
            events: Number of events.

        Raises:
            FalseProof: A run counts as over that is not.
        """
        for _ in range(events):
            self._advance(self._rng.choice((0.0, 0.02, 0.1, 0.3, 1.0)))
            self._rng.choice(
                (
                    self._start,
                    self._start,
                    self._start,
                    self._poll,
                    self._poll,
                    self._poll,
                    self._poll,
                    self._poll,
                    self._poll,
                    self._stop,
                    self._end_run,
                    self._crash,
                    self._return,
                    self._restart,
                    self._lose_path,
                    self._report,
                    self._check,
                )
            )()
        self._lose_path()
        for _ in range(int(_SETTLED_S)):
            self._advance(1.0)
            self._check()

    # Time.

    def _advance(self, seconds):
        until = self._now + seconds
        while self._due and self._due[0][0] <= until:
            self._now, _, function = heapq.heappop(self._due)
            self._lifetime.enforce_lease(self._now)
            function()
            self._check_active()
        self._now = until
        self._lifetime.enforce_lease(self._now)
        self._check_active()

    def _later(self, seconds, function):
        heapq.heappush(self._due, (self._now + seconds, next(self._numbers), function))

    def _note(self, text):
        self.events.append((round(self._now, 3), text))

    # The upstream.

    def _begin_lifetime(self, keeps_instance):
        if not keeps_instance:
            self._instances += 1
        self._lifetimes += 1
        is_first = self._lifetimes == 1
        self._lifetime = _Lifetime(
            f"i-{self._instances}",
            self._lifetimes,
            self._rng.uniform(_SLOWEST_RATE, 1.0),
            self._now,
            self._rng.choice((1000, 480_000)) if is_first else 1000,
        )
        self._note(f"{self._lifetime.instance}/{self._lifetimes} begins")

    def _crash(self):
        if not self._lifetime.crashed and self._rng.random() < 0.6:
            self._lifetime.crashed = True
            self._lifetime.active.clear()
            self._note("crash")

    def _return(self):
        if self._lifetime.crashed:
            self._begin_lifetime(keeps_instance=self._rng.random() < 0.7)

    def _restart(self):
        """The upstream starts again under its identifier, which nobody notices yet."""
        if self._started and self._rng.random() < 0.3:
            self._lifetime.crashed = True
            self._begin_lifetime(keeps_instance=True)

    def _lose_path(self):
        """Renewals are late; then the path refuses, and the upstream may restart."""
        for _ in range(_RECOVERY_POLLS):
            self._return()
            self._poll("answered")
            self._advance(_RENEWAL_INTERVAL_S)
        session = self._session
        if not session.taken_over or session.failing or self._is_cut:
            return
        # A run that the leases are renewed for.
        self._send_start(self._choose_run(session), "answered")
        self._end_with_open_request(session)
        for _ in range(_LATE_RENEWALS):
            # After a request without a reply, the next poll carries no lease.
            late_s = self._rng.uniform(_FIRST_RENEWAL_S, _MAX_DELAY_S)
            for fate in (late_s, "answered", "answered"):
                self._poll(fate)
                self._advance(_RENEWAL_INTERVAL_S)
        if self._rng.random() < 0.6:
            self._lifetime.crashed = True
            self._begin_lifetime(keeps_instance=True)
        self._cut_until = self._now + self._rng.uniform(0.0, _CUT_S)
        self._note(f"connections are refused until {self._cut_until:.3f}")

    def _end_with_open_request(self, session):
        """A run ends while an earlier request to start it is under way."""
        self._started.append(f"j.{next(self._numbers)}")
        run = self._new_run(self._started[-1], session)
        late_s = self._rng.uniform(_FIRST_RENEWAL_S - 1.0, _FIRST_RENEWAL_S)
        for fate in (late_s, "answered"):
            self._send_start(run, fate)
        self._advance(_RENEWAL_INTERVAL_S)
        if run.task in self._lifetime.active:
            self._lifetime.end(run.task)

    def _end_run(self):
        if self._lifetime.active:
            self._lifetime.end(self._rng.choice(sorted(self._lifetime.active)))

    # Requests: each is executed now, late or never, and answered or not.

    @property
    def _is_cut(self):
        return self._now < self._cut_until

    def _send(self, name, handle, on_reply, on_executed=lambda: None, fate=None):
        """Sends a request; returns whether there will be a reply.

        If it is given, its fate is `answered`, or the delay of its execution, seconds.
        """
        session, sent_at = self._session, self._now
        if self._is_cut:
            session.on_no_reply(self._now)
            return False

        def execute():
            lifetime = self._lifetime
            on_executed()
            if lifetime.crashed or lifetime.instance != session.instance:
                return None
            outcome = handle(lifetime)
            self._note(f"{name} executed at {lifetime.born_ms}: {outcome}")
            return outcome

        fate = fate or self._rng.choice(
            ("answered", "answered", "answered", "no reply", "late", "lost", "error")
        )
        lifetime = self._lifetime
        if isinstance(fate, float):
            self._note(f"{name} is under way")
            self._later(fate, execute)
        elif fate == "late":
            self._note(f"{name} is under way")
            # Many of them meet a lifetime that is about to be taken over.
            longest_s = self._rng.choice((_SHORT_DELAY_S, _MAX_DELAY_S))
            self._later(self._rng.uniform(0.05, longest_s), execute)
        elif lifetime.crashed or fate == "lost":
            on_executed()
        elif lifetime.instance != session.instance:
            on_executed()
            if fate == "answered":
                self._reply_later(session, sent_at, "other_instance", on_reply)
                return True
        elif fate == "error":
            on_executed()
            self._reply_later(session, sent_at, "unhealthy", on_reply)
            return True
        else:
            outcome = execute()
            if fate == "answered":
                self._reply_later(session, sent_at, outcome, on_reply)
                return True
        session.on_no_reply(self._now)
        return False

    def _reply_later(self, session, sent_at, outcome, on_reply):
        lifetime = self._lifetime
        reply = _Reply(
            outcome,
            lifetime.instance,
            lifetime.clock_ms(self._now),
            lifetime.born_ms,
            dict(lifetime.active),
            tuple(lifetime.ends),
        )
        self._later(
            self._rng.choice((0.001, 0.02, 0.15)),
            lambda: on_reply(session, reply, sent_at),
        )

    def _on_reply(self, session, reply, sent_at):
        """Does as `UpstreamCalls`; returns whether the session is lost."""
        if reply.outcome == "other_instance":
            self._lose(session, LossEvidence.OTHER_INSTANCE)
            return True
        if reply.outcome == "unhealthy":
            session.on_no_reply(self._now)
            return False
        session.is_up = True
        if session.is_other_lifetime(reply):
            self._lose(session, LossEvidence.OTHER_LIFETIME)
            return True
        session.failing_since = None
        session.born_ms = session.born_ms or reply.born_ms
        if session.is_same_lifetime(reply, sent_at):
            session.identified_at = max(session.identified_at, sent_at)
        session.lease.on_reply(reply.clock_ms, self._now)
        if reply.outcome == "fenced":
            session.token.on_fenced(session.token.value)
        return False

    # The executor.

    def _start(self):
        session = self._session
        if session is None or not session.taken_over or session.failing:
            return
        if self._is_cut:
            session.on_no_reply(self._now)
            return
        self._send_start(self._choose_run(session))

    def _send_start(self, run, fate=None):
        session, tracker = run.session, self._trackers[id(run)]
        if not tracker.may_send():
            return
        number, token = next(self._numbers), session.token.value
        until = self._now + self._rng.uniform(0.2, 0.95)
        lease_ms = session.lease.lease_ms(until)
        self._under_way[number] = run, session.instance, token
        tells_born = self._rng.random() < 0.6

        def on_reply(session, reply, sent_at):
            self._answered.discard(run.task)
            if not tells_born:
                reply = _Reply(**{**vars(reply), "born_ms": 0})
            is_other = session.is_other_lifetime(reply)
            is_same = session.is_same_lifetime(reply, sent_at)
            if not is_other or reply.outcome == "other_instance":
                tracker.on_reply(reply.outcome == "ok", is_same)
            if self._on_reply(session, reply, sent_at) or run.ended:
                return
            if run.session_closed:
                return
            if reply.outcome == "ok":
                run.running, run.started_at = True, self._now
            elif run.delivery is Delivery.NOT_DELIVERED:
                self._activity.on_not_started(run, reply.outcome, self._now)

        is_answered = self._send(
            f"start {run.task} {run.run}",
            lambda lifetime: lifetime.start(
                self._now, run.task, run.run, token, lease_ms
            ),
            on_reply,
            lambda: self._under_way.pop(number),
            fate,
        )
        if is_answered:
            self._answered.add(run.task)

    def _choose_run(self, session):
        """Returns a new run, or one whose start has no reply yet."""
        unconfirmed = [
            run
            for run in self._runs.values()
            if run.session is session
            and not run.running
            and run.task not in self._answered
        ]
        if unconfirmed and self._rng.random() < 0.5:
            return self._rng.choice(unconfirmed)
        repeated = [
            task
            for task in self._started
            if task not in self._runs
            and not self._late_starts.is_rejected(task, session)
        ]
        if repeated and self._rng.random() < 0.5:
            return self._new_run(self._rng.choice(repeated[-3:]), session)
        self._started.append(f"j.{next(self._numbers)}")
        return self._new_run(self._started[-1], session)

    def _new_run(self, task, session):
        """Returns a run of a task, as `LeasedExecutor` does for a start."""
        number = self._run_numbers.next(task, 1)
        run = Run(task, number, "", Resources(), None, "r", "q", 0, 1.0, 1.0, self._now)
        run.session = session
        self._late_starts.on_run_accepted(run)
        self._runs[task] = run
        self._trackers[id(run)] = self._tracker(run, session)
        return run

    def _tracker(self, run, session):
        def on_unanswered(count):
            if count and count >= run.unanswered:
                run.sent_at = self._now
            run.unanswered = count

        def on_identified():
            run.identified = True

        return DeliveryTracker(
            run.on_start_answered,
            on_unanswered,
            on_identified,
            lambda: not session.closed,
        )

    def _stop(self):
        session = self._session
        runs = [run for run in self._runs.values() if run.running]
        if session is None or not runs:
            return
        run, token = self._rng.choice(runs), session.token.value
        if run.session is session:
            self._send(
                f"stop {run.task}",
                lambda lifetime: lifetime.stop(run.task, run.run, token),
                self._on_reply,
            )

    def _poll(self, fate=None):
        session = self._session
        if session is None:
            return
        token, lease_ms = session.token.value, None
        if session.taken_over and self._runs and not session.failing:
            lease_s = self._rng.uniform(0.2, 0.95) if fate is None else 0.95
            lease_ms = session.lease.lease_ms(self._now + lease_s)

        def on_reply(session, reply, sent_at):
            if self._on_reply(session, reply, sent_at) or session.closed:
                return
            if reply.outcome == "ok":
                self._on_lists(session, reply)

        self._send(
            "poll",
            lambda lifetime: lifetime.poll(self._now, token, lease_ms),
            on_reply,
            fate=fate,
        )

    def _on_lists(self, session, reply):
        for task, number in reply.ends:
            run = self._runs.get(task)
            if run is not None and number >= run.run:
                run.on_listed()
                self._activity.on_listed_end(run, "stopped", self._now)
        for task, number in reply.active.items():
            run = self._runs.get(task)
            if run is None:
                self._late_starts.on_listed(task, number, session, reply.born_ms)
            elif number >= run.run:
                run.on_listed()
                run.on_found(reply.born_ms)
                if not run.session_closed:
                    run.identified = True
        if not session.taken_over:
            self._take_over(session, reply)

    def _take_over(self, session, reply):
        """Does one step of a take-over, as `UpstreamSession` after each poll."""
        session.accepted_polls += 1
        if session.accepted_polls == 1:
            session.token.raise_to(reply.clock_ms)
            session.token.raise_above_accepted()
            return
        for task, number in reply.active.items():
            token = session.token.value
            self._send(
                f"stop {task}",
                lambda lifetime, task=task, number=number, token=token: lifetime.stop(
                    task, number, token
                ),
                self._on_reply,
            )
        if not reply.active:
            session.taken_over = True
            self._note("taken over")
            self._activity.on_taken_over(session, self._now)
            self._late_starts.on_taken_over(session)

    def _report(self):
        """A report names another lifetime: the next one, or one that has ended."""
        if self._session is not None and self._rng.random() < 0.3:
            self._close(LossEvidence.REPORTED)
            self._open(is_up=True)

    def _check(self):
        self._activity.check(self._now)
        self._late_starts.forget_expired(self._session, self._now)
        self._check_released()
        session = self._session
        if not session.is_up or not session.failing:
            return
        is_long = self._now - session.failing_since > _UNLEASED_LOSS_S
        if self._now > session.all_ended_at and (self._runs or is_long):
            self._lose(session, LossEvidence.SILENT)

    def _check_active(self):
        """Checks that no task is active that may start elsewhere."""
        for task in self._lifetime.active:
            if task not in self._runs and not self._is_pinned(task):
                raise FalseProof(f"{task} is active and released")

    def _is_pinned(self, task):
        """Returns whether the executor and the entries know of a late start."""
        is_told = self._now < self._pinned_until.get(task, 0.0)
        return is_told and task in self._late_starts

    def _lose(self, session, evidence):
        if session.closed:
            return
        self._close(evidence)
        # After another instance has replied, its report opens the next session.
        self._open(is_up=evidence is LossEvidence.OTHER_INSTANCE)

    def _open(self, is_up):
        lowest = max(self._lowest_token, _TOKEN_BASE + int(self._now * 1000))
        lifetime = self._lifetime
        self._session = _Session(lifetime.instance, lifetime.born_ms, lowest, is_up)

    def _close(self, evidence):
        session = self._session
        session.closed = True
        self._lowest_token = session.token.value + 1
        self._note(f"closed: {evidence.value}")
        self._activity.on_session_closed(session, evidence, "model", self._now)
        self._late_starts.on_session_closed(session)

    def _finish(self, run, outcome, now):
        del self._runs[run.task]
        self.proofs.append(run.proof)
        self._note(f"{run.task} is over: {run.proof.value}")
        additions = self._late_starts.additions
        self._late_starts.on_run_over(run, now)
        for start in self._late_starts.added_after(additions):
            self._pinned_until[start.task] = start.renewable_until
        self._run_numbers.on_run_over(run, now)
        if run.late_requests and not self._session.closed:
            self._session.token.raise_above_sent()
        self._check_proof(run)
        self._check_released()

    def _check_proof(self, run):
        lifetime = self._lifetime
        lifetime.enforce_lease(self._now)
        # A later lifetime may have executed an earlier request, so the task is pinned.
        is_earlier = run.earlier_requests and run.task in self._late_starts
        is_later = lifetime.born_ms > run.session.born_ms
        if lifetime.active.get(run.task) == run.run and not (is_earlier and is_later):
            raise FalseProof(f"{run.task} is active: {run.proof.value}")
        for started, instance, token in self._under_way.values():
            is_there = instance == lifetime.instance and not lifetime.crashed
            if started.task != run.task or not is_there:
                continue
            # A proof is about the lifetimes that the session has seen.
            is_seen = lifetime.born_ms == self._session.born_ms
            if is_seen and lifetime.may_accept(run, token):
                raise FalseProof(f"{run.task} may begin: {run.proof.value}")

    def _check_released(self):
        """Checks that no request can start a task that may start elsewhere."""
        for run, instance, _ in self._under_way.values():
            is_there = instance == self._lifetime.instance
            if not run.ended or not is_there or self._is_pinned(run.task):
                continue
            next_run = self._runs.get(run.task)
            if next_run is None:
                raise FalseProof(f"{run.task} is released: {run.proof.value}")
            if next_run.run != run.run:
                raise FalseProof(f"{run.task} has two numbers: {run.proof.value}")
