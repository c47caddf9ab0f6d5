"""
papayaward.state.id_blocks
~~~~~~~~~~~~~~~~~~~~~~~~~~

Blocks of job numbers that a home has issued, and which were used.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["IdBlocks", "NumberState"]

# Numbers up to this far ahead can be refused for good. One request uses up at
# most so many of the 10^15 numbers.
_REFUSABLE = 1 << 20


class NumberState(Enum):
    """State of one job number at its home."""

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
    """Issues numbers in blocks and keeps one bit a number until a block expires.

    Args:
        ttl_s: Lifetime of a block, in seconds.
    """

    def __init__(self, ttl_s):
        self._ttl_s = ttl_s
        self._blocks = deque()
        self._next = 1

    @property
    def ttl_s(self):
        """Lifetime of a block, in seconds."""
        return self._ttl_s

    def issue(self, count, now):
        """Issues a block and returns its first number."""
        self._expire(now)
        first = self._next
        self._next += count
        block = _Block(first, count, now + self._ttl_s, bytearray((count + 7) // 8))
        self._blocks.append(block)
        return first

    def state(self, number, now):
        """Returns the state of a number."""
        self._expire(now)
        if not 1 <= number < self._next + _REFUSABLE:
            return NumberState.OUT_OF_RANGE
        if number >= self._next:
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

        A number that was not issued never will be.
        """
        state = self.state(number, now)
        if state is NumberState.NOT_ISSUED:
            self._next = number + 1
        if state is NumberState.UNUSED:
            block = self._find(number)
            offset = number - block.first
            block.used[offset >> 3] |= 1 << (offset & 7)
        return state

    def _find(self, number):
        # Blocks are in order; the newest ones are asked for most.
        for block in reversed(self._blocks):
            if block.first <= number:
                return block if number < block.first + block.count else None
        return None

    def _expire(self, now):
        while self._blocks and self._blocks[0].expires <= now:
            self._blocks.popleft()
