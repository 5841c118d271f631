"""Tests of backoff for slow and failing peers, and of failures blamed on the own link."""

import unittest

from .chunk_peer_health import (
    MAX_DISCARDED_FAILURES,
    SLOW_BACKOFF_SECONDS,
    WAIT_AFTER_SLOW_COUNT,
    ChunkPeerHealth,
)


class SilentPeerTest(unittest.TestCase):
    """One peer that is slow to answer, or sends corrupt bytes."""

    def setUp(self) -> None:
        self.health = ChunkPeerHealth()

    def test_all_requests_waiting_at_a_silent_peer_go_elsewhere(self) -> None:
        """Several chunks are requested from a suspended sidecar, and one request detects that it
        is silent. The others must not each wait until they have detected it themselves."""
        self.health.record_request("peer", 0.0)
        self.health.record_slow("peer", 1.0)
        self.assertTrue(self.health.is_skipped_as_slow("peer", 1.1))
        self.health.record_request("peer", 1.0 + SLOW_BACKOFF_SECONDS)
        self.assertFalse(self.health.is_skipped_as_slow("peer", 1.1 + SLOW_BACKOFF_SECONDS))
        self.health.record_answer("peer", True)
        self.assertFalse(self.health.is_skipped("peer", 1.2 + SLOW_BACKOFF_SECONDS))

    def test_peer_that_is_always_slow_is_waited_for_in_the_end(self) -> None:
        """The only holder of a chunk is behind a permanently slow link, and the origin is gone.
        If every request to it were aborted after a second, no instance would ever get the chunk."""
        now = 0.0
        for _ in range(WAIT_AFTER_SLOW_COUNT):
            self.assertFalse(self.health.should_wait_for("peer"))
            self.health.record_request("peer", now)
            self.health.record_slow("peer", now + 1.0)
            # Other requests that waited at the same peer report it too; they count once.
            self.health.record_slow("peer", now + 1.0)
            now += 10.0
        self.assertTrue(self.health.should_wait_for("peer"))

    def test_failures_of_the_own_link_are_discarded_for_a_limited_time(self) -> None:
        """A sidecar's own link is narrow, and all its requests fail. Counted against the peers,
        they would be skipped for a minute after the link has recovered; discarded for ever, a
        sidecar that is cut off would never turn to the origin."""
        for _ in range(MAX_DISCARDED_FAILURES):
            self.health.record_slow("peer", 0.0)
            self.assertTrue(self.health.discard_failures("peer"))
            self.assertFalse(self.health.is_skipped("peer", 0.1))
        self.assertFalse(self.health.discard_failures("peer"))
        self.health.record_answer("peer", False)
        self.assertTrue(self.health.discard_failures("peer"))

    def test_corrupt_bytes_are_never_discarded(self) -> None:
        self.health.record_failure("peer", 0.0, corrupt=True)
        self.assertFalse(self.health.discard_failures("peer"))
        self.assertTrue(self.health.is_skipped("peer", 1.0))
