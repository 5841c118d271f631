"""Detects, by probing, which of the peers with waiting requests have become silent."""

import asyncio
import collections.abc

from ..decisions.peer_responsiveness import ANSWER_MARGIN_SECONDS, PeerResponsiveness, find_silent
from .chunk_state import ChunkState

Probe = collections.abc.Callable[[str, str], collections.abc.Awaitable[ChunkState | None]]


class ProbeRound:
    """A set of probes that were sent together."""

    __slots__ = ("_loop", "_began", "_probes", "_answers")

    def __init__(self, probe: Probe, names: list[str], digest: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._answers: dict[str, float | None] = dict.fromkeys(names)
        self._probes = {
            name: asyncio.ensure_future(self._send_probe(probe, name, digest)) for name in names
        }

    @property
    def elapsed(self) -> float:
        """The seconds since the probes were sent."""
        return self._loop.time() - self._began

    @property
    def answers(self) -> dict[str, float | None]:
        """The seconds after which each peer answered; None if it has not."""
        return self._answers

    async def wait(self) -> None:
        """Waits for all probes to end, at most ANSWER_MARGIN_SECONDS past the first answer."""
        pending = set(self._probes.values())
        while pending and all(seconds is None for seconds in self._answers.values()):
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        ends = self.elapsed + ANSWER_MARGIN_SECONDS
        # Repeated, because a wait may time out slightly early, and no peer would count as silent.
        while pending and (left := ends - self.elapsed) > 0:
            _, pending = await asyncio.wait(pending, timeout=left)

    def find_silent(self) -> list[str]:
        """Returns the peers that are silent and are to be skipped."""
        pending = {
            n: s for n, s in self._answers.items() if s is not None or not self._probes[n].done()
        }
        return find_silent(pending, self.elapsed)

    def read_state(self, name: str) -> ChunkState | None:
        """Returns the state that a peer answered, or None if it did not answer."""
        probe = self._probes[name]
        return probe.result() if probe.done() and not probe.cancelled() else None

    def end(self) -> None:
        """Cancels the probes that are still pending."""
        for probe in self._probes.values():
            probe.cancel()

    async def _send_probe(self, probe: Probe, name: str, digest: str) -> ChunkState | None:
        state = await probe(name, digest)
        if state is not None:
            self._answers[name] = self.elapsed
        return state


class PeerProber:
    """Probes peers, with one probe shared by all requests that wait at the same peer.

    Attributes:
      responsiveness: The results of the probes.
    """

    __slots__ = ("_probe", "_others", "_on_silent", "_checks", "responsiveness")

    def __init__(
        self,
        probe: Probe,
        others: collections.abc.Callable[[], collections.abc.Iterable[str]],
        on_silent: collections.abc.Callable[[str, str], None],
    ) -> None:
        """Creates a prober.

        Args:
          probe: Returns the state of a chunk at a peer, or None on failure.
          others: Returns the peers that may be probed for comparison.
          on_silent: Called with the name of a silent peer and the chunk.
        """
        self._probe = probe
        self._others = others
        self._on_silent = on_silent
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self.responsiveness = PeerResponsiveness()

    async def is_silent(self, name: str, digest: str) -> bool:
        """Returns whether a peer is silent while others answer."""
        if self.responsiveness.answered_lately(name, asyncio.get_running_loop().time()):
            return False
        check = self._checks.get(name)
        if check is None:
            check = asyncio.ensure_future(self._check_silent(name, digest))
            self._checks[name] = check
            check.add_done_callback(lambda _: self._checks.pop(name, None))
        # Shielded: one waiting request may be cancelled while others need the result.
        return await asyncio.shield(check)

    async def probe_all(self, names: list[str], digest: str) -> list[ChunkState | None]:
        """Returns the state of a chunk at each peer, without waiting for a silent one."""
        probes, _ = await self._run_round(names, digest)
        return [probes.read_state(name) for name in names]

    async def _check_silent(self, name: str, digest: str) -> bool:
        references = self.responsiveness.choose_reference_peers(name, self._others())
        _, silent = await self._run_round([name, *references], digest)
        return name in silent

    async def _run_round(self, names: list[str], digest: str) -> tuple[ProbeRound, list[str]]:
        probes = ProbeRound(self._probe, names, digest)
        try:
            await probes.wait()
            silent = probes.find_silent()
        finally:
            probes.end()
        now = asyncio.get_running_loop().time()
        self.responsiveness.record_round(probes.answers, probes.elapsed, now)
        for name in silent:
            self._on_silent(name, digest)
        return probes, silent
