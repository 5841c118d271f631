"""Detects and blocks poison requests: requests that crash the endpoints that run them.

Load pattern: a prompt crashes each engine that runs it, and its caller sends it repeatedly. If
it were retried and routed like any other request, it would crash the engines one after another,
and with each of them dozens of unrelated requests would fail; operators would see engines
restart in turn across the fleet.

All requests in progress at an endpoint that dies are suspects of that death. A suspect runs only
on an endpoint that runs no other suspect, so that a second death identifies it. A request that
was present at two deaths is refused wherever its fingerprint is known. A request that is
answered completely is cleared. Sidecars list in their status the fingerprints that were in
progress when their engine died, so that entries which never saw the request block it too.

One death is known from several sides: an entry sees a connection break, the sidecar lists the
fingerprint, other entries tell of it. Any of them may stand still meanwhile and tell it late, so
that a death is told apart from others by its endpoint, the run that ended and its number in that
run, not by the time. What does not say one of these may be any death that it does not contradict.
"""

import collections
import hashlib

from .home_regions import Regions, intersect

DEATHS_TO_BLOCK = 2
BLOCK_SECONDS = 300.0
SUSPECT_LIFETIME_SECONDS = 3600.0
SAME_DEATH_SECONDS = 5.0
MAX_SUSPECTS = 1024
MAX_KNOWN_DEATHS = 64
MAX_TOLD_DEATHS = 256


def fingerprint_of(prompt: str) -> str:
    """Returns a hash that identifies a prompt at any entry."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


def fingerprint_of_parts(method: str, host: str, target: str, caller: str, body: bytes) -> str:
    """Returns a hash that identifies a complete request at any entry."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (method.encode(), host.encode(), target.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Death:
    """One death at which a fingerprint was present.

    Attributes:
      run: The run that ended, or that of the sidecar that counts; empty if unknown.
      number: The number of the death in this run; empty if unknown.
      at: When this entry learned of it.
      seen_at: When this entry saw a request end with it; None if it only was told.
      counts: Whether the request has not been cleared of it.
    """

    __slots__ = ("endpoint", "run", "number", "at", "seen_at", "counts")

    def __init__(self, endpoint: str, run: str, number: str, at: float) -> None:
        self.endpoint = endpoint
        self.run = run
        self.number = number
        self.at = at
        self.seen_at: float | None = None
        self.counts = True

    def is_identified_as(self, endpoint: str, run: str, number: str) -> bool:
        """Returns whether this is known to be the death that a report names."""
        own, other = (self.endpoint, self.run, self.number), (endpoint, run, number)
        return own == other and bool(run or number)

    def may_be(self, endpoint: str, run: str, number: str, now: float, seen: bool) -> bool:
        """Returns whether this death and one that is reported now are taken to be the same.

        Args:
          seen: Whether this entry saw it itself.
        """
        if self.endpoint != endpoint or differ(self.run, run) or differ(self.number, number):
            return False
        # One process sees all connections break within a moment, also after it has stood still.
        if seen and self.seen_at is not None:
            return now - self.seen_at < SAME_DEATH_SECONDS
        if not (self.run or self.number or run or number):
            return now - self.at < SAME_DEATH_SECONDS
        return True


def differ(one: str, other: str) -> bool:
    """Returns whether both are known and not equal."""
    return bool(one and other) and one != other


class Suspect:
    """The deaths at which a fingerprint was present.

    Attributes:
      deaths: The last ones; those that the request was cleared of are kept, because they may still
        be reported.
      last_death_at: When the last death was recorded.
      regions: To which regions the fingerprint may be sent.
    """

    __slots__ = ("deaths", "last_death_at", "regions")

    def __init__(self, now: float) -> None:
        self.deaths: list[Death] = []
        self.last_death_at = now
        self.regions: Regions = None

    @property
    def counted(self) -> list[Death]:
        """The deaths that count, the last one last."""
        return [death for death in self.deaths if death.counts]

    def find(self, endpoint: str, run: str, number: str, now: float, seen: bool) -> Death | None:
        """Returns the death that is reported now, if it is known."""
        possible = [d for d in self.deaths if d.may_be(endpoint, run, number, now, seen)]
        # A number belongs to the first death without one; a sighting rather to the last death.
        if not number:
            possible.reverse()
        named = (d for d in possible if d.is_identified_as(endpoint, run, number))
        return next(named, possible[0] if possible else None)


