"""Whom an entry serves now, who waits, and who is refused at once.

Load pattern: five times what the fleet can do arrives in a burst, or twice it all night.
Without admission every request queues at the engines, all of them are answered after their
callers have left, and the work is done for nothing: goodput falls while engines are full.

Requests wait here, where class, share and deadline are known, and not at engines. One that
cannot be served within the wait its class allows, or whole before its deadline, is refused
on arrival with a time to come back; one whose chance passes while it waits is refused at
that moment. The queue is therefore never longer than what can be served in time.
"""

import heapq
import itertools

from .fair_queue import FairQueue
from .fair_share import FairShare
from .ticket import Refusal, Ticket, TicketState

CLASSES = 3
LONGEST_WAIT_SECONDS = (5.0, 1.0, 0.6)
RESERVED_FRACTION = 0.1
SAMPLE_WEIGHT = 1.0 / 16.0
MOST_WAITING = 2000
WAIT_MARGIN = 0.8
SHORTEST_WAIT_SECONDS = 0.02
SMALLEST_CORRECTION = 0.5
LARGEST_CORRECTION = 8.0
EXPIRED_WEIGHT = 2.0
SHORTEST_RETRY_AFTER_SECONDS = 1.0
LONGEST_RETRY_AFTER_SECONDS = 30.0


