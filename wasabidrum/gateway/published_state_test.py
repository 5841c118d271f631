"""Tests of what an entry learns from other processes rather than from the store."""

import unittest

import logbook

from ..config.deployment import Bounds
from ..observe.event_log import EventLog
from .published_state import PublishedState


class ReportedVersionTest(unittest.TestCase):
    """A version that other processes knew before this one."""

    def test_reported_version_is_fetched_but_does_not_restrict_placement(self) -> None:
        """A store that has nothing to say holds an entry's watch for seconds after sidecars have
        learnt of a version. If the entry waited for the store, it would fetch the weights that
        much later."""
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        state = PublishedState(Bounds(), log)
        state.record_reported_version("m", 3, 20.0)
        self.assertEqual(state.newest_version("m"), 3)
        self.assertEqual(state.oldest_to_place("m", 0.0), 0)
