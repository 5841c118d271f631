"""Keeps the configuration revision in force at this process and notifies waiters of changes."""

import asyncio
import collections.abc
import zlib

from ..config.bundle import render_site
from ..core.boot_clock import boot_seconds
from ..core.config_value import ConfigValue
from ..core.decoding import decoding
from ..core.errors import CodedError
from ..core.fleet import FleetRevision
from ..decisions.revision_tracker import ClaimVerdict, RevisionTracker
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.configuration_service import ConfigurationService

WATCH_SECONDS = 20.0
RETRY_SECONDS = 1.0
COMPRESSION_LEVEL = 1
MAX_INLINE_RENDER_BYTES = 65_536


class ConfigurationFollower:
    """Holds the highest valid revision that this process has seen.

    The revision in force is one immutable object that is replaced atomically, so that a request
    that holds it never sees a partial change.

    Attributes:
      tracker: The known revisions: the one in force, claimed ones and the refused one.
      on_change: Called when a revision is put in force or refused, or an alarm is raised.
      on_confirmed: Called when the service had no newer revision or its revision was put in
        force, with the time at which the service was asked. The time is of the clock that keeps
        counting while the instance is suspended.
    """

    __slots__ = ("_service", "_site", "_log", "_current", "_changed", "_compressed", "_rendering")
    __slots__ += ("_last_old_revision", "_reported_alarm", "tracker", "on_change", "on_confirmed")

    def __init__(self, service: ConfigurationService, site: str, log: EventLog) -> None:
        self._service = service
        self._site = site
        self._log = log
        self._current: FleetRevision | None = None
        self._changed = asyncio.Condition()
        self._compressed = b""
        self._rendering = asyncio.Lock()
        self._last_old_revision = 0
        self._reported_alarm = ""
        self.tracker = RevisionTracker()
        self.on_change: collections.abc.Callable[[], None] = ignore_change
        self.on_confirmed: collections.abc.Callable[[float], None] = ignore_confirmation

    @property
    def current(self) -> FleetRevision | None:
        """The revision in force here, or None before the first."""
        return self._current

    @property
    def revision(self) -> int:
        """The number of the revision in force here, zero before the first."""
        return self._current.revision if self._current else 0

    @property
    def compressed(self) -> bytes:
        """The compressed value in force, as peers fetch it."""
        return self._compressed

    @property
    def refused_revision(self) -> int:
        """The highest invalid revision known above the one in force, or zero."""
        return self.tracker.refusal.revision if self.tracker.refusal else 0

    @property
    def refused_reason(self) -> str:
        """All faults of the refused revision, or empty."""
        return self.tracker.refusal.reason if self.tracker.refusal else ""

    async def run(self, watch_seconds: float = WATCH_SECONDS) -> None:
        """Watches the service until cancelled."""
        while True:
            asked_at = boot_seconds()
            try:
                value = await self._service.watch(self.revision, watch_seconds)
            except CodedError as error:
                self._log.write(Event.CONFIGURATION_UNREACHABLE, reason=str(error))
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if value is None or await self.offer(value):
                self.on_confirmed(asked_at)
            else:
                await asyncio.sleep(RETRY_SECONDS)

    def assess_claim(self, revision: int, digest: str) -> ClaimVerdict:
        """Records a claim that a revision exists; returns whether its value is wanted."""
        claim = self.tracker.assess_claim(revision, digest)
        self._report_alarm()
        return claim

    def adopt_alarm(self, revision: int, alarm: str) -> None:
        """Adopts an alarm from a peer that has the given revision in force."""
        self.tracker.adopt_alarm(revision, alarm)
        self._report_alarm()

    async def offer(self, value: ConfigValue, compressed: bytes = b"") -> bool:
        """Validates a value and puts it in force if it is newer, whatever its source.

        Returns:
          Whether the value was put in force.
        """
        async with self._rendering:
            claim = self.assess_claim(value.revision, value.digest)
            # A service restored from an old backup offers an old revision. If it were accepted,
            # the fleet would revert to it and undo changes that operators had made.
            if claim is ClaimVerdict.OLD and value.revision != self._last_old_revision:
                self._last_old_revision = value.revision
                self._log.write(
                    Event.REVISION_OLD_OFFERED, revision=value.revision, in_force=self.revision
                )
            if claim is not ClaimVerdict.WANTED:
                return False
            try:
                revision, compressed = await self._prepare(value, compressed)
            except CodedError as error:
                self.refuse(value.revision, value.digest, str(error))
                return False
            return await self._put_in_force(revision, compressed)

    def refuse(self, revision: int, digest: str, reason: str) -> None:
        """Records that this process or a peer found a value invalid."""
        if self.tracker.refuse(revision, digest, reason):
            self._log.write(Event.REVISION_REFUSED, revision=revision, reason=reason)
            self.on_change()

    async def wait_after(self, revision: int) -> FleetRevision:
        """Waits until a revision higher than the given one is in force; returns it."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.revision > revision)
        return self._current

    def _report_alarm(self) -> None:
        if self.tracker.alarm and self.tracker.alarm != self._reported_alarm:
            self._reported_alarm = self.tracker.alarm
            self._log.write(Event.REVISION_CONFLICT, reason=self._reported_alarm)
            self.on_change()

    async def _prepare(self, value: ConfigValue, compressed: bytes) -> tuple[FleetRevision, bytes]:
        if len(value.content) <= MAX_INLINE_RENDER_BYTES:
            return prepare_value(value, self._site, compressed)
        # A large value takes tens of milliseconds to render. On the event loop this would delay
        # all tokens that stream through this process.
        return await asyncio.to_thread(prepare_value, value, self._site, compressed)

    async def _put_in_force(self, revision: FleetRevision, compressed: bytes) -> bool:
        async with self._changed:
            if not self.tracker.put_in_force(revision.revision, revision.digest):
                return False
            self._current = revision
            self._compressed = compressed
            self._changed.notify_all()
        self._log.write(Event.REVISION_IN_FORCE, revision=revision.revision)
        self.on_change()
        return True


def prepare_value(value: ConfigValue, site: str, compressed: bytes) -> tuple[FleetRevision, bytes]:
    """Renders a value for one site, and compresses it for peers unless that was done.

    Raises:
      CodedError: The value is invalid.
    """
    with decoding("configuration_invalid"):
        revision = render_site(value, site)
    return revision, compressed or zlib.compress(value.content, COMPRESSION_LEVEL)


def ignore_change() -> None:
    """The default on_change callback; does nothing."""


def ignore_confirmation(asked_at: float) -> None:
    """The default on_confirmed callback; does nothing."""
