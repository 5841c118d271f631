"""The state of a prompt part that may crash endpoints, as entries exchange it."""

import msgspec


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one part; see decisions/crashing_parts.py.

    Fields are encoded by position and may only be appended.

    Attributes:
      epoch: How often the part was cleared.
      crashes: The crashes counted since, tests included.
      age: Seconds since the last crash, or since the last request while the part is suspected.
      inconclusive: The tests since that showed nothing.
      endpoints: Some endpoints that died since with a request with the part in progress.
      counted_ago: Seconds since the last crash was counted, or the last inconclusive test.
      regions: The only regions to whose instances the report may be sent; None for all.
    """

    part: str
    epoch: int
    crashes: int
    age: float = 0.0
    inconclusive: int = 0
    endpoints: tuple[str, ...] = ()
    counted_ago: float = 0.0
    regions: tuple[str, ...] | None = None

    def may_go_to(self, region: str) -> bool:
        """Returns whether the report may be sent to an instance in a region; empty if unknown."""
        return self.regions is None or region in self.regions

    def covers(self, other: "PartReport") -> bool:
        """Returns whether another state of the part says nothing that this one does not."""
        if self.epoch != other.epoch:
            return self.epoch > other.epoch
        counts = self.crashes >= other.crashes and self.inconclusive >= other.inconclusive
        return counts and set(self.endpoints) >= set(other.endpoints)
