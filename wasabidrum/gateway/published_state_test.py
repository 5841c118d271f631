"""What an entry takes from others beside the store."""

import unittest

import logbook

from ..config.deployment import Bounds
from ..observe.event_log import EventLog
from .published_state import PublishedState


class ReportedVersionTest(unittest.TestCase):
    """A version that other processes have heard of before this one."""

    def test_weights_are_brought_but_nothing_is_refused_for_it(self) -> None:
        """A store that says nothing keeps an entry's call for seconds after sidecars have heard of
        a version. Weights that wait for the entry are late by that."""
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        state = PublishedState(Bounds(), log)
        state.record_reported_version("m", 3, 20.0)
        self.assertEqual(state.newest_version("m"), 3)
        self.assertEqual(state.oldest_to_place("m", 0.0), 0)
