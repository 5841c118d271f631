"""A short soak of real entry processes; `python -m tests.entry_soak` runs longer ones."""

import asyncio
import unittest

from tests.entry_soak import broken_promises, play_soak

SEED = 1
ENTRIES = 5
SECONDS = 15.0
PER_SECOND = 60.0


class EntrySoakTest(unittest.TestCase):
    """Signals, restarts, refusing endpoints and limits in overlapping series."""

    def test_fixed_seed(self) -> None:
        """Guards against retries, limits and outcomes that hold only while processes live."""
        figures, played = asyncio.run(play_soak(SEED, ENTRIES, SECONDS, PER_SECOND))
        self.assertEqual(broken_promises(figures), [], (figures, played))


if __name__ == "__main__":
    unittest.main()
