"""A route: which callers' requests it takes, where they go, and what may be done with them."""

import enum

import msgspec


class RouteKind(enum.Enum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class RouteTarget(msgspec.Struct, frozen=True):
    """A service that a route sends to, and its part of the requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route of the configuration in force.

    Attributes:
      prefix: Begins and ends with a slash; the longest that begins a path wins.
      timeout: The longest that a caller is kept waiting, in seconds.
      target_latency: Within this many seconds an answer, or its first event, is on time.
      priority: Lower is more urgent.
      max_attempts: The most endpoints that one request may be run by.
      public: Whether callers need no key.
      resumable: Whether a stream may go on at another endpoint after its last event.
      largest_gap: The longest pause between events for which a stream is on time, in seconds.
      patience: The seconds without an event after which callers leave a stream, before its first
        event too; infinite where they only wait for the deadline.
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

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE
