"""What a run of failed calls to the store proves, and what it does not."""

import unittest

from .store_outage import NO_OUTAGE, SHORTEST_OUTAGE_SECONDS, Outage, StoreOutages

SETTLING = 3.0
STEP_SECONDS = 0.5
NEVER = float("-inf")


class StoreOutagesTest(unittest.TestCase):
    """A store that counts as answering three seconds after an outage."""

    def setUp(self) -> None:
        self.outages = StoreOutages(SETTLING)

    def fail(
        self, first: float, last: float, refused: bool = True, evidence_date: float = NEVER
    ) -> None:
        """Records a failed call every half second."""
        for step in range(int((last - first) / STEP_SECONDS) + 1):
            at = first + STEP_SECONDS * step
            self.outages.record_failure(at, at, refused, False, evidence_date)

    def test_a_refusing_store_answers_again_only_after_it_has_settled(self) -> None:
        self.fail(10.0, 18.0)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, Outage(10.0, 18.0 + SETTLING))

    def test_it_is_known_while_the_outage_goes_on(self) -> None:
        self.fail(10.0, 15.0)
        self.assertEqual(self.outages.latest, Outage(10.0, 15.0 + SETTLING))

    def test_calls_that_are_lost_do_not_prove_that_the_store_must_settle(self) -> None:
        """A link that was cut is good again at once; only a store that was away settles."""
        self.fail(10.0, 18.0, refused=False)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, Outage(10.0, 18.0))

    def test_peers_that_have_answers_disprove_the_outage(self) -> None:
        """The store turns one entry away and serves the others. Counted as an outage, that entry
        would go on placing requests on replaced weights after all others have stopped."""
        for second in range(10, 19):
            self.fail(float(second), second + 0.5, evidence_date=second - 0.2)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, NO_OUTAGE)

    def test_a_peer_whose_call_succeeds_first_disproves_nothing(self) -> None:
        """The store is back, and a peer tells so before the next call of this process."""
        self.fail(10.0, 18.0)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest.began, 10.0)

    def test_a_peer_that_heard_just_before_the_outage_disproves_nothing(self) -> None:
        """A watch that was sent before the outage fails in it; peers had answers in between."""
        self.outages.record_failure(9.0, 10.0, True, False, NEVER)
        self.fail(10.5, 18.0, evidence_date=9.8)
        self.assertEqual(self.outages.latest, Outage(10.0, 18.0 + SETTLING))

    def test_a_short_run_proves_nothing(self) -> None:
        """Peers have not been asked yet, and may have had answers all the while."""
        self.fail(10.0, 10.0 + SHORTEST_OUTAGE_SECONDS - STEP_SECONDS)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, NO_OUTAGE)

    def test_a_suspended_process_does_not_take_its_own_pause_for_an_outage(self) -> None:
        """A call that was under way during a suspension times out on waking."""
        self.outages.record_failure(10.0, 14.0, False, True, NEVER)
        self.outages.record_failure(20.0, 24.0, False, True, NEVER)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, NO_OUTAGE)

    def test_a_process_that_started_in_the_outage_hears_of_its_length(self) -> None:
        """Entries are restarted while the store is away. By their own few calls alone they
        would refuse all callers as soon as it is back."""
        self.fail(16.0, 18.0)
        self.outages.record_peer(10.0)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, Outage(10.0, 18.0 + SETTLING))

    def test_it_may_hear_of_the_outage_before_its_own_first_call_has_failed(self) -> None:
        """A store that says nothing lets a call fail only after seconds."""
        self.outages.record_peer(10.0)
        self.outages.record_failure(16.0, 18.0, False, False, NEVER)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, Outage(10.0, 16.0))

    def test_a_second_run_that_proves_nothing_leaves_the_first_standing(self) -> None:
        self.fail(10.0, 18.0)
        self.outages.record_answer()
        self.fail(30.0, 31.0)
        self.outages.record_answer()
        self.assertEqual(self.outages.latest, Outage(10.0, 18.0 + SETTLING))
