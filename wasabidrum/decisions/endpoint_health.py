"""Which endpoints are slow or failing, and when they are tried again.

Load pattern: one endpoint decodes ten times slower than its peers, or refuses everything in
a millisecond. It is not dead: it answers its health checks. Requests pile up at the slow
one; the one that refuses looks idle, so that least-loaded routing sends it everything, and
callers see errors while healthy endpoints have room.

An endpoint is held to its peers' median seconds per token, from tokens as they stream, and
to silence in the middle of answers. Slow or failing, it loses its share at once and gets one
probe at a time, at growing intervals with jitter; probes answered well bring it back.
"""

import enum
import random

from . import backoff

SLOW_RATIO = 3.0
HEALTHY_RATIO = 2.0
TOKENS_JUDGED = 4
SILENT_RATIO = 20.0
SHORTEST_SILENCE_SECONDS = 0.5
SILENCE_CONFIRMED_SECONDS = 0.1
FAILURES_JUDGED = 2
FIRST_PROBE_SECONDS = 0.5
SAMPLE_WEIGHT = 0.3


class Health(enum.Enum):
    """What an endpoint may be given."""

    HEALTHY = "healthy"
    SLOW = "slow"
    FAILING = "failing"


class EndpointHealth:
    """The verdict on one endpoint."""

    __slots__ = ("_health", "_token_seconds", "_samples", "_failures", "_tries")
    __slots__ += ("_probe_at", "_probing", "_silence_seen_at", "_slow_since", "_slow_at")
    __slots__ += ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._health = Health.HEALTHY
        self._token_seconds = 0.0
        self._samples = 0
        self._failures = 0
        self._tries = 0
        self._probe_at = 0.0
        self._probing = False
        self._silence_seen_at = float("-inf")
        self._slow_since: float | None = None
        self._slow_at = float("-inf")
        self._rng = rng

    @property
    def health(self) -> Health:
        """The verdict now."""
        return self._health

    @property
    def token_seconds(self) -> float:
        """Seconds per token lately; zero where too few were seen."""
        return self._token_seconds if self._samples >= TOKENS_JUDGED else 0.0

    @property
    def probe_at(self) -> float:
        """When the next probe is due, where the endpoint is not healthy."""
        return self._probe_at

    def may_take(self, now: float) -> bool:
        """Returns whether a request may be sent: any to a healthy one, else one as a probe."""
        if self._health is Health.HEALTHY:
            return True
        return not self._probing and now >= self._probe_at

    def placed(self) -> None:
        """Counts a request that was sent here."""
        if self._health is not Health.HEALTHY:
            self._probing = True

    def record_tokens(self, tokens: int, seconds: float) -> None:
        """Records how long some tokens took."""
        for _ in range(min(tokens, TOKENS_JUDGED)):
            self._samples += 1
            sample = seconds / tokens
            if self._samples == 1:
                self._token_seconds = sample
            self._token_seconds += SAMPLE_WEIGHT * (sample - self._token_seconds)

    def is_slower(self, token_seconds: float) -> bool:
        """Returns whether tokens take so much longer than elsewhere that callers notice."""
        return self.token_seconds > SLOW_RATIO * token_seconds

    def record_pace(self, median: float, now: float) -> bool:
        """Holds the endpoint's pace to its peers'; returns whether the verdict changed.

        Args:
          median: The seconds per token of its peers now; zero where there are none.
        """
        if median <= 0.0 or self._health is not Health.HEALTHY or not self.is_slower(median):
            self._slow_since = None
            return False
        # All streams of an endpoint tell of the same short pause, so that many slow tokens are
        # no proof of slowness. One that is slow still is after the time of some tokens; a time
        # without any, as between two texts, proves nothing and begins it anew.
        idle = is_silent(now - self._slow_at, median)
        if self._slow_since is None or idle:
            self._slow_since = now
        self._slow_at = now
        if now - self._slow_since < TOKENS_JUDGED * SLOW_RATIO * median:
            return False
        self._eject(Health.SLOW, now)
        return True

    def record_silence(self, seconds: float, median: float, now: float) -> bool:
        """Records for how long answers in progress have stood still."""
        if not is_silent(seconds, median) or self._health is not Health.HEALTHY:
            return False
        if self._silence_seen_at < now - seconds:
            self._silence_seen_at = now
        if now - self._silence_seen_at < SILENCE_CONFIRMED_SECONDS:
            return False
        self._eject(Health.SLOW, now)
        return True

    def record_success(self, median: float) -> bool:
        """Records a whole answer; returns whether the verdict changed."""
        self._failures = 0
        self._probing = False
        if self._health is Health.HEALTHY:
            return False
        if self._health is Health.SLOW and self.token_seconds > HEALTHY_RATIO * median > 0.0:
            return False
        self._health = Health.HEALTHY
        self._tries = 0
        return True

    def record_failure(self, now: float) -> bool:
        """Records a refusal or a failure that may be the endpoint's own; as above."""
        self._failures += 1
        if self._health is not Health.HEALTHY:
            self._probing = False
            self._schedule_probe(now)
            return False
        if self._failures < FAILURES_JUDGED:
            return False
        self._eject(Health.FAILING, now)
        return True

    def probe_ended(self, now: float) -> None:
        """Ends a probe that told nothing, such as one that its caller cancelled."""
        if self._probing:
            self._probing = False
            self._schedule_probe(now)

    def _eject(self, verdict: Health, now: float) -> None:
        self._health = verdict
        self._slow_since = None
        self._probing = False
        self._schedule_probe(now)

    def _schedule_probe(self, now: float) -> None:
        self._tries += 1
        delay = backoff.delay_before(self._tries, self._rng, FIRST_PROBE_SECONDS)
        self._probe_at = now + delay


def is_silent(seconds: float, median: float) -> bool:
    """Returns whether answers in progress that stand still for so long are more than slow."""
    return seconds > max(SHORTEST_SILENCE_SECONDS, SILENT_RATIO * median)
