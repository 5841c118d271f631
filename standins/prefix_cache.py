"""A bounded LRU cache of prompt prefixes, as engines have, whose event stream has gaps."""

import collections
import hashlib
import random

BLOCK_WORDS = 16


def prefix_blocks(prompt: str) -> list[str]:
    """Returns for each full block of words the hash of the prompt up to the end of the block."""
    words = prompt.split()
    marks = []
    running = hashlib.sha256()
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        running.update(" ".join(words[end - BLOCK_WORDS : end]).encode())
        marks.append(running.hexdigest()[:16])
    return marks


class PrefixCache:
    """Holds the most recently used blocks, and the events of their storage and removal."""

    __slots__ = ("_blocks", "_capacity", "_events", "_sequence", "_gap_chance", "_random")

    def __init__(self, capacity: int, gap_chance: float, seed: int) -> None:
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._capacity = capacity
        self._events: collections.deque[tuple[float, dict[str, object]]] = collections.deque(
            maxlen=4 * capacity
        )
        self._sequence = 0
        self._gap_chance = gap_chance
        self._random = random.Random(seed)

    def blocks(self) -> list[str]:
        """Returns the hashes of the cached blocks, the least recently used first."""
        return list(self._blocks)

    def take(self, marks: list[str], now: float) -> int:
        """Stores a prompt's blocks; returns how many leading blocks were already cached."""
        held = 0
        for mark in marks:
            if mark not in self._blocks:
                break
            held += 1
        for mark in marks:
            if mark in self._blocks:
                self._blocks.move_to_end(mark)
                continue
            self._blocks[mark] = None
            self._record_event("stored", mark, now)
        while len(self._blocks) > self._capacity:
            mark, _ = self._blocks.popitem(last=False)
            self._record_event("removed", mark, now)
        return held

    def events_after(self, sequence: int, before: float) -> list[dict[str, object]]:
        """Returns the events after a sequence number that happened no later than `before`."""
        return [
            event
            for moment, event in self._events
            if moment <= before and event["sequence"] > sequence
        ]

    def _record_event(self, kind: str, mark: str, now: float) -> None:
        self._sequence += 1
        if self._random.random() < self._gap_chance:
            return
        self._events.append((now, {"sequence": self._sequence, "kind": kind, "block": mark}))
