"""Health of a sidecar's peers, as observed from its own requests for chunks.

Load pattern: during a burst some peers are dead, suspended, partitioned or send corrupted bytes,
and the platform's list learns of it late or never. Without a record of failures every chunk would
wait for the same dead parent again. A failed peer is skipped for a backoff time that doubles with
each failure in a row, so that a recovered peer is soon used again and a dead one costs little.
When the backoff is over, a single request probes the peer and the other requests go on skipping
it (half-open, as in a circuit breaker); otherwise a stalled link would hold up every chunk again.
"""

import dataclasses

INITIAL_BACKOFF_SECONDS = 2.0
# A slow peer is asked again after this time: the load that made it slow may have gone.
SLOW_BACKOFF_SECONDS = 2.0
CORRUPTION_BACKOFF_SECONDS = 30.0
MAX_BACKOFF_SECONDS = 60.0
LACK_TTL_SECONDS = 4.0
HALF_OPEN_SECONDS = 6.0
MAX_BACKOFF_DOUBLINGS = 5
# After this many slow answers in a row requests wait for the peer, in case it is the only holder
# of a chunk and its link is always that slow. Until then each slow probe costs a second.
WAIT_AFTER_SLOW_COUNT = 3
# Failures in a row of one peer that may be blamed on the own link; each takes two to five seconds.
MAX_DISCARDED_FAILURES = 6


@dataclasses.dataclass(slots=True)
class PeerRecord:
    """The failures of one peer.

    Attributes:
      failures: Consecutive failures.
      skip_until: When the backoff ends.
      half_open: Whether one request is probing the peer now.
      corrupt: Whether the peer has sent other bytes than were asked for.
      slow_count: How often in a row the peer was skipped for being slow.
    """

    failures: int = 0
    skip_until: float = 0.0
    half_open: bool = False
    corrupt: bool = False
    slow_count: int = 0


class ChunkPeerHealth:
    """The failures of each peer, and which chunks each said that it lacks."""

    __slots__ = ("_records", "_lacking_until", "_discarded")

    def __init__(self) -> None:
        self._records: dict[str, PeerRecord] = {}
        self._lacking_until: dict[tuple[str, str], float] = {}
        self._discarded: dict[str, int] = {}

    def is_skipped(self, name: str, now: float) -> bool:
        """Returns whether a peer is to be skipped now."""
        record = self._records.get(name)
        return record is not None and now < record.skip_until

    def record_request(self, name: str, now: float) -> None:
        """Records a request to a peer; a peer that failed before becomes half-open."""
        if record := self._records.get(name):
            record.skip_until = max(record.skip_until, now + HALF_OPEN_SECONDS)
            record.half_open = True

    def is_skipped_as_slow(self, name: str, now: float) -> bool:
        """Returns whether a peer is skipped now for being slow, with no request probing it."""
        record = self._records.get(name)
        known = record is not None and now < record.skip_until
        return known and record.slow_count > 0 and not record.half_open

    def should_wait_for(self, name: str) -> bool:
        """Returns whether requests wait for a peer even if it is slow to answer."""
        record = self._records.get(name)
        return record is not None and record.slow_count >= WAIT_AFTER_SLOW_COUNT

    def has_recent_lack(self, name: str, digest: str, now: float) -> bool:
        """Returns whether a peer said recently that it neither holds nor expects a chunk."""
        return now < self._lacking_until.get((name, digest), 0.0)

    def record_failure(self, name: str, now: float, corrupt: bool = False) -> None:
        """Records that a peer was unreachable, stalled, or sent other bytes than asked for."""
        record = self._records.setdefault(name, PeerRecord())
        # Several requests to one dead peer fail together; that counts as one failure.
        if now < record.skip_until and not record.half_open and not corrupt:
            return
        record.half_open = False
        first = CORRUPTION_BACKOFF_SECONDS if corrupt else INITIAL_BACKOFF_SECONDS
        backoff = min(MAX_BACKOFF_SECONDS, first * 2 ** min(record.failures, MAX_BACKOFF_DOUBLINGS))
        record.failures += 1
        record.corrupt = record.corrupt or corrupt
        record.skip_until = now + backoff

    def discard_failures(self, name: str) -> bool:
        """Drops a peer's failures where the own link may have caused them.

        Returns:
          False, with the failures kept, after MAX_DISCARDED_FAILURES times without an answer of the
          peer in between, or if the peer sent corrupt bytes. A sidecar that is cut off finds all
          its peers silent too, and must turn to the origin in the end.
        """
        discarded = self._discarded[name] = self._discarded.get(name, 0) + 1
        record = self._records.get(name)
        if discarded > MAX_DISCARDED_FAILURES or (record is not None and record.corrupt):
            return False
        self._records.pop(name, None)
        return True

    def record_slow(self, name: str, now: float) -> None:
        """Records that a peer answers much later than its own link should allow."""
        record = self._records.setdefault(name, PeerRecord())
        # Several requests to one silent peer detect this together.
        if now >= record.skip_until or record.half_open:
            record.slow_count += 1
        record.half_open = False
        record.skip_until = max(record.skip_until, now + SLOW_BACKOFF_SECONDS)

    def record_lack(self, name: str, digest: str, now: float) -> None:
        """Records that a peer neither holds nor expects a chunk."""
        if len(self._lacking_until) > 10_000:
            self._lacking_until = {
                key: until for key, until in self._lacking_until.items() if until > now
            }
        self._lacking_until[(name, digest)] = now + LACK_TTL_SECONDS

    def record_answer(self, name: str, gave_chunk: bool) -> None:
        """Records an answer; a peer that sent corrupt bytes is cleared only by a correct chunk."""
        self._discarded.pop(name, None)
        record = self._records.get(name)
        if record is not None and (gave_chunk or not record.corrupt):
            del self._records[name]

    def skipped_names(self, now: float) -> list[str]:
        """Returns the peers skipped now, for operators."""
        return sorted(name for name in self._records if self.is_skipped(name, now))
