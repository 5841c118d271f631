"""Keeps an entry's published state up to date with the platform's store."""

import asyncio
import collections.abc

from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.store_change import NO_EPOCH, StorePosition, StoreReading
from ..decisions.configuration_lease import (
    REPLY_TOLERANCE_SECONDS,
    earliest_change_at,
    unchanged_until,
)
from ..decisions.store_outage import NO_OUTAGE
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.store_client import KeyPrefix, StoreClient
from .published_state import PublishedState
from .reader_following import WATCH_SECONDS, ReaderFollower

# How long to wait before the next watch after one that brought changes, so that changes close
# together are read in one call. When engines switch versions, registrations change twenty times a
# second, and each entry would call as often. The delay counts towards the two seconds or more in
# which a change has to take effect.
BATCH_DELAY_SECONDS = 0.25
# The delay before a retry, multiplied by the number of failures. It is long enough that a store
# that is down gets few calls, and short compared to the two seconds in which a change has to take
# effect.
RETRY_DELAY_SECONDS = 0.15
MAX_RETRY_DELAY_SECONDS = 0.4
TICK_SECONDS = 0.1


class StoreFollower:
    """Reads a snapshot, then watches for changes; reads again if the store lost its history.

    Follows an entry that reads the store instead, while there is one.

    Attributes:
      on_evidence: Called after each answer of the store.
    """

    __slots__ = ("_store", "_state", "_log", "_history_lost", "_failures")
    __slots__ += ("_ticked_at", "_stalled", "_asked_at", "_unchanged_until")
    __slots__ += ("_readers", "on_evidence", "_logged_outage")

    def __init__(
        self,
        store: StoreClient,
        state: PublishedState,
        readers: ReaderFollower,
        on_evidence: collections.abc.Callable[[], None],
        log: EventLog,
    ) -> None:
        self._store = store
        self._readers = readers
        self.on_evidence = on_evidence
        self._state = state
        self._log = log
        self._history_lost = False
        self._failures = 0
        self._ticked_at = boot_seconds()
        self._asked_at = boot_seconds()
        # The latest time, as far as known, before which the store had no changes that the watch
        # in progress could bring.
        self._unchanged_until = float("-inf")
        # Whether this process was suspended or blocked since the last call to the store.
        self._stalled = False
        self._logged_outage = NO_OUTAGE

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            try:
                if self._history_lost or not await self._readers.follow():
                    await self._poll()
            except CodedError as error:
                await self._handle_failure(error)

    async def run_ticks(self) -> None:
        """Expires items and detects stalls of this process periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._detect_stall()
            self._ticked_at = boot_seconds()
            self._state.expire_items(loop.time())
            self._log_outage()
            await asyncio.sleep(TICK_SECONDS)

    def _detect_stall(self) -> None:
        # A tick is late by as much as the process was suspended or the event loop was blocked.
        if boot_seconds() - self._ticked_at > TICK_SECONDS + REPLY_TOLERANCE_SECONDS:
            self._stalled = True

    async def _poll(self) -> None:
        asked_at = self._asked_at = boot_seconds()
        self._stalled = False
        state = self._state
        # After the readers have failed, the first question is answered at once if the store is up.
        wait = WATCH_SECONDS if state.is_store_asked else 0.0
        state.record_store_asked(asked_at, wait)
        position = state.position
        if not position.revision or self._history_lost:
            reading = await self._read_snapshot(position)
        else:
            reading = await self._watch_changes(position, asked_at, wait)
        if reading is None:
            return
        state.record_evidence(asked_at)
        self.on_evidence()
        if reading.changes:
            await asyncio.sleep(BATCH_DELAY_SECONDS)

    async def _read_snapshot(self, position: StorePosition) -> StoreReading | None:
        """Reads everything and applies it; returns None if it is older than what is known."""
        self._unchanged_until = float("-inf")
        reading = await self._store.read(KeyPrefix.ALL)
        self._record_answer()
        if not position.revision:
            await self._readers.prepare_first_snapshot(reading)
        if NO_EPOCH < reading.epoch < self._state.epoch:
            await self._handle_outdated(reading)
            return None
        if reading.epoch == self._state.epoch and reading.revision < self._state.revision:
            # Another entry has told of this epoch meanwhile, and of removals that the snapshot does
            # not have. What follows on that is watched from here.
            self._log.write(
                Event.STORE_ANSWER_OUTDATED, epoch=reading.epoch, held_epoch=self._state.epoch
            )
            self._history_lost = False
            return None
        self._log_snapshot(reading)
        self._state.apply_snapshot(reading, asyncio.get_running_loop().time())
        self._history_lost = False
        return reading

    async def _watch_changes(
        self, position: StorePosition, asked_at: float, wait: float
    ) -> StoreReading | None:
        """Waits for changes after a position and applies them; returns None if they do not follow.

        A single watch returns changes of configuration, versions and endpoints in order.
        """
        reading = await self._store.watch(KeyPrefix.ALL, position.revision, wait)
        self._record_answer()
        self._detect_stall()
        if not self._continues(reading, position):
            await self._handle_outdated(reading)
            return None
        answered_at = boot_seconds()
        not_before = earliest_change_at(asked_at, answered_at, wait, self._stalled)
        not_before = max(not_before, self._unchanged_until)
        self._state.apply_changes(reading, asyncio.get_running_loop().time(), not_before)
        self._unchanged_until = asked_at
        if not reading.changes:
            self._unchanged_until = unchanged_until(asked_at, answered_at, wait, self._stalled)
        return reading

    def _continues(self, reading: StoreReading, asked: StorePosition) -> bool:
        """Returns whether a watch from a position returned what follows on what is known now.

        A restored store may have passed the revision that was asked for, and answers as if the
        changes before it were known. Another entry may have told of the restoration meanwhile.
        """
        return reading.epoch in (NO_EPOCH, asked.epoch) and self._state.epoch == asked.epoch

    async def _handle_outdated(self, reading: StoreReading) -> None:
        """Reads everything again if the answer is of a later epoch than what is known."""
        held = self._state.epoch
        self._log.write(Event.STORE_ANSWER_OUTDATED, epoch=reading.epoch, held_epoch=held)
        if reading.epoch > held:
            self._history_lost = True
        else:
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _record_answer(self) -> None:
        self._state.outages.record_response()
        self._state.record_store_answered()
        if self._failures:
            self._log.write(Event.STORE_BACK, failures=self._failures)
            self._failures = 0
            # Endpoints that disappeared during the outage get their time to return from now on.
            self._state.store_failed_at = boot_seconds()
            self._state.endpoints.record_store_failure(asyncio.get_running_loop().time())

    async def _handle_failure(self, error: CodedError) -> None:
        if error.code == "history_lost":
            self._log.write(Event.STORE_HISTORY_LOST, revision=self._state.revision)
            self._history_lost = True
            return
        self._detect_stall()
        self._state.store_failed_at = boot_seconds()
        if error.code != "store_throttled":
            refused = error.code == "store_refused"
            self._state.outages.record_failure(
                self._asked_at,
                boot_seconds(),
                refused,
                self._stalled,
                self._state.lease.confirmed_at,
            )
        if not self._failures:
            self._log.write(
                Event.STORE_LOST,
                reason=str(error)[:200],
                evidence_age=round(self._state.lease.age(boot_seconds()), 3),
            )
        self._failures += 1
        self._state.endpoints.record_store_failure(asyncio.get_running_loop().time())
        await asyncio.sleep(min(MAX_RETRY_DELAY_SECONDS, RETRY_DELAY_SECONDS * self._failures))

    def _log_snapshot(self, reading: StoreReading) -> None:
        """Logs a snapshot before it is applied."""
        self._log.write(
            Event.STORE_SNAPSHOT_READ,
            epoch=reading.epoch,
            revision=reading.revision,
            held_revision=self._state.revision,
            items=len(reading.changes),
            ignored=self._state.count_superseded(reading),
        )

    def _log_outage(self) -> None:
        """Logs the outage that bounds of versions take into account, when it is a new one."""
        outage, logged = self._state.outages.latest, self._logged_outage
        self._logged_outage = outage
        if outage is NO_OUTAGE or outage.started_at <= logged.ended_at:
            return
        now = boot_seconds()
        self._log.write(
            Event.STORE_OUTAGE_RECORDED,
            started_ago=round(now - outage.started_at, 3),
            ended_ago=round(now - outage.ended_at, 3),
        )
