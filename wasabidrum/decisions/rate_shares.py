"""Divides a rate that endpoints tolerate among the entries that may send to them.

Load pattern: an endpoint tolerates some requests a second from all entries together. Every entry
goes on sending, because none knows what the others send.

No entry counts for the others. A rate is divided among a few entries, the senders of the endpoint,
which all entries work out in the same way from the entries that they know; the others send there
nothing. A sender spends a bucket that fills at its part of the rate, and starts empty. The senders
are few enough that each bucket holds at least one request, and all together no more than is allowed
at once. Entries that cannot be reached may still be sending: their part is left to them, and
entries that reach so few others that their part is less than a request send none of it.
"""

import collections.abc
import dataclasses
import zlib

from .entry_roster import HostPort

# The id of an endpoint, and when this run of it started.
EndpointRun = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """The entries that share a limit, as one of them knows them.

    Attributes:
      own: The address of this entry.
      reachable: The entries heard from lately and their data centres, including this one.
      count: The number of all entries, including those out of reach; None if it is not known.
    """

    own: HostPort
    reachable: collections.abc.Mapping[HostPort, str]
    count: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One entry's part of a limit.

    Attributes:
      rate: Requests a second; zero for an entry that is no sender.
      burst: Requests that may be sent at once.
    """

    rate: float
    burst: float


NO_SHARE = Share(0.0, 0.0)


def divide(
    rate: float, burst: float, endpoint_id: str, data_centre: str, entries: Entries
) -> Share:
    """Returns this entry's part of what all entries together may send to an endpoint.

    Args:
      rate: Requests a second.
      burst: Requests that may be sent at once.
      data_centre: That of the endpoint; entries there are its senders first.
    """
    if entries.count is None:
        return NO_SHARE
    within_reach = len(entries.reachable) / max(entries.count, len(entries.reachable))
    burst *= within_reach
    if burst < 1.0:
        return NO_SHARE
    number = min(len(entries.reachable), int(burst))

    def order(address: HostPort) -> tuple[bool, int, HostPort]:
        digest = zlib.crc32(f"{endpoint_id} {address[0]}:{address[1]}".encode())
        return entries.reachable[address] != data_centre, digest, address

    if entries.own not in sorted(entries.reachable, key=order)[:number]:
        return NO_SHARE
    return Share(rate * within_reach / number, burst / number)


class ShareBucket:
    """The requests that one entry may send to an endpoint now; there are none at first.

    All times are of a clock that keeps counting while the instance is suspended.

    Attributes:
      share: What fills and bounds the bucket.
    """

    __slots__ = ("share", "_balance", "_updated_at")

    def __init__(self) -> None:
        self.share = NO_SHARE
        self._balance = 0.0
        # None until this entry has first wanted to send: it earns nothing for the time before.
        self._updated_at: float | None = None

    def empty(self) -> None:
        """Resets what was earned."""
        self._balance = 0.0
        self._updated_at = None

    def seconds_until_room(self, now: float) -> float:
        """Returns in how many seconds a request may be sent; infinite without a share."""
        share = self.share
        since = now if self._updated_at is None else self._updated_at
        earned = share.rate * max(0.0, now - since)
        self._balance = min(share.burst, self._balance + earned)
        self._updated_at = now
        if self._balance >= 1.0:
            return 0.0
        return (1.0 - self._balance) / share.rate if share.rate else float("inf")

    def spend(self) -> bool:
        """Removes one request; returns whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
