"""Judges by what engines saw whether requests began on weights that had been replaced."""

import bisect
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The first token of a request at an engine; times are in seconds since the epoch.

    Attributes:
      entry: The entry that sent it.
      sent_at: When its caller sent it to that entry.
      received_at: When the engine read it.
    """

    request: str
    engine: str
    entry: str
    version: int
    sent_at: float
    received_at: float
    began_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LateToken:
    """A first token on an older version after the bound of a newer one.

    Attributes:
      newer: The newer version whose bound it broke by most.
      seconds: By how many seconds.
      after_naming: Seconds from the acknowledgement of that version.
    """

    token: FirstToken
    newer: int
    seconds: float
    after_naming: float


class VersionJudge:
    """What an operator did, and which processes and stores were disturbed when.

    Spans are pairs of a start and an end, in seconds since the epoch.
    """

    def __init__(self, bound: float, stable: float) -> None:
        """Creates a judge without records.

        Args:
          bound: Seconds from the acknowledgement of a version until nothing older may begin.
          stable: Seconds without impairment after which a process or the store counts as stable.
        """
        self._bound = bound
        self._stable = stable
        self.acknowledged: dict[int, float] = {}
        self.store_faults: list[tuple[float, float]] = []
        self.disturbed: dict[str, list[tuple[float, float]]] = {}

    def due_at(self, version: int) -> float:
        """Returns from when on nothing older may begin: the end of the first stretch of the
        bound's length since the naming in which the store was stable."""
        begins = self.acknowledged[version]
        for start, end in sorted(self.store_faults):
            if start < begins + self._bound and end + self._stable > begins:
                begins = end + self._stable
        return begins + self._bound

    def in_touch(self, entry: str, moment: float) -> bool:
        """Returns whether an entry had been undisturbed for long enough at a moment."""
        spans = self.disturbed.get(entry, ())
        return not any(start <= moment < end + self._stable for start, end in spans)

    def late_tokens(self, tokens: collections.abc.Iterable[FirstToken]) -> list[LateToken]:
        """Returns the first tokens that were too late, of requests sent by entries in touch."""
        versions = sorted(self.acknowledged)
        due = {version: self.due_at(version) for version in versions}
        found = []
        for token in tokens:
            newer = versions[bisect.bisect_right(versions, token.version) :]
            late = [(token.began_at - due[version], version) for version in newer]
            seconds, version = max(late, default=(0.0, 0))
            if seconds > 0.0 and self.in_touch(token.entry, token.sent_at):
                after = token.began_at - self.acknowledged[version]
                found.append(LateToken(token, version, seconds, after))
        return found
