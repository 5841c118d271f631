"""Tests of the choice of an endpoint where few have room."""

import random
import unittest

from .endpoint_state import EndpointState
from .routing import OVERFLOW, EndpointPool


class RoutingTest(unittest.TestCase):
    """A request that was let in finds an endpoint, or all are truly full."""

    def test_work_of_a_leaving_endpoint_comes_to_a_full_one(self) -> None:
        """An instance is replaced while the other is at its limit. The requests that were let
        in for the first are refused although the second is well, and tills show an error for
        a planned stop."""
        rng = random.Random(1)
        leaving, other = EndpointState("leaving", 0, rng), EndpointState("other", 0, rng)
        pool = EndpointPool([leaving, other], rng)
        other.in_progress = other.limit.places
        chosen = pool.choose(lambda state: state is other, [], 0.0)
        self.assertIs(chosen, other)

    def test_no_endpoint_goes_beyond_twice_its_limit(self) -> None:
        """Every endpoint is full. Sent on without a bound, requests would queue at engines
        where nobody sees their class or deadline."""
        rng = random.Random(1)
        states = [EndpointState(f"e{number}", 0, rng) for number in range(3)]
        pool = EndpointPool(states, rng)
        while (state := pool.choose(lambda state: True, [], 0.0)) is not None:
            state.in_progress += 1
        for state in states:
            self.assertEqual(state.in_progress, OVERFLOW * state.limit.places)
