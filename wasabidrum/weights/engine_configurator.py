"""Sets an engine's role and loads its adapters."""

from ..decisions.chunk_plan import ChunkPlan
from ..endpoints.model_engine import ModelEngine
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from .distributor import Distributor
from .suspension_guard import SuspensionGuard
from .target import Target, region_of_endpoints
from .version_download import VersionDownload, fetch_manifest


class EngineConfigurator:
    """Tracks the adapters and the role that this process has set on its engine."""

    __slots__ = ("_follower", "_engine", "_distributor", "_guard", "_log", "_adapters", "_role")

    def __init__(
        self,
        follower: ConfigurationFollower,
        engine: ModelEngine,
        distributor: Distributor,
        guard: SuspensionGuard,
        log: EventLog,
    ) -> None:
        self._follower = follower
        self._engine = engine
        self._distributor = distributor
        self._guard = guard
        self._log = log
        self._adapters: dict[str, str] = {}
        self._role = ""

    def clear(self) -> None:
        """Clears the tracked state after the engine has restarted without adapters and role."""
        self._adapters = {}
        self._role = ""

    async def apply(self, target: Target) -> None:
        """Sets the engine's role and loads the adapters that it lacks."""
        if self._role != target.role:
            await self._guard.confirm()
            await self._engine.set_role(target.role, self._follower.revision)
            self._role = target.role
            self._log.write(Event.ROLE_ORDERED, role=target.role)
        for name, root in target.adapters:
            if self._adapters.get(name) != root:
                await self._load_adapter(target, name, root)

    async def _load_adapter(self, target: Target, name: str, root: str) -> None:
        current = self._follower.current
        region_of = region_of_endpoints(current, target.model)
        origin_region = current.fleet.links.origin_region
        manifest = await fetch_manifest(self._distributor, root, region_of, origin_region)
        plan = ChunkPlan(root, manifest.chunks, region_of, origin_region)
        parts: dict[int, bytes] = {}

        async def deliver(index: int, content: bytes) -> None:
            parts[index] = content

        missing = list(range(len(manifest.chunks)))
        await VersionDownload(self._distributor, plan, manifest, missing, deliver).run_in_own_task()
        content = b"".join(parts[index] for index in missing)
        await self._guard.confirm()
        await self._engine.load_adapter(name, root, content, self._follower.revision)
        self._adapters[name] = root
        self._log.write(Event.ADAPTER_LOADED, adapter=name, bytes=len(content))
