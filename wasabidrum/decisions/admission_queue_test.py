"""Tests of admission control, among them properties that hold for any order of events."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from .admission_queue import ESTIMATE_MEMORY_SECONDS, MAX_WAIT_SECONDS, AdmissionQueue
from .ticket import Ticket, TicketState

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("arrive", "arrive", "end", "cancel", "wait", "limit")),
        strategies.integers(0, 3),
        strategies.integers(0, 2),
        strategies.floats(0.0, 2.0),
    ),
    max_size=120,
)


class RunTimeTest(unittest.TestCase):
    """What is known of how long requests run."""

    def test_one_goes_through_where_none_runs(self) -> None:
        """Guards against callers who are refused for ever: the estimate by which they would miss
        their deadlines is moved only by a request that ends. After a while one goes through."""
        queue = AdmissionQueue()
        queue.set_limit(4.0)
        slow = Ticket("slow", "w", 0, 1.0, 1.0, 100.0)
        self.assertIsNone(queue.offer(slow, 0.0))
        queue.end(slow, 60.0, 1.0)
        refused, first, second = (Ticket(n, "w", 0, 1.0, 1.0, 85.0) for n in ("r", "f", "s"))
        self.assertEqual(queue.offer(refused, 60.0).code, "deadline_too_short")
        now = 60.0 + 2 * ESTIMATE_MEMORY_SECONDS
        self.assertIsNone(queue.offer(first, now))
        self.assertEqual(queue.offer(second, now).code, "deadline_too_short")
        while queue.run_seconds(1.0) > 1.0:
            queue.end(first, now + 0.1, 1.0)
            now += 0.1 + 2 * ESTIMATE_MEMORY_SECONDS
            first = Ticket("again", "w", 0, 1.0, 1.0, now + 1.0)
            self.assertIsNone(queue.offer(first, now))
        self.assertIsNone(queue.offer(Ticket("last", "w", 0, 1.0, 1.0, now + 5.0), now))


class InterleavingTest(unittest.TestCase):
    """Any interleaving of arrivals, ends, cancellations, expiries and limit changes."""

    @SETTINGS
    @hypothesis.given(EVENTS)
    def test_no_request_is_lost_or_answered_twice(self, events: list) -> None:
        """Callers leave, requests end and limits fall at the same moment. A lost request would
        leave its caller waiting forever; one that is answered twice would free a slot that it
        does not hold, so that the limit would be exceeded."""
        queue = AdmissionQueue()
        queue.set_limit(3.0)
        now = 0.0
        live: list[Ticket] = []
        answered: dict[str, int] = {}
        limit = 3.0
        for number, (kind, who, priority, value) in enumerate(events):
            before = queue.running
            if kind == "arrive":
                ticket = Ticket(f"r{number}", f"w{who}", priority, 1.0, 1.0 + value, now + 3.0)
                if queue.offer(ticket, now) is None:
                    live.append(ticket)
                else:
                    answered[ticket.request_id] = answered.get(ticket.request_id, 0) + 1
            elif kind in ("end", "cancel") and live:
                ticket = live.pop(who % len(live))
                queue.end(ticket, now, value if kind == "end" else None)
                queue.end(ticket, now)
                answered[ticket.request_id] = answered.get(ticket.request_id, 0) + 1
            elif kind == "wait":
                now += value
            elif kind == "limit":
                limit = value * 4
                queue.set_limit(limit)
            for ticket, refusal in queue.expire(now):
                live.remove(ticket)
                self.assertGreaterEqual(refusal.retry_after, 1.0)
                answered[ticket.request_id] = answered.get(ticket.request_id, 0) + 1
            queue.grant(now)
            running = sum(ticket.state is TicketState.RUNNING for ticket in live)
            waiting = [ticket for ticket in live if ticket.state is TicketState.WAITING]
            self.assertEqual(queue.running, running)
            self.assertEqual(queue.waiting, len(waiting))
            self.assertGreaterEqual(queue.running, 0)
            self.assertLessEqual(queue.running, max(before, limit, 1 if limit else 0))
            for ticket in waiting:
                self.assertLessEqual(now - ticket.queued_at, MAX_WAIT_SECONDS[ticket.priority])
                self.assertGreater(ticket.deadline, now)
        self.assertTrue(all(times == 1 for times in answered.values()))


class FairnessTest(unittest.TestCase):
    """Service of workspaces that always have waiting requests, in proportion to their shares."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.sampled_from((0.5, 1.0, 2.0, 4.0)), min_size=2, max_size=5),
        strategies.integers(0, 1000),
    )
    def test_service_per_share_differs_by_the_largest_requests_at_most(
        self, shares: list[float], seed: int
    ) -> None:
        """Workspaces with different shares send requests of different sizes, all more than
        they can be served. Without the bound, workspaces with many small requests would be
        starved by one with few large requests, or the reverse."""
        rng = random.Random(seed)
        queue = AdmissionQueue(reserved_fraction=0.0)
        queue.set_limit(1.0)
        served = [0.0] * len(shares)
        first = Ticket("first", "other", 2, 1.0, 1.0, 1e9)
        queue.offer(first, 0.0)
        largest = 0.0
        for number, share in enumerate(shares):
            for index in range(60):
                cost = rng.uniform(1.0, 20.0)
                largest = max(largest, cost / share)
                ticket = Ticket(f"{number}.{index}", f"w{number}", 2, share, cost, 1e9)
                self.assertIsNone(queue.offer(ticket, 0.0))
        running = first
        for _ in range(20 * len(shares)):
            queue.end(running, 0.0)
            (running,) = queue.grant(0.0)
            number = int(running.workspace[1:])
            served[number] += running.cost / shares[number]
            if max(served) > 60.0 / 4.0:
                break
        self.assertLessEqual(max(served) - min(served), 2.0 * largest)


class ClassesTest(unittest.TestCase):
    """Charges go before reads and have reserved capacity."""

    def test_a_burst_of_reads_leaves_room_for_a_charge(self) -> None:
        """Phones poll balances while the tally service is slow. If reads took all slots, the
        next charge would wait for them or be refused, and a shop would not be paid."""
        queue = AdmissionQueue()
        queue.set_limit(10.0)
        for number in range(100):
            queue.offer(Ticket(f"r{number}", "w", 1, 1.0, 1.0, 100.0), 0.0)
        charge = Ticket("c", "w", 0, 1.0, 1.0, 100.0)
        self.assertIsNone(queue.offer(charge, 0.0))
        self.assertIs(charge.state, TicketState.RUNNING)
        self.assertEqual(queue.running, 10)

    def test_a_waiting_charge_goes_before_waiting_reads(self) -> None:
        """All slots are taken when a charge arrives after fifty reads. In order of arrival, the
        shopkeeper would wait for all of them."""
        queue = AdmissionQueue(reserved_fraction=0.0)
        queue.set_limit(1.0)
        running = Ticket("r", "w", 1, 1.0, 1.0, 100.0)
        queue.offer(running, 0.0)
        for number in range(50):
            queue.offer(Ticket(f"r{number}", "w", 1, 1.0, 1.0, 100.0), 0.0)
        charge = Ticket("c", "w", 0, 1.0, 1.0, 100.0)
        queue.offer(charge, 0.0)
        queue.end(running, 0.1)
        self.assertEqual(queue.grant(0.1), [charge])


if __name__ == "__main__":
    unittest.main()
