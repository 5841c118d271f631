"""Estimates the load of one endpoint: this entry's requests exactly, others' from reports.

Load pattern: several entries send to the same endpoints, and load reports are several hundred
milliseconds old. If reports alone counted, each report would send all entries to the endpoint
that looked idle. If reports were ignored, each entry would count only its own requests and
fill endpoints that other entries have already filled.

A report gives the requests of other entries at the time it was made, which is some time before
it arrives. Requests that this entry sends, and their ends, count immediately. What the other
entries have sent since the report is not known and is estimated: callers are spread evenly over
the entries, so each of the others sends as much as this one, spread equally over all engines.
In a replay with three entries, six engines and reports 0.2 s old at one and a half times the
engines' capacity (endpoint_choice_test.py), estimating the others' requests from these rates,
and not from this entry's own requests to the same engine, raised the requests whose first event
was in time from 31 to 39 per second.
"""

import collections
import random

from .endpoint_health import EndpointHealth
from .engine_forecast import EngineWork
from .failure_rate import FailureRate
from .recent_lateness import RecentLateness

REPORT_LIFETIME_SECONDS = 1.5
# More requests than an entry sends to one engine between two reports.
MAX_UNREPORTED = 64
SAMPLE_WEIGHT = 1.0 / 16.0
INITIAL_RUN_SECONDS = 0.03
# What is known of how long requests run holds for so long without one, and is then worth half after
# each half-life. Only answers move the estimate, and one that is too high has everybody refused who
# could bring an answer.
RUN_MEMORY_SECONDS = 5.0
RUN_HALF_LIFE_SECONDS = 1.0


