"""A short soak of configurations; `python -m tests.configuration_soak` runs longer ones."""

import asyncio
import unittest

from tests.configuration_soak import ConfigurationSoak, broken_promises
from tests.entry_stops_soak import play_soak

SEED = 1
ENTRIES = 4
SECONDS = 10.0
PER_SECOND = 80.0


class ConfigurationSoakTest(unittest.TestCase):
    """Entries whose configurations change under load while they stand still for moments."""

    def test_fixed_seed(self) -> None:
        """Guards against a configuration that leaves a whole request without an answer."""
        playing = play_soak(SEED, ENTRIES, SECONDS, PER_SECOND, kind=ConfigurationSoak)
        figures, played = asyncio.run(playing)
        self.assertEqual(broken_promises(figures), [], (figures, played))


if __name__ == "__main__":
    unittest.main()
