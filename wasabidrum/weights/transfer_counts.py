"""Transfer counters of a process, for operators and benchmarks."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TransferCounts:
    """Bytes of weights by source and destination, and counts of requests and failures.

    Attributes:
      asks: Chunk requests and probes sent to peers, whatever the answer.
      corrupt: Chunks whose content did not match their digest.
    """

    from_origin: int = 0
    from_own_region: int = 0
    from_other_regions: int = 0
    to_own_region: int = 0
    to_other_regions: int = 0
    asks: int = 0
    asks_answered: int = 0
    peer_failures: int = 0
    corrupt: int = 0

    def by_source(self) -> dict[str, int]:
        """Returns the bytes fetched, by source."""
        return {
            "origin": self.from_origin,
            "own_region": self.from_own_region,
            "other_regions": self.from_other_regions,
        }
