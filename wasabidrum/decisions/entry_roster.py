"""Known entries, from configured seeds and from gossip between entries.

Load pattern: entries are killed and replaced at any time, the seeds in the settings may be stale,
and no list names the entries. An entry that knows no other has only the store, which may refuse
it; one that keeps dead entries asks them first and waits for their time-outs. Entries therefore
exchange which entries they know and when each was last seen. A new entry is known to all after a
few exchanges, and one that none has seen for a while is asked and counted no more. What all entries
may do together is still divided by it, because it may only be out of reach.
"""

import collections.abc
import dataclasses
import random

from .demand_assignment import DEMAND_LIFETIME_SECONDS

EXCHANGE_INTERVAL_SECONDS = 2.0
ENTRY_EXPIRES_SECONDS = 20.0
# Regions may lose each other for an hour. An entry on the other side still uses its share of what
# all entries may do together.
SHARE_EXPIRES_SECONDS = 7200.0
# Within this time entries that have all started together know each other.
ROSTER_SETTLING_SECONDS = 10.0
MAX_EXCHANGED_ENTRIES = 32

HostPort = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownEntry:
    """Another entry.

    Attributes:
      seen_at: When it was last seen by any entry.
      data_centre: Its data centre; empty while unknown.
      link_mbit: The rate of its instance's link; zero while unknown.
    """

    seen_at: float
    data_centre: str = ""
    link_mbit: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ToldDemands:
    """The requests per second that callers bring to an entry, by service, and when it told them."""

    told_at: float
    per_second: dict[str, float]


class EntryRoster:
    """The other entries by address, with the time each was last seen.

    All times are of a clock that keeps counting while the instance is suspended.
    """

    __slots__ = ("_own", "_seeds", "_known", "_failed_at", "_forget_at", "_demands")

    def __init__(self, own: HostPort, seeds: tuple[HostPort, ...]) -> None:
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._known: dict[HostPort, KnownEntry] = {}
        self._failed_at: dict[HostPort, float] = {}
        self._forget_at = float("-inf")
        self._demands: dict[HostPort, ToldDemands] = {}

    @property
    def has_seeds(self) -> bool:
        """Whether there are seeds besides this entry."""
        return bool(self._seeds)

    def replace_seeds(self, seeds: tuple[HostPort, ...]) -> None:
        """Replaces the seeds."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    def record_seen(
        self, address: HostPort, seen_at: float, data_centre: str = "", link_mbit: float = 0.0
    ) -> None:
        """Records when an entry was seen, by this process or by another entry."""
        if address == self._own:
            return
        before = self._known.get(address, KnownEntry(float("-inf")))
        latest = max(seen_at, before.seen_at)
        self._known[address] = KnownEntry(
            latest, data_centre or before.data_centre, link_mbit or before.link_mbit
        )

    def record_demands(
        self,
        address: HostPort,
        per_second: collections.abc.Mapping[str, float],
        told_at: float,
    ) -> None:
        """Records the demands of an entry, of this one included, unless newer ones are known."""
        before = self._demands.get(address)
        if before is None or told_at > before.told_at:
            self._demands[address] = ToldDemands(told_at, dict(per_second))

    def told_demands(self, address: HostPort, now: float) -> ToldDemands | None:
        """Returns the demands that an entry told; None if they are unknown or too old."""
        told = self._demands.get(address)
        if told is None or now - told.told_at > DEMAND_LIFETIME_SECONDS:
            return None
        return told

    def record_failure(self, address: HostPort, now: float) -> None:
        """Records that an entry did not respond to this process."""
        self._failed_at[address] = now

    def known(self, now: float) -> dict[HostPort, KnownEntry]:
        """Returns the entries that were seen lately."""
        return {a: k for a, k in self._known.items() if now - k.seen_at <= ENTRY_EXPIRES_SECONDS}

    def most_recent(self, now: float) -> list[tuple[HostPort, KnownEntry]]:
        """Returns the entries to send in an exchange, the most recently seen first.

        Entries that none has seen lately are among them, because a new entry has to know them for
        its share.
        """
        self._forget(now)
        ranked = sorted(self._known.items(), key=lambda item: (-item[1].seen_at, item[0]))
        return ranked[:MAX_EXCHANGED_ENTRIES]

    def count(self, now: float) -> int:
        """Returns the number of known entries, including this one."""
        return 1 + len(self.known(now))

    def count_to_share(self, now: float, settled: bool) -> int | None:
        """Returns the number of entries that what all may do together is divided by.

        Entries that cannot be reached count, because they may still be serving.

        Args:
          settled: Whether entries that started together have had the time to learn of each other.

        Returns:
          None while it cannot be known: there are seeds, but no other entry has been heard from,
          or none has heard of all others yet.
        """
        self._forget(now)
        if self._seeds and not (settled and self._known):
            return None
        return 1 + len(self._known)

    def in_data_centre(self, data_centre: str, now: float) -> list[HostPort]:
        """Returns the entries of a data centre, in the same order at each of them.

        Args:
          data_centre: The data centre of this entry, which is included.
        """
        others = [a for a, known in self.known(now).items() if known.data_centre == data_centre]
        return sorted([self._own, *others])

    def choose(self, count: int, now: float, rng: random.Random) -> list[HostPort]:
        """Returns entries to ask: first those that responded last time, then others and seeds."""
        recent = self.known(now)
        responsive = [
            a for a in recent if self._failed_at.get(a, float("-inf")) < recent[a].seen_at
        ]
        chosen = rng.sample(responsive, min(count, len(responsive)))
        rest = [a for a in dict.fromkeys((*recent, *self._seeds)) if a not in chosen]
        missing = min(count - len(chosen), len(rest))
        return chosen + rng.sample(rest, missing)

    def all_addresses(self, now: float) -> list[HostPort]:
        """Returns the addresses of all known entries and of the seeds."""
        return list(dict.fromkeys((*self.known(now), *self._seeds)))

    def _forget(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + ENTRY_EXPIRES_SECONDS
        self._known = {
            a: k for a, k in self._known.items() if now - k.seen_at <= SHARE_EXPIRES_SECONDS
        }
        self._demands = {
            a: t for a, t in self._demands.items() if now - t.told_at <= DEMAND_LIFETIME_SECONDS
        }
