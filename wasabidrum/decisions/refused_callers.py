"""Recognises callers that repeat a refused request, and whether they do so too early.

Load pattern: callers that were refused under overload were told when to come back. Some repeat
their requests at once, several times a second, so that they are admitted more often than callers
who wait, and the entry spends its time on refusing them.

A repeated request has the same content. Each entry recognises those that it refused itself. Where a
load balancer spreads connections, that is a sample of all, which tells as well what fraction of the
callers return too early.
"""

import collections
import enum

LIFETIME_SECONDS = 10.0
MAX_CALLERS = 4096
# A caller that waits as told may still be early by the difference of two network delays, and
# Retry-After is rounded.
EARLY_FRACTION = 0.8


class Return(enum.Enum):
    """Whether a request was refused before."""

    NEW = "new"
    IN_TIME = "in_time"
    EARLY = "early"


class RefusedCallers:
    """The requests that this entry refused lately, by the fingerprint of their content."""

    __slots__ = ("_refused",)

    def __init__(self) -> None:
        # When each was refused, and from when on it may come back; the oldest first.
        self._refused: collections.OrderedDict[str, tuple[float, float]] = collections.OrderedDict()

    def record_refused(self, fingerprint: str, retry_after: float, now: float) -> None:
        """Records that a request was refused and its caller told to return after some seconds."""
        self._refused[fingerprint] = (now, now + EARLY_FRACTION * retry_after)
        self._refused.move_to_end(fingerprint)
        while len(self._refused) > MAX_CALLERS or self._oldest_at < now - LIFETIME_SECONDS:
            self._refused.popitem(last=False)

    def take(self, fingerprint: str, now: float) -> Return:
        """Returns whether a new request was refused before; counts each refusal only once."""
        refused_at, due_at = self._refused.pop(fingerprint, (float("-inf"), 0.0))
        if now - refused_at > LIFETIME_SECONDS:
            return Return.NEW
        return Return.EARLY if now < due_at else Return.IN_TIME

    @property
    def _oldest_at(self) -> float:
        return next(iter(self._refused.values()), (float("inf"), 0.0))[0]
