"""Replays of holders that are narrow, suspended, dead or back, as one sidecar sees them."""

import unittest

from . import chunk_route
from .chunk_evidence import ChunkEvidence
from .chunk_plan import ChunkPlan
from .chunk_route import Asker, StepKind
from .peer_responsiveness import (
    LOOK_SECONDS,
    PROMPT_SECONDS,
    WITNESSES,
    PeerResponsiveness,
    find_silent,
)

NEVER = float("inf")
# After that a probe counts as failed.
LONGEST_SECONDS = 2.0
REGION_OF = {f"side-{i}": ("rift", "nbi", "msa")[i % 3] for i in range(6)}
CHUNKS = tuple(f"c{i}" for i in range(48))


def first_of(plan: ChunkPlan, index: int) -> str:
    """Returns who draws a chunk while all is well."""
    return plan.regions[plan.region_order(index)[0]].carrier(index)


class Replay:
    """One sidecar that waits at all others, and probes each as often as it may.

    Attributes:
      takes: How long each peer takes to answer a probe, in seconds.
    """

    def __init__(self) -> None:
        self.takes = {name: 0.01 for name in REGION_OF if name != "side-0"}
        self.responsiveness = PeerResponsiveness()
        self.evidence = ChunkEvidence()
        self.now = 0.0

    def look(self) -> set[str]:
        """Probes everybody once; returns those that are passed over for their silence."""
        elapsed = min(LONGEST_SECONDS, min(self.takes.values()) + PROMPT_SECONDS)
        answers = {n: s if s <= elapsed else None for n, s in self.takes.items()}
        self.now += elapsed
        self.responsiveness.note_round(answers, elapsed, self.now)
        silent = set(find_silent(answers, elapsed))
        for name in silent:
            self.evidence.record_slow(name, self.now)
        self.now += LOOK_SECONDS
        return silent


class PeerPromptnessTest(unittest.TestCase):
    """Who is passed over, and who is not."""

    def setUp(self) -> None:
        self.replay = Replay()
        self.assertEqual(self.replay.look(), set())

    def in_doubt(self) -> bool:
        """Returns whether the sidecar doubts its own link."""
        return self.replay.responsiveness.own_link_suspected(self.replay.now)

    def test_one_that_is_suspended_is_passed_over_and_used_again_when_it_is_back(self) -> None:
        """A sidecar is suspended while others wait at it. Everyone would wait until the long
        wait is over; and left alone for good, it would give nobody what it holds."""
        self.replay.takes["side-3"] = NEVER
        self.assertEqual(self.replay.look(), {"side-3"})
        self.replay.takes["side-3"] = 0.01
        self.replay.now += 2.0
        self.assertEqual(self.replay.look(), set())
        self.assertFalse(self.replay.evidence.avoided("side-3", self.replay.now))

    def test_those_behind_narrow_links_are_passed_over_together(self) -> None:
        """Two links of six have become narrow. That one of those two is silent must not
        excuse the other."""
        self.replay.takes |= {"side-1": 1.6, "side-4": 0.9}
        self.assertEqual(self.replay.look(), {"side-1", "side-4"})
        self.assertFalse(self.in_doubt())

    def test_behind_a_narrow_link_of_its_own_a_sidecar_passes_over_nobody(self) -> None:
        """A sidecar's own link is narrow, and all answers come late. Were it to pass over
        everybody, it would draw the whole version from the origin once more."""
        self.replay.takes = dict.fromkeys(self.replay.takes, 1.8)
        self.replay.responsiveness.record_draw(1.3)
        for _ in range(5):
            self.assertEqual(self.replay.look(), set())
            self.assertTrue(self.in_doubt())
        self.replay.takes["side-2"] = 0.1
        self.replay.look()
        self.assertFalse(self.in_doubt())

    def test_a_link_that_is_busy_with_what_it_asked_for_is_not_narrow(self) -> None:
        """Sixteen chunks arrive at once, and answers wait behind them: from all peers alike."""
        self.replay.takes = {n: 1.1 + 0.05 * i for i, n in enumerate(self.replay.takes)}
        self.assertEqual(self.replay.look(), set())
        self.assertFalse(self.in_doubt())
        self.replay.takes["side-3"] = NEVER
        self.assertEqual(self.replay.look(), {"side-3"})

    def test_where_nobody_answers_nobody_is_to_blame(self) -> None:
        """The sidecar itself was suspended or is cut off."""
        self.replay.responsiveness.record_draw(1.3)
        self.replay.takes = dict.fromkeys(self.replay.takes, NEVER)
        self.assertEqual(self.replay.look(), set())
        self.assertTrue(self.in_doubt())

    def test_one_that_is_cut_off_from_its_peers_does_not_doubt_its_link(self) -> None:
        """A sidecar is cut off from all others and reaches the origin as well as ever. Did it
        leave draws to the others, its engine would have the version many seconds later."""
        self.replay.takes = dict.fromkeys(self.replay.takes, NEVER)
        self.replay.look()
        self.assertFalse(self.in_doubt())
        self.replay.responsiveness.record_draw(0.1)
        self.replay.look()
        self.assertFalse(self.in_doubt())

    def test_who_answered_last_is_asked_to_witness(self) -> None:
        responsiveness = PeerResponsiveness()
        others = list(REGION_OF)
        self.assertEqual(len(responsiveness.choose_witnesses("side-1", others)), WITNESSES)
        responsiveness.note_round({"side-2": 0.02}, 0.02, 5.0)
        self.assertEqual(responsiveness.choose_witnesses("side-1", others)[0], "side-2")


class DrawnAgainTest(unittest.TestCase):
    """What the part of one that is passed over costs the origin."""

    def test_each_of_its_chunks_is_drawn_by_one_other(self) -> None:
        """A sidecar is suspended with its part of the version not yet drawn, or drawn and given
        to nobody. If each of those that wait for it drew that part, the origin would send it
        five times; drawn by one, it costs a sixth of a copy."""
        plan = ChunkPlan("root", CHUNKS, REGION_OF)
        for lost in REGION_OF:
            part = [i for i in range(48) if first_of(plan, i) == lost]
            self.assertEqual(len(part), 8)
            for index in part:
                steps = [
                    chunk_route.find_step(
                        plan, Asker(name, region), index, lambda n, lost=lost: n != lost
                    )
                    for name, region in REGION_OF.items()
                    if name != lost
                ]
                draws = [step for step in steps if step.kind is StepKind.DRAW]
                self.assertEqual(len(draws), 1)
