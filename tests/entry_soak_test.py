"""A short soak of real entry processes; `python -m tests.entry_soak` runs longer ones."""

import asyncio
import pathlib
import signal
import tempfile
import unittest
from unittest import mock

from tests.entry_soak import (
    BOUNDS,
    COLD_LIMIT,
    SERVICE,
    Entry,
    EntrySoak,
    Evacuation,
    broken_promises,
    play_soak,
)
from tests.fake_platform import FakeEndpoint, ReceivedRequest
from tests.paused_clock import PausedClockCase
from tests.stated_limits_test import SETTLING_SECONDS, WINDOW_SECONDS
from wasabidrum.platform import names

SEED = 1
ENTRIES = 5
SECONDS = 15.0
PER_SECOND = 60.0
# More requests in a window than a limit of half a request a second allows.
LIMIT = 0.5
TOO_MANY = 12


class EntrySoakTest(unittest.TestCase):
    """Signals, restarts, refusing endpoints and limits in overlapping series."""

    def test_fixed_seed(self) -> None:
        """Guards against retries, limits and outcomes that hold only while processes live."""
        figures, played = asyncio.run(play_soak(SEED, ENTRIES, SECONDS, PER_SECOND))
        self.assertEqual(broken_promises(figures), [], (figures, played))


class JudgedLimitsTest(PausedClockCase):
    """What the soak takes for a statement of a limit, at an endpoint without entries."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        self.soak = EntrySoak(SEED, 1, PER_SECOND, path)
        self.soak._entries = [Entry(0, 0, path, 0)]
        self.endpoint = FakeEndpoint("e1", SERVICE)
        self.soak._crashes._open[self.endpoint] = set()
        self._count = 0

    async def send(self, number: int, seconds: float) -> None:
        """Hands some requests to the endpoint, evenly over some time."""
        writer = mock.Mock(drain=mock.AsyncMock())
        for _ in range(number):
            self._count += 1
            headers = {names.REQUEST_ID.lower(): f"r{self._count}-0-safe"}
            request = ReceivedRequest("POST", "/safe/a", headers, b"")
            await self.soak._answer(self.endpoint, request, writer)
            await asyncio.sleep(seconds / number)

    async def over_limits(self) -> dict[str, float]:
        """Returns the endpoints that got too much until now, after the last window has ended."""
        await asyncio.sleep(WINDOW_SECONDS)
        return self.soak._judge()["over_limits"]

    async def test_limit_that_no_answer_has_stated_binds_nobody(self) -> None:
        """Guards against a limit that counts from when the endpoint would state it, while it only
        refuses requests with answers that state none."""
        self.soak._set_limit(self.endpoint, LIMIT)
        self.soak.repeats.failing = True
        await self.send(TOO_MANY * 2, SETTLING_SECONDS + WINDOW_SECONDS)
        self.assertEqual(await self.over_limits(), {})

    async def test_limit_binds_from_the_first_answer_that_states_it(self) -> None:
        """Guards against a check that passes over a limit once its endpoint refuses."""
        self.soak._set_limit(self.endpoint, LIMIT)
        await self.send(1, SETTLING_SECONDS)
        self.soak.repeats.failing = True
        await self.send(TOO_MANY, WINDOW_SECONDS / 2.0)
        self.assertEqual(list(await self.over_limits()), [self.endpoint.id])

    async def test_limit_binds_until_an_answer_withdraws_it(self) -> None:
        """Guards against a check that takes a limit for withdrawn before anybody is told."""
        self.soak._set_limit(self.endpoint, LIMIT)
        await self.send(1, SETTLING_SECONDS)
        self.soak._set_limit(self.endpoint, None)
        self.soak.repeats.failing = True
        await self.send(TOO_MANY, WINDOW_SECONDS / 2.0)
        self.assertEqual(list(await self.over_limits()), [self.endpoint.id])

    async def test_request_in_an_evacuated_data_centre_counts_once_the_time_is_over(self) -> None:
        """Guards against a check that passes over requests to evacuated data centres, or counts
        those that are still allowed."""
        evacuation = self.soak._evacuation = Evacuation(self.endpoint.zone)
        await self.send(4, BOUNDS.evacuation + 0.1)
        self.assertEqual(self.soak.evacuated_arrivals, [])
        await self.send(1, 1.0)
        self.assertEqual(len(self.soak.evacuated_arrivals), 1)
        # An entry may need the store until the time is over, so that it counts anew.
        evacuation = self.soak._evacuation = Evacuation(self.endpoint.zone)
        evacuation.record_store(away=True)
        await asyncio.sleep(BOUNDS.evacuation)
        evacuation.record_store(away=False)
        await self.send(4, BOUNDS.evacuation + 0.1)
        self.assertEqual(len(self.soak.evacuated_arrivals), 1)

    async def test_cold_endpoint_that_gets_one_request_too_many_is_found(self) -> None:
        """Guards against a check that passes over a full second at a cold endpoint."""
        self.soak._crashes.warm_at[self.endpoint.id] = self.loop.time() + 3.0
        # Refusals take no time.
        self.soak.repeats.failing = True
        await self.send(int(COLD_LIMIT), 0.9)
        self.assertEqual(self.soak._judge()["over_cold"], {})
        await self.send(1, 0.1)
        self.assertEqual(list(self.soak._judge()["over_cold"]), [self.endpoint.id])


class SuspendedEntryTest(PausedClockCase):
    """An entry process that is replaced while it is suspended."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.entry = Entry(0, 0, pathlib.Path(), 0)
        self.entry.process = mock.Mock()

    def replace_process(self) -> mock.Mock:
        """Replaces the process as a start does; returns the new one."""
        process = mock.Mock()
        self.entry.attach(process)
        return process

    async def test_process_that_is_suspended_after_a_restart_goes_on(self) -> None:
        """Guards against a process that stays stopped because the signal to go on goes to the one
        before it, so that its refusals come late."""
        first = asyncio.ensure_future(self.entry.suspend(2.0))
        await asyncio.sleep(0.5)
        process = self.replace_process()
        second = asyncio.ensure_future(self.entry.suspend(2.0))
        await asyncio.gather(first, second)
        signals = [call.args[0] for call in process.send.call_args_list]
        self.assertEqual(signals, [signal.SIGSTOP, signal.SIGCONT])
        self.assertAlmostEqual(self.loop.time() - self.entry.running_seconds, 2.5)

    async def test_entry_that_two_series_end_is_started_once(self) -> None:
        """Guards against a process that nobody ends, because another took its place."""

        async def start(bootstrap: bool) -> None:
            await asyncio.sleep(0.1)
            self.replace_process()

        ended = self.entry.process
        with mock.patch.object(self.entry, "start", side_effect=start) as starting:
            await asyncio.gather(self.entry.replace(ended), self.entry.replace(ended))
        self.assertEqual(starting.call_count, 1)

    async def test_process_that_replaces_a_suspended_one_counts_as_running(self) -> None:
        """Guards against refusals that are late while the check takes their entry for stopped."""
        suspending = asyncio.ensure_future(self.entry.suspend(2.0))
        await asyncio.sleep(0.5)
        self.replace_process()
        before = self.entry.running_seconds
        await asyncio.sleep(1.0)
        self.assertAlmostEqual(self.entry.running_seconds - before, 1.0)
        await suspending


