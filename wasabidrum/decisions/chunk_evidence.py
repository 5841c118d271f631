"""What a sidecar has found out about its peers by asking them for chunks.

Load pattern: during a burst some peers are dead, stopped, cut off or send corrupted bytes,
and the platform's list learns of it late or never. Without evidence every chunk would wait
for the same dead parent again. A peer is passed over for a time that doubles with each
failure in a row, so that one that came back is soon used again and a dead one costs little.
"""

import dataclasses

FIRST_PAUSE_SECONDS = 2.0
FIRST_PAUSE_AFTER_CORRUPTION_SECONDS = 30.0
LONGEST_PAUSE_SECONDS = 60.0
LACK_EXPIRES_SECONDS = 4.0
DOUBLINGS = 5


@dataclasses.dataclass(slots=True)
class PeerRecord:
    """Failures in a row, and until when the peer is passed over."""

    failures: int = 0
    avoid_until: float = 0.0


class ChunkEvidence:
    """Evidence about peers, and about which chunk each said that it lacks."""

    __slots__ = ("_records", "_lacks")

    def __init__(self) -> None:
        self._records: dict[str, PeerRecord] = {}
        self._lacks: dict[tuple[str, str], float] = {}

    def avoided(self, name: str, now: float) -> bool:
        """Returns whether a peer is to be passed over now."""
        record = self._records.get(name)
        return record is not None and now < record.avoid_until

    def lacks(self, name: str, digest: str, now: float) -> bool:
        """Returns whether a peer said lately that it neither holds nor expects a chunk."""
        return now < self._lacks.get((name, digest), 0.0)

    def note_failure(self, name: str, now: float, corrupt: bool = False) -> None:
        """Takes that a peer was unreachable, stalled, or sent other bytes than asked for."""
        record = self._records.setdefault(name, PeerRecord())
        # Several chunks asked of one dead peer fail together; that is one failure.
        if now < record.avoid_until and not corrupt:
            return
        first = FIRST_PAUSE_AFTER_CORRUPTION_SECONDS if corrupt else FIRST_PAUSE_SECONDS
        pause = min(LONGEST_PAUSE_SECONDS, first * 2 ** min(record.failures, DOUBLINGS))
        record.failures += 1
        record.avoid_until = now + pause

    def note_lack(self, name: str, digest: str, now: float) -> None:
        """Takes that a peer neither holds nor expects a chunk."""
        if len(self._lacks) > 10_000:
            self._lacks = {key: until for key, until in self._lacks.items() if until > now}
        self._lacks[(name, digest)] = now + LACK_EXPIRES_SECONDS

    def note_success(self, name: str) -> None:
        """Takes that a peer gave a chunk, whole and right."""
        self._records.pop(name, None)

    def avoided_names(self, now: float) -> list[str]:
        """Returns the peers passed over now, for operators."""
        return sorted(name for name in self._records if self.avoided(name, now))
