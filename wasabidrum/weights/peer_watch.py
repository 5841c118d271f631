"""Notices which of the peers that are waited at no longer answer, by probing them."""

import asyncio
import collections.abc

from ..decisions.peer_responsiveness import ANSWER_MARGIN_SECONDS, PeerResponsiveness, find_silent
from .chunk_state import ChunkState

Probe = collections.abc.Callable[[str, str], collections.abc.Awaitable[ChunkState | None]]


class ProbeRound:
    """Some probes that were sent together."""

    __slots__ = ("_loop", "_began", "_probes", "_answers")

    def __init__(self, probe: Probe, names: list[str], digest: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._answers: dict[str, float | None] = dict.fromkeys(names)
        self._probes = {
            name: asyncio.ensure_future(self._ask(probe, name, digest)) for name in names
        }

    @property
    def elapsed(self) -> float:
        """The seconds since the probes were sent."""
        return self._loop.time() - self._began

    @property
    def answers(self) -> dict[str, float | None]:
        """After how many seconds each peer answered, or None."""
        return self._answers

    async def wait(self) -> None:
        """Waits until all have answered or failed, or longer for some than for another."""
        pending = set(self._probes.values())
        while pending and all(seconds is None for seconds in self._answers.values()):
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        ends = self.elapsed + ANSWER_MARGIN_SECONDS
        # A wait may end a little before its time, and would then blame nobody.
        while pending and (left := ends - self.elapsed) > 0:
            _, pending = await asyncio.wait(pending, timeout=left)

    def find_silent(self) -> list[str]:
        """Returns those that are to be passed over."""
        pending = {
            n: s for n, s in self._answers.items() if s is not None or not self._probes[n].done()
        }
        return find_silent(pending, self.elapsed)

    def read_state(self, name: str) -> ChunkState | None:
        """Returns what a peer answered, or None where it did not."""
        probe = self._probes[name]
        return probe.result() if probe.done() and not probe.cancelled() else None

    def end(self) -> None:
        """Ends what still waits."""
        for probe in self._probes.values():
            probe.cancel()

    async def _ask(self, probe: Probe, name: str, digest: str) -> ChunkState | None:
        state = await probe(name, digest)
        if state is not None:
            self._answers[name] = self.elapsed
        return state


class PeerWatch:
    """Probes peers, each once for all who wait at it.

    Attributes:
      responsiveness: What the probes have shown.
    """

    __slots__ = ("_probe", "_others", "_on_held_up", "_looks", "responsiveness")

    def __init__(
        self,
        probe: Probe,
        others: collections.abc.Callable[[], collections.abc.Iterable[str]],
        on_held_up: collections.abc.Callable[[str, str], None],
    ) -> None:
        """Creates a watch.

        Args:
          probe: Asks a peer what it knows of a chunk; None where it failed.
          others: Returns the peers that may be probed as witnesses.
          on_held_up: Called with a peer that is to be passed over, and the chunk.
        """
        self._probe = probe
        self._others = others
        self._on_held_up = on_held_up
        self._looks: dict[str, asyncio.Task[bool]] = {}
        self.responsiveness = PeerResponsiveness()

    async def holds_up(self, name: str, digest: str) -> bool:
        """Returns whether a peer is silent while others answer."""
        if self.responsiveness.answered_lately(name, asyncio.get_running_loop().time()):
            return False
        look = self._looks.get(name)
        if look is None:
            look = asyncio.ensure_future(self._look(name, digest))
            self._looks[name] = look
            look.add_done_callback(lambda _: self._looks.pop(name, None))
        # One of those who wait may give up; the others still want to know.
        return await asyncio.shield(look)

    async def probe_all(self, names: list[str], digest: str) -> list[ChunkState | None]:
        """Returns what peers know of a chunk, without waiting for one that holds all up."""
        probes, _ = await self._play_round(names, digest)
        return [probes.read_state(name) for name in names]

    async def _look(self, name: str, digest: str) -> bool:
        witnesses = self.responsiveness.choose_reference_peers(name, self._others())
        _, silent = await self._play_round([name, *witnesses], digest)
        return name in silent

    async def _play_round(self, names: list[str], digest: str) -> tuple[ProbeRound, list[str]]:
        probes = ProbeRound(self._probe, names, digest)
        try:
            await probes.wait()
            silent = probes.find_silent()
        finally:
            probes.end()
        now = asyncio.get_running_loop().time()
        self.responsiveness.record_round(probes.answers, probes.elapsed, now)
        for name in silent:
            self._on_held_up(name, digest)
        return probes, silent
