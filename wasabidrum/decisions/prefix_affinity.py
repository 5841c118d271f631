"""Which endpoint probably holds a prompt's prefix.

Load pattern: requests of one workspace share a long instruction at the head of the prompt.
Spread at random, each engine prefills it and keeps it, all caches hold the same few prefixes
and miss the rest; first tokens come late at a load that would be easy. Sent to one engine
only, a hot prefix overloads that engine while others idle.

Consistent hashing with bounded loads: the head of the prompt chooses a place on a ring, the
same at each entry without any message between them, so that late or missing cache events
change nothing. An endpoint that has had its part of the recent work, or has no room, is passed
over for the next on the ring; a hot prefix thus spreads over as many as it needs, always the
same ones. An endpoint that comes or goes moves only its own part of the prefixes.
"""

import bisect
import collections.abc
import hashlib

HEAD_WORDS = 64
POINTS = 32
STEPS = 4


def head_of(prompt: str) -> str:
    """Returns what a prompt is placed by, or nothing where it is too short to matter."""
    words = prompt.split(None, HEAD_WORDS)
    if len(words) < HEAD_WORDS:
        return ""
    return " ".join(words[:HEAD_WORDS])


def _point(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class PrefixRing:
    """Endpoints on a ring, each at many points."""

    __slots__ = ("_points", "_names")

    def __init__(self, names: collections.abc.Iterable[str]) -> None:
        placed = sorted((_point(f"{name}#{i}"), name) for name in names for i in range(POINTS))
        self._points = [point for point, _ in placed]
        self._names = [name for _, name in placed]

    def preferred(self, head: str) -> list[str]:
        """Returns a few endpoints for a prompt's head, the likeliest holder first."""
        found: list[str] = []
        if not self._points:
            return found
        start = bisect.bisect_left(self._points, _point(head))
        for step in range(min(len(self._points), STEPS * POINTS)):
            name = self._names[(start + step) % len(self._names)]
            if name not in found:
                found.append(name)
                if len(found) == STEPS:
                    break
        return found
