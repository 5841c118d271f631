"""Detects that this process was suspended, before it sends a command to its engine.

A process that was paused, or whose instance was suspended, resumes with stale state. Without this
check a sidecar that was suspended during a version change would switch its engine back to the old
version, and operators would see an accepted configuration revert on one instance. An engine that
checks fencing tokens rejects such a command; for other engines the process must detect it itself.
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
MAX_GAP_SECONDS = 2.0
PAUSE_SECONDS = 0.5


class SuspensionGuard:
    """Compares the time since this process last ran, on a clock that counts suspensions."""

    __slots__ = ("_service", "_ask_peers", "_follower", "_log")
    __slots__ += ("_last_run", "_suspensions", "_confirmed_suspensions")

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
        self._last_run: float | None = None
        self._suspensions = 0
        self._confirmed_suspensions = 0

    async def run(self) -> None:
        """Records forever, at short intervals, that this process is running."""
        while True:
            self.check()
            await asyncio.sleep(TICK_SECONDS)

    def check(self) -> bool:
        """Returns whether this process was suspended and has not confirmed its configuration
        since."""
        # The event loop's clock shows no gap after a suspension. Measured by it, the sidecar would
        # miss the suspension and send commands that operators have revoked meanwhile.
        now = boot_seconds()
        if self._last_run is not None and now - self._last_run > MAX_GAP_SECONDS:
            self._suspensions += 1
            self._log.write(Event.PROCESS_WOKE_LATE, seconds=round(now - self._last_run, 2))
        self._last_run = now
        return self._suspensions > self._confirmed_suspensions

    async def confirm(self) -> None:
        """Returns once this process has the newest revision that any source reports.

        The configuration service may be stale or down for a long time, and peers may be cut off,
        so both are asked. With one source alone, the sidecar could act on an old revision that
        the other would have corrected, or send its engine no commands until that source is back.
        """
        while self.check():
            suspensions = self._suspensions
            answered = await self._ask_peers() > 0
            try:
                await self._follower.offer(await self._service.read())
                answered = True
            except CodedError as error:
                self._log.write(Event.CONFIGURATION_UNREACHABLE, reason=str(error))
            if answered and not self._follower.tracker.is_behind:
                # The answers cover only suspensions that were detected before the requests.
                self._confirmed_suspensions = suspensions
            else:
                await asyncio.sleep(PAUSE_SECONDS)
