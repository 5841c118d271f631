"""Tests what an attempt reports about its course."""

import unittest

from tests.fake_fleet import FakeFleet, run_with_paused_clock
from wasabidrum.entry.work_item import Priority, WorkItem
from wasabidrum.wire import headers


class PlacementTest(unittest.TestCase):
    """A refusal does not count as an endpoint's death, and an attempt's end counts once."""

    def place_and_end(self, head: dict[str, str], code: str) -> bool:
        """Places a request and ends it; returns whether it became a poison suspect."""

        async def run() -> bool:
            fleet = FakeFleet(engines=2)
            await fleet.start()
            scheduler = fleet.schedulers[0]
            item = WorkItem("r", "w", Priority.GENERATE, 2000.0, True, "summaries", "", "p", 5)
            permit = await scheduler.admit(item)
            placement = scheduler.place(item)
            placement.record_head(head)
            placement.end(code)
            placement.end(code)
            permit.release()
            permit.release()
            self.assertEqual(placement.state.in_progress, 0)
            fleet.stop()
            return scheduler._guard.is_suspect(item.fingerprint, 1001.0)

        return run_with_paused_clock(run())

    def test_refused_connection_to_dead_engine_is_not_a_death(self) -> None:
        """An engine has died, and its sidecar refuses new requests. Counted as deaths, these
        refusals would make suspects of requests that were never run."""
        refused = {headers.ERROR_CODE: "peer_unreachable"}
        self.assertFalse(self.place_and_end(refused, "peer_unreachable"))

    def test_answer_cut_after_head_makes_a_suspect(self) -> None:
        """An engine dies in the middle of an answer. The request must be remembered, since it may
        crash the next engine too."""
        self.assertTrue(self.place_and_end({}, "answer_cut"))


if __name__ == "__main__":
    unittest.main()
