"""A short soak of what endpoints say; `python -m tests.endpoint_notices_soak` runs longer ones."""

import asyncio
import unittest

from tests.endpoint_notices_soak import EndpointNoticesSoak
from tests.entry_stops_soak import broken_promises, play_soak

SEED = 1
ENTRIES = 4
SECONDS = 12.0
PER_SECOND = 60.0


class EndpointNoticesSoakTest(unittest.TestCase):
    """Endpoints that say in their answers what they want, while the store comes and goes."""

    def test_fixed_seed(self) -> None:
        """Guards against entries that hear only what the store says of endpoints."""
        kind = EndpointNoticesSoak
        figures, played = asyncio.run(play_soak(SEED, ENTRIES, SECONDS, PER_SECOND, kind=kind))
        self.assertEqual(broken_promises(figures, kind), [], (figures, played))


if __name__ == "__main__":
    unittest.main()
