"""A small fleet of real sidecars and simulated engines for the tests of weight distribution."""

import asyncio
import collections.abc
import signal

from bench.cluster import Cluster, Member
from bench.fleet_files import make_base

CHUNK_BYTES = 65_536
VERSION_BYTES = 64 * CHUNK_BYTES
LIVE_SECONDS = 40.0
SMALL_ORIGIN_MBIT = 40.0


class WeightsFleet:
    """Starts sidecars with engines, publishes versions, and reads the state of the rollout."""

    def __init__(self, cluster: Cluster, regions: dict[str, str], **links: object) -> None:
        self.cluster = cluster
        self.regions = dict(regions)
        self.links = {"between_regions_mbit": 400.0} | links
        self.roots: dict[str, str] = {}
        self.proxies: dict[str, int] = {}
        self.direct_ports: dict[str, int] = {}
        self.adapters: dict[str, dict[str, object]] = {}
        self.endpoint_facts: dict[str, dict[str, object]] = {}
        self.soak_seconds = 0.2
        self.away_fraction = 0.5

    async def start(
        self,
        origin_mbit: float = 0.0,
        proxied: collections.abc.Iterable[str] = (),
        platform_options: tuple[str, ...] = (),
        **settings: object,
    ) -> None:
        """Starts the platform and all sidecars, those in `proxied` behind a fault proxy."""
        options = ("--origin-mbit", str(origin_mbit), *platform_options)
        await self.cluster.start_platform(*options)
        if "store" in settings:
            settings["platform"] = self.platform_settings(store=True)
            del settings["store"]
        await asyncio.gather(*(self.start_member(name, **settings) for name in self.regions))
        for name in proxied:
            member = self.cluster.members[name]
            _, port, control = await self.cluster.start_proxy(member.http_port)
            member.http_port = port
            self.proxies[name] = control
        await self.cluster.publish_instances()

    async def start_member(self, name: str, **settings: object) -> Member:
        """Starts one sidecar, with an engine unless one is given."""
        member = await self.cluster.start_sidecar(name, self.regions[name], **settings)
        self.direct_ports[name] = member.http_port
        return member

    def platform_settings(self, store: bool) -> dict[str, str]:
        """Returns the platform's URLs."""
        platform = f"http://127.0.0.1:{self.cluster.platform_port}"
        urls = {
            "configuration": f"{platform}/configuration/fleet",
            "instances": f"{platform}/instances",
            "origin": f"{platform}/origin",
        }
        return urls | ({"store": f"{platform}/store"} if store else {})

    async def add_version(self, version: str, **wanted: object) -> None:
        """Generates a version at the origin."""
        sizes = {"total_bytes": VERSION_BYTES, "chunk_bytes": CHUNK_BYTES}
        self.roots[version] = await self.cluster.make_version(
            **(sizes | {"seed": len(self.roots) + 1} | wanted)
        )

    async def set_target(self, version: str) -> int:
        """Publishes a configuration with a version as the target; returns its revision."""
        base = make_base(self.roots, version, self.regions, {}, VERSION_BYTES)
        base["links"] = self.links
        model = base["models"]["summaries"]
        model["soak_seconds"] = self.soak_seconds
        model["away_fraction"] = self.away_fraction
        model["adapters"] = self.adapters
        for name, facts in self.endpoint_facts.items():
            base["endpoints"][name] |= facts
        return await self.cluster.publish(base)

    async def engine_counters(self, name: str) -> dict[str, object]:
        """Returns the counters of a simulated engine."""
        return await self.cluster.counters(self.cluster.members[name].endpoint_port)

    async def transfer_status(self, name: str) -> dict[str, object]:
        """Returns a sidecar's transfer status."""
        return await self.cluster.get_json(self.direct_ports[name], "/internal/weights")

    async def status(self, name: str) -> dict[str, object]:
        """Returns a sidecar's status, without going through its proxy."""
        return await self.cluster.get_json(self.direct_ports[name], "/internal/status")

    async def is_live(self, version: str, names: collections.abc.Iterable[str]) -> bool:
        """Returns whether a version is active on all of the named engines."""
        engines = [await self.engine_counters(name) for name in names]
        return all(engine["active"] == version for engine in engines)

    async def wait_until_live(
        self, version: str, names: collections.abc.Iterable[str] = ()
    ) -> None:
        """Waits until a version is active on the named engines, or on all if none is named."""
        names = list(names) or list(self.regions)
        description = f"{version} live on {names}"
        await self.cluster.wait_until(
            lambda: self.is_live(version, names), LIVE_SECONDS, description
        )

    async def origin_copies(self) -> float:
        """Returns the bytes that the origin has sent so far, in units of a whole version."""
        return (await self.cluster.counters())["origin_weight_bytes"] / VERSION_BYTES

    async def wait_for_chunks(self, name: str, chunks: int) -> None:
        """Waits until a sidecar holds a number of chunks of the version that it is fetching."""

        async def holds() -> bool:
            status = await self.status(name)
            return bool(status["fetching"]) and status["chunks_held"] >= chunks

        await self.cluster.wait_until(holds, LIVE_SECONDS, f"{chunks} chunks at {name}")

    async def bad_activations(self) -> int:
        """Returns how often the running engines have activated partial or mixed weights."""
        count = 0
        for name in self.regions:
            if self.cluster.members[name].endpoint.alive:
                count += (await self.engine_counters(name))["bad_activations"]
        return count

    async def kill(self, *names: str) -> None:
        """Kills sidecars together with their engines, as the loss of their instances would."""
        for name in names:
            member = self.cluster.members[name]
            member.daemon.send(signal.SIGKILL)
            member.endpoint.send(signal.SIGKILL)
