"""Which revision a process may put in force, whoever offers it.

Load pattern: 1,500 revisions a day reach each process many times over, from readers, from
peers, from a restored service and from processes that slept. Without this book the last
one to speak would win: a service restored from an old copy, or a peer that wakes late,
would undo an operator's change. The book holds the highest revision known and never goes
down; a revision with two contents is reported and not chosen between, because either
choice could undo what some site already runs.
"""

import dataclasses
import enum

KNOWN_CLAIMS_KEPT = 8


class Claim(enum.Enum):
    """What to do about somebody's word that a revision exists."""

    OLD = "old"
    HELD = "held"
    WANTED = "wanted"
    REFUSED = "refused"
    CONFLICT = "conflict"


@dataclasses.dataclass(slots=True)
class Refusal:
    """A revision that was found invalid, and every fault that was found."""

    revision: int
    digest: str
    reason: str


class RevisionBook:
    """The order of revisions at one process.

    Attributes:
      refusal: The highest invalid revision above the one in force, or None.
      alarm: What is wrong with the revisions themselves, or empty.
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
        """The revision in force, zero before the first."""
        return self._revision

    @property
    def digest(self) -> str:
        """The digest of the value in force, empty before the first."""
        return self._digest

    @property
    def highest(self) -> int:
        """The highest revision that anyone was ever heard to have."""
        return max(self._revision, max(self._digests, default=0))

    @property
    def is_behind(self) -> bool:
        """Whether a revision is known that may be valid and is not in force yet."""
        refused = self.refusal.revision if self.refusal is not None else 0
        return not self.alarm and self.highest > max(self._revision, refused)

    def judge(self, revision: int, digest: str) -> Claim:
        """Takes somebody's word for a revision; says what to do about it."""
        if revision < self._revision:
            return Claim.OLD
        if revision == self._revision:
            if digest == self._digest:
                return Claim.HELD
            return self._report_conflict(revision, self._digest, digest)
        known = self._digests.setdefault(revision, digest)
        self._forget_lowest()
        if known != digest:
            # A service that was restored and then published anew under numbers already
            # used shows here. Half the fleet may run either content, so neither is taken.
            return self._report_conflict(revision, known, digest)
        if self.alarm and self._conflicts(revision):
            return Claim.CONFLICT
        if self.refusal is not None and self.refusal.digest == digest:
            return Claim.REFUSED
        return Claim.WANTED

    def put_in_force(self, revision: int, digest: str) -> bool:
        """Takes a whole and valid value; returns False where it must not be in force."""
        if self.judge(revision, digest) is not Claim.WANTED:
            return False
        self._revision = revision
        self._digest = digest
        self._digests = {n: known for n, known in self._digests.items() if n > revision}
        if self.refusal is not None and self.refusal.revision <= revision:
            self.refusal = None
        # Whatever the conflict was, every process that takes this revision agrees again.
        self.alarm = ""
        return True

    def refuse(self, revision: int, digest: str, reason: str) -> bool:
        """Takes that a value is invalid; returns whether that is new here."""
        if revision <= self._revision:
            return False
        held = self.refusal
        if held is not None and (held.revision, held.digest) == (revision, digest):
            return False
        if held is not None and held.revision > revision:
            return False
        self.refusal = Refusal(revision, digest, reason)
        return True

    def take_alarm(self, revision: int, alarm: str) -> None:
        """Takes an alarm that a process with a revision in force raised.

        Only few processes hear both contents of a revision; operators may ask any.
        """
        if revision == self._revision and not self.alarm:
            self.alarm = alarm

    def _report_conflict(self, revision: int, known: str, told: str) -> Claim:
        pair = " and ".join(sorted((known, told)))
        self.alarm = f"revision {revision} has two contents: {pair}"
        return Claim.CONFLICT

    def _conflicts(self, revision: int) -> bool:
        return self.alarm.startswith(f"revision {revision} ")

    def _forget_lowest(self) -> None:
        while len(self._digests) > KNOWN_CLAIMS_KEPT:
            del self._digests[min(self._digests)]
