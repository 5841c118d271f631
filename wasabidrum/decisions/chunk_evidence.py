"""What a sidecar has found out about its peers by asking them for chunks.

Load pattern: during a burst some peers are dead, stopped, cut off or send corrupted bytes,
and the platform's list learns of it late or never. Without evidence every chunk would wait
for the same dead parent again. A peer is passed over for a time that doubles with each
failure in a row, so that one that came back is soon used again and a dead one costs little.
When the time is over a single request tries the peer and the others go on passing it over:
a link that stalls would otherwise hold up every chunk once more.
"""

import dataclasses

FIRST_PAUSE_SECONDS = 2.0
# One that is slow is asked again after that: the load that made it slow may have gone.
SLOW_PAUSE_SECONDS = 2.0
FIRST_PAUSE_AFTER_CORRUPTION_SECONDS = 30.0
LONGEST_PAUSE_SECONDS = 60.0
LACK_EXPIRES_SECONDS = 4.0
TRIAL_SECONDS = 6.0
DOUBLINGS = 5
# One that was silent so often in a row is waited for, in case it is the only one to hold a chunk
# and its link is always that slow; until then a trial that is silent as well costs a second.
PATIENT_AFTER_SILENCES = 3
# Requests to a peer that may fail in a row for the own link's sake; each takes two to five seconds.
MOST_EXCUSES = 6


@dataclasses.dataclass(slots=True)
class PeerRecord:
    """What speaks against one peer.

    Attributes:
      failures: Failures in a row.
      avoid_until: Until when the peer is passed over.
      on_trial: Whether one request tries it now.
      corrupt: Whether it has sent other bytes than were asked for.
      silences: How often in a row it was passed over for being slow.
    """

    failures: int = 0
    avoid_until: float = 0.0
    on_trial: bool = False
    corrupt: bool = False
    silences: int = 0


class ChunkEvidence:
    """Evidence about peers, and about which chunk each said that it lacks."""

    __slots__ = ("_records", "_lacks", "_excuses")

    def __init__(self) -> None:
        self._records: dict[str, PeerRecord] = {}
        self._lacks: dict[tuple[str, str], float] = {}
        self._excuses: dict[str, int] = {}

    def avoided(self, name: str, now: float) -> bool:
        """Returns whether a peer is to be passed over now."""
        record = self._records.get(name)
        return record is not None and now < record.avoid_until

    def begin_ask(self, name: str, now: float) -> None:
        """Takes that a peer is being asked; one that failed before is thereby on trial."""
        if record := self._records.get(name):
            record.avoid_until = max(record.avoid_until, now + TRIAL_SECONDS)
            record.on_trial = True

    def silent(self, name: str, now: float) -> bool:
        """Returns whether a peer is passed over now for being slow, and not tried either."""
        record = self._records.get(name)
        known = record is not None and now < record.avoid_until
        return known and record.silences > 0 and not record.on_trial

    def deserves_patience(self, name: str) -> bool:
        """Returns whether a request is to wait for a peer, however long that is silent."""
        record = self._records.get(name)
        return record is not None and record.silences >= PATIENT_AFTER_SILENCES

    def lacks(self, name: str, digest: str, now: float) -> bool:
        """Returns whether a peer said lately that it neither holds nor expects a chunk."""
        return now < self._lacks.get((name, digest), 0.0)

    def record_failure(self, name: str, now: float, corrupt: bool = False) -> None:
        """Records that a peer was unreachable, stalled, or sent other bytes than asked for."""
        record = self._records.setdefault(name, PeerRecord())
        # Several chunks asked of one dead peer fail together; that is one failure.
        if now < record.avoid_until and not record.on_trial and not corrupt:
            return
        record.on_trial = False
        first = FIRST_PAUSE_AFTER_CORRUPTION_SECONDS if corrupt else FIRST_PAUSE_SECONDS
        pause = min(LONGEST_PAUSE_SECONDS, first * 2 ** min(record.failures, DOUBLINGS))
        record.failures += 1
        record.corrupt = record.corrupt or corrupt
        record.avoid_until = now + pause

    def excuse(self, name: str) -> bool:
        """Forgets a failure that may be due to the own link; False where it happened too often.

        A sidecar that alone is left finds its peers silent too, and has to turn to the origin.
        """
        excuses = self._excuses[name] = self._excuses.get(name, 0) + 1
        record = self._records.get(name)
        if excuses > MOST_EXCUSES or (record is not None and record.corrupt):
            return False
        self._records.pop(name, None)
        return True

    def record_slow(self, name: str, now: float) -> None:
        """Records that a peer answers much later than its own link should allow."""
        record = self._records.setdefault(name, PeerRecord())
        # Several chunks asked of one silent peer find that out together.
        if now >= record.avoid_until or record.on_trial:
            record.silences += 1
        record.on_trial = False
        record.avoid_until = max(record.avoid_until, now + SLOW_PAUSE_SECONDS)

    def record_lack(self, name: str, digest: str, now: float) -> None:
        """Records that a peer neither holds nor expects a chunk."""
        if len(self._lacks) > 10_000:
            self._lacks = {key: until for key, until in self._lacks.items() if until > now}
        self._lacks[(name, digest)] = now + LACK_EXPIRES_SECONDS

    def record_answer(self, name: str, gave_chunk: bool) -> None:
        """Records that a peer answered; one that sent corrupted bytes has to give a right chunk."""
        self._excuses.pop(name, None)
        record = self._records.get(name)
        if record is not None and (gave_chunk or not record.corrupt):
            del self._records[name]

    def avoided_names(self, now: float) -> list[str]:
        """Returns the peers passed over now, for operators."""
        return sorted(name for name in self._records if self.avoided(name, now))
