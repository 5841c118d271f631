"""Tests of the choice of an endpoint when few endpoints have room."""

import random
import unittest

from .endpoint_state import EndpointState
from .routing import OVERFLOW_FACTOR, EndpointPool


class RoutingTest(unittest.TestCase):
    """An admitted request finds an endpoint unless all of them are full."""

    def test_requests_of_a_draining_endpoint_move_to_a_full_one(self) -> None:
        """An instance is replaced while the other one is at its limit. The requests that were
        admitted for the first must not be refused while the second is healthy: callers would
        get errors during a planned stop."""
        rng = random.Random(1)
        draining, other = EndpointState("draining", 0, rng), EndpointState("other", 0, rng)
        pool = EndpointPool([draining, other], rng)
        other.in_progress = other.limit.max_requests
        chosen = pool.choose(lambda state: state is other, [], 0.0)
        self.assertIs(chosen, other)

    def test_no_endpoint_exceeds_twice_its_limit(self) -> None:
        """All endpoints are full. Without a bound, requests would queue inside the engines,
        which know neither their priority class nor their deadline."""
        rng = random.Random(1)
        states = [EndpointState(f"e{number}", 0, rng) for number in range(3)]
        pool = EndpointPool(states, rng)
        while (state := pool.choose(lambda state: True, [], 0.0)) is not None:
            state.in_progress += 1
        for state in states:
            self.assertEqual(state.in_progress, OVERFLOW_FACTOR * state.limit.max_requests)
