"""Follows the entries that read the platform's store for their data centre."""

import typing

from ..config.deployment import Bounds
from ..core.boot_clock import boot_seconds
from ..core.store_change import StorePosition, StoreReading
from ..decisions.entry_roster import HostPort
from ..decisions.store_readers import StoreReaders, hold_seconds, is_late
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.entry_messages import ChangesReply
from ..platform import published_records
from .published_state import PublishedState

# The wait of a watch of the store. A watch that ends without changes renews the lease on the
# configuration as of the start of the watch. The wait is short enough that the lease's age stays
# well below its bound of five seconds over two waits in a row.
WATCH_SECONDS = 1.2


class ChangeSource(typing.Protocol):
    """The other entries, as sources of changes."""

    @property
    def own_address(self) -> HostPort:
        """The address by which the other entries know this one."""

    def local_entries(self) -> list[HostPort]:
        """Returns the entries of this data centre, in the same order at each of them."""

    async def fetch_changes(self, address: HostPort, hold: float = 0.0) -> ChangesReply | None:
        """Applies what another entry knows of the store; returns its answer, or None."""

    async def newer_configurations(self, position: StorePosition, version: int) -> list[bytes]:
        """Returns configurations newer than a version that are in force at some other entries."""


class ReaderFollower:
    """Keeps an entry's published state up to date from a reader, instead of the store."""

    __slots__ = ("_peers", "_state", "_readers", "_hold", "_log", "_followed")

    def __init__(
        self, peers: ChangeSource, state: PublishedState, bounds: Bounds, log: EventLog
    ) -> None:
        self._peers = peers
        self._state = state
        self._readers = StoreReaders(peers.own_address)
        self._hold = hold_seconds(WATCH_SECONDS, bounds.configuration)
        self._log = log
        # The reader that answered last; None while this entry reads the store itself.
        self._followed: HostPort | None = None

    async def follow(self) -> bool:
        """Waits for changes from a reader; returns False if this entry has to read by itself."""
        # An entry without state reads a snapshot. One whose own calls fail keeps calling, because
        # only an answer ends the outage that it has recorded.
        if not self._state.revision or self._state.outages.failing_since is not None:
            return False
        for reader in self._readers.to_follow(self._peers.local_entries(), boot_seconds()):
            reply = await self._peers.fetch_changes(reader, self._hold)
            if reply is not None and not is_late(reply.waiting_for, WATCH_SECONDS):
                self._readers.record_answer(reader)
                self._state.record_store_unasked()
                self._set_followed(reader, "")
                return True
            self._readers.record_failure(reader, boot_seconds())
            reason = "no answer" if reply is None else "its own evidence is late"
            self._set_followed(None, f"{reader[0]}: {reason}")
            if reply is None:
                # A silent reader has taken as long as a change may wait. The store has the answer.
                return False
        if self._followed is not None:
            self._set_followed(None, "no reader")
        return False

    async def prepare_first_snapshot(self, reading: StoreReading) -> None:
        """Applies a configuration that other entries have in force, if it is newer than one read.

        A restored store may lack it, and a process that starts must not undo what the others do.
        """
        version = published_records.configuration_version(reading.changes)
        position = StorePosition(max(0, reading.epoch), reading.revision)
        for content in await self._peers.newer_configurations(position, version):
            self._state.apply_configuration(content)

    def _set_followed(self, reader: HostPort | None, reason: str) -> None:
        if reader != self._followed:
            self._followed = reader
            peer = reader[0] if reader is not None else ""
            self._log.write(Event.READER_CHANGED, peer=peer, reason=reason)
