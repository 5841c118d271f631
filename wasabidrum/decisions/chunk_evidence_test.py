"""Tests of what speaks against a peer that is silent, and of what excuses it."""

import unittest

from .chunk_evidence import (
    MOST_EXCUSES,
    PATIENT_AFTER_SILENCES,
    SLOW_PAUSE_SECONDS,
    ChunkEvidence,
)


class SilentPeerTest(unittest.TestCase):
    """One peer that does not answer."""

    def setUp(self) -> None:
        self.evidence = ChunkEvidence()

    def test_all_who_wait_at_a_silent_peer_go_elsewhere(self) -> None:
        """Several chunks are waited for at a sidecar that is suspended. One of them finds that
        out; the others would each wait until they have found it out as well."""
        self.evidence.begin_ask("peer", 0.0)
        self.evidence.record_slow("peer", 1.0)
        self.assertTrue(self.evidence.silent("peer", 1.1))
        self.evidence.begin_ask("peer", 1.0 + SLOW_PAUSE_SECONDS)
        self.assertFalse(self.evidence.silent("peer", 1.1 + SLOW_PAUSE_SECONDS))
        self.evidence.record_answer("peer", True)
        self.assertFalse(self.evidence.avoided("peer", 1.2 + SLOW_PAUSE_SECONDS))

    def test_one_that_is_always_silent_is_waited_for_at_last(self) -> None:
        """The only holder of a chunk stands behind a link that is slow for good, and the origin
        is away. If every request to it were given up after a second, nobody would ever have
        the chunk."""
        now = 0.0
        for _ in range(PATIENT_AFTER_SILENCES):
            self.assertFalse(self.evidence.deserves_patience("peer"))
            self.evidence.begin_ask("peer", now)
            self.evidence.record_slow("peer", now + 1.0)
            # The other requests that waited there say the same, and count once.
            self.evidence.record_slow("peer", now + 1.0)
            now += 10.0
        self.assertTrue(self.evidence.deserves_patience("peer"))

    def test_what_the_own_link_may_have_done_is_excused_for_a_while(self) -> None:
        """A sidecar's own link is narrow, and every request of its own fails. Held against the
        peers, these would be passed over for a minute after the link is well again; excused for
        ever, one that is left alone would never turn to the origin."""
        for _ in range(MOST_EXCUSES):
            self.evidence.record_slow("peer", 0.0)
            self.assertTrue(self.evidence.excuse("peer"))
            self.assertFalse(self.evidence.avoided("peer", 0.1))
        self.assertFalse(self.evidence.excuse("peer"))
        self.evidence.record_answer("peer", False)
        self.assertTrue(self.evidence.excuse("peer"))

    def test_wrong_bytes_are_never_excused(self) -> None:
        self.evidence.record_failure("peer", 0.0, corrupt=True)
        self.assertFalse(self.evidence.excuse("peer"))
        self.assertTrue(self.evidence.avoided("peer", 1.0))
