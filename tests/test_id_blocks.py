"""
tests.test_id_blocks
~~~~~~~~~~~~~~~~~~~~

Job numbers that a coordinator issues in blocks.
"""

from testtools import TestCase

from papayaward.state.id_blocks import IdBlocks, NumberState

__all__ = []


class IdBlocksTest(TestCase):
    def test_number_is_used_once(self):
        """Guards against a second use of a number."""
        blocks = IdBlocks(600.0)
        first = blocks.issue(100, 0.0)
        self.assertIs(NumberState.UNUSED, blocks.mark_used(first + 99, 1.0))
        self.assertIs(NumberState.USED, blocks.mark_used(first + 99, 599.0))
        self.assertIs(NumberState.UNUSED, blocks.state(first + 98, 1.0))

    def test_block_expires_as_a_whole(self):
        """Guards against reuse after the coordinator has dropped its records."""
        blocks = IdBlocks(600.0)
        first = blocks.issue(10, 0.0)
        later = blocks.issue(10, 300.0)
        self.assertIs(NumberState.UNUSED, blocks.state(first, 599.9))
        self.assertIs(NumberState.EXPIRED, blocks.mark_used(first, 600.0))
        self.assertIs(NumberState.UNUSED, blocks.mark_used(later, 600.0))
        self.assertIs(NumberState.EXPIRED, blocks.mark_used(later, 900.0))

    def test_numbers_are_never_issued_twice(self):
        """Guards against issuing one number to two callers."""
        blocks = IdBlocks(1.0)
        seen = set()
        for number in range(20):
            first = blocks.issue(7, number * 0.3)
            block = set(range(first, first + 7))
            self.assertEqual(set(), seen & block)
            seen |= block

    def test_refused_number_is_never_issued(self):
        """Guards against running a job that was already answered with `not_run`."""
        blocks = IdBlocks(600.0)
        first = blocks.issue(10, 0.0)
        self.assertIs(NumberState.NOT_ISSUED, blocks.mark_used(first + 500, 1.0))
        self.assertGreater(blocks.issue(1000, 2.0), first + 500)
        self.assertIs(NumberState.EXPIRED, blocks.mark_used(first + 500, 3.0))

    def test_number_far_ahead_is_out_of_range(self):
        """Guards against one invalid request that uses up the numbers."""
        blocks = IdBlocks(600.0)
        first = blocks.issue(10, 0.0)
        self.assertIs(NumberState.OUT_OF_RANGE, blocks.mark_used(10**14, 1.0))
        self.assertIs(NumberState.OUT_OF_RANGE, blocks.mark_used(0, 1.0))
        self.assertLess(blocks.issue(10, 2.0), first + 1000)
