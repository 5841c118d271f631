"""Drives the local engine to the version, adapters and role that the configuration asks for."""

import asyncio

from ..core.errors import CodedError
from ..core.fleet import FleetRevision
from ..core.manifest import Manifest
from ..decisions.chunk_plan import ChunkPlan
from ..endpoints.model_engine import ModelEngine
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from .command_lock import CommandLock
from .distributor import Distributor
from .engine_configurator import EngineConfigurator
from .rollout_gate import RolloutGate
from .suspension_guard import SuspensionGuard
from .target import Target, find_target, region_of_endpoints
from .version_download import VersionDownload, fetch_manifest

PAUSE_AFTER_FAILURE_SECONDS = 1.0
WATCH_SECONDS = 0.5


class VersionManager:
    """Controls one engine; works on one target at a time."""

    __slots__ = ("_name", "_follower", "_engine", "_distributor", "_gate", "_guard", "_lock")
    __slots__ += ("_log", "_command_in_flight", "_previous", "_configurator", "_logged")
    __slots__ += ("active", "fetching", "chunks_held", "chunks_wanted")

    def __init__(
        self,
        name: str,
        follower: ConfigurationFollower,
        engine: ModelEngine,
        distributor: Distributor,
        gate: RolloutGate,
        guard: SuspensionGuard,
        lock: CommandLock,
        log: EventLog,
    ) -> None:
        self._name = name
        self._follower = follower
        self._engine = engine
        self._distributor = distributor
        self._gate = gate
        self._guard = guard
        self._lock = lock
        self._log = log
        self._command_in_flight = asyncio.Lock()
        self._previous = ""
        self._configurator = EngineConfigurator(follower, engine, distributor, guard, log)
        self._logged: tuple[str, str] = ("", "")
        self.active = ""
        self.fetching = ""
        self.chunks_held = 0
        self.chunks_wanted = 0

    async def run(self) -> None:
        """Follows the configuration forever; a new target cancels the work on the previous one."""
        revision = 0
        target: Target | None = None
        work: asyncio.Task | None = None
        try:
            while True:
                current = await self._follower.wait_after(revision)
                revision = current.revision
                wanted = find_target(current, self._name)
                self._distributor.chunk_requester.revision = revision
                self._distributor.pacer.links = current.fleet.links
                # Most revisions do not change this target. Restarting on each of them would keep
                # a large version from completing while the configuration keeps changing.
                if wanted == target:
                    continue
                if work is not None:
                    await self._cancel_work(work, target, wanted)
                if target is None or wanted is None or target.spec != wanted.spec:
                    self._gate.reset(revision)
                    self._distributor.begin_version()
                target = wanted
                self._distributor.store.chunks_unknown = target is not None
                work = asyncio.ensure_future(self._reconcile_forever(target)) if target else None
        finally:
            if work is not None:
                work.cancel()

    async def _cancel_work(self, work: asyncio.Task, target: Target, wanted: Target | None) -> None:
        work.cancel()
        await asyncio.wait((work,))
        self._gate.state.staged = ""
        self._gate.state.switching = False
        # Peers must not wait here for chunks that are no longer being fetched.
        self._distributor.store.expected = set()
        self._distributor.store.wake_all()
        if self.fetching:
            newer = wanted.version if wanted else ""
            self._log.write(Event.VERSION_SUPERSEDED, version=target.version, by=newer)
        self.fetching = ""

    async def _reconcile_forever(self, target: Target) -> None:
        """Reconciles the engine with the target, and again whenever the engine has lost it."""
        async with self._command_in_flight:
            # A command of the previous target may still be in flight to the engine.
            pass
        while True:
            try:
                await self._reconcile(target)
            except* Exception as errors:
                # Any error is survived: if this task ended, the engine would never receive
                # another version. The reason is logged once and the work is retried.
                self._log_failure(target.version, repr(errors.exceptions[0]))
                await asyncio.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    def _log_failure(self, version: str, reason: str) -> None:
        if self._logged != (version, reason):
            self._logged = (version, reason)
            self._log.write(Event.VERSION_FAILED, version=version, reason=reason)

    async def _reconcile(self, target: Target) -> None:
        endpoint = self._follower.current.fleet.endpoints.get(self._name)
        if endpoint is not None and endpoint.fencing:
            # The engine rejects stale commands by fencing token, so the lock is not required.
            self._lock.try_acquire()
        else:
            await self._lock.acquire()
        state = self._gate.state
        if state.failed == target.version:
            # Evaluated before querying the engine, which this version may have crashed.
            order = self._gate.order_of(self._follower.current, target.model, target.spec.root)
            await self._gate.judge_failure(order, target.version)
        active, _ = await self._engine.versions()
        if not active and self.active:
            self._configurator.clear()
        self.active = active
        if active and active != target.version:
            self._previous = active
        if active == target.version:
            await self._maintain_active(target)
        elif target.version in (state.stopped, state.failed):
            await self._hold_previous(target)
        else:
            await self._switch(target)

    async def _switch(self, target: Target) -> None:
        state = self._gate.state
        order = self._gate.order_of(self._follower.current, target.model, target.spec.root)
        await self._stage(target, target.version, order)
        state.staged = target.version
        model = self._follower.current.fleet.models[target.model]
        if not await self._gate.wait_for_turn(order, model):
            self._log.write(Event.VERSION_STOPPED, version=target.version)
            return
        try:
            await self._activate(target, target.version)
        except CodedError as error:
            if error.code != "order_fenced":
                state.failed = target.version
            raise
        finally:
            state.switching = False
            state.staged = ""
        state.failed = ""

    async def _stage(self, target: Target, version: str, order: list[str]) -> None:
        """Downloads every chunk that the engine lacks of a version into its staging area."""
        current = self._follower.current
        spec = current.fleet.models[target.model].versions[version]
        if self.fetching != version:
            self._log.write(Event.VERSION_WANTED, version=version, revision=current.revision)
        self.fetching = version
        region_of = region_of_endpoints(current, target.model)
        origin_region = current.fleet.links.origin_region
        distributor = self._distributor
        distributor.active_elsewhere = self._gate.state.proven == version
        manifest = await fetch_manifest(distributor, spec.root, region_of, origin_region)
        plan = ChunkPlan(spec.root, manifest.chunks, region_of, origin_region)
        distributor.share_link(plan)
        distributor.store.set_wanted({spec.root, *manifest.chunks})
        missing = await self._send_stage(version, manifest)
        self.chunks_wanted = len(manifest.chunks)
        self.chunks_held = self.chunks_wanted - len(missing)

        async def deliver(index: int, content: bytes) -> None:
            await self._engine.put_chunk(version, index, content)
            self.chunks_held += 1

        await VersionDownload(distributor, plan, manifest, missing, deliver).run_in_own_task()
        self._log.write(Event.VERSION_STAGED, version=version, chunks=len(missing))

    async def _send_stage(self, version: str, manifest: Manifest) -> list[int]:
        await self._guard.confirm()
        async with self._command_in_flight:
            return await self._engine.stage(version, manifest, self._follower.revision)

    async def _activate(self, target: Target, version: str) -> None:
        """Activates a version, unless the target changed while this process was suspended."""
        await self._guard.confirm()
        current = self._follower.current
        if find_target(current, self._name) != target:
            raise CodedError("superseded", "the configuration now names another target", 409)
        command = asyncio.ensure_future(self._send_activate(version, current))
        # A command that was sent cannot be recalled. It is shielded from cancellation, and the next
        # command waits until it has ended, so that the two cannot race.
        await asyncio.shield(command)
        self.active = version
        self.fetching = ""
        self._log.write(Event.VERSION_IN_FORCE, version=version)

    async def _send_activate(self, version: str, current: FleetRevision) -> None:
        async with self._command_in_flight:
            await self._engine.activate(version, current.revision)

    async def _maintain_active(self, target: Target) -> None:
        """Monitors the active version, marks it proven after its soak time, and maintains
        adapters and role."""
        state = self._gate.state
        state.staged = ""
        self.fetching = ""
        self.chunks_held = self.chunks_wanted
        await self._configurator.apply(target)
        if state.proven != target.version:
            model = self._follower.current.fleet.models[target.model]
            await asyncio.sleep(model.soak_seconds)
            active, _ = await self._engine.versions()
            if active == target.version:
                state.proven = target.version
                self._log.write(Event.VERSION_PROVEN, version=target.version)
            else:
                state.failed = target.version
            return
        await asyncio.sleep(WATCH_SECONDS)

    async def _hold_previous(self, target: Target) -> None:
        """Keeps the engine on the previous version while the target is stopped or has failed."""
        self.fetching = ""
        self._distributor.store.chunks_unknown = False
        self._distributor.store.expected = set()
        order = self._gate.order_of(self._follower.current, target.model, target.spec.root)
        previous = self._previous or await self._gate.read_common_version(order)
        if not self.active and previous:
            # An engine that the new version crashed restarts without any version loaded.
            await self._stage(target, previous, order)
            await self._activate(target, previous)
            self._log.write(Event.VERSION_RESTORED, version=previous)
        await asyncio.sleep(WATCH_SECONDS)