class EndpointLoad:
    """Load, health and speed of one run of an endpoint, from its start to its end.

    Attributes:
      own_requests: Number of this entry's requests in progress there.
      unread_tokens: Prompt tokens of those that have had no event yet.
      held_tokens: Prompt tokens of all of this entry's requests in progress there.
      failures: Recent failure rate there.
      lateness: How much later than forecast requests have recently started there.
      asks_for_body: Whether it asks for the body of a request whose head announces one (100
        Continue); None while that is not known.
      reported_at: When a report arrived last that says that it answers.
      unreachable: Whether no connection could be opened since it last answered a request.
    """

    __slots__ = ("health", "own_requests", "unread_tokens", "failures", "lateness")
    __slots__ += (
        "_other_requests",
        "_report_received_at",
        "_report_made_at",
        "_pace",
        "_queued",
        "_unreported_sends",
    )
    __slots__ += ("_silent_since", "asks_for_body", "reported_at", "held_tokens", "_unbegun")
    __slots__ += ("unreachable", "_run_seconds", "_used_at")

    def __init__(self, rng: random.Random) -> None:
        self.health = EndpointHealth(rng)
        self.own_requests = 0
        self.unread_tokens = 0
        self.held_tokens = 0
        self.failures = FailureRate()
        self.lateness = RecentLateness()
        # Time from which silence counts while this entry has requests there.
        self._silent_since = 0.0
        self._run_seconds = INITIAL_RUN_SECONDS
        # When a request was last placed there or has ended.
        self._used_at = 0.0
        self.asks_for_body: bool | None = None
        self.unreachable = False
        self.reported_at = float("-inf")
        self._other_requests = 0.0
        self._queued = 0
        # Requests of this entry that have had no event yet, and their prompt tokens, by rank.
        self._unbegun: dict[int, tuple[int, int]] = {}
        self._pace = 1.0
        self._report_received_at = float("-inf")
        self._report_made_at = float("-inf")
        # Send times of the requests that the last report does not include yet.
        self._unreported_sends: collections.deque[float] = collections.deque(maxlen=MAX_UNREPORTED)

    def record_placed(
        self, prompt_tokens: int, now: float, forecast: float = 0.0, rank: int = 0
    ) -> None:
        """Records that a request was sent there.

        Args:
          forecast: Expected seconds until its first event. If this entry has no other requests
            there, silence counts only after that time; reading a long prompt takes a second.
          rank: Its place in the engine's queue, zero for the most urgent.
        """
        self._run_seconds = self.run_seconds(now)
        self._used_at = now
        if not self.own_requests:
            self._silent_since = now + forecast
        self.own_requests += 1
        self.unread_tokens += prompt_tokens
        self.held_tokens += prompt_tokens
        self._unreported_sends.append(now)
        self._add_unbegun(rank, 1, prompt_tokens)
        self.health.record_placed()

    def record_first_event(self, prompt_tokens: int, now: float, rank: int = 0) -> None:
        """Records the first event of a request."""
        self.unread_tokens -= prompt_tokens
        self._add_unbegun(rank, -1, -prompt_tokens)
        self.record_progress(now)

    def record_progress(self, now: float) -> None:
        """Records that data arrived from there."""
        self._silent_since = now

    def silent_seconds(self, now: float) -> float:
        """Returns for how long no data has arrived; zero without requests of this entry there."""
        return now - self._silent_since if self.own_requests else 0.0

    def record_outcome(self, failed: bool, now: float) -> None:
        """Records the end of a request for the failure rate.

        Args:
          failed: Whether it failed in a way that the endpoint may have caused.
        """
        self.failures.record(failed, now)
        self._used_at = now
        if not failed:
            self.record_progress(now)

    def record_ended(self, prompt_tokens: int, answered: bool, rank: int = 0) -> None:
        """Removes a request from the load, whatever its outcome.

        Args:
          answered: Whether it had its first event.
        """
        self.own_requests -= 1
        self.held_tokens -= prompt_tokens
        if not answered:
            self.unread_tokens -= prompt_tokens
            self._add_unbegun(rank, -1, -prompt_tokens)

    def record_run(self, seconds: float) -> None:
        """Records how long a complete answer of a plain service took."""
        self._run_seconds += SAMPLE_WEIGHT * (seconds - self._run_seconds)

    def run_seconds(self, now: float) -> float:
        """Returns the average time for a request of a plain service.

        Args:
          now: By the event loop's clock.
        """
        excess = self._run_seconds - INITIAL_RUN_SECONDS
        if self.own_requests or excess <= 0.0:
            return self._run_seconds
        unused = max(0.0, now - self._used_at - RUN_MEMORY_SECONDS)
        return INITIAL_RUN_SECONDS + excess * 0.5 ** (unused / RUN_HALF_LIFE_SECONDS)

    def record_report(
        self, running: int, queued: int, pace: float, now: float, lag: float = 0.0
    ) -> None:
        """Records a load report of the endpoint.

        Args:
          lag: Seconds between the state that the report describes and its arrival.
        """
        self._report_received_at = now
        self._report_made_at = now - lag
        while self._unreported_sends and self._unreported_sends[0] < self._report_made_at:
            self._unreported_sends.popleft()
        own_at_report = max(0, self.own_requests - len(self._unreported_sends))
        self._other_requests = max(0.0, running + queued - own_at_report)
        self._queued = queued
        self._pace = max(1.0, pace)

    def reports_waiting(self, now: float) -> bool:
        """Returns whether the endpoint has lately reported requests that it has not begun."""
        return self._queued > 0 and self.report_age(now) < REPORT_LIFETIME_SECONDS

    def report_age(self, now: float) -> float:
        """Returns the seconds since the last load report; infinite if there was none."""
        return now - self._report_received_at

    def work(
        self,
        now: float,
        usual_prompt: float = 0.0,
        others_rate: float = 0.0,
        rank: int | None = None,
    ) -> EngineWork:
        """Returns the estimated work ahead of and alongside a new request.

        Args:
          usual_prompt: Tokens of a usual prompt, assumed for waiting requests of other entries.
          others_rate: Requests per second that other entries send there.
          rank: The place of the new request in the engine's queue; None without an order.
        """
        weight = max(0.0, 1.0 - (now - self._report_received_at) / REPORT_LIFETIME_SECONDS)
        unreported = others_rate * (now - self._report_made_at) if weight else 0.0
        unread = self.unread_tokens + usual_prompt * (weight * self._queued + unreported)
        requests = self.own_requests + weight * self._other_requests + unreported
        if rank is None:
            return EngineWork(requests, unread, self._pace)
        less_urgent = [known for place, known in self._unbegun.items() if place > rank]
        overtaken = sum(count for count, _ in less_urgent)
        tokens = sum(tokens for _, tokens in less_urgent)
        return EngineWork(requests, unread, self._pace, overtaken, tokens)

    def _add_unbegun(self, rank: int, requests: int, tokens: int) -> None:
        known = self._unbegun.get(rank, (0, 0))
        self._unbegun[rank] = (known[0] + requests, known[1] + tokens)
