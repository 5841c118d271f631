"""Tests of what an entry learns from other processes rather than from the store."""

import json
import unittest

import logbook

from ..config.deployment import Bounds
from ..core.store_change import StoreChange, StorePosition, StoreReading
from ..observe.event_log import EventLog
from ..platform import names
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


class ListedEndpointCase(unittest.TestCase):
    """An endpoint that is registered."""

    def setUp(self) -> None:
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.state = PublishedState(Bounds(), log)
        self.told: list[int] = []
        self.state.on_endpoint = lambda endpoint, before, not_before: self.told.append(
            endpoint.slots
        )
        self.state.apply_snapshot(self.read(1, 9, slots=4), 10.0)

    def read(self, epoch: int, revision: int, **facts: object) -> StoreReading:
        """Returns a snapshot with the endpoint's registration."""
        entry = {"service": "tally", "address": "10.0.0.1:80", "zone": "rift-a", "version": "v1"}
        entry |= {"state": "ready", "sequence": 1, "born": 5}
        content = json.dumps(entry | facts).encode()
        change = StoreChange(names.ENDPOINT_PREFIX + "a", revision, content)
        return StoreReading((change,), revision, epoch)


class RestoredStoreTest(ListedEndpointCase):
    """An endpoint that is registered when the store comes back from a copy."""

    def test_registration_that_is_as_before_is_not_new(self) -> None:
        """Guards against endpoints that count as cold again because a copy lists them."""
        self.state.apply_snapshot(self.read(2, 3, slots=4), 20.0)
        self.assertEqual(self.told, [4])
        self.state.apply_changes(self.read(2, 4, slots=5), 21.0)
        self.assertEqual(self.told, [4, 5])

    def test_position_is_that_of_the_new_epoch(self) -> None:
        """Guards against watches that go on after a revision of the time before."""
        self.state.apply_snapshot(self.read(2, 3, slots=4), 20.0)
        self.assertEqual(self.state.position, (2, 3))
        whole, changes = self.state.changes_after(StorePosition(1, 9))
        self.assertEqual((whole, [change.revision for change in changes]), (True, [3]))
        self.assertEqual(self.state.changes_after(StorePosition(3, 1)), (False, []))


class OlderSnapshotTest(ListedEndpointCase):
    """A snapshot that was begun before another entry told of a later change."""

    def test_later_registration_stays(self) -> None:
        """Guards against an endpoint that is unlisted because it registered during the read."""
        self.state.apply_changes(self.read(1, 12, slots=5), 11.0)
        self.state.apply_snapshot(StoreReading((), 10, 1), 12.0)
        self.assertEqual(self.state.endpoints.get("a").slots, 5)
        whole, changes = self.state.changes_after(StorePosition(1, 10))
        self.assertEqual([change.revision for change in changes], [12])

    def test_endpoint_that_the_snapshot_lacks_is_unlisted(self) -> None:
        """Guards against endpoints that have left while changes were missed."""
        self.state.apply_snapshot(StoreReading((), 10, 1), 12.0)
        self.assertIsNone(self.state.endpoints.get("a"))
