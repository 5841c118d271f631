"""The whole system under random failures and changes, from fixed seeds."""

import unittest

from bench.soak import broken_promises, play_soak

ROUNDS = 1


class WholeSystemTest(unittest.IsolatedAsyncioTestCase):
    """Daemons die, freeze, leave and are replaced while versions and files change and the
    platform fails, several at a time. A caller would notice a wrong, mixed, lost or doubly run
    request; an operator would notice a revision that went back or a fleet that never agrees."""

    async def test_seed_1(self) -> None:
        figures, notes = await play_soak(1, ROUNDS)
        self.assertEqual(broken_promises(figures), [], (figures, notes))

    async def test_seed_2(self) -> None:
        figures, notes = await play_soak(2, ROUNDS)
        self.assertEqual(broken_promises(figures), [], (figures, notes))
