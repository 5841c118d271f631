"""What one entry knows of the work at one endpoint: its own exactly, the others' by reports.

Load pattern: several entries place on the same endpoints, and reports of load are some hundred
milliseconds old. Followed alone, a report sends every entry to the endpoint that looked idle;
ignored, each entry counts only its own requests and fills endpoints that others have filled.

A report counts for what others run, as of when it was made, which is some time before it
arrives; what this entry sent and saw end is counted at once. What the others have sent since,
nobody has told: callers are spread evenly over entries, so that the others send as much as this
one does, and spread it over all engines alike. Replayed with three entries, six engines and
reports 0.2 s old at one and a half times what the engines carry (endpoint_choice_test.py),
requests with a first event in time rose from 31 to 39 a second by counting by rates what the
others have sent, and not by this entry's own sends to the same engine.
"""

import collections
import random

from .endpoint_health import EndpointHealth
from .engine_forecast import EngineWork
from .failure_rate import FailureRate
from .recent_lateness import RecentLateness

TRUSTED_SECONDS = 1.5
# More than an entry sends to one engine between two reports.
MOST_SENT = 64
SAMPLE_WEIGHT = 1.0 / 16.0
FIRST_RUN_SECONDS = 0.03


class EndpointLoad:
    """Work, health and speed of one run of an endpoint.

    Attributes:
      own: Requests of this entry in progress there.
      unread: Prompt tokens of those that have had no event yet.
      failures: How often requests failed there, lately.
      lateness: By how much requests lately began there later than forecast.
      run_seconds: How long a request of a plain service takes, on average.
    """

    __slots__ = ("health", "own", "unread", "failures", "run_seconds", "lateness")
    __slots__ += ("_others", "_reported_at", "_made_at", "_pace", "_queued", "_sent")
    __slots__ += ("_quiet_since",)

    def __init__(self, rng: random.Random) -> None:
        self.health = EndpointHealth(rng)
        self.own = 0
        self.unread = 0
        self.failures = FailureRate()
        self.lateness = RecentLateness()
        # Since when nothing has come from there though this entry has work there.
        self._quiet_since = 0.0
        self.run_seconds = FIRST_RUN_SECONDS
        self._others = 0.0
        self._queued = 0
        self._pace = 1.0
        self._reported_at = float("-inf")
        self._made_at = float("-inf")
        # When this entry sent what the last report cannot know of yet.
        self._sent: collections.deque[float] = collections.deque(maxlen=MOST_SENT)

    def placed(self, prompt_tokens: int, now: float, forecast: float = 0.0) -> None:
        """Counts a request that is sent there.

        Args:
          forecast: The seconds until something is to come of it. Until then an endpoint that has
            nothing else to do for this entry is not silent; a long prompt takes it a second.
        """
        if not self.own:
            self._quiet_since = now + forecast
        self.own += 1
        self.unread += prompt_tokens
        self._sent.append(now)
        self.health.placed()

    def first_event(self, prompt_tokens: int, now: float) -> None:
        """Counts a request whose first event came."""
        self.unread -= prompt_tokens
        self.progressed(now)

    def progressed(self, now: float) -> None:
        """Takes that something came from there."""
        self._quiet_since = now

    def silent_seconds(self, now: float) -> float:
        """Returns for how long nothing has come from there, with work of this entry there."""
        return now - self._quiet_since if self.own else 0.0

    def record_end(self, failed: bool, now: float) -> None:
        """Records whether a request failed in a way that may be the endpoint's own."""
        self.failures.take(failed, now)
        if not failed:
            self.progressed(now)

    def ended(self, prompt_tokens: int, answered: bool) -> None:
        """Counts a request that ended, however.

        Args:
          answered: Whether it had its first event.
        """
        self.own -= 1
        if not answered:
            self.unread -= prompt_tokens

    def record_run(self, seconds: float) -> None:
        """Records how long a whole answer of a plain service took."""
        self.run_seconds += SAMPLE_WEIGHT * (seconds - self.run_seconds)

    def record_report(
        self, running: int, queued: int, pace: float, now: float, lag: float = 0.0
    ) -> None:
        """Records what an endpoint says of itself.

        Args:
          lag: How old the account was when it was made, in seconds.
        """
        self._reported_at = now
        self._made_at = now - lag
        while self._sent and self._sent[0] < self._made_at:
            self._sent.popleft()
        own_then = max(0, self.own - len(self._sent))
        self._others = max(0.0, running + queued - own_then)
        self._queued = queued
        self._pace = max(1.0, pace)

    def report_age(self, now: float) -> float:
        """Returns the seconds since the endpoint last said what it does; infinite if never."""
        return now - self._reported_at

    def work(self, now: float, usual_prompt: float = 0.0, others_rate: float = 0.0) -> EngineWork:
        """Returns what is to be done there, before and beside a new request.

        Args:
          usual_prompt: Tokens of a usual prompt, for those of others that wait unread.
          others_rate: Requests a second that other entries send there.
        """
        left = max(0.0, 1.0 - (now - self._reported_at) / TRUSTED_SECONDS)
        untold = others_rate * (now - self._made_at) if left else 0.0
        unread = self.unread + usual_prompt * (left * self._queued + untold)
        return EngineWork(self.own + left * self._others + untold, unread, self._pace)
