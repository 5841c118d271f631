"""Keeps what an entry knows up to date from the platform's store."""

import asyncio

from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..decisions.configuration_lease import (
    REPLY_TOLERANCE_SECONDS,
    earliest_change_at,
    unchanged_until,
)
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.store_client import StoreClient, Watched
from .published_state import PublishedState

# A watch that ends without news renews the lease on the configuration. Its age when it ends is
# the wait itself, so that two waits in a row stay well below the five seconds of the bound.
WATCH_SECONDS = 1.2
# What changes together is taken in one call: when engines switch, their registrations change
# twenty times a second, and each entry would call as often. It delays a change by so much, of
# the two seconds and more in which one is to be in force.
GATHER_SECONDS = 0.25
# Between two calls of which the first failed: long enough that a store that is down gets few
# calls, short beside the two seconds in which a change is to be in force.
PAUSE_SECONDS = 0.15
LONGEST_PAUSE_SECONDS = 0.4
TICK_SECONDS = 0.1


class StoreFollower:
    """Reads all once, then watches; reads again where the store has dropped its history."""

    __slots__ = ("_store", "_state", "_log", "_lost_history", "_failures")
    __slots__ += ("_ticked_at", "_held_up", "_asked_at", "_quiet_until")

    def __init__(self, store: StoreClient, state: PublishedState, log: EventLog) -> None:
        self._store = store
        self._state = state
        self._log = log
        self._lost_history = False
        self._failures = 0
        self._ticked_at = awake_seconds()
        self._asked_at = awake_seconds()
        # Until when nothing had happened before the watch in progress, as far as it shows.
        self._quiet_until = float("-inf")
        # Whether this process stood still since the store was last asked.
        self._held_up = False

    async def run(self) -> None:
        """Follows for ever."""
        while True:
            try:
                await self._step()
            except CodedError as error:
                await self._take_failure(error)

    async def tick(self) -> None:
        """Has time end what only time ends, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            self._note_standstill()
            self._ticked_at = awake_seconds()
            self._state.tick(loop.time())
            await asyncio.sleep(TICK_SECONDS)

    def _note_standstill(self) -> None:
        # The tick is late by as much as the process was suspended, or busy with something else.
        if awake_seconds() - self._ticked_at > TICK_SECONDS + REPLY_TOLERANCE_SECONDS:
            self._held_up = True

    async def _step(self) -> None:
        asked_at = self._asked_at = awake_seconds()
        self._held_up = False
        state = self._state
        if not state.revision or self._lost_history:
            self._quiet_until = float("-inf")
            reading = await self._store.read(Watched.ALL)
            self._take_answer()
            state.take_reading(reading, asyncio.get_running_loop().time())
            self._lost_history = False
        else:
            # One watch brings configuration, versions and endpoints in their order.
            reading = await self._store.watch(Watched.ALL, state.revision, WATCH_SECONDS)
            self._take_answer()
            self._note_standstill()
            answered_at = awake_seconds()
            after = earliest_change_at(asked_at, answered_at, WATCH_SECONDS, self._held_up)
            after = max(after, self._quiet_until)
            state.take_changes(reading, asyncio.get_running_loop().time(), after)
            self._quiet_until = asked_at
            if not reading.changes:
                self._quiet_until = unchanged_until(
                    asked_at, answered_at, WATCH_SECONDS, self._held_up
                )
        state.lease.renew(asked_at)
        if reading.changes:
            await asyncio.sleep(GATHER_SECONDS)

    def _take_answer(self) -> None:
        self._state.outages.record_response()
        if self._failures:
            self._log.write(Event.STORE_BACK, failures=self._failures)
            self._failures = 0
            # What disappeared while nobody could be asked is judged from now on.
            self._state.endpoints.record_store_failure(asyncio.get_running_loop().time())

    async def _take_failure(self, error: CodedError) -> None:
        if error.code == "history_lost":
            self._log.write(Event.STORE_HISTORY_LOST, revision=self._state.revision)
            self._lost_history = True
            return
        self._note_standstill()
        if error.code != "store_throttled":
            refused = error.code == "store_refused"
            self._state.outages.record_failure(
                self._asked_at,
                awake_seconds(),
                refused,
                self._held_up,
                self._state.lease.confirmed_at,
            )
        if not self._failures:
            self._log.write(
                Event.STORE_LOST,
                reason=str(error)[:200],
                evidence_age=round(self._state.lease.age(awake_seconds()), 3),
            )
        self._failures += 1
        self._state.endpoints.record_store_failure(asyncio.get_running_loop().time())
        await asyncio.sleep(min(LONGEST_PAUSE_SECONDS, PAUSE_SECONDS * self._failures))
