"""Routes: which requests they match, to which services they go, and how they may be retried."""

import enum

import msgspec


class RouteKind(enum.Enum):
    """Whether requests may be repeated: SAFE always, UNSAFE never, STREAM where resumable."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class RouteTarget(msgspec.Struct, frozen=True):
    """A service that a route sends requests to, and its weight among the targets."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route of the configuration in force.

    Attributes:
      prefix: Begins and ends with a slash; the longest prefix of the path wins.
      timeout: The maximum time that a caller waits, in seconds.
      target_latency: The seconds within which an answer, or its first event, is on time.
      priority: A lower value is more urgent.
      max_attempts: The maximum number of endpoints that one request is sent to.
      public: Whether callers need no key.
      resumable: Whether another endpoint may continue a stream after its last event.
      largest_gap: The longest pause between events, in seconds, with which a stream is on time.
      patience: The seconds without an event after which callers leave a stream, also before its
        first event; infinite where only the deadline limits their wait.
      allowed_regions: Where its requests may be served; anywhere if empty.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int
    targets: tuple[RouteTarget, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    largest_gap: float = 0.0
    patience: float = float("inf")
    allowed_regions: tuple[str, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE
