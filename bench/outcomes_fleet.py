"""A fleet with a fault-injecting proxy between each entry and each sidecar."""

import asyncio
import json
import pathlib
import signal
import uuid

from tornado import httpclient

from .caller import Caller
from .cluster import Cluster, Member
from .fleet_files import CALLER_KEY, make_base
from .process import Process

REGION = "rift-a"
LONG_DEADLINE_MILLISECONDS = 8000
OLD_LINK_SECONDS = 10.0
START_SECONDS = 60.0
LIST_LAG_SECONDS = 0.7


class OutcomesFleet(Cluster):
    """Entries, and endpoints that each entry reaches through a separate proxy."""

    def __init__(self) -> None:
        super().__init__()
        self.links: dict[tuple[str, str], int] = {}
        self.link_ports: dict[tuple[str, str], int] = {}
        self.proxies: dict[tuple[str, str], Process] = {}
        self.entries: list[Member] = []
        self.platforms: dict[str, int] = {}

    async def start_all(
        self, services: list[str], engines: list[str], entries: int = 2, **settings: object
    ) -> None:
        """Starts all processes and waits until each entry answers.

        Each entry reads a separate instance list, so that a test can make the lists differ.
        """
        await self.start_platform()
        started = [self.start_sidecar(name, REGION, "service", **settings) for name in services]
        started += [self.start_sidecar(name, REGION, **settings) for name in engines]
        await asyncio.gather(*started)
        await asyncio.gather(*(self.add_entry(f"entry-{i + 1}") for i in range(entries)))
        self.entries.sort(key=lambda entry: entry.name)
        for entry in self.entries:
            for name in (*services, *engines):
                await self.add_link(entry.name, name)
            await self.publish_list_for(entry.name)
        await self.publish_instances()
        self.root = await self.make_version(total_bytes=65_536, chunk_bytes=65_536)
        self.places = (dict.fromkeys(engines, REGION), dict.fromkeys(services, REGION))
        await self.publish(self.make_files())
        await self.wait_until(self._all_live, START_SECONDS, "every endpoint able to serve")
        await asyncio.sleep(LIST_LAG_SECONDS)
        await self.wait_until(self._all_answer, START_SECONDS, "the first whole answers")

    def make_files(
        self, version: str = "v1", roots: dict[str, str] | None = None
    ) -> dict[str, object]:
        """Returns a base file that lists quotes as idempotent and charges as not idempotent.

        A version goes to all engines at once, because staged rollout is not under test here.
        """
        base = make_base(roots or {"v1": self.root}, version, *self.places)
        base["models"]["summaries"] |= {"away_fraction": 1.0, "soak_seconds": 0.0}
        base["services"]["tally"]["calls"].append(
            {"path": "/quote", "method": "POST", "idempotent": True, "priority": "charge"}
        )
        return base

    async def add_entry(self, name: str) -> Member:
        """Starts an entry with a separate instance list."""
        # With control over peers, an entry learns from other members of those that its list lacks;
        # start_listed_entry therefore uses control by the service.
        process = await self.launch(f"list-{name}", "standins.platform")
        self.platforms[name] = await process.read_port()
        entry = await self.start_listed_entry(name)
        self.entries.append(entry)
        return entry

    async def start_listed_entry(self, name: str) -> Member:
        """Starts an entry daemon that reads the instance list of that name."""
        shared = f"http://127.0.0.1:{self.platform_port}"
        platform = {
            "configuration": f"{shared}/configuration/fleet",
            "instances": f"http://127.0.0.1:{self.platforms[name]}/instances",
            "origin": f"{shared}/origin",
        }
        return await self.start_entry(name, REGION, platform=platform, control="service")

    async def replace_sidecar(self, name: str) -> Member:
        """Starts a new sidecar, and engine if it had one, under a name; returns the old one."""
        old = self.members[name]
        endpoint = (old.endpoint, old.endpoint_port) if old.kind == "service" else None
        proxies = [self.proxies[entry.name, name] for entry in self.entries]
        await self.start_sidecar(name, REGION, old.kind, (), endpoint)
        await asyncio.gather(*(self.add_link(entry.name, name) for entry in self.entries))
        for entry in self.entries:
            await self.publish_list_for(entry.name)
        asyncio.get_running_loop().call_later(
            OLD_LINK_SECONDS, lambda: [proxy.send(signal.SIGKILL) for proxy in proxies]
        )
        return old

    async def add_link(self, entry: str, endpoint: str) -> None:
        """Starts a proxy between an entry and the current sidecar of an endpoint."""
        proxy, port, control = await self.start_proxy(self.members[endpoint].http_port)
        self.proxies[entry, endpoint] = proxy
        self.link_ports[entry, endpoint] = port
        self.links[entry, endpoint] = control

    async def publish_list_for(self, entry: str, left_out: tuple[str, ...] = ()) -> None:
        """Publishes the instance list of one entry, without the endpoints left out."""
        instances = []
        for (whose, name), port in self.link_ports.items():
            member = self.members[name]
            if whose != entry or name in left_out:
                continue
            instances.append(
                {
                    "name": name,
                    "role": "sidecar",
                    "region": member.region,
                    "data_centre": member.data_centre,
                    "host": "127.0.0.1",
                    "http_port": port,
                    "peer_port": member.peer_port,
                    "state": member.state,
                }
            )
        body = json.dumps({"as_of": 0.0, "instances": instances}).encode()
        await self._put("/control/instances", body, self.platforms[entry])

    async def inject_link_faults(self, endpoint: str, entry: str = "", **faults: object) -> None:
        """Sets the faults of the links to an endpoint, from one entry or from all."""
        for (whose, name), control in self.links.items():
            if name == endpoint and entry in ("", whose):
                await self.put_link_faults(control, **faults)

    async def inject_link_faults_for(self, seconds: float, endpoint: str, **faults: object) -> None:
        """Sets faults of the links to an endpoint for some time, then clears them."""
        await self.inject_link_faults(endpoint, **faults)
        await asyncio.sleep(seconds)
        await self.inject_link_faults(endpoint)

    async def issue_key(self, entry: int = 0, bearer: str = CALLER_KEY) -> str:
        """Requests an idempotency key; returns a random UUID if the fleet issues none."""
        response = await self.send(entry, "/v1/idempotency-keys", {"service": "tally"}, bearer)
        if response.code != 201:
            return str(uuid.uuid4())
        return json.loads(response.body)["idempotency_key"]

    async def charge(
        self,
        mark: str,
        entry: int = 0,
        key: str = "",
        milliseconds: int = LONG_DEADLINE_MILLISECONDS,
        bearer: str = CALLER_KEY,
        path: str = "charge",
    ) -> tuple[str, dict]:
        """Sends a charge; returns its outcome and the body of the answer."""
        body = {"mark": mark, "amount": 5}
        response = await self.send(
            entry, f"/services/tally/{path}", body, bearer, key, milliseconds
        )
        answer = json.loads(response.body)
        if response.code == 200:
            answer["replayed"] = response.headers.get("Idempotent-Replayed") == "true"
            return "whole" if answer["mark"] == mark else "wrong", answer
        return answer["error"]["outcome"], answer["error"] | {"status": response.code}

    async def send(
        self,
        entry: int,
        path: str,
        body: dict,
        bearer: str = CALLER_KEY,
        key: str = "",
        milliseconds: int = LONG_DEADLINE_MILLISECONDS,
    ) -> httpclient.HTTPResponse:
        """Posts JSON to an entry as a caller."""
        given = {"Authorization": f"Bearer {bearer}", "Content-Type": "application/json"}
        given["X-Deadline-Ms"] = str(milliseconds)
        if key:
            given["Idempotency-Key"] = key
        return await self.client.fetch(
            f"http://127.0.0.1:{self.entries[entry].caller_port}{path}",
            method="POST",
            headers=given,
            body=json.dumps(body).encode(),
            raise_error=False,
        )

    async def wait_for_running_engine(self, engines: tuple[str, ...]) -> str:
        """Waits until one of the engines is generating, and returns its name."""
        found = []

        async def runs() -> bool:
            for name in engines:
                counters = await self.counters(self.members[name].endpoint_port)
                if counters["running"]:
                    found.append(name)
            return bool(found)

        await self.wait_until(runs, 10.0, "a running stream")
        return found[0]

    def count_runs(self, mark: str) -> int:
        """Returns how many times a charge ran, from the journals of the services."""
        journals = pathlib.Path(self.folder).glob("*.journal")
        return sum(journal.read_text().split().count(mark) for journal in journals)

    def caller(self, entry: int = 0) -> Caller:
        """Returns a caller that checks answers to model requests."""
        return Caller([self.entries[entry].caller_port], seed=1)

    async def _all_live(self) -> bool:
        statuses = [await self.status(name) for places in self.places for name in places]
        return all(
            status["revision"] == self.revision and (status["version"] or status["service"])
            for status in statuses
        )

    async def _all_answer(self) -> bool:
        for entry in range(len(self.entries)):
            if self.places[1] and (await self.charge(f"warm-{entry}"))[0] != "whole":
                return False
            if self.places[0] and await self.caller(entry).generate("warm", 2) != "whole":
                return False
        return True
