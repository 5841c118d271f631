"""Decides which requests run now, which wait, and which are refused at once.

Load pattern: a burst of five times the fleet's capacity arrives, or twice the capacity all
night. Without admission control all requests queue at the engines and are answered after their
callers have left. The work is wasted: goodput falls while the engines are fully loaded.

Requests wait here, where priority class, share and deadline are known, and not at the engines.
A request that cannot start within the maximum wait of its class, or finish before its
deadline, is refused on arrival with a retry time. A waiting request is refused once it can no
longer meet these limits. The queue is therefore never longer than what can be served in time.
"""

import heapq
import itertools

from .fair_queue import FairQueue
from .fair_share import FairShare
from .ticket import Refusal, Ticket, TicketState

PRIORITY_CLASSES = 3
# By priority class.
MAX_WAIT_SECONDS = (5.0, 1.0, 0.6)
RESERVED_FRACTION = 0.1
SAMPLE_WEIGHT = 1.0 / 16.0
MAX_WAITING = 2000
# For how long an estimate holds that no request moves.
ESTIMATE_MEMORY_SECONDS = 5.0
WAIT_MARGIN = 0.8
MIN_EXPECTED_WAIT_SECONDS = 0.02
MIN_CORRECTION = 0.5
MAX_CORRECTION = 8.0
EXPIRED_WAIT_FACTOR = 2.0
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class AdmissionQueue:
    """Admission to the endpoints of one model or one plain service."""

    __slots__ = ("_queues", "_limit", "_running", "_seconds_per_cost", "_wait_ends", "_order")
    __slots__ += ("_reserved_fraction", "_shares", "_mean_run_seconds", "_wait_correction")
    __slots__ += ("_used_at",)

    def __init__(self, reserved_fraction: float = RESERVED_FRACTION) -> None:
        self._reserved_fraction = reserved_fraction
        self._shares = FairShare()
        self._mean_run_seconds = 0.0
        # When a request last started or ended.
        self._used_at = 0.0
        self._wait_correction = 1.0
        self._queues = tuple(FairQueue() for _ in range(PRIORITY_CLASSES))
        self._limit = 0.0
        self._running = 0
        self._seconds_per_cost = 0.0
        self._wait_ends: list[tuple[float, int, Ticket]] = []
        self._order = itertools.count()

    @property
    def running(self) -> int:
        """How many requests are running."""
        return self._running

    @property
    def waiting(self) -> int:
        """How many requests are waiting."""
        return sum(len(queue) for queue in self._queues)

    @property
    def limit(self) -> float:
        """How many requests may run at once."""
        return self._limit

    @property
    def mean_run_seconds(self) -> float:
        """How long requests run on average; zero before the first has ended."""
        return self._mean_run_seconds

    def set_limit(self, limit: float) -> None:
        """Sets how many requests the endpoints can run at once for this entry."""
        self._limit = max(0.0, limit)

    def has_room(self, priority: int) -> bool:
        """Returns whether a request of a priority class could run now."""
        limit = self._rounded_limit()
        reserved = 0
        if limit >= 4 and self._reserved_fraction:
            reserved = priority * max(1, int(limit * self._reserved_fraction))
        return self._running < limit - reserved

    def run_seconds(self, cost: float) -> float:
        """Returns the estimated run time of a request; zero before the first has ended."""
        return cost * self._seconds_per_cost

    def wait_seconds(self, ticket: Ticket) -> float:
        """Returns the estimated wait of a request that arrives now.

        It waits until the backlog of its own workspace is served at the workspace's share of
        the total rate, and at most until everything that is waiting is served.
        """
        ahead = 0.0
        for queue in self._queues[: ticket.priority + 1]:
            ahead += queue.cost
        if not ahead and self.has_room(ticket.priority):
            return 0.0
        rate = max(1, self._rounded_limit()) / max(self._seconds_per_cost, 1e-9)
        own_queue = self._queues[ticket.priority]
        own_cost = own_queue.workspace_cost(ticket.workspace)
        shares = own_queue.waiting_shares() + (0.0 if own_cost else ticket.share)
        higher_classes = ahead - own_queue.cost
        fair_work = higher_classes + (own_cost + ticket.cost) * shares / max(ticket.share, 1e-6)
        return min(ahead + ticket.cost, fair_work) / rate

    def offer(self, ticket: Ticket, now: float) -> Refusal | None:
        """Runs or queues a new request; returns the refusal if it can do neither."""
        if self._limit <= 0.0:
            return Refusal("no_endpoint", "no endpoint can answer now", 1.0)
        run = self.run_seconds(ticket.cost)
        if now + run > ticket.deadline and not self._is_estimate_old(now):
            ticket.state = TicketState.ENDED
            return Refusal(
                "deadline_too_short", f"would miss its deadline: it would run for {run:.2f} s", 1.0
            )
        nothing_ahead = not any(self._queues[: ticket.priority + 1])
        if nothing_ahead and self._may_run(ticket, now):
            self._queues[ticket.priority].charge_unqueued(ticket)
            self._start(ticket, now)
            return None
        ticket.expected_wait = self.wait_seconds(ticket)
        wait = ticket.expected_wait * self._wait_correction
        longest = min(MAX_WAIT_SECONDS[ticket.priority], ticket.deadline - run - now)
        if wait > WAIT_MARGIN * longest or self.waiting >= MAX_WAITING:
            ticket.state = TicketState.ENDED
            return Refusal("overloaded", f"it would wait {wait:.2f} s", clamp_retry(wait))
        ticket.state = TicketState.WAITING
        ticket.queued_at = now
        ticket.wait_ends_at = now + longest
        self._queues[ticket.priority].add(ticket)
        self._shares.change(ticket.workspace, ticket.share, 0, 1, now)
        heapq.heappush(self._wait_ends, (ticket.wait_ends_at, next(self._order), ticket))
        return None

    def _is_estimate_old(self, now: float) -> bool:
        # Only the end of a request moves the estimate, and one that is too high has everybody
        # refused who could correct it.
        return not self._running and now - self._used_at > ESTIMATE_MEMORY_SECONDS

    def grant(self, now: float) -> list[Ticket]:
        """Starts waiting requests while there is room; returns those that were started."""
        granted = []
        for priority, queue in enumerate(self._queues):
            while queue and self.has_room(priority):
                ticket = queue.pop(lambda waiting: self._may_run(waiting, now))
                if ticket is None:
                    break
                self._shares.change(ticket.workspace, ticket.share, 0, -1, now)
                self._update_wait_correction(ticket, now - ticket.queued_at)
                self._start(ticket, now)
                granted.append(ticket)
        return granted

    def expire(self, now: float) -> list[tuple[Ticket, Refusal]]:
        """Removes the requests whose wait has ended; returns each with its refusal."""
        expired = []
        while self._wait_ends and self._wait_ends[0][0] <= now:
            _, _, ticket = heapq.heappop(self._wait_ends)
            if ticket.state is not TicketState.WAITING:
                continue
            self._leave_queue(ticket, now)
            ticket.state = TicketState.ENDED
            waited = now - ticket.queued_at
            self._update_wait_correction(ticket, EXPIRED_WAIT_FACTOR * waited)
            retry = clamp_retry(self.wait_seconds(ticket))
            expired.append((ticket, Refusal("overloaded", f"it waited {waited:.2f} s", retry)))
        return expired

    def next_expiry(self) -> float | None:
        """Returns when the next waiting request expires; None if none is waiting."""
        while self._wait_ends and self._wait_ends[0][2].state is not TicketState.WAITING:
            heapq.heappop(self._wait_ends)
        return self._wait_ends[0][0] if self._wait_ends else None

    def end(self, ticket: Ticket, now: float, cost: float | None = None) -> None:
        """Ends a request in any state; a second call has no effect.

        Args:
          cost: Its actual cost, if it was answered completely.
        """
        if ticket.state is TicketState.WAITING:
            self._leave_queue(ticket, now)
        elif ticket.state is TicketState.RUNNING:
            self._running -= 1
            self._used_at = now
            self._shares.change(ticket.workspace, ticket.share, -1, 0, now)
            if cost is not None:
                self._update_run_time(max(cost, 1.0), now - ticket.started_at)
                queue = self._queues[ticket.priority]
                if queue:
                    queue.charge(ticket.workspace, cost - ticket.cost, ticket.share)
        ticket.state = TicketState.ENDED

    def _may_run(self, ticket: Ticket, now: float) -> bool:
        if not self.has_room(ticket.priority):
            return False
        limit = self._rounded_limit()
        return self._running < limit - self._shares.room_reserved_for_others(
            ticket.workspace, limit, now
        )

    def _leave_queue(self, ticket: Ticket, now: float) -> None:
        self._queues[ticket.priority].remove(ticket)
        self._shares.change(ticket.workspace, ticket.share, 0, -1, now)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started_at = self._used_at = now
        self._running += 1
        self._shares.change(ticket.workspace, ticket.share, 1, 0, now)
        ticket.over_share = self._shares.is_over(ticket.workspace, self._limit, now)

    def _update_wait_correction(self, ticket: Ticket, waited: float) -> None:
        # The estimate assumes a steady rate, but limits shrink, and other classes and shares
        # are served first. Without a correction, requests would be queued that expire after the
        # maximum wait: their callers would learn late what could have been said at once.
        expected = max(ticket.expected_wait, MIN_EXPECTED_WAIT_SECONDS)
        sample = min(MAX_CORRECTION, waited / expected)
        self._wait_correction += SAMPLE_WEIGHT * (sample - self._wait_correction)
        self._wait_correction = max(MIN_CORRECTION, self._wait_correction)

    def _update_run_time(self, cost: float, seconds: float) -> None:
        sample = seconds / cost
        if not self._seconds_per_cost:
            self._seconds_per_cost = sample
            self._mean_run_seconds = seconds
        self._mean_run_seconds += SAMPLE_WEIGHT * (seconds - self._mean_run_seconds)
        self._seconds_per_cost += SAMPLE_WEIGHT * (sample - self._seconds_per_cost)

    def _rounded_limit(self) -> int:
        # The limits of single endpoints are fractions if many entries share them. Their sum is
        # rounded once, and not to zero while there is an endpoint.
        return max(1, int(self._limit + 1e-9)) if self._limit > 0.0 else 0


def clamp_retry(wait: float) -> float:
    """Returns the retry time in seconds for an estimated wait."""
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
