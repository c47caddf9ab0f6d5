"""
tests.lease_model
~~~~~~~~~~~~~~~~~

Model of executors that keep runs for an entry until their lease rule ends them.

Nothing here waits: time is an attribute of the `World`. The entry is a real
`JobScheduler`, and what an executor knows of its entry is kept by a real `RunOwners`.
"""

from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.leased_runs import Run, unsettled_tasks
from papayaward.coordination.run_owners import RunOwners
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import resources_from_wire
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

__all__ = ["TwoRuns", "World"]

_JOB = "0123456789abcdef"
_TASKS = 2
# The rules of an executor (docs/platform.md, "Times").
_LEASE_S = 0.95
_SLOWEST_CLOCK = 0.98
_KILL_S = 0.05
_MAX_START_STALENESS_S = 0.45
# Longest time from the last request for a start to the end of the run that the next
# lifetime begins.
_LATE_RUN_S = 13.0
_HELLO = "hello"


class TwoRuns(AssertionError):
    """A run of a task may begin while another one may be active elsewhere."""


class _Channel:
    """A connection: messages under way, and which sides have it open."""

    def __init__(self, process, number, now):
        self.process = process
        self.at_entry = FakeLink(
            process.name, "runner", process.incarnation, link_number=number
        )
        self.at_executor = FakeLink("e1", link_number=number)
        self.at_executor.echoed_us = int(now * 1e6)
        self.to_entry, self.to_executor = [_HELLO], [_HELLO]
        self.is_open_at_entry = self.is_open_at_executor = True
        # Whether the handshake is complete on a side.
        self.is_up_at_entry = self.is_up_at_executor = False
        self.at_entry.try_send = self._send_to_executor

    def _send_to_executor(self, message):
        if self.is_open_at_entry:
            self.to_executor.append(message)
        return self.is_open_at_entry


class _Process:
    """A process of an executor, and the runs that it has begun on its upstream."""

    def __init__(self, name, incarnation, upstream, taken_over):
        self.name, self.incarnation = name, incarnation
        self.upstream, self.taken_over = upstream, taken_over
        self.owners = RunOwners()
        self.runs = {}
        self.channel = None
        self.is_running = True
        # Whether a later process is there, so that the upstream rejects its starts.
        self.is_superseded = False
        self.are_stops_lost = False
        self._reported = None

    @property
    def accepting(self):
        return self.taken_over and not self.is_superseded

    def last_active_at(self, run):
        """Returns the latest time at which a run may be active."""
        leased_until = run.last_wanted_at + _LEASE_S / _SLOWEST_CLOCK + _KILL_S
        if run.is_unsettled:
            return run.last_wanted_at + _LEASE_S + _LATE_RUN_S
        return leased_until

    def on_link_up(self, channel, now):
        older, self.channel = self.channel, channel
        if older is not None:
            older.is_open_at_executor = False
        channel.is_up_at_executor = True
        self.owners.connect(channel.at_executor)
        self._reported = None
        self.report()
        running = ttypes.RunningTasks(list(self.runs))
        channel.to_entry.append(running)

    def on_link_down(self, channel, now):
        channel.is_open_at_executor = False
        self.owners.disconnect(channel.at_executor, now)
        if self.channel is channel:
            self.channel = None

    def on_starts(self, channel, batch, world):
        owner = self.owners.of_link(channel.at_executor)
        if owner is None:
            return
        owner.last_batch = batch.number
        for group in batch.groups:
            need = resources_from_wire(group.need)
            for start in group.starts:
                reason = self._refusal_reason(owner, start, world.now)
                if reason:
                    end = ttypes.TaskEnd(start.task, start.run, "not_run:" + reason, 0)
                    owner.ends.append(end)
                    continue
                world.check_start(start.task, self)
                run = Run.of_start(group, start, need, owner, world.now)
                self.runs[start.task] = run
                owner.runs += 1

    def _refusal_reason(self, owner, start, now):
        if not self.accepting:
            return "not_reported"
        if now - owner.last_alive_at > _MAX_START_STALENESS_S:
            return "stale"
        return "duplicate" if start.task in self.runs else ""

    def stop(self, task, now):
        run = self.runs.get(task)
        if run is not None and not run.stopping:
            run.stop_requested_at = now

    def finish(self, run, outcome):
        del self.runs[run.task]
        run.owner.runs -= 1
        run.owner.ends.append(ttypes.TaskEnd(run.task, run.run, outcome, 1000))

    def tick(self, now):
        for owner in self.owners.silent(now):
            for run in list(self.runs.values()):
                self.stop(run.task, now)
        for run in list(self.runs.values()):
            if not run.is_unsettled and now > self.last_active_at(run):
                self.finish(run, "lapsed")
            elif run.running and run.stopping and not self.are_stops_lost:
                self.finish(run, "stopped")

    def report(self):
        """Sends a report if there is news."""
        owner = self.owners.of_link(self.channel.at_executor)
        unsettled = unsettled_tasks(self.runs.values(), owner)[0]
        news = (owner.last_batch, unsettled, self.accepting, self.taken_over)
        if not owner.ends and news == self._reported:
            return
        self._reported = news
        report = capacity_report(owner.last_batch, accepting=self.accepting)
        report.ends, owner.ends = owner.ends, []
        report.room.upstream = self.upstream
        report.room.taken_over = self.taken_over
        report.room.unsettled = unsettled or None
        self.channel.to_entry.append(report)


