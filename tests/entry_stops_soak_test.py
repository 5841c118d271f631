"""A short soak of entries that stop; `python -m tests.entry_stops_soak` runs longer ones."""

import asyncio
import unittest

from tests.entry_stops_soak import broken_promises, play_soak

SEED = 1
ENTRIES = 5
SECONDS = 10.0
PER_SECOND = 60.0


class EntryStopsSoakTest(unittest.TestCase):
    """Entries that stop in series, beside changes, silent endpoints and lack of processor."""

    def test_fixed_seed(self) -> None:
        """Guards against a stop that leaves a whole request without an answer."""
        figures, played = asyncio.run(play_soak(SEED, ENTRIES, SECONDS, PER_SECOND))
        self.assertEqual(broken_promises(figures), [], (figures, played))


if __name__ == "__main__":
    unittest.main()
