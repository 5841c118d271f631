"""Which other entries there are, from seeds and from what entries tell each other.

Load pattern: entries are killed and replaced at any time, the seeds in the settings may be
stale, and no list names entries. An entry that knows nobody is alone with a store that may turn
it away; one that keeps the dead asks them first and waits. Entries that meet tell each other
whom they know and when those were last heard, so that news of a new one reaches all within a
few meetings, and one that nobody hears any more is forgotten by all.
"""

import dataclasses
import random

MEET_SECONDS = 2.0
FORGET_SECONDS = 20.0
LIST_SIZE = 32

Place = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownEntry:
    """Another entry.

    Attributes:
      heard_at: When anyone heard of it last.
      data_centre: Where it stands; empty while nobody has told.
    """

    heard_at: float
    data_centre: str = ""


class EntryRoster:
    """Entries by address, with when each was last heard of.

    All times are of a clock that counts while the instance is suspended.
    """

    __slots__ = ("_own", "_seeds", "_known", "_failed")

    def __init__(self, own: Place, seeds: tuple[Place, ...]) -> None:
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._known: dict[Place, KnownEntry] = {}
        self._failed: dict[Place, float] = {}

    def take_seeds(self, seeds: tuple[Place, ...]) -> None:
        """Takes other seeds in place of those before."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    def take(self, address: Place, heard_at: float, data_centre: str = "") -> None:
        """Takes that an entry was heard, by this process or another."""
        if address == self._own:
            return
        before = self._known.get(address, KnownEntry(float("-inf")))
        latest = max(heard_at, before.heard_at)
        self._known[address] = KnownEntry(latest, data_centre or before.data_centre)

    def record_failure(self, address: Place, now: float) -> None:
        """Records that an entry did not answer this process."""
        self._failed[address] = now

    def known(self, now: float) -> dict[Place, KnownEntry]:
        """Returns the entries heard lately."""
        late = [a for a, known in self._known.items() if now - known.heard_at > FORGET_SECONDS]
        for address in late:
            del self._known[address]
        return self._known

    def latest(self, now: float) -> list[tuple[Place, KnownEntry]]:
        """Returns those worth telling another of, the latest first."""
        ranked = sorted(self.known(now).items(), key=lambda item: (-item[1].heard_at, item[0]))
        return ranked[:LIST_SIZE]

    def count(self, now: float) -> int:
        """Returns how many entries there are, this one included."""
        return 1 + len(self.known(now))

    def within(self, data_centre: str, now: float) -> list[Place]:
        """Returns the entries of a data centre in an order that all of them agree on.

        Args:
          data_centre: That of this entry, which is among them.
        """
        others = [a for a, known in self.known(now).items() if known.data_centre == data_centre]
        return sorted([self._own, *others])

    def choose(self, count: int, now: float, rng: random.Random) -> list[Place]:
        """Returns whom to ask next: those that answered last time first, seeds if need be."""
        heard = self.known(now)
        sound = [a for a in heard if self._failed.get(a, float("-inf")) < heard[a].heard_at]
        chosen = rng.sample(sound, min(count, len(sound)))
        rest = [a for a in dict.fromkeys((*heard, *self._seeds)) if a not in chosen]
        missing = min(count - len(chosen), len(rest))
        return chosen + rng.sample(rest, missing)

    def all_addresses(self, now: float) -> list[Place]:
        """Returns everyone worth telling something, the seeds included."""
        return list(dict.fromkeys((*self.known(now), *self._seeds)))
