"""Finds the endpoints that probably have a prompt's prefix cached.

Load pattern: the requests of a workspace share long instructions at the start of the prompt. If
they are spread at random, each engine prefills and caches the same few prefixes, and all caches
miss the rest; first tokens are late at a moderate load. If they all go to one engine, a popular
prefix overloads it while others idle.

This is consistent hashing with bounded loads. The start of the prompt determines a position on a
hash ring, which is the same at each entry without any messages, so late or missing cache events
have no effect. An endpoint that has received its share of the recent requests, or has no room,
is skipped in favour of the next one on the ring. A popular prefix is thus spread over as many
endpoints as it needs, always the same ones. When an endpoint is added or removed, only its own
part of the prefixes moves.
"""

import bisect
import collections.abc
import hashlib

HEAD_WORDS = 64
POINTS_PER_ENDPOINT = 32
MAX_PREFERRED = 4


def head_of(prompt: str) -> str:
    """Returns the start of a prompt that is hashed; empty if the prompt is too short."""
    words = prompt.split(None, HEAD_WORDS)
    if len(words) < HEAD_WORDS:
        return ""
    return " ".join(words[:HEAD_WORDS])


def _ring_position(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class PrefixRing:
    """A hash ring with several points per endpoint."""

    __slots__ = ("_points", "_names")

    def __init__(self, names: collections.abc.Iterable[str]) -> None:
        ring = sorted(
            (_ring_position(f"{name}#{i}"), name)
            for name in names
            for i in range(POINTS_PER_ENDPOINT)
        )
        self._points = [point for point, _ in ring]
        self._names = [name for _, name in ring]

    def preferred(self, head: str) -> list[str]:
        """Returns up to MAX_PREFERRED endpoints for the start of a prompt, most probable first."""
        found: list[str] = []
        if not self._points:
            return found
        start = bisect.bisect_left(self._points, _ring_position(head))
        for step in range(min(len(self._points), MAX_PREFERRED * POINTS_PER_ENDPOINT)):
            name = self._names[(start + step) % len(self._names)]
            if name not in found:
                found.append(name)
                if len(found) == MAX_PREFERRED:
                    break
        return found
