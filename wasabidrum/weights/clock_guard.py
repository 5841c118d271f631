"""Notices that this process was stopped for a while, before it gives an order.

A process that was paused, or whose instance was suspended, wakes believing what was true
before. Without this check a sidecar that slept through a change of version would order its
engine back to the old one, and operators would see an accepted configuration revert on one
instance. An engine that checks fencing numbers refuses such an order; for the others the process
itself must know.
"""

import asyncio
import collections.abc

from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from ..platform.configuration_service import ConfigurationService

TICK_SECONDS = 0.25
LONGEST_GAP_SECONDS = 2.0
PAUSE_SECONDS = 0.5


class ClockGuard:
    """Compares a clock that a suspension does not stop with when this process last ran."""

    __slots__ = ("_service", "_ask_peers", "_follower", "_log")
    __slots__ += ("_last", "_pauses", "_confirmed_pauses")

    def __init__(
        self,
        service: ConfigurationService,
        ask_peers: collections.abc.Callable[[], collections.abc.Awaitable[int]],
        follower: ConfigurationFollower,
        log: EventLog,
    ) -> None:
        self._service = service
        self._ask_peers = ask_peers
        self._follower = follower
        self._log = log
        self._last: float | None = None
        self._pauses = 0
        self._confirmed_pauses = 0

    async def run(self) -> None:
        """Notes for ever that this process runs."""
        while True:
            self.look()
            await asyncio.sleep(TICK_SECONDS)

    def look(self) -> bool:
        """Returns whether this process woke late and has not read the configuration since."""
        # The event loop's clock shows no gap after a suspension, and the sidecar would order what
        # operators took back meanwhile.
        now = boot_seconds()
        if self._last is not None and now - self._last > LONGEST_GAP_SECONDS:
            self._pauses += 1
            self._log.write(Event.PROCESS_WOKE_LATE, seconds=round(now - self._last, 2))
        self._last = now
        return self._pauses > self._confirmed_pauses

    async def confirm(self) -> None:
        """Returns once this process has in force the newest revision that anyone tells of.

        The service may be stale or down for a long time, and peers may be cut off, so both
        are asked: either alone would order from an old revision that the other could have
        corrected, or leave the engine without orders until the service is back.
        """
        while self.look():
            pauses = self._pauses
            told = await self._ask_peers() > 0
            try:
                await self._follower.offer(await self._service.read())
                told = True
            except CodedError as error:
                self._log.write(Event.CONFIGURATION_UNREACHABLE, reason=str(error))
            if told and not self._follower.book.is_behind:
                # Only the pauses before the questions are settled by their answers.
                self._confirmed_pauses = pauses
            else:
                await asyncio.sleep(PAUSE_SECONDS)
