"""What one entry knows of the work at one endpoint: its own exactly, the others' by reports.

Load pattern: several entries place on the same endpoints, and reports of load are some hundred
milliseconds old. Followed alone, a report sends every entry to the endpoint that looked idle;
ignored, each entry counts only its own requests and fills endpoints that others have filled.

A report counts for what others run, as of when it was made; what this entry sent and saw end is
counted at once.

Grounds: TRUSTED_SECONDS is the length of a usual run; later, most of what a report counted has
ended.
"""

import random

from .endpoint_health import EndpointHealth
from .engine_forecast import EngineWork

TRUSTED_SECONDS = 1.5
SAMPLE_WEIGHT = 1.0 / 16.0
FIRST_RUN_SECONDS = 0.03


class EndpointLoad:
    """Work, health and speed of one run of an endpoint.

    Attributes:
      own: Requests of this entry in progress there.
      unread: Prompt tokens of those that have had no event yet.
      answering: Requests that have had an event and are not over.
      progress_at: When anything last came from there.
      run_seconds: How long a request of a plain service takes, on average.
    """

    __slots__ = ("health", "own", "unread", "answering", "progress_at", "run_seconds")
    __slots__ += ("_others", "_reported_at", "_pace", "_queued")

    def __init__(self, rng: random.Random) -> None:
        self.health = EndpointHealth(rng)
        self.own = 0
        self.unread = 0
        self.answering = 0
        self.progress_at = 0.0
        self.run_seconds = FIRST_RUN_SECONDS
        self._others = 0.0
        self._queued = 0
        self._pace = 1.0
        self._reported_at = float("-inf")

    def placed(self, prompt_tokens: int) -> None:
        """Counts a request that is sent there."""
        self.own += 1
        self.unread += prompt_tokens
        self.health.placed()

    def first_event(self, prompt_tokens: int, now: float) -> None:
        """Counts a request whose first event came."""
        self.unread -= prompt_tokens
        self.answering += 1
        self.progress_at = now

    def ended(self, prompt_tokens: int, answered: bool) -> None:
        """Counts a request that ended, however.

        Args:
          answered: Whether it had its first event.
        """
        self.own -= 1
        if answered:
            self.answering -= 1
        else:
            self.unread -= prompt_tokens

    def take_run(self, seconds: float) -> None:
        """Takes how long a whole answer of a plain service took."""
        self.run_seconds += SAMPLE_WEIGHT * (seconds - self.run_seconds)

    def take_report(self, running: int, queued: int, pace: float, now: float) -> None:
        """Takes what an endpoint says of itself."""
        self._others = max(0.0, running + queued - self.own)
        self._queued = queued
        self._pace = max(1.0, pace)
        self._reported_at = now

    def work(self, now: float) -> EngineWork:
        """Returns what is to be done there, before and beside a new request."""
        left = max(0.0, 1.0 - (now - self._reported_at) / TRUSTED_SECONDS)
        return EngineWork(self.own + left * self._others, float(self.unread), self._pace)
