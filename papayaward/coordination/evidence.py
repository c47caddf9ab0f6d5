"""
papayaward.coordination.evidence
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How recently the configuration version of a process was known to be current.

All times are readings of the process's own monotonic clock. A peer's statement
counts from the moment at which this process sent the stamp that the peer
echoed, so a delayed or paused peer can only make the evidence older.
"""

__all__ = ["EntryEvidence", "RunnerEvidence", "age_ms"]


def age_ms(evidence, now):
    """Returns the age for a heartbeat, in ms; -1 without evidence."""
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
        """Takes the evidence in an entry's heartbeat.

        Args:
            echo_us: Own stamp that the entry echoed, 0 for none.
            evidence_age_ms: Age of the entry's evidence, -1 for none.
            entry_version: Version in force at the entry.
            own_version: Version in force here.
        """
        if echo_us == 0 or evidence_age_ms < 0 or entry_version > own_version:
            return
        evidence = echo_us / 1e6 - evidence_age_ms / 1e3
        if self._latest is None or evidence > self._latest:
            self._latest = evidence


class EntryEvidence:
    """Evidence of an entry: the store's head or, without it, a majority of members.

    Args:
        store_max_age_s: Age of the last read of the store from which on the
            members are counted instead, in seconds.
        member_ttl_s: Time after which a member that is not heard is forgotten while
            the store answers, in seconds. A shorter time would let the two sides of
            a partition count different members, and each have a majority.
    """

    def __init__(self, store_max_age_s=1.0, member_ttl_s=3600.0):
        self._store_max_age_s = store_max_age_s
        self._member_ttl_s = member_ttl_s
        self._store_read = None
        self._echoes = {}
        self._heard = {}

    @property
    def members(self):
        """Names of the members that count for the majority."""
        return tuple(self._echoes)

    def on_store_read(self, sent_at, now):
        """Takes a successful read of the store's head, sent at `sent_at`."""
        if self._store_read is None or sent_at > self._store_read:
            self._store_read = sent_at
        gone = [m for m, at in self._heard.items() if now - at > self._member_ttl_s]
        for member in gone:
            self.on_leave(member)

    def on_member(self, member, now, is_current):
        """Adds a member that joined.

        Args:
            member: Name of the member.
            now: Monotonic time, seconds.
            is_current: Whether its version is not higher than the entry's; only
                then it counts as heard.
        """
        self._heard[member] = now
        self._echoes.setdefault(member, now if is_current else 0.0)

    def silent_s(self, member, now):
        """Returns the time since a member was last heard, in seconds."""
        return now - self._heard[member]

    def on_echo(self, member, echo_us, now):
        """Takes the echo of an own stamp by a member whose version is not higher."""
        self._heard[member] = now
        if echo_us and echo_us / 1e6 > self._echoes.get(member, 0.0):
            self._echoes[member] = echo_us / 1e6

    def on_leave(self, member):
        """Removes a member that announced its stop."""
        self._echoes.pop(member, None)
        self._heard.pop(member, None)

    def latest(self, now):
        """Returns the time of the latest evidence, or None."""
        if self._store_read is None:
            return None
        if now - self._store_read <= self._store_max_age_s:
            return self._store_read
        return max(self._store_read, self._majority_time())

    def _majority_time(self):
        times = sorted(self._echoes.values(), reverse=True)
        if not times:
            return 0.0
        return times[len(times) // 2]
