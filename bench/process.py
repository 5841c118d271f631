"""Launches a process for a test, the demo or a bench, reads its output and ends it."""

import asyncio
import os
import pathlib
import signal
import sys

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_SECONDS = 30.0
POLL_SECONDS = 0.02


class LaunchError(RuntimeError):
    """A process exited or printed no ready line while it was starting."""


class Process:
    """A launched process. Signals go to this process only, not to its process group."""

    __slots__ = ("name", "_process", "output")

    def __init__(self, name: str, process: asyncio.subprocess.Process, output: pathlib.Path):
        self.name = name
        self._process = process
        self.output = output

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether the process is still running."""
        return self._process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.alive:
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Waits for the process to exit; returns its exit status, or None on a time-out."""
        try:
            return await asyncio.wait_for(self._process.wait(), seconds)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Kills the process with SIGKILL, as a crash would, and waits until it has exited."""
        self.send(signal.SIGKILL)
        await self._process.wait()

    def text(self) -> str:
        """Returns everything that the process has written to its output file."""
        return self.output.read_text(encoding="utf-8", errors="replace")

    def processor_seconds(self) -> float:
        """Returns the CPU time used so far, from /proc."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Returns the current resident memory, from /proc."""
        pages = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    async def read_port(self, mark: str = "PORT") -> int:
        """Waits until a stand-in has printed its port, and returns the port."""
        line = await self._wait_for_line(lambda text: text.startswith(mark + " "))
        return int(line.split()[1])

    async def read_event(self, event: str) -> dict[str, object]:
        """Waits until a daemon has logged an event, and returns the decoded line."""
        line = await self._wait_for_line(lambda text: f'"event":"{event}"' in text)
        return msgspec.json.decode(line)

    async def _wait_for_line(self, wanted) -> str:
        ends = asyncio.get_running_loop().time() + START_SECONDS
        while asyncio.get_running_loop().time() < ends:
            for line in self.text().splitlines():
                if wanted(line):
                    return line
            if not self.alive:
                raise LaunchError(f"{self.name} ended at its start: {self.text()[-2000:]}")
            await asyncio.sleep(POLL_SECONDS)
        raise LaunchError(f"{self.name} said nothing in time: {self.text()[-2000:]}")


async def launch(name: str, arguments: list[str], output: pathlib.Path) -> Process:
    """Runs a Python module with this interpreter and appends its output to a file."""
    with open(output, "ab") as stream:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *arguments, cwd=ROOT, stdout=stream, stderr=stream
        )
    return Process(name, process, output)
