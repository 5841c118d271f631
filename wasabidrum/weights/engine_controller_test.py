"""Tests of the verification of staged weights, of turns, and of unexpected failures."""

import asyncio
import contextlib
import types
import unittest
import unittest.mock

import logbook

from tests.suspended_clock import suspended_for

from ..core.digest import digest_of
from ..core.engine_report import EngineReport, PieceList
from ..decisions.version_choice import VersionChoice
from ..observe.event_log import EventLog
from . import engine_controller
from .engine_controller import EngineController
from .staged_version import StagedVersion

MODEL = "m"
VERSION = 2
PIECES = (b"aaaa", b"bbbb", b"cccc")
SUSPENDED_SECONDS = 60.0


class FakeEngine:
    """A staging area that records its contents at each load command."""

    def __init__(self) -> None:
        self.held = dict(enumerate(PIECES))
        self.loaded: list[dict[int, bytes]] = []
        self.reads = 0
        self.on_read = lambda number: None

    async def staged(self, model: str) -> tuple[int, ...]:
        """See EngineClient."""
        return tuple(self.held)

    async def read_piece(self, model: str, number: int) -> bytes | None:
        """See EngineClient."""
        content = self.held[number]
        self.reads += 1
        self.on_read(number)
        return content

    async def put_piece(self, model: str, number: int, content: bytes) -> None:
        """See EngineClient."""
        self.held[number] = content

    async def start(self, model: str, version: int, fence: int) -> bool:
        """See EngineClient; rejects the command, so that the controller does not wait for it."""
        self.loaded.append(dict(self.held))
        return False


class ReadBackTest(unittest.IsolatedAsyncioTestCase):
    """Staged pieces can become corrupt at any moment."""

    async def asyncSetUp(self) -> None:
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.engine = FakeEngine()
        store = {digest_of(piece): piece for piece in PIECES}
        distributor = types.SimpleNamespace(store=store)
        listed = types.SimpleNamespace(model=MODEL, on_members=None)
        pieces = PieceList(MODEL, VERSION, len(PIECES[0]), tuple(store))
        self.controller = EngineController(self.engine, None, distributor, listed, None, 8.0, log)
        area = self.controller._staging_area
        self.staged = StagedVersion(self.engine, distributor, pieces, area)
        self.other = StagedVersion(self.engine, distributor, pieces, area)
        self.clock = self.enterContext(contextlib.ExitStack())

    async def test_pieces_verified_before_a_suspension_are_verified_again(self) -> None:
        """An instance is suspended while its sidecar verifies staged weights, and a piece that was
        already verified becomes corrupt before it resumes. The load command that follows would
        make the engine serve corrupt weights, with no trace in any log."""

        def suspend(number: int) -> None:
            if self.engine.reads == 2:
                self.clock.enter_context(suspended_for(SUSPENDED_SECONDS))
                self.engine.held[0] = b"spoilt"

        self.engine.on_read = suspend
        await self.controller._load(self.staged, VERSION)
        self.assertEqual(self.engine.loaded, [dict(enumerate(PIECES))])

    async def test_piece_of_another_version_waits_until_the_verified_ones_are_loaded(self) -> None:
        """Guards against an engine that loads a piece of another version: the sidecar goes back to
        that one, and writes its pieces, while it orders a layer that it has just verified."""
        putting = []

        def put_another(number: int) -> None:
            if number == 0:
                putting.append(asyncio.ensure_future(self.other._put(0, b"zzzz")))

        self.engine.on_read = put_another
        await self.controller._load(self.staged, VERSION)
        self.assertEqual(self.engine.loaded, [dict(enumerate(PIECES))])
        await asyncio.gather(*putting)
        self.assertEqual(self.engine.held[0], b"zzzz")

    async def test_an_engine_that_is_slow_to_read_is_still_loaded(self) -> None:
        """Verification is slow each time, as on an instance with little processor time. If the
        sidecar insisted on a fast one, its engine would never load the version."""

        def take_long(number: int) -> None:
            self.clock.enter_context(suspended_for(SUSPENDED_SECONDS))

        self.engine.on_read = take_long
        await self.controller._load(self.staged, VERSION)
        self.assertEqual(len(self.engine.loaded), 1)
        self.assertLessEqual(self.engine.reads, 2 * len(PIECES))


class RetryTest(unittest.IsolatedAsyncioTestCase):
    """Work for a version that waits for its turn or fails unexpectedly."""

    async def test_waiting_for_a_turn_does_not_count_as_a_stall(self) -> None:
        """Guards against a wait that counts as a stall once it ends: the load command would be
        cancelled, and the engine would keep the old weights until they expire."""
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        listed = types.SimpleNamespace(
            model=MODEL,
            wanted=3,
            on_members=None,
            own_name="b",
            answering={"a": "r", "b": "r"},
            named_for=lambda version: 0.0,
            replaced_for=lambda version: 0.0,
        )
        distributor = types.SimpleNamespace(link_mbit=10.0)
        controller = EngineController(FakeEngine(), None, distributor, listed, None, 8.0, log)
        controller.report = EngineReport(weights=1)
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        staged = types.SimpleNamespace(version=2, share=1.0, progressed_at=0.0, byte_count=1)
        controller._staged[2] = staged
        with unittest.mock.patch.object(engine_controller, "seconds_until_turn", return_value=0.01):
            await controller._wait_for_turn(2)
        self.assertEqual(controller._choose(choice), 2)

    async def test_work_that_fails_unexpectedly_is_retried(self) -> None:
        """Without a retry the engine would never load this version or any later one."""
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        store = types.SimpleNamespace(chunks_unknown=False, expected=set(), wake_all=lambda: None)
        distributor = types.SimpleNamespace(store=store)
        never = asyncio.Event()

        async def wait_for_change(version: int) -> None:
            await never.wait()

        listed = types.SimpleNamespace(
            model=MODEL, wanted=2, on_members=None, wait_for_change=wait_for_change
        )
        controller = EngineController(FakeEngine(), None, distributor, listed, None, 8.0, log)
        begun = asyncio.Event()
        tries = []

        async def work(version: int) -> None:
            tries.append(version)
            if len(tries) == 1:
                raise ValueError("unforeseen")
            begun.set()
            await never.wait()

        controller._retry_forever = work
        running = asyncio.ensure_future(controller.run())
        try:
            await asyncio.wait_for(begun.wait(), 2.0)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(tries, [2, 2])


if __name__ == "__main__":
    unittest.main()
