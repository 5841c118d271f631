"""Soak test of the whole system: random failures and changes from fixed seeds."""

import unittest

from bench.soak import broken_promises, play_soak

ROUNDS = 1


class WholeSystemTest(unittest.IsolatedAsyncioTestCase):
    """Daemons crash, pause, shut down and are replaced while versions and configuration change
    and the platform fails, several of these at a time. Guards against requests that are answered
    wrongly, mixed up, lost or run twice, revisions that go back, and fleets that do not converge.
    """

    async def test_seed_1(self) -> None:
        figures, notes = await play_soak(1, ROUNDS)
        self.assertEqual(broken_promises(figures), [], (figures, notes))

    async def test_seed_2(self) -> None:
        figures, notes = await play_soak(2, ROUNDS)
        self.assertEqual(broken_promises(figures), [], (figures, notes))
