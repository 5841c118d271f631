"""A test case that plays a soak of real entries once, and judges it in several tests."""

import asyncio
import typing
import unittest

from tests.entry_stops_soak import EntryStopsSoak, broken_promises, play_soak


class SoakCase(unittest.TestCase):
    """One play of a soak.

    Attributes:
      kind: The soak.
      seconds: How long it is played.
      per_second: The requests of all callers.
    """

    kind: typing.ClassVar[type[EntryStopsSoak]] = EntryStopsSoak
    seed = 1
    entries = 4
    seconds = 12.0
    per_second = 60.0

    @classmethod
    def setUpClass(cls) -> None:
        playing = play_soak(cls.seed, cls.entries, cls.seconds, cls.per_second, kind=cls.kind)
        cls.figures, cls.played = asyncio.run(playing)
        cls.broken = broken_promises(cls.figures, cls.kind)

    def assert_kept(self, *promises: str) -> None:
        """Asserts that none of some guarantees was violated."""
        found = {name: self.figures.get(name) for name in promises if name in self.broken}
        self.assertEqual(found, {}, self.played)
