"""An entry, an engine and its sidecar as processes, with lowered limits, beside a crowd."""

import asyncio
import contextlib
import pathlib
import secrets
import tempfile
import unittest

from bench.deployed_callers import HOSTNAME, read_answer, request_of
from bench.deployed_fleet import CALLERS, CONTROL, READINESS, Daemon
from bench.real_processes import RealProcesses
from tests import process_log
from tests.crowds.crowd import Crowd, ProcessWatch
from wasabidrum.platform import names

MEGABYTE = 1_000_000
MEMORY_MB = 128
DESCRIPTORS = 300
# Offsets of the ports among daemons.
PEERS, CHUNKS, METRICS = 0, 1, 2
# As the platform has it unless a configuration says otherwise.
MAX_BODY_BYTES = 4_194_304
MAX_HEAD_BYTES = 16_384
SEED = 1
ATTEMPTS = 12
SENDING_SECONDS = 8.0


class DeployedCase(unittest.IsolatedAsyncioTestCase):
    """One entry, one engine with its sidecar, and the watches over both daemons.

    Attributes:
      memory_mb: The memory of each instance, as its settings state it.
      descriptors: The descriptors that each daemon may have open, as they state it.
    """

    memory_mb = MEMORY_MB
    descriptors = DESCRIPTORS

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(process_log.keep_folder, pathlib.Path(folder.name))
        limits = {"memoryMb": self.memory_mb, "maxFds": self.descriptors}
        self.run_of = RealProcesses(SEED, 1, 1, 1.0, pathlib.Path(folder.name), limits=limits)
        self.addAsyncCleanup(self.run_of._stop)
        await self.run_of._start()
        self.first_port = self.run_of._first_port
        self.entry = self.run_of.fleet.entries[0]
        self.sidecar = self.run_of.fleet.instances[0].sidecar
        self.assertEqual(await self.ask(), "200")

    def watch(self, daemon: Daemon) -> ProcessWatch:
        """Returns a watch over a daemon."""
        offsets = (PEERS, CHUNKS, METRICS, CALLERS, READINESS, CONTROL)
        ports = [self.first_port + offset for offset in offsets]
        return ProcessWatch(daemon.process, daemon.host, ports)

    def crowd(self, daemon: Daemon, offset: int) -> Crowd:
        """Returns a crowd at one port of a daemon."""
        return Crowd(daemon.host, self.first_port + offset)

    async def ask(self) -> str:
        """Asks for text until it is served, as callers do who are told to come back."""
        outcome = ""
        for _ in range(ATTEMPTS):
            outcome, wait = await self.ask_once()
            if outcome == "200":
                break
            await asyncio.sleep(1.0 if wait is None else wait)
        return outcome

    async def ask_once(self) -> tuple[str, float | None]:
        """Asks for text; returns the outcome, and when to ask again."""
        writer = None
        try:
            async with asyncio.timeout(SENDING_SECONDS):
                reader, writer = await asyncio.open_connection(
                    self.entry.host, self.first_port + CALLERS
                )
                writer.write(request_of(secrets.token_hex(8), 800, 20))
                outcome, wait, _ = await read_answer(reader)
                return outcome, wait
        except (OSError, EOFError, TimeoutError) as error:
            return type(error).__name__, None
        finally:
            if writer is not None:
                writer.close()

    async def assert_unharmed(self, daemon: Daemon, watch: ProcessWatch) -> None:
        """Asserts that a daemon lives within its limits, and that callers are served."""
        served = await self.ask()
        watch.sample()
        self.assertTrue(daemon.alive)
        self.assertLess(watch.held_bytes, self.memory_mb * MEGABYTE)
        self.assertLessEqual(watch.descriptors, self.descriptors)
        self.assertEqual(served, "200")

    @contextlib.asynccontextmanager
    async def beside_crowd(self, daemon: Daemon, offset: int):
        """Yields a crowd at a port; checks the daemon beside the crowd and after it."""
        async with self.watch(daemon) as watch:
            async with self.crowd(daemon, offset) as crowd:
                yield crowd
                await crowd.wait_until_sent(SENDING_SECONDS)
                await self.assert_unharmed(daemon, watch)
            await self.assert_unharmed(daemon, watch)


def request_head(body_length: int, *lines: str) -> bytes:
    """Returns the head of a request for text with a body."""
    head = (
        "POST /streaming/a HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"{names.REQUEST_ID}: {secrets.token_hex(8)}",
        f"{names.DEADLINE}: 60000",
        f"{names.TOKEN_USAGE}: 800,20",
        f"{names.PROMPT_PREFIX}: c0ffee:40,{secrets.token_hex(4)}:760",
        f"Content-Length: {body_length}",
        *lines,
    )
    return ("\r\n".join(head) + "\r\n\r\n").encode()
