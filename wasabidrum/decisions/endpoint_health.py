"""Detects slow and failing endpoints and decides when to probe them again.

Load pattern: one endpoint decodes ten times slower than its peers, or rejects every request
within a millisecond. It still passes its health checks. Requests pile up at the slow endpoint;
the rejecting one looks idle, so least-loaded routing sends it all requests, and callers get
errors while healthy endpoints have room.

An endpoint's seconds per token, measured while tokens stream, are compared with the median of
its peers, and an answer that stalls partway counts against it. A slow or failing endpoint is
ejected at once and receives one probe request at a time, at growing intervals with jitter.
Successful probes return it to service.

A sound endpoint may also be silent for a moment. What is sent to it then is answered a little
later, which serves callers better than a refusal if nobody else can answer.
"""

import enum
import random

from . import backoff

SLOW_RATIO = 3.0
HEALTHY_RATIO = 2.0
MIN_TOKENS = 4
SILENT_RATIO = 20.0
MIN_SILENCE_SECONDS = 0.5
SILENCE_CONFIRMATION_SECONDS = 0.1
# A sound endpoint falls silent for up to one and a half seconds. This includes the time in which
# its next event or answer arrives.
MAX_SOUND_SILENCE_SECONDS = 1.8
FAILURES_TO_EJECT = 2
FIRST_PROBE_SECONDS = 0.5
SAMPLE_WEIGHT = 0.3


class Health(enum.Enum):
    """The health of an endpoint, which determines what requests it receives."""

    HEALTHY = "healthy"
    SLOW = "slow"
    FAILING = "failing"


class EndpointHealth:
    """Health of one endpoint as this entry sees it."""

    __slots__ = ("_health", "_token_seconds", "_samples", "_failures", "_probe_attempts")
    __slots__ += ("_probe_at", "_probing", "_silence_detected_at", "_slow_since", "_last_slow_at")
    __slots__ += ("_rng", "_silent_since")

    def __init__(self, rng: random.Random) -> None:
        self._health = Health.HEALTHY
        # When the silence began because of which it was ejected; None if that was not the reason.
        self._silent_since: float | None = None
        self._token_seconds = 0.0
        self._samples = 0
        self._failures = 0
        self._probe_attempts = 0
        self._probe_at = 0.0
        self._probing = False
        self._silence_detected_at = float("-inf")
        self._slow_since: float | None = None
        self._last_slow_at = float("-inf")
        self._rng = rng

    @property
    def health(self) -> Health:
        """The current health."""
        return self._health

    @property
    def token_seconds(self) -> float:
        """Average of recent seconds per token; zero if too few tokens were received."""
        return self._token_seconds if self._samples >= MIN_TOKENS else 0.0

    @property
    def probe_at(self) -> float:
        """When the next probe is due; meaningful only while the endpoint is not healthy."""
        return self._probe_at

    def may_receive(self, now: float) -> bool:
        """Returns whether a request may be sent there, as a probe if it is not healthy."""
        if self._health is Health.HEALTHY:
            return True
        return not self._probing and now >= self._probe_at

    def is_briefly_silent(self, now: float) -> bool:
        """Returns whether it was ejected for a silence that a sound endpoint may keep as well."""
        since = self._silent_since
        return since is not None and now - since < MAX_SOUND_SILENCE_SECONDS

    def record_placed(self) -> None:
        """Records that a request was sent there."""
        if self._health is not Health.HEALTHY:
            self._probing = True

    def record_tokens(self, tokens: int, seconds: float) -> None:
        """Records how long a number of tokens took together."""
        for _ in range(min(tokens, MIN_TOKENS)):
            self._samples += 1
            sample = seconds / tokens
            if self._samples == 1:
                self._token_seconds = sample
            self._token_seconds += SAMPLE_WEIGHT * (sample - self._token_seconds)

    def is_slower(self, token_seconds: float) -> bool:
        """Returns whether tokens take more than SLOW_RATIO times as long as at other endpoints.

        Args:
          token_seconds: The seconds per token at other endpoints.
        """
        return self.token_seconds > SLOW_RATIO * token_seconds

    def record_pace(self, median: float, now: float) -> bool:
        """Compares the endpoint's speed with its peers; returns whether its health changed.

        Args:
          median: The current median seconds per token of its peers; zero if there are none.
        """
        if median <= 0.0 or self._health is not Health.HEALTHY or not self.is_slower(median):
            self._slow_since = None
            return False
        # One short pause shows up in all streams of an endpoint at once, so many slow tokens
        # do not prove that it is slow. It must stay slow for the time that several tokens
        # take. A period without tokens, as between two answers, proves nothing and restarts
        # the measurement.
        idle = is_silent(now - self._last_slow_at, median)
        if self._slow_since is None or idle:
            self._slow_since = now
        self._last_slow_at = now
        if now - self._slow_since < MIN_TOKENS * SLOW_RATIO * median:
            return False
        self._eject(Health.SLOW, now)
        return True

    def record_silence(self, seconds: float, median: float, now: float) -> bool:
        """Records for how long answers in progress have stalled; returns whether health changed.

        The silence must be seen twice: if the entry itself was suspended, tokens may already
        wait unread in its sockets.
        """
        if not is_silent(seconds, median) or self._health is not Health.HEALTHY:
            return False
        if self._silence_detected_at < now - seconds:
            self._silence_detected_at = now
        if now - self._silence_detected_at < SILENCE_CONFIRMATION_SECONDS:
            return False
        self._eject(Health.SLOW, now)
        self._silent_since = now - seconds
        return True

    def record_heard(self) -> bool:
        """Records that something of an answer arrived; returns whether the health changed.

        An endpoint that was only silent is sound again with the first sign of it. A whole answer
        may take seconds more, in which the others would have to take its requests.
        """
        if self._silent_since is None:
            return False
        self._return()
        return True

    def record_success(self, median: float) -> bool:
        """Records a complete answer; returns whether the health changed."""
        self._failures = 0
        self._probing = False
        if self._health is Health.HEALTHY:
            return False
        if self._health is Health.SLOW and self.token_seconds > HEALTHY_RATIO * median > 0.0:
            return False
        self._return()
        return True

    def record_failure(self, now: float) -> bool:
        """Records a rejection or a failure that the endpoint may have caused.

        Returns:
          Whether the health changed.
        """
        self._failures += 1
        if self._health is not Health.HEALTHY:
            self._probing = False
            self._schedule_probe(now)
            return False
        if self._failures < FAILURES_TO_EJECT:
            return False
        self._eject(Health.FAILING, now)
        return True

    def end_probe(self, now: float) -> None:
        """Ends a probe without a result, such as one that its caller cancelled."""
        if self._probing:
            self._probing = False
            self._schedule_probe(now)

    def _return(self) -> None:
        self._health = Health.HEALTHY
        self._silent_since = None
        self._probing = False
        self._probe_attempts = 0

    def _eject(self, new_health: Health, now: float) -> None:
        self._health = new_health
        self._silent_since = None
        self._slow_since = None
        self._probing = False
        self._schedule_probe(now)

    def _schedule_probe(self, now: float) -> None:
        self._probe_attempts += 1
        delay = backoff.delay_before(self._probe_attempts, self._rng, FIRST_PROBE_SECONDS)
        self._probe_at = now + delay


def is_silent(seconds: float, median: float) -> bool:
    """Returns whether answers in progress have stalled for longer than slowness explains.

    Args:
      seconds: How long nothing has arrived.
      median: The usual seconds between two arrivals.
    """
    return seconds > max(MIN_SILENCE_SECONDS, SILENT_RATIO * median)
