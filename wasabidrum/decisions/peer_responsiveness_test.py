"""Simulates holders that are slow, suspended, dead or recovered, as one sidecar sees them."""

import unittest

from . import chunk_source_choice
from .chunk_peer_health import ChunkPeerHealth
from .chunk_plan import ChunkPlan
from .chunk_source_choice import FetchStepKind, Requester
from .peer_responsiveness import (
    ANSWER_MARGIN_SECONDS,
    PROBE_INTERVAL_SECONDS,
    REFERENCE_PEERS,
    PeerResponsiveness,
    find_silent,
)

NEVER = float("inf")
# A probe without an answer after this time counts as failed.
PROBE_TIMEOUT_SECONDS = 2.0
REGION_OF = {f"side-{i}": ("rift", "nbi", "msa")[i % 3] for i in range(6)}
CHUNKS = tuple(f"c{i}" for i in range(48))


def find_fetcher(plan: ChunkPlan, index: int) -> str:
    """Returns which instance fetches a chunk from the origin when there are no faults."""
    return plan.regions[plan.region_order(index)[0]].ingress_node(index)


class Replay:
    """One sidecar that waits at all others, and probes each as often as it may.

    Attributes:
      answer_seconds: How long each peer takes to answer a probe.
    """

    def __init__(self) -> None:
        self.answer_seconds = {name: 0.01 for name in REGION_OF if name != "side-0"}
        self.responsiveness = PeerResponsiveness()
        self.health = ChunkPeerHealth()
        self.now = 0.0

    def probe_all(self) -> set[str]:
        """Probes all peers once; returns those that are skipped because they are silent."""
        elapsed = min(
            PROBE_TIMEOUT_SECONDS, min(self.answer_seconds.values()) + ANSWER_MARGIN_SECONDS
        )
        answers = {n: s if s <= elapsed else None for n, s in self.answer_seconds.items()}
        self.now += elapsed
        self.responsiveness.record_round(answers, elapsed, self.now)
        silent = set(find_silent(answers, elapsed))
        for name in silent:
            self.health.record_slow(name, self.now)
        self.now += PROBE_INTERVAL_SECONDS
        return silent


class PeerResponsivenessTest(unittest.TestCase):
    """Which peers are skipped, and which are not."""

    def setUp(self) -> None:
        self.replay = Replay()
        self.assertEqual(self.replay.probe_all(), set())

    def is_own_link_suspected(self) -> bool:
        """Returns whether the sidecar suspects its own link."""
        return self.replay.responsiveness.own_link_suspected(self.replay.now)

    def test_suspended_peer_is_skipped_and_used_again_after_it_resumes(self) -> None:
        """A sidecar is suspended while others wait at it. Without probes all would wait until
        the long wait times out; skipped for ever, it would not send the chunks it holds."""
        self.replay.answer_seconds["side-3"] = NEVER
        self.assertEqual(self.replay.probe_all(), {"side-3"})
        self.replay.answer_seconds["side-3"] = 0.01
        self.replay.now += 2.0
        self.assertEqual(self.replay.probe_all(), set())
        self.assertFalse(self.replay.health.is_skipped("side-3", self.replay.now))

    def test_two_peers_behind_narrow_links_are_both_skipped(self) -> None:
        """Two links of six have become narrow. The slow answers of one of the two peers must not
        hide the other's."""
        self.replay.answer_seconds |= {"side-1": 1.6, "side-4": 0.9}
        self.assertEqual(self.replay.probe_all(), {"side-1", "side-4"})
        self.assertFalse(self.is_own_link_suspected())

    def test_with_a_narrow_link_of_its_own_a_sidecar_skips_no_peer(self) -> None:
        """A sidecar's own link is narrow, and all answers arrive late. If it skipped all peers,
        it would fetch the whole version from the origin once more."""
        self.replay.answer_seconds = dict.fromkeys(self.replay.answer_seconds, 1.8)
        self.replay.responsiveness.record_origin_fetch(1.3)
        for _ in range(5):
            self.assertEqual(self.replay.probe_all(), set())
            self.assertTrue(self.is_own_link_suspected())
        self.replay.answer_seconds["side-2"] = 0.1
        self.replay.probe_all()
        self.assertFalse(self.is_own_link_suspected())

    def test_own_link_that_is_busy_with_requested_chunks_is_not_suspected(self) -> None:
        """Sixteen chunks arrive at once, and the answers of all peers alike queue behind them."""
        self.replay.answer_seconds = {
            n: 1.1 + 0.05 * i for i, n in enumerate(self.replay.answer_seconds)
        }
        self.assertEqual(self.replay.probe_all(), set())
        self.assertFalse(self.is_own_link_suspected())
        self.replay.answer_seconds["side-3"] = NEVER
        self.assertEqual(self.replay.probe_all(), {"side-3"})

    def test_if_no_peer_answers_none_is_skipped(self) -> None:
        """The sidecar itself was suspended or is cut off."""
        self.replay.responsiveness.record_origin_fetch(1.3)
        self.replay.answer_seconds = dict.fromkeys(self.replay.answer_seconds, NEVER)
        self.assertEqual(self.replay.probe_all(), set())
        self.assertTrue(self.is_own_link_suspected())

    def test_sidecar_that_is_cut_off_from_its_peers_does_not_suspect_its_link(self) -> None:
        """A sidecar is cut off from all others, but reaches the origin as usual. If it left the
        fetches to the others, its engine would have the version many seconds later."""
        self.replay.answer_seconds = dict.fromkeys(self.replay.answer_seconds, NEVER)
        self.replay.probe_all()
        self.assertFalse(self.is_own_link_suspected())
        self.replay.responsiveness.record_origin_fetch(0.1)
        self.replay.probe_all()
        self.assertFalse(self.is_own_link_suspected())

    def test_peer_that_answered_last_is_chosen_as_reference(self) -> None:
        responsiveness = PeerResponsiveness()
        others = list(REGION_OF)
        self.assertEqual(
            len(responsiveness.choose_reference_peers("side-1", others)), REFERENCE_PEERS
        )
        responsiveness.record_round({"side-2": 0.02}, 0.02, 5.0)
        self.assertEqual(responsiveness.choose_reference_peers("side-1", others)[0], "side-2")


class SkippedPeerCostTest(unittest.TestCase):
    """What it costs the origin to skip a peer."""

    def test_each_chunk_of_a_skipped_peer_is_fetched_by_one_other(self) -> None:
        """A sidecar is suspended before it has fetched its part of the version, or before it has
        sent that part to another. If each sidecar that waits for it fetched that part, the origin
        would send it five times; fetched by one, it costs a sixth of a copy."""
        plan = ChunkPlan("root", CHUNKS, REGION_OF)
        for lost in REGION_OF:
            part = [i for i in range(48) if find_fetcher(plan, i) == lost]
            self.assertEqual(len(part), 8)
            for index in part:
                steps = [
                    chunk_source_choice.find_step(
                        plan, Requester(name, region), index, lambda n, lost=lost: n != lost
                    )
                    for name, region in REGION_OF.items()
                    if name != lost
                ]
                origin_fetches = [step for step in steps if step.kind is FetchStepKind.FROM_ORIGIN]
                self.assertEqual(len(origin_fetches), 1)