class JudgedRefusalsTest(PausedClockCase):
    """What the soak takes for a late refusal."""

    async def late_refusals(self, waited: float, queued: float) -> list[str]:
        """Returns what the soak judges of a refusal.

        Args:
          waited: Seconds until the caller gets it.
          queued: For how many of them the entry's process waits for a processor.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            soak = EntrySoak(SEED, 1, PER_SECOND, path)
            entry = Entry(0, 0, path, 0)
            entry.attach(mock.Mock(pid=7))
            soak._entries = [entry]
            reader = asyncio.StreamReader()
            refusal = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            began = self.loop.time()
            self.loop.call_later(waited, reader.feed_data, refusal)

            def queued_seconds(process: str) -> float:
                return queued if process == "7" and self.loop.time() > began else 0.0

            with mock.patch("tests.entry_soak.queued_seconds", queued_seconds):
                await soak._ask(entry, reader, mock.Mock())
            return soak.late_refusals

    async def test_entry_that_gets_no_processor_is_not_late(self) -> None:
        """Guards against an entry that is called late for the time in which it could not run."""
        self.assertEqual(await self.late_refusals(2.1, 1.7), [])

    async def test_entry_that_holds_a_request_is_late(self) -> None:
        """Guards against a check that passes over late refusals on any busy machine."""
        self.assertEqual(len(await self.late_refusals(1.4, 0.2)), 1)


if __name__ == "__main__":
    unittest.main()
