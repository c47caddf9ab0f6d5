"""
papayaward.state.id_blocks
~~~~~~~~~~~~~~~~~~~~~~~~~~

Issues job numbers in blocks and tracks which of them were used.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["IdBlocks", "NumberState"]

# Numbers that are not issued yet can be refused permanently up to this far ahead.
# The bound limits how many of the 10^15 numbers one request can invalidate.
_MAX_REFUSED_AHEAD = 1 << 20


class NumberState(Enum):
    """State of one job number at the coordinator that issues it."""

    UNUSED = "unused"
    USED = "used"
    EXPIRED = "expired"
    NOT_ISSUED = "not_issued"
    OUT_OF_RANGE = "out_of_range"


@dataclass
class _Block:
    first: int
    count: int
    expires: float
    used: bytearray = field(repr=False)


class IdBlocks:
    """Issues numbers in blocks and keeps one bit per number until a block expires.

    Args:
        ttl_s: Lifetime of a block, in seconds.
    """

    def __init__(self, ttl_s):
        self._ttl_s = ttl_s
        self._blocks = deque()
        self._next_number = 1

    @property
    def ttl_s(self):
        """Lifetime of a block, in seconds."""
        return self._ttl_s

    def issue(self, count, now):
        """Issues a block and returns its first number."""
        self._expire(now)
        first = self._next_number
        self._next_number += count
        block = _Block(first, count, now + self._ttl_s, bytearray((count + 7) // 8))
        self._blocks.append(block)
        return first

    def state(self, number, now):
        """Returns the state of a number."""
        self._expire(now)
        if not 1 <= number < self._next_number + _MAX_REFUSED_AHEAD:
            return NumberState.OUT_OF_RANGE
        if number >= self._next_number:
            return NumberState.NOT_ISSUED
        block = self._find(number)
        if block is None:
            return NumberState.EXPIRED
        offset = number - block.first
        if block.used[offset >> 3] & (1 << (offset & 7)):
            return NumberState.USED
        return NumberState.UNUSED

    def mark_used(self, number, now):
        """Marks an unused number as used and returns its state before.

        A number that is not issued yet is skipped, so that it is never issued.
        """
        state = self.state(number, now)
        if state is NumberState.NOT_ISSUED:
            self._next_number = number + 1
        if state is NumberState.UNUSED:
            block = self._find(number)
            offset = number - block.first
            block.used[offset >> 3] |= 1 << (offset & 7)
        return state

    def _find(self, number):
        # Blocks are in ascending order; recent ones are looked up most often.
        for block in reversed(self._blocks):
            if block.first <= number:
                return block if number < block.first + block.count else None
        return None

    def _expire(self, now):
        while self._blocks and self._blocks[0].expires <= now:
            self._blocks.popleft()