class World:
    """An entry, the executor `r1` whose links fail, and `r2` whose links don't.

    The greenlets of the `JobScheduler` are not needed.

    Args:
        rng: `random.Random` that chooses the events.
    """

    def __init__(self, rng):
        self.rng = rng
        self.now = 1000.0
        self.events = []
        self.scheduler = JobScheduler(lambda domain: False)
        self.processes = [
            _Process("r1", 1, "i-1@1", True),
            _Process("r2", 1, "i-2@1", True),
        ]
        self.channels = []
        self._numbers = 0
        # Channel of each executor that the entry uses, and the latest handshake.
        self._linked, self._latest = {}, {}
        self._stalled_to_entry = self._stalled_to_executor = False
        self.job = None
        for process in self.processes:
            self.dial(process)
        self.step(0.0)
        self.submit()
        self.step(0.02)

    @property
    def present(self):
        """The latest process of `r1`."""
        return [p for p in self.processes if p.name == "r1"][-1]

    # What the events do.

    def submit(self):
        request = job_request(_JOB, tasks=_TASKS, timeout_s=600.0)
        queue = job_queue(slack_s=600.0, attempts=1000)
        self.job = self.scheduler.submit(request, queue, self.now)

    def end_job(self):
        if self.job.outcome is None:
            self.scheduler.remove_caller(self.job, self.now)
        self.submit()

    def dial(self, process):
        self._numbers += 1
        self.channels.append(_Channel(process, self._numbers, self.now))

    def break_at_entry(self, channel):
        channel.is_open_at_entry = False
        if channel.is_up_at_entry and self._linked.get(channel.process.name) is channel:
            del self._linked[channel.process.name]
            self.scheduler.on_link_down(channel.at_entry, self.now)

    def break_at_executor(self, channel):
        if channel.is_open_at_executor:
            channel.process.on_link_down(channel, self.now)

    def replace_process(self):
        """Ends the process of `r1`; another one is there, and may not take over yet."""
        last = self.present
        last.is_running, last.is_superseded = False, True
        for channel in self.channels:
            if channel.process is last:
                channel.is_open_at_executor = False
        upstream = self.rng.choice(
            (last.upstream, "i-%d@1" % (len(self.processes) + 1))
        )
        next_process = _Process("r1", last.incarnation + 1, upstream, False)
        self.processes.append(next_process)
        self.dial(next_process)

    def take_over(self):
        process = self.present
        process.taken_over = True
        for other in self.processes:
            if other.name == "r1" and other is not process:
                if other.upstream == process.upstream:
                    other.runs.clear()
                for run in other.runs.values():
                    # The other instance executes no start that names this one.
                    run.running, run.identified, run.unanswered = True, True, 0

    def confirm(self, process):
        for run in process.runs.values():
            run.running, run.identified = True, True

    def leave_unanswered(self):
        for run in self.present.runs.values():
            run.unanswered += not run.running

    def end_run(self, process):
        runs = [run for run in process.runs.values() if run.running]
        if runs:
            process.finish(self.rng.choice(runs), self.rng.choice(("lost", "failed")))

    def check_start(self, task, process):
        """Raises `TwoRuns` if a run of a task may be active at another process."""
        for other in self.processes:
            run = other.runs.get(task)
            if run is None or other is process:
                continue
            if self.now <= other.last_active_at(run):
                raise TwoRuns(f"{task} at {process.name} beside {other.name}")

    # Time and messages.

    def step(self, seconds):
        """Advances the time, and delivers what the faults let through."""
        self.now += seconds
        for process in self.processes:
            if not process.is_running:
                continue
            process.tick(self.now)
            if self.rng.random() < _CONFIRMED_SHARE:
                self.confirm(process)
            is_linked = any(
                c.process is process and c.is_open_at_executor for c in self.channels
            )
            if not is_linked and self.rng.random() < _DIALLING_SHARE:
                self.dial(process)
            if process.channel is not None:
                process.report()
                stamp_us = int(self.now * 1e6)
                process.channel.to_entry.append(stamp_us)
        self._deliver()
        self.scheduler.check(self.now)
        self.scheduler.schedule(self.now)
        self._deliver()
        self.channels = [
            c for c in self.channels if c.is_open_at_entry or c.is_open_at_executor
        ]

    def _deliver(self):
        for channel in list(self.channels):
            may_stall = channel.process.name == "r1"
            if channel.to_entry and not (may_stall and self._stalled_to_entry):
                self._deliver_to_entry(channel)
            if channel.to_executor and not (may_stall and self._stalled_to_executor):
                self._deliver_to_executor(channel)

    def _deliver_to_entry(self, channel):
        messages, channel.to_entry = channel.to_entry, []
        for message in messages:
            if not channel.is_open_at_entry:
                return
            if message == _HELLO:
                self._on_link_up(channel)
            elif isinstance(message, int):
                channel.to_executor.append(message)
            else:
                self.scheduler.on_message(channel.at_entry, message, self.now)

    def _on_link_up(self, channel):
        peer = channel.at_entry.peer
        name = peer.member
        incarnation, number = self._latest.get(name, (None, 0))
        if incarnation == peer.incarnation and peer.link_number < number:
            channel.is_open_at_entry = False
            return
        self._latest[name] = peer.incarnation, peer.link_number
        older = self._linked.get(name)
        if older is not None:
            self.break_at_entry(older)
        self._linked[name] = channel
        channel.is_up_at_entry = True
        self.scheduler.on_link_up(channel.at_entry, self.now)

    def _deliver_to_executor(self, channel):
        messages, channel.to_executor = channel.to_executor, []
        process = channel.process
        for message in messages:
            if not channel.is_open_at_executor or not process.is_running:
                return
            if message == _HELLO:
                process.on_link_up(channel, self.now)
            elif isinstance(message, int):
                link = channel.at_executor
                link.echoed_us = max(link.echoed_us, message)
                process.owners.on_heartbeat(link, 0)
            elif isinstance(message, ttypes.StartBatch):
                process.on_starts(channel, message, self)
            elif isinstance(message, ttypes.StopBatch):
                for task in message.tasks:
                    process.stop(task, self.now)

    # Choice of the events.

    def run(self, events):
        """Lets some random events happen.

        Raises:
            TwoRuns: A task may have run twice at once.
        """
        names = list(_EVENTS)
        weights = list(_EVENTS.values())
        for name in self.rng.choices(names, weights, k=events):
            self.events.append((round(self.now - 1000.0, 3), name))
            getattr(self, "_" + name)()
            self.step(self.rng.choice(_STEPS_S))

    def _nothing(self):
        pass

    def _open_channels(self):
        return [c for c in self.channels if c.process.name == "r1"]

    def _some_channel_breaks_at_entry(self):
        for channel in self._open_channels():
            if channel.is_open_at_entry and self.rng.random() < 0.7:
                self.break_at_entry(channel)

    def _some_channel_breaks_at_executor(self):
        for channel in self._open_channels():
            if channel.is_open_at_executor and self.rng.random() < 0.7:
                self.break_at_executor(channel)

    def _link_breaks(self):
        for channel in self._open_channels():
            channel.to_entry.clear()
            channel.to_executor.clear()
            self.break_at_executor(channel)
            self.break_at_entry(channel)

    def _r1_dials(self):
        self.dial(self.present)

    def _earlier_process_dials(self):
        earlier = [p for p in self.processes if p.name == "r1"][:-1]
        if earlier:
            process = self.rng.choice(earlier)
            # It was paused, and learns nothing of the take-over at first.
            process.is_running = True
            self.dial(process)

    def _silence_to_entry(self):
        self._stalled_to_entry = not self._stalled_to_entry

    def _silence_to_executor(self):
        self._stalled_to_executor = not self._stalled_to_executor

    def _silence_ends(self):
        self._stalled_to_entry = self._stalled_to_executor = False

    def _stops_are_lost(self):
        self.present.are_stops_lost = not self.present.are_stops_lost

    def _starts_are_confirmed(self):
        self.confirm(self.present)
        self.confirm(self.processes[1])

    def _starts_have_no_reply(self):
        self.leave_unanswered()

    def _run_ends_at_r1(self):
        self.end_run(self.present)

    def _run_ends_at_r2(self):
        self.end_run(self.processes[1])

    def _process_is_replaced(self):
        if len(self.processes) < 5:
            self.replace_process()

    def _take_over(self):
        self.take_over()

    def _job_is_submitted_again(self):
        self.end_job()


# Share of the steps that bring the replies of the upstreams.
_CONFIRMED_SHARE = 0.3
# Share of the steps in which an executor without a link dials.
_DIALLING_SHARE = 0.7
_STEPS_S = (0.0, 0.05, 0.1, 0.1, 0.15, 0.15, 0.3)
# Relative frequencies.
_EVENTS = {
    "nothing": 4,
    "some_channel_breaks_at_entry": 3,
    "some_channel_breaks_at_executor": 3,
    "link_breaks": 8,
    "r1_dials": 2,
    "earlier_process_dials": 1,
    "silence_to_entry": 3,
    "silence_to_executor": 1,
    "silence_ends": 2,
    "stops_are_lost": 1,
    "starts_are_confirmed": 1,
    "starts_have_no_reply": 1,
    "run_ends_at_r1": 1,
    "run_ends_at_r2": 3,
    "process_is_replaced": 0.5,
    "take_over": 1,
    "job_is_submitted_again": 0.5,
}