class PoisonGuard:
    """The suspects that one entry knows."""

    __slots__ = ("_suspects", "_running")

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[str, Suspect] = collections.OrderedDict()
        self._running: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request was in progress at an endpoint that died."""
        suspect = self._find(fingerprint, now)
        return suspect is not None and bool(suspect.counted)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must currently not run."""
        suspect = self._find(fingerprint, now)
        counted = suspect.counted if suspect is not None else []
        if len(counted) < DEATHS_TO_BLOCK:
            return False
        if now - counted[-1].at < BLOCK_SECONDS:
            return True
        for death in counted[:-1]:
            death.counts = False
        return False

    def may_run_at(self, endpoint: str) -> bool:
        """Returns whether no suspect runs at an endpoint."""
        return not self._running[endpoint]

    def record_started(self, endpoint: str) -> None:
        """Records that a suspect was sent to an endpoint."""
        self._running[endpoint] += 1

    def record_ended(self, endpoint: str) -> None:
        """Records that a suspect ended at an endpoint, with any outcome."""
        self._running[endpoint] -= 1
        if self._running[endpoint] <= 0:
            del self._running[endpoint]

    def clear(self, fingerprint: str) -> None:
        """Clears a request that was answered completely: it did not cause the deaths."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            for death in suspect.deaths:
                death.counts = False

    def record_death(self, fingerprint: str, endpoint: str, now: float, run: str = "") -> None:
        """Records that this entry saw a request end at an endpoint that died.

        Args:
          run: The run of the endpoint that ended; empty if it is not known.
        """
        self._add(fingerprint, endpoint, run, "", now, seen=True)

    def record_told_death(self, fingerprint: str, endpoint: str, run: str, at: float) -> None:
        """Records a death that another entry saw.

        Args:
          run: The run of the endpoint that ended; empty if the other entry does not tell it.
          at: When it was known, as far as told.
        """
        self._add(fingerprint, endpoint, run, "", at, seen=False)

    def restrict(self, fingerprint: str, regions: Regions) -> None:
        """Records that a fingerprint is that of a request with home regions."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.regions = intersect(suspect.regions, regions)

    def recent_deaths(self, now: float) -> list[tuple[str, str, float, str, Regions]]:
        """Returns what an entry that has just started should know, the latest deaths last.

        Returns:
          The fingerprint, the endpoint, the seconds since the death and the run of each, and the
          regions to which it may be sent.
        """
        deaths = [
            (fingerprint, death.endpoint, now - death.at, death.run, suspect.regions)
            for fingerprint, suspect in self._suspects.items()
            for death in suspect.counted[-DEATHS_TO_BLOCK:]
            if now - death.at < BLOCK_SECONDS
        ]
        deaths.sort(key=lambda death: -death[2])
        return deaths[-MAX_TOLD_DEATHS:]

    def record_reported_deaths(
        self, endpoint: str, suspects: tuple[str, ...], now: float, run: str = ""
    ) -> None:
        """Records the suspects in a sidecar's status; each death counts once.

        Args:
          suspects: A fingerprint, a slash and the number of the death for each suspect.
          run: The sidecar's run, which numbers the deaths.
        """
        for reported in suspects:
            fingerprint, _, number = reported.partition("/")
            self._add(fingerprint, endpoint, run, number, now, seen=False)

    def _add(
        self, fingerprint: str, endpoint: str, run: str, number: str, now: float, seen: bool
    ) -> None:
        suspect = self._find(fingerprint, now)
        if suspect is None:
            suspect = self._suspects[fingerprint] = Suspect(now)
            while len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        death = suspect.find(endpoint, run, number, now, seen)
        if death is None:
            death = Death(endpoint, run, number, now)
            suspect.deaths.append(death)
            suspect.last_death_at = now
            del suspect.deaths[:-MAX_KNOWN_DEATHS]
        death.run = death.run or run
        death.number = death.number or number
        if seen and death.seen_at is None:
            death.seen_at = now

    def _find(self, fingerprint: str, now: float) -> Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now - suspect.last_death_at > SUSPECT_LIFETIME_SECONDS:
            del self._suspects[fingerprint]
            return None
        return suspect
