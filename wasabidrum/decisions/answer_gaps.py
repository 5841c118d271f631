"""Records in which spans of time no process is known to have had an answer of the store.

Load pattern: the store refuses one instance, or a link or a suspended peer cuts it off, while the
store answers all others. By its own failed calls alone that process would conclude that the store
was down. Bounds that count only while the store responds would then be extended at this process:
its callers would get answers from weights that all others have stopped using.

Each process knows when its own calls were answered, and processes exchange what they know. A span
is a gap only as long as nobody is known to have had an answer in it, so an exchange can only make
gaps smaller: in whatever order reports arrive, processes that have heard the same agree.
"""

import collections.abc
import dataclasses
import math

# Bounds are at most some seconds long, and gaps that ended before do not concern them.
KEPT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """A span in which no answered call to the store was sent, as far as is known.

    Attributes:
      started_at: When the last answered call before it was sent; minus infinity if unknown.
      ended_at: When the next answered call was sent; infinity if unknown.
    """

    started_at: float
    ended_at: float

    @property
    def seconds(self) -> float:
        """Its length."""
        return self.ended_at - self.started_at

    def intersection(self, other: "Gap") -> "Gap":
        """Returns the part that both have in common; its length is negative if there is none."""
        return Gap(max(self.started_at, other.started_at), min(self.ended_at, other.ended_at))


UNKNOWN = Gap(-math.inf, math.inf)


class AnswerGaps:
    """The gaps of a minimum length, the oldest first.

    Attributes:
      changes: How often the gaps have been replaced by others.

    All times are of a clock that keeps counting while the instance is suspended.
    """

    __slots__ = ("_min_seconds", "_gaps", "changes")

    def __init__(self, min_seconds: float) -> None:
        """Creates a record that knows of no answer.

        Args:
          min_seconds: Gaps that are shorter are not kept.
        """
        self._min_seconds = min_seconds
        self._gaps = [UNKNOWN]
        self.changes = 0

    def __iter__(self) -> collections.abc.Iterator[Gap]:
        return iter(self._gaps)

    def record_answer(self, sent_at: float) -> None:
        """Records that a call that any process sent at a time was answered."""
        self.merge((Gap(-math.inf, sent_at), Gap(sent_at, math.inf)))

    def merge(self, others: collections.abc.Collection[Gap]) -> None:
        """Adds the knowledge of another process, whose gaps are given."""
        common = (gap.intersection(other) for gap in self._gaps for other in others)
        self._replace(
            sorted(
                (gap for gap in common if gap.seconds >= self._min_seconds),
                key=lambda gap: gap.started_at,
            )
        )

    def last_answer_before(self, at: float) -> float:
        """Returns when the last answered call before a time was sent, as far as is known.

        Where answers are close together it is the time itself.
        """
        containing = (gap for gap in self._gaps if gap.started_at <= at <= gap.ended_at)
        return max((gap.started_at for gap in containing), default=at)

    def recent(self, now: float) -> list[Gap]:
        """Returns the gaps that have not ended long ago."""
        return [gap for gap in self._gaps if now - gap.ended_at <= KEPT_SECONDS]

    def forget_before(self, now: float) -> None:
        """Forgets the gaps that ended long ago."""
        self._replace(self.recent(now))

    def _replace(self, gaps: list[Gap]) -> None:
        if gaps != self._gaps:
            self._gaps = gaps
            self.changes += 1
