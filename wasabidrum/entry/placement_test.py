"""What an attempt tells the decisions."""

import unittest

from tests.fake_fleet import FakeFleet, run_with_paused_clock
from wasabidrum.entry.work_item import Priority, WorkItem
from wasabidrum.wire import headers


class PlacementTest(unittest.TestCase):
    """A refusal is no death, and an end counts once."""

    def place_and_end(self, head: dict[str, str], code: str) -> bool:
        """Places a request, ends it, and returns whether it became a suspect."""

        async def play() -> bool:
            fleet = FakeFleet(engines=2)
            await fleet.start()
            traffic = fleet.traffics[0]
            item = WorkItem("r", "w", Priority.GENERATE, 2000.0, True, "summaries", "", "p", 5)
            permit = await traffic.admit(item)
            placement = traffic.place(item)
            placement.head_arrived(head)
            placement.ended(code)
            placement.ended(code)
            permit.release()
            permit.release()
            self.assertEqual(placement.state.in_progress, 0)
            fleet.stop()
            return traffic._guard.is_suspect(item.fingerprint, 1001.0)

        return run_with_paused_clock(play())

    def test_a_refused_connection_to_a_dead_engine_is_no_death(self) -> None:
        """An engine has died, and its sidecar refuses what still arrives. Counted as deaths,
        these refusals would make a suspect of every request that was never run."""
        refused = {headers.ERROR_CODE: "peer_unreachable"}
        self.assertFalse(self.place_and_end(refused, "peer_unreachable"))

    def test_an_answer_cut_after_its_head_makes_a_suspect(self) -> None:
        """The engine dies in the middle of an answer. Unless the request is remembered, it
        may be what kills the next engine too."""
        self.assertTrue(self.place_and_end({}, "answer_cut"))


if __name__ == "__main__":
    unittest.main()
