"""Decides which configuration revision a process may put in force, whatever its source.

Load pattern: 1,500 revisions a day reach each process many times over: from readers, from peers,
from a restored service and from processes that were paused. If the last message won, a service
that was restored from an old copy, or a peer that resumes late, would undo an operator's change.
The highest revision known is therefore kept and never decreases. If a revision has two contents,
this is reported and neither is chosen, because either choice could undo what some site already
runs.
"""

import dataclasses
import enum

MAX_CLAIMS = 8


class ClaimVerdict(enum.Enum):
    """How to handle a claim that a revision exists."""

    OLD = "old"
    HELD = "held"
    WANTED = "wanted"
    REFUSED = "refused"
    CONFLICT = "conflict"


@dataclasses.dataclass(slots=True)
class Refusal:
    """An invalid revision, and all faults that were found in it."""

    revision: int
    digest: str
    reason: str


class RevisionTracker:
    """The revisions that one process knows.

    Attributes:
      refusal: The highest invalid revision above the one in force, or None.
      alarm: Describes a conflict between two contents of one revision; otherwise empty.
    """

    __slots__ = ("_revision", "_digest", "_digests", "refusal", "alarm")

    def __init__(self) -> None:
        self._revision = 0
        self._digest = ""
        self._digests: dict[int, str] = {}
        self.refusal: Refusal | None = None
        self.alarm = ""

    @property
    def revision(self) -> int:
        """The revision in force; zero before the first."""
        return self._revision

    @property
    def digest(self) -> str:
        """The digest of the value in force; empty before the first."""
        return self._digest

    @property
    def highest(self) -> int:
        """The highest revision that was ever claimed."""
        return max(self._revision, max(self._digests, default=0))

    @property
    def is_behind(self) -> bool:
        """Whether a higher revision is known that may be valid and is not in force yet."""
        refused = self.refusal.revision if self.refusal is not None else 0
        return not self.alarm and self.highest > max(self._revision, refused)

    def assess_claim(self, revision: int, digest: str) -> ClaimVerdict:
        """Records a claim that a revision exists; returns how to handle it."""
        if revision < self._revision:
            return ClaimVerdict.OLD
        if revision == self._revision:
            if digest == self._digest:
                return ClaimVerdict.HELD
            return self._report_conflict(revision, self._digest, digest)
        known = self._digests.setdefault(revision, digest)
        self._drop_lowest_claims()
        if known != digest:
            # This happens if a service was restored and then published under numbers that were
            # already used. Half the fleet may run either content, so neither is chosen.
            return self._report_conflict(revision, known, digest)
        if self.alarm and self._conflicts(revision):
            return ClaimVerdict.CONFLICT
        if self.refusal is not None and self.refusal.digest == digest:
            return ClaimVerdict.REFUSED
        return ClaimVerdict.WANTED

    def put_in_force(self, revision: int, digest: str) -> bool:
        """Puts a complete and valid value in force; returns False if that is not allowed."""
        if self.assess_claim(revision, digest) is not ClaimVerdict.WANTED:
            return False
        self._revision = revision
        self._digest = digest
        self._digests = {n: known for n, known in self._digests.items() if n > revision}
        if self.refusal is not None and self.refusal.revision <= revision:
            self.refusal = None
        # All processes that put this revision in force agree again, whatever the conflict was.
        self.alarm = ""
        return True

    def refuse(self, revision: int, digest: str, reason: str) -> bool:
        """Records that a value is invalid; returns whether this was not known."""
        if revision <= self._revision:
            return False
        held = self.refusal
        if held is not None and (held.revision, held.digest) == (revision, digest):
            return False
        if held is not None and held.revision > revision:
            return False
        self.refusal = Refusal(revision, digest, reason)
        return True

    def adopt_alarm(self, revision: int, alarm: str) -> None:
        """Adopts an alarm from a process that has the given revision in force.

        Only few processes receive both contents of a revision, but operators may query any process.
        """
        if revision == self._revision and not self.alarm:
            self.alarm = alarm

    def _report_conflict(self, revision: int, known: str, claimed: str) -> ClaimVerdict:
        pair = " and ".join(sorted((known, claimed)))
        self.alarm = f"revision {revision} has two contents: {pair}"
        return ClaimVerdict.CONFLICT

    def _conflicts(self, revision: int) -> bool:
        return self.alarm.startswith(f"revision {revision} ")

    def _drop_lowest_claims(self) -> None:
        while len(self._digests) > MAX_CLAIMS:
            del self._digests[min(self._digests)]
