"""Delays an endpoint's switch to a staged version until its turn, or stops it."""

import asyncio
import dataclasses

from ..core.fleet import FleetRevision, ModelSpec
from ..core.status import Status
from ..decisions import rollout_wave
from ..decisions.rollout_wave import CANARY_CANDIDATES, Proof
from ..observe.event import Event
from ..observe.event_log import EventLog
from .status_client import StatusClient

POLL_SECONDS = 0.1
RETRY_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class RolloutState:
    """The rollout fields that this endpoint publishes in its Status."""

    staged: str = ""
    switching: bool = False
    failed: str = ""
    proven: str = ""
    stopped: str = ""


class RolloutGate:
    """Reads the statuses of the model's other endpoints and applies the rules of rollout_wave."""

    __slots__ = ("_name", "_statuses", "_log", "_since", "state")

    def __init__(self, name: str, statuses: StatusClient, log: EventLog) -> None:
        self._name = name
        self._statuses = statuses
        self._log = log
        self._since = 0
        self.state = RolloutState()

    def reset(self, revision: int) -> None:
        """Resets the rollout state for a new target.

        A stopped version may be published again, so statuses from before this revision are ignored
        from now on.
        """
        self._since = revision
        self.state = RolloutState()

    def order_of(self, current: FleetRevision, model: str, root: str) -> list[str]:
        """Returns the model's endpoints in the rollout order of a version."""
        endpoints = current.fleet.endpoints
        names = {name for name, spec in endpoints.items() if spec.model == model}
        return rollout_wave.rollout_order(root, names | {self._name})

    async def read_proof(self, order: list[str], version: str, ready_seconds: float) -> Proof:
        """Reads the contacts' statuses and returns whether a version is proven or stopped."""
        if self.state.proven == version:
            return Proof.PROVEN
        contacts = rollout_wave.find_contacts(order, self._name)
        if order.index(self._name) < CANARY_CANDIDATES:
            statuses = await self._statuses.read(contacts)
        else:
            statuses = await self._statuses.read_first(contacts)
        statuses = self._drop_stale(statuses)
        proof = rollout_wave.judge_proof(order, self._name, version, statuses, ready_seconds)
        # Published in turn by this endpoint, so that the result spreads down the tree.
        if proof is Proof.PROVEN:
            self.state.proven = version
        elif proof is Proof.STOPPED:
            self.state.stopped = version
        return proof

    async def wait_for_turn(self, order: list[str], model: ModelSpec) -> bool:
        """Waits for this endpoint's turn; returns False if the version is stopped.

        When it returns True, the state is marked as switching.
        """
        loop = asyncio.get_running_loop()
        version = model.version
        ready_since = loop.time()
        logged = None
        while True:
            proof = await self.read_proof(order, version, loop.time() - ready_since)
            if proof is Proof.STOPPED:
                return False
            if proof is not Proof.WAIT and await self._try_turn(order, model):
                return True
            if proof is not logged:
                logged = proof
                self._log.write(Event.SWITCH_WAITS, version=version, proof=proof.value)
            await asyncio.sleep(POLL_SECONDS)

    async def judge_failure(self, order: list[str], version: str) -> None:
        """Decides whether a failure was caused by this instance or by the version.

        A version that is proven elsewhere is tried again here; one that failed on enough endpoints
        and is proven on none is stopped.
        """
        if self.state.stopped == version:
            return
        others = [name for name in order[:CANARY_CANDIDATES] if name != self._name]
        answered = [
            status
            for status in self._drop_stale(await self._statuses.read(others)).values()
            if status is not None
        ]
        if any(status.proven == version for status in answered):
            await asyncio.sleep(RETRY_SECONDS)
            self.state.failed = ""
            return
        failures = 1 + sum(status.failed_version == version for status in answered)
        if failures >= rollout_wave.failures_to_stop(len(order)):
            self.state.stopped = version
            self._log.write(Event.VERSION_STOPPED, version=version, failures=failures)

    async def read_common_version(self, order: list[str]) -> str:
        """Returns the version that most canary candidates serve, or an empty string."""
        statuses = await self._statuses.read(order[:CANARY_CANDIDATES])
        versions = [status.version for status in statuses.values() if status and status.version]
        return max(versions, key=versions.count, default="")

    def _drop_stale(self, statuses: dict[str, Status | None]) -> dict[str, Status | None]:
        return {
            name: status if status is None or status.revision >= self._since else None
            for name, status in statuses.items()
        }

    async def _try_turn(self, order: list[str], model: ModelSpec) -> bool:
        chain = rollout_wave.find_chain(order, self._name, model.away_fraction)
        seen = await self._statuses.read(chain)
        if not rollout_wave.may_switch(order, self._name, model.version, seen):
            return False
        # The claim is published before the others are read again. Two endpoints that claim at the
        # same time therefore see each other, and the later one in the order backs off.
        self.state.switching = True
        try:
            while rivals := rollout_wave.find_rivals(
                await self._statuses.read(chain), model.version
            ):
                if any(order.index(rival) < order.index(self._name) for rival in rivals):
                    self.state.switching = False
                    return False
                await asyncio.sleep(POLL_SECONDS)
        except asyncio.CancelledError:
            self.state.switching = False
            raise
        return True
