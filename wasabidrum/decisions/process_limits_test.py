"""Tests of what others can make a process hold."""

import itertools
import unittest

from .process_limits import CONNECTION_BYTES, UNREAD_BYTES, make_process_limits


class ProcessLimitsTest(unittest.TestCase):
    """Limits follow from the memory and the descriptors of the instance."""

    def test_parts_fit_in_the_whole(self) -> None:
        """Guards against limits that together exceed the instance."""
        for memory, descriptors in itertools.product((64, 128, 300, 1024), (128, 300, 1124, 4200)):
            limits = make_process_limits(memory, descriptors)
            held = limits.connections * (CONNECTION_BYTES + UNREAD_BYTES)
            held += limits.unfinished_bytes + limits.whole_bytes + limits.message_bytes
            self.assertLess(held, memory * 1_000_000 / 2)
            self.assertLess(limits.connections, descriptors)
            self.assertGreater(limits.connections, 40)
            self.assertGreaterEqual(limits.share_of_connections(0.01), 4)


if __name__ == "__main__":
    unittest.main()