class AdmissionQueue:
    """Admission to the endpoints of one model or one plain service."""

    __slots__ = ("_queues", "_limit", "_running", "_seconds_per_cost", "_give_ups", "_order")
    __slots__ += ("_reserved_fraction", "_shares", "_mean_run", "_correction")

    def __init__(self, reserved_fraction: float = RESERVED_FRACTION) -> None:
        self._reserved_fraction = reserved_fraction
        self._shares = FairShare()
        self._mean_run = 0.0
        self._correction = 1.0
        self._queues = tuple(FairQueue() for _ in range(CLASSES))
        self._limit = 0.0
        self._running = 0
        self._seconds_per_cost = 0.0
        self._give_ups: list[tuple[float, int, Ticket]] = []
        self._order = itertools.count()

    @property
    def running(self) -> int:
        """How many requests are being served."""
        return self._running

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(len(queue) for queue in self._queues)

    @property
    def limit(self) -> float:
        """How many requests may be served at once."""
        return self._limit

    @property
    def mean_run_seconds(self) -> float:
        """How long requests run on average; zero before any was seen."""
        return self._mean_run

    def set_limit(self, limit: float) -> None:
        """Takes how many requests the endpoints can serve at once for this entry."""
        self._limit = max(0.0, limit)

    def room_for(self, priority: int) -> bool:
        """Returns whether a request of a class could be served now."""
        limit = self._whole_limit()
        reserved = 0
        if limit >= 4 and self._reserved_fraction:
            reserved = priority * max(1, int(limit * self._reserved_fraction))
        return self._running < limit - reserved

    def run_seconds(self, cost: float) -> float:
        """Returns how long a request will run; zero before any was seen."""
        return cost * self._seconds_per_cost

    def wait_seconds(self, ticket: Ticket) -> float:
        """Returns how long a request that arrives now would wait.

        It waits for its own workspace's backlog at that workspace's part of the rate, and
        never longer than for everything that is waiting.
        """
        ahead = 0.0
        for queue in self._queues[: ticket.priority + 1]:
            ahead += queue.cost
        if not ahead and self.room_for(ticket.priority):
            return 0.0
        rate = max(1, self._whole_limit()) / max(self._seconds_per_cost, 1e-9)
        own = self._queues[ticket.priority]
        mine = own.cost_of(ticket.workspace)
        shares = own.shares_waiting() + (0.0 if mine else ticket.share)
        higher = ahead - own.cost
        fair = higher + (mine + ticket.cost) * shares / max(ticket.share, 1e-6)
        return min(ahead + ticket.cost, fair) / rate

    def offer(self, ticket: Ticket, now: float) -> Refusal | None:
        """Takes a new request: it runs now, or waits, or is refused."""
        if self._limit <= 0.0:
            return Refusal("no_endpoint", "no endpoint can answer now", 1.0)
        run = self.run_seconds(ticket.cost)
        if now + run > ticket.deadline:
            ticket.state = TicketState.ENDED
            return Refusal("deadline_too_short", f"it would run for {run:.2f} s", 1.0)
        nobody_before = not any(self._queues[: ticket.priority + 1])
        if nobody_before and self._may_run(ticket, now):
            self._queues[ticket.priority].pass_by(ticket)
            self._start(ticket, now)
            return None
        ticket.expected_wait = self.wait_seconds(ticket)
        wait = ticket.expected_wait * self._correction
        longest = min(LONGEST_WAIT_SECONDS[ticket.priority], ticket.deadline - run - now)
        if wait > WAIT_MARGIN * longest or self.waiting >= MOST_WAITING:
            ticket.state = TicketState.ENDED
            return Refusal("overloaded", f"it would wait {wait:.2f} s", clamp_retry(wait))
        ticket.state = TicketState.WAITING
        ticket.queued_at = now
        ticket.give_up_at = now + longest
        self._queues[ticket.priority].add(ticket)
        self._shares.change(ticket.workspace, ticket.share, 0, 1, now)
        heapq.heappush(self._give_ups, (ticket.give_up_at, next(self._order), ticket))
        return None

    def grant(self, now: float) -> list[Ticket]:
        """Returns the requests that run from now on."""
        granted = []
        for priority, queue in enumerate(self._queues):
            while queue and self.room_for(priority):
                ticket = queue.pop(lambda waiting: self._may_run(waiting, now))
                if ticket is None:
                    break
                self._shares.change(ticket.workspace, ticket.share, 0, -1, now)
                self._learn_wait(ticket, now - ticket.queued_at)
                self._start(ticket, now)
                granted.append(ticket)
        return granted

    def expire(self, now: float) -> list[tuple[Ticket, Refusal]]:
        """Returns the requests that are given up now, each with its final answer."""
        expired = []
        while self._give_ups and self._give_ups[0][0] <= now:
            _, _, ticket = heapq.heappop(self._give_ups)
            if ticket.state is not TicketState.WAITING:
                continue
            self._leave_queue(ticket, now)
            ticket.state = TicketState.ENDED
            waited = now - ticket.queued_at
            self._learn_wait(ticket, EXPIRED_WEIGHT * waited)
            retry = clamp_retry(self.wait_seconds(ticket))
            expired.append((ticket, Refusal("overloaded", f"it waited {waited:.2f} s", retry)))
        return expired

    def next_expiry(self) -> float | None:
        """Returns when a waiting request is given up next, or None where none waits."""
        while self._give_ups and self._give_ups[0][2].state is not TicketState.WAITING:
            heapq.heappop(self._give_ups)
        return self._give_ups[0][0] if self._give_ups else None

    def end(self, ticket: Ticket, now: float, cost: float | None = None) -> None:
        """Ends a request, whatever its state; a second call changes nothing.

        Args:
          cost: What it did cost where it was answered whole.
        """
        if ticket.state is TicketState.WAITING:
            self._leave_queue(ticket, now)
        elif ticket.state is TicketState.RUNNING:
            self._running -= 1
            self._shares.change(ticket.workspace, ticket.share, -1, 0, now)
            if cost is not None:
                self._learn(max(cost, 1.0), now - ticket.started_at)
                queue = self._queues[ticket.priority]
                if queue:
                    queue.charge(ticket.workspace, cost - ticket.cost, ticket.share)
        ticket.state = TicketState.ENDED

    def _may_run(self, ticket: Ticket, now: float) -> bool:
        if not self.room_for(ticket.priority):
            return False
        limit = self._whole_limit()
        return self._running < limit - self._shares.room_kept(ticket.workspace, limit, now)

    def _leave_queue(self, ticket: Ticket, now: float) -> None:
        self._queues[ticket.priority].remove(ticket)
        self._shares.change(ticket.workspace, ticket.share, 0, -1, now)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        self._running += 1
        self._shares.change(ticket.workspace, ticket.share, 1, 0, now)
        ticket.over_share = self._shares.is_over(ticket.workspace, self._limit, now)

    def _learn_wait(self, ticket: Ticket, waited: float) -> None:
        # The estimate assumes a steady rate, yet limits shrink and other classes and shares
        # go first. Uncorrected, requests are let in that will be given up after the longest
        # wait: their callers are told late what could have been told at once.
        expected = max(ticket.expected_wait, SHORTEST_WAIT_SECONDS)
        sample = min(LARGEST_CORRECTION, waited / expected)
        self._correction += SAMPLE_WEIGHT * (sample - self._correction)
        self._correction = max(SMALLEST_CORRECTION, self._correction)

    def _learn(self, cost: float, seconds: float) -> None:
        sample = seconds / cost
        if not self._seconds_per_cost:
            self._seconds_per_cost = sample
            self._mean_run = seconds
        self._mean_run += SAMPLE_WEIGHT * (seconds - self._mean_run)
        self._seconds_per_cost += SAMPLE_WEIGHT * (sample - self._seconds_per_cost)

    def _whole_limit(self) -> int:
        # Limits of single endpoints are fractions where many entries share them; together
        # they are rounded once, and never to nothing while there is an endpoint.
        return max(1, int(self._limit + 1e-9)) if self._limit > 0.0 else 0


def clamp_retry(wait: float) -> float:
    """Returns a time to come back, in seconds."""
    return min(LONGEST_RETRY_AFTER_SECONDS, max(SHORTEST_RETRY_AFTER_SECONDS, wait))
