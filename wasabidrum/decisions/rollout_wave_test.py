"""Tests of when an endpoint may switch to a version."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from ..core.instance import InstanceRole
from ..core.status import Status
from . import rollout_wave
from .rollout_wave import Proof


def say(name: str, **facts: object) -> Status:
    """Returns a sidecar's status."""
    return Status(name=name, role=InstanceRole.SIDECAR, incarnation="1", **facts)


class RolloutWaveTest(unittest.TestCase):
    """A canary tries a version, all learn the result, and few are unavailable at once."""

    def test_result_of_the_canary_reaches_all_through_few_contacts(self) -> None:
        order = rollout_wave.rollout_order("root", [f"w{i}" for i in range(710)])
        for name in order[1:]:
            contacts = rollout_wave.find_contacts(order, name)
            self.assertLessEqual(len(contacts), 10)
            self.assertEqual(contacts[-1] if len(contacts) > 4 else order[0], order[0])

    def test_second_endpoint_tries_only_after_the_first_has_failed(self) -> None:
        """The first endpoint crashes with a version. One more must find out whether the instance
        or the version caused it; all others wait."""
        order = rollout_wave.rollout_order("root", [f"w{i}" for i in range(8)])

        def judge(place: int, **facts: object) -> Proof:
            first = {order[0]: say(order[0], **facts)}
            return rollout_wave.judge_proof(order, order[place], "v2", first, 0.0)

        self.assertIs(rollout_wave.judge_proof(order, order[0], "v2", {}, 0.0), Proof.TRY)
        self.assertIs(judge(1, staged="v2"), Proof.WAIT)
        self.assertIs(judge(1, failed_version="v2"), Proof.TRY)
        self.assertIs(judge(6, failed_version="v2"), Proof.WAIT)
        self.assertIs(judge(6, version="v2"), Proof.WAIT)
        self.assertIs(judge(6, proven="v2"), Proof.PROVEN)
        self.assertIs(judge(6, stopped="v2"), Proof.STOPPED)
        both = {name: say(name, failed_version="v2") for name in order[:2]}
        self.assertIs(rollout_wave.judge_proof(order, order[2], "v2", both, 0.0), Proof.STOPPED)

    @hypothesis.settings(derandomize=True, max_examples=80, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 40), strategies.floats(0.01, 1.0), strategies.integers(0, 9999)
    )
    def test_the_limit_holds_and_all_get_through(
        self, count: int, fraction: float, seed: int
    ) -> None:
        """Endpoints become ready and switch in any order and at any pace, and each sees the
        others as they are when it looks. Never may more than the limit be away."""
        chance = random.Random(seed)
        order = rollout_wave.rollout_order("root", [f"w{i}" for i in range(count)])
        state = dict.fromkeys(order, "loading")
        limit = max(1, int(count * fraction))

        def status(name: str) -> Status:
            facts = {
                "loading": {},
                "ready": {"staged": "v2"},
                "away": {"staged": "v2", "switching": True},
                "live": {"version": "v2"},
            }[state[name]]
            return say(name, **facts)

        for _ in range(200 * count):
            name = chance.choice(order)
            chain = rollout_wave.find_chain(order, name, fraction)
            seen = {other: status(other) for other in chain}
            if state[name] == "loading":
                state[name] = "ready"
            elif state[name] == "away":
                state[name] = "live"
            elif state[name] == "ready" and rollout_wave.may_switch(order, name, "v2", seen):
                self.assertEqual(rollout_wave.find_rivals(seen, "v2"), [])
                state[name] = "away"
            self.assertLessEqual(list(state.values()).count("away"), limit)
        self.assertEqual(set(state.values()), {"live"})
