"""Chooses the entries that get the next report of an entry, within a number of bytes per second.

Load pattern: twelve entries, or four hundred, report to each other several times a second. Sent to
all others each time, the bytes grow with the number of entries; sent to others that are drawn at
random each time, some entries get none for seconds.

All others get a report in turn, in an order that each entry draws for itself and keeps, so that the
time between two reports to the same entry is the same in each round. As many get one at once as the
size of the report allows.
"""

import random


class ReportTurns:
    """Whose turn it is to get a report."""

    __slots__ = ("_bytes_at_once", "_rng", "_turns")

    def __init__(self, bytes_at_once: float, rng: random.Random) -> None:
        self._bytes_at_once = bytes_at_once
        self._rng = rng
        # The other entries, the next to get a report first.
        self._turns: list[str] = []

    def next_hosts(self, hosts: set[str], size: int) -> list[str]:
        """Returns the entries that get the next report, one at least.

        Args:
          hosts: All other entries.
          size: The size of the report in bytes.
        """
        count = min(len(hosts), max(1, int(self._bytes_at_once / size)))
        self._turns = [host for host in self._turns if host in hosts]
        for host in sorted(hosts.difference(self._turns)):
            self._turns.insert(self._rng.randrange(len(self._turns) + 1), host)
        chosen = self._turns[:count]
        self._turns = self._turns[count:] + chosen
        return chosen
