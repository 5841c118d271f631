"""Requests that crash the endpoints that run them.

Load pattern: one prompt crashes each engine that runs it, and its caller sends it again and
again. Retried and routed like any other it takes the engines down one by one, and dozens of
innocent requests die with each; operators see engines restart in turn all over the fleet.

Every request in progress at an endpoint that dies is a suspect of that death. A suspect runs
only where no other suspect runs, so that a second death tells which it was; one that was
there at two deaths is refused everywhere that its fingerprint is known. One that is answered
whole is innocent. Sidecars tell the fingerprints that were in progress at their engine's
death in their status, so that entries which never saw the request stop it too.
"""

import collections
import hashlib

DEATHS_TO_BLOCK = 2
BLOCK_SECONDS = 300.0
FORGET_SECONDS = 3600.0
SAME_DEATH_SECONDS = 5.0
MOST_SUSPECTS = 1024


def fingerprint_of(prompt: str) -> str:
    """Returns the mark by which a prompt is known again, at any entry."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


def fingerprint_of_parts(method: str, host: str, target: str, caller: str, body: bytes) -> str:
    """Returns the mark by which a whole request is known again, at any entry."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (method.encode(), host.encode(), target.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Suspicion:
    """What speaks against one fingerprint.

    Attributes:
      deaths: Endpoint and time of the last deaths that it was there at.
      told: Deaths that sidecars told of, so that each counts once.
    """

    __slots__ = ("deaths", "told", "seen_at")

    def __init__(self, now: float) -> None:
        self.deaths: list[tuple[str, float]] = []
        self.told: set[str] = set()
        self.seen_at = now


class PoisonGuard:
    """Suspects known to one entry."""

    __slots__ = ("_suspects", "_running")

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[str, Suspicion] = collections.OrderedDict()
        self._running: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request was there when an endpoint died."""
        suspicion = self._find(fingerprint, now)
        return suspicion is not None and bool(suspicion.deaths)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must not run now."""
        suspicion = self._find(fingerprint, now)
        if suspicion is None or len(suspicion.deaths) < DEATHS_TO_BLOCK:
            return False
        if now - suspicion.deaths[-1][1] < BLOCK_SECONDS:
            return True
        del suspicion.deaths[:-1]
        return False

    def may_run_at(self, endpoint: str) -> bool:
        """Returns whether no suspect runs at an endpoint."""
        return not self._running[endpoint]

    def started(self, endpoint: str) -> None:
        """Counts a suspect that was sent to an endpoint."""
        self._running[endpoint] += 1

    def ended(self, endpoint: str) -> None:
        """Counts a suspect that ended at an endpoint, however."""
        self._running[endpoint] -= 1
        if self._running[endpoint] <= 0:
            del self._running[endpoint]

    def clear(self, fingerprint: str) -> None:
        """Takes that a request was answered whole: the deaths were another's doing."""
        suspicion = self._suspects.get(fingerprint)
        if suspicion is not None:
            suspicion.deaths.clear()

    def saw_death(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Takes that a request was in progress at an endpoint that died."""
        self._add(fingerprint, endpoint, now)

    def record_reported(self, endpoint: str, suspects: tuple[str, ...], now: float) -> None:
        """Records the suspects that an endpoint's sidecar names; each death counts once."""
        for told in suspects:
            fingerprint, _, death = told.partition("/")
            key = f"{endpoint}/{death}"
            suspicion = self._find(fingerprint, now)
            if suspicion is not None and key in suspicion.told:
                continue
            self._add(fingerprint, endpoint, now).told.add(key)

    def _add(self, fingerprint: str, endpoint: str, now: float) -> Suspicion:
        suspicion = self._find(fingerprint, now)
        if suspicion is None:
            suspicion = self._suspects[fingerprint] = Suspicion(now)
            while len(self._suspects) > MOST_SUSPECTS:
                self._suspects.popitem(last=False)
        suspicion.seen_at = now
        # The entry sees the cut and hears of it from the sidecar; both are one death.
        same = any(
            name == endpoint and now - at < SAME_DEATH_SECONDS for name, at in suspicion.deaths
        )
        if not same:
            suspicion.deaths.append((endpoint, now))
            del suspicion.deaths[:-DEATHS_TO_BLOCK]
        return suspicion

    def _find(self, fingerprint: str, now: float) -> Suspicion | None:
        suspicion = self._suspects.get(fingerprint)
        if suspicion is not None and now - suspicion.seen_at > FORGET_SECONDS:
            del self._suspects[fingerprint]
            return None
        return suspicion
