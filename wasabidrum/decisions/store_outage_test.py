"""What a run of failed calls to the store proves, and what it does not."""

import unittest

from .store_outage import NO_OUTAGE, SHORTEST_OUTAGE_SECONDS, Outage, StoreOutages

SETTLING = 3.0


def fail(outage: StoreOutages, first: float, last: float, refused: bool = True) -> None:
    """Records a failed call every half second."""
    steps = int((last - first) / 0.5)
    for step in range(steps + 1):
        at = first + 0.5 * step
        outage.record_failure(at, at, refused, held_up=False)


class StoreOutageTest(unittest.TestCase):
    """A store that counts as answering three seconds after an outage."""

    def setUp(self) -> None:
        self.outage = StoreOutages(SETTLING)

    def test_a_refusing_store_answers_again_only_after_it_has_settled(self) -> None:
        fail(self.outage, 10.0, 18.0)
        self.outage.record_answer(9.0)
        self.assertEqual(self.outage.latest(18.1), Outage(10.0, 18.0 + SETTLING))

    def test_it_is_known_while_the_outage_goes_on(self) -> None:
        fail(self.outage, 10.0, 15.0)
        self.assertEqual(self.outage.latest(9.0), Outage(10.0, 15.0 + SETTLING))

    def test_calls_that_are_lost_do_not_prove_that_the_store_must_settle(self) -> None:
        """A link that was cut is good again at once; only a store that was away settles."""
        fail(self.outage, 10.0, 18.0, refused=False)
        self.outage.record_answer(9.0)
        self.assertEqual(self.outage.latest(18.1), Outage(10.0, 18.0))

    def test_an_answer_that_a_peer_had_disproves_the_outage(self) -> None:
        """The store turns one entry away and serves the others. Counted as an outage, that entry
        would go on placing requests on replaced weights after all others have stopped."""
        fail(self.outage, 10.0, 18.0)
        self.assertEqual(self.outage.latest(11.0), NO_OUTAGE)
        self.outage.record_answer(17.5)
        self.assertEqual(self.outage.latest(11.0), NO_OUTAGE)

    def test_a_peer_that_heard_just_before_the_outage_disproves_nothing(self) -> None:
        """A watch that was sent before the outage fails in it; peers had answers in between."""
        self.outage.record_failure(9.0, 10.0, refused=True, held_up=False)
        fail(self.outage, 10.5, 18.0)
        self.outage.record_answer(9.8)
        self.assertEqual(self.outage.latest(18.1), Outage(10.0, 18.0 + SETTLING))

    def test_a_short_run_proves_nothing(self) -> None:
        """Peers have not been asked yet, and may have had answers all the while."""
        fail(self.outage, 10.0, 10.0 + SHORTEST_OUTAGE_SECONDS - 0.5)
        self.outage.record_answer(9.0)
        self.assertEqual(self.outage.latest(11.0), NO_OUTAGE)

    def test_a_suspended_process_does_not_take_its_own_pause_for_an_outage(self) -> None:
        """A call that was under way during a suspension times out on waking."""
        self.outage.record_failure(10.0, 14.0, refused=False, held_up=True)
        self.outage.record_failure(20.0, 24.0, refused=False, held_up=True)
        self.outage.record_answer(9.0)
        self.assertEqual(self.outage.latest(11.0), NO_OUTAGE)

    def test_a_second_outage_that_is_disproved_leaves_the_first_standing(self) -> None:
        fail(self.outage, 10.0, 18.0)
        self.outage.record_answer(9.0)
        fail(self.outage, 30.0, 35.0)
        self.outage.record_answer(34.0)
        self.assertEqual(self.outage.latest(36.0), Outage(10.0, 18.0 + SETTLING))
