"""
papayaward.coordination.evidence
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How recently the configuration version of a process was known to be current.

All times are readings of the process's own monotonic clock. A peer's message is
dated with the time at which this process sent the timestamp that the peer echoed,
so a delayed or paused peer can only make the evidence older.
"""

__all__ = ["EntryEvidence", "RunnerEvidence", "age_ms"]


def age_ms(evidence, now):
    """Returns the age of evidence for a heartbeat, in ms; -1 without evidence."""
    if evidence is None:
        return -1
    return max(0, int((now - evidence) * 1000) + 1)


class RunnerEvidence:
    """Evidence of a runner, taken from the heartbeats of entries."""

    def __init__(self):
        self._latest = None

    @property
    def latest(self):
        """Latest time at which the version was known to be current, or None."""
        return self._latest

    def on_heartbeat(self, echo_us, evidence_age_ms, entry_version, own_version):
        """Updates the evidence from an entry's heartbeat.

        Args:
            echo_us: Own timestamp that the entry echoed, in microseconds; 0 for none.
            evidence_age_ms: Age of the entry's evidence, in ms; -1 for none.
            entry_version: Configuration version in force at the entry.
            own_version: Configuration version in force in this process.
        """
        if echo_us == 0 or evidence_age_ms < 0 or entry_version > own_version:
            return
        evidence = echo_us / 1e6 - evidence_age_ms / 1e3
        if self._latest is None or evidence > self._latest:
            self._latest = evidence


class EntryEvidence:
    """Evidence of an entry: reads of the store or, in an outage, a majority of members.

    Args:
        store_max_age_s: Age of the last read of the store beyond which the echoes of
            a majority of members are used as well, in seconds.
        member_ttl_s: Time after which a member that sends nothing is removed while
            the store answers, in seconds. With a shorter time the two sides of a
            partition could count different members, and each have a majority.
    """

    def __init__(self, store_max_age_s=1.0, member_ttl_s=3600.0):
        self._store_max_age_s = store_max_age_s
        self._member_ttl_s = member_ttl_s
        self._store_read_at = None
        self._echoed_at = {}
        self._last_seen = {}

    @property
    def members(self):
        """Names of the members of which a majority is required."""
        return tuple(self._echoed_at)

    def on_store_read(self, sent_at, now):
        """Records a successful read of the store that was requested at `sent_at`."""
        if self._store_read_at is None or sent_at > self._store_read_at:
            self._store_read_at = sent_at
        expired = [
            m for m, at in self._last_seen.items() if now - at > self._member_ttl_s
        ]
        for member in expired:
            self.on_leave(member)

    def on_member(self, member, now, is_current):
        """Adds a member that joined.

        Args:
            member: Name of the member.
            now: Monotonic time, seconds.
            is_current: Whether its version is not higher than the entry's; only
                then is the time of joining used as evidence.
        """
        self._last_seen[member] = now
        self._echoed_at.setdefault(member, now if is_current else 0.0)

    def on_echo(self, member, echo_us, now):
        """Records the echo of an own timestamp by a member with no higher version."""
        self._last_seen[member] = now
        if echo_us and echo_us / 1e6 > self._echoed_at.get(member, 0.0):
            self._echoed_at[member] = echo_us / 1e6

    def on_leave(self, member):
        """Removes a member that announced its shutdown or sent nothing for too long."""
        self._echoed_at.pop(member, None)
        self._last_seen.pop(member, None)

    def latest(self, now):
        """Returns the time of the latest evidence, or None."""
        if self._store_read_at is None:
            return None
        if now - self._store_read_at <= self._store_max_age_s:
            return self._store_read_at
        return max(self._store_read_at, self._majority_time())

    def _majority_time(self):
        times = sorted(self._echoed_at.values(), reverse=True)
        if not times:
            return 0.0
        return times[len(times) // 2]
