"""Keeps the configuration revision in force at this process, and tells who waits for it."""

import asyncio
import collections.abc
import zlib

from ..config.bundle import render_site
from ..core.boot_clock import boot_seconds
from ..core.config_value import ConfigValue
from ..core.errors import CodedError
from ..core.fleet import FleetRevision
from ..decisions.revision_tracker import ClaimVerdict, RevisionTracker
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.configuration_service import ConfigurationService

WATCH_SECONDS = 20.0
PAUSE_AFTER_FAILURE_SECONDS = 1.0
COMPRESSION_LEVEL = 1
LARGEST_RENDERED_INLINE_BYTES = 65_536


class ConfigurationFollower:
    """Holds the highest valid revision that this process has seen.

    The revision in force is one immutable object that is replaced in one step, so that a
    request that holds it never sees half of a change.

    Attributes:
      book: The order of revisions here, with what was refused.
      on_change: Called once a revision is in force or was refused.
      on_answer: Called with when the service was asked, by the clock that counts while the
        instance is suspended, where it knew nothing newer.
    """

    __slots__ = ("_service", "_site", "_log", "_current", "_changed", "_compressed", "_rendering")
    __slots__ += ("_old_offered", "_alarm", "book", "on_change", "on_answer")

    def __init__(self, service: ConfigurationService, site: str, log: EventLog) -> None:
        self._service = service
        self._site = site
        self._log = log
        self._current: FleetRevision | None = None
        self._changed = asyncio.Condition()
        self._compressed = b""
        self._rendering = asyncio.Lock()
        self._old_offered = 0
        self._alarm = ""
        self.book = RevisionTracker()
        self.on_change: collections.abc.Callable[[], None] = ignore_change
        self.on_answer: collections.abc.Callable[[float], None] = ignore_answer

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
        """The value in force, as peers fetch it."""
        return self._compressed

    @property
    def refused_revision(self) -> int:
        """The highest invalid revision known above the one in force, or zero."""
        return self.book.refusal.revision if self.book.refusal else 0

    @property
    def refused_reason(self) -> str:
        """Every fault of that revision."""
        return self.book.refusal.reason if self.book.refusal else ""

    async def run(self, watch_seconds: float = WATCH_SECONDS) -> None:
        """Watches the service for ever."""
        while True:
            asked_at = boot_seconds()
            try:
                value = await self._service.watch(self.revision, watch_seconds)
            except CodedError as error:
                self._log.write(Event.CONFIGURATION_UNREACHABLE, reason=str(error))
                await asyncio.sleep(PAUSE_AFTER_FAILURE_SECONDS)
                continue
            if value is None or await self.offer(value):
                self.on_answer(asked_at)
            else:
                await asyncio.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    def judge(self, revision: int, digest: str) -> ClaimVerdict:
        """Takes somebody's word for a revision; says whether its value is wanted."""
        claim = self.book.assess_claim(revision, digest)
        self._tell_alarm()
        return claim

    def take_alarm(self, revision: int, alarm: str) -> None:
        """Takes an alarm that a peer with a revision in force raised."""
        self.book.adopt_alarm(revision, alarm)
        self._tell_alarm()

    async def offer(self, value: ConfigValue, compressed: bytes = b"") -> bool:
        """Takes a value from anyone; returns whether it is in force now."""
        async with self._rendering:
            claim = self.judge(value.revision, value.digest)
            # A service restored from an old copy offers an old revision. Without this check
            # the fleet would go back to it, and operators would see a change undo itself.
            if claim is ClaimVerdict.OLD and value.revision != self._old_offered:
                self._old_offered = value.revision
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
        """Takes that a value is invalid, from this process's own check or from a peer's."""
        if self.book.refuse(revision, digest, reason):
            self._log.write(Event.REVISION_REFUSED, revision=revision, reason=reason)
            self.on_change()

    async def wait_after(self, revision: int) -> FleetRevision:
        """Waits until a revision higher than the given one is in force, and returns it."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.revision > revision)
        return self._current

    def _tell_alarm(self) -> None:
        if self.book.alarm and self.book.alarm != self._alarm:
            self._alarm = self.book.alarm
            self._log.write(Event.REVISION_CONFLICT, reason=self._alarm)
            self.on_change()

    async def _prepare(self, value: ConfigValue, compressed: bytes) -> tuple[FleetRevision, bytes]:
        if len(value.content) <= LARGEST_RENDERED_INLINE_BYTES:
            return prepare_value(value, self._site, compressed)
        # A large value takes tens of milliseconds to render. On the event loop that would
        # hold back every token that streams through this process.
        return await asyncio.to_thread(prepare_value, value, self._site, compressed)

    async def _put_in_force(self, revision: FleetRevision, compressed: bytes) -> bool:
        async with self._changed:
            if not self.book.put_in_force(revision.revision, revision.digest):
                return False
            self._current = revision
            self._compressed = compressed
            self._changed.notify_all()
        self._log.write(Event.REVISION_IN_FORCE, revision=revision.revision)
        self.on_change()
        return True


def prepare_value(value: ConfigValue, site: str, compressed: bytes) -> tuple[FleetRevision, bytes]:
    """Renders a value for one site and compresses it for peers.

    Raises:
      CodedError: The value is invalid.
    """
    revision = render_site(value, site)
    return revision, compressed or zlib.compress(value.content, COMPRESSION_LEVEL)


def ignore_change() -> None:
    """Stands where nobody asked to be told of changes."""


def ignore_answer(asked_at: float) -> None:
    """Stands where nobody asked to be told of answers."""
