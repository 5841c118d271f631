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
"""

import collections
import hashlib

DEATHS_TO_BLOCK = 2
BLOCK_SECONDS = 300.0
SUSPECT_LIFETIME_SECONDS = 3600.0
SAME_DEATH_SECONDS = 5.0
MAX_SUSPECTS = 1024
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


class Suspect:
    """The deaths at which a fingerprint was present.

    Attributes:
      deaths: Endpoint and time of the last deaths.
      reported_deaths: Deaths that sidecars have reported, so that each counts once.
      last_death_at: When the last death was recorded.
    """

    __slots__ = ("deaths", "reported_deaths", "last_death_at")

    def __init__(self, now: float) -> None:
        self.deaths: list[tuple[str, float]] = []
        self.reported_deaths: set[str] = set()
        self.last_death_at = now


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
        return suspect is not None and bool(suspect.deaths)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must currently not run."""
        suspect = self._find(fingerprint, now)
        if suspect is None or len(suspect.deaths) < DEATHS_TO_BLOCK:
            return False
        if now - suspect.deaths[-1][1] < BLOCK_SECONDS:
            return True
        del suspect.deaths[:-1]
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
            suspect.deaths.clear()

    def record_death(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Records that a request was in progress at an endpoint that died."""
        self._add(fingerprint, endpoint, now)

    def recent_deaths(self, now: float) -> list[tuple[str, str, float]]:
        """Returns what an entry that has just started should know, the latest deaths last.

        Returns:
          The fingerprint, the endpoint and the seconds since the death of each.
        """
        deaths = [
            (fingerprint, endpoint, now - at)
            for fingerprint, suspect in self._suspects.items()
            for endpoint, at in suspect.deaths
            if now - at < BLOCK_SECONDS
        ]
        deaths.sort(key=lambda death: -death[2])
        return deaths[-MAX_TOLD_DEATHS:]

    def record_reported_deaths(self, endpoint: str, suspects: tuple[str, ...], now: float) -> None:
        """Records the suspects in a sidecar's status; each death counts once.

        Args:
          suspects: A fingerprint, a slash and the number of the death for each suspect.
        """
        for reported in suspects:
            fingerprint, _, death = reported.partition("/")
            key = f"{endpoint}/{death}"
            suspect = self._find(fingerprint, now)
            if suspect is not None and key in suspect.reported_deaths:
                continue
            self._add(fingerprint, endpoint, now).reported_deaths.add(key)

    def _add(self, fingerprint: str, endpoint: str, now: float) -> Suspect:
        suspect = self._find(fingerprint, now)
        if suspect is None:
            suspect = self._suspects[fingerprint] = Suspect(now)
            while len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        suspect.last_death_at = now
        # The entry sees the connection break and also receives the death in the sidecar's status.
        # Both are the same death.
        same = any(
            name == endpoint and now - at < SAME_DEATH_SECONDS for name, at in suspect.deaths
        )
        if not same:
            suspect.deaths.append((endpoint, now))
            del suspect.deaths[:-DEATHS_TO_BLOCK]
        return suspect

    def _find(self, fingerprint: str, now: float) -> Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now - suspect.last_death_at > SUSPECT_LIFETIME_SECONDS:
            del self._suspects[fingerprint]
            return None
        return suspect
