"""Limits the rate at which this process sends weights over each link."""

import asyncio
import collections.abc

from ..core.fleet import LinkSpec
from ..decisions.chunk_pacing import LinkSchedule, Reservation, instance_rate, region_rate


class LinkPacer:
    """Reserves time on the instance's link and on the thin link between regions."""

    __slots__ = ("_region", "_link_mbit", "_in_progress", "_own", "_thin", "links", "senders")

    def __init__(
        self, region: str, link_mbit: float, in_progress: collections.abc.Callable[[], int]
    ) -> None:
        self._region = region
        self._link_mbit = link_mbit
        self._in_progress = in_progress
        self._own = LinkSchedule()
        self._thin = LinkSchedule()
        self.links = LinkSpec()
        self.senders = 1

    def reserve(self, to_region: str, size: int, requester_rate: float = 0.0) -> Reservation:
        """Reserves the time in which a number of bytes may be sent to a region.

        Args:
          requester_rate: The bytes per second that the requester accepts; zero for no limit.
        """
        sent = self._reserve(to_region, size)
        if requester_rate <= 0.0:
            return sent
        return Reservation(sent.start, max(sent.seconds, size / requester_rate))

    def _reserve(self, to_region: str, size: int) -> Reservation:
        now = asyncio.get_running_loop().time()
        fraction = self.links.weights_fraction_instance
        rate = instance_rate(self._link_mbit, fraction, self._in_progress())
        own = self._own.reserve(now, size, rate)
        if to_region == self._region:
            return own
        thin_rate = region_rate(
            self.links.between_regions_mbit,
            self.links.weights_fraction_between_regions,
            self.senders,
        )
        thin = self._thin.reserve(own.start, size, thin_rate)
        return Reservation(thin.start, max(own.seconds, thin.seconds))
