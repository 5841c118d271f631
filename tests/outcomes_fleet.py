"""A fleet whose every entry sees every sidecar through a link that can be spoilt."""

import asyncio
import json
import pathlib
import uuid

from tornado import httpclient

from bench.caller import Caller
from bench.cluster import Cluster, Member
from bench.fleet_files import CALLER_KEY, OTHER_KEY, make_base

REGION = "rift-a"
PATIENT_MILLISECONDS = 8000


class OutcomesFleet(Cluster):
    """Two entries, and endpoints behind a fault-injecting proxy for each entry."""

    def __init__(self) -> None:
        super().__init__()
        self.links: dict[tuple[str, str], int] = {}
        self.link_ports: dict[tuple[str, str], int] = {}
        self.entries: list[Member] = []
        self.platforms: dict[str, int] = {}

    async def start_all(
        self, services: list[str], engines: list[str], entries: int = 2, **settings: object
    ) -> None:
        """Starts everything and waits until each entry answers.

        Each entry reads a list of its own, so that a test can have the lists differ.
        """
        await self.start_platform()
        started = [self.start_sidecar(name, REGION, "service", **settings) for name in services]
        started += [self.start_sidecar(name, REGION, **settings) for name in engines]
        await asyncio.gather(*started)
        await asyncio.gather(*(self.add_entry(f"entry-{i + 1}") for i in range(entries)))
        for entry in self.entries:
            for name in (*services, *engines):
                await self.add_link(entry.name, name)
            await self.list_for(entry.name)
        await self.publish_instances()
        self.root = await self.make_version(total_bytes=65_536, chunk_bytes=65_536)
        self.places = (dict.fromkeys(engines, REGION), dict.fromkeys(services, REGION))
        await self.publish(make_base({"v1": self.root}, "v1", *self.places))
        await self.wait_until(self._all_answer, 30.0, "the first whole answers")

    async def add_entry(self, name: str) -> Member:
        """Starts an entry with a list of its own."""
        # With control by peers a list that lacks a member is made good by other members.
        process = await self.launch(f"list-{name}", "standins.platform")
        self.platforms[name] = await process.read_port()
        shared = f"http://127.0.0.1:{self.platform_port}"
        platform = {
            "configuration": f"{shared}/configuration/fleet",
            "instances": f"http://127.0.0.1:{self.platforms[name]}/instances",
            "origin": f"{shared}/origin",
        }
        entry = await self.start_entry(name, REGION, platform=platform, control="service")
        self.entries.append(entry)
        return entry

    async def add_link(self, entry: str, endpoint: str) -> None:
        """Puts a proxy between an entry and an endpoint's sidecar of now."""
        port = self.members[endpoint].http_port
        _, self.link_ports[entry, endpoint], self.links[entry, endpoint] = await self.start_proxy(
            port
        )

    async def list_for(self, entry: str, left_out: tuple[str, ...] = ()) -> None:
        """Publishes what one entry's list says."""
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

    async def spoil(self, endpoint: str, entry: str = "", **faults: object) -> None:
        """Sets the faults of the links to an endpoint, of one entry or of all."""
        for (whose, name), control in self.links.items():
            if name == endpoint and entry in ("", whose):
                await self.put_link_faults(control, **faults)

    async def spoil_for(self, seconds: float, endpoint: str, **faults: object) -> None:
        """Spoils the links to an endpoint for some time."""
        await self.spoil(endpoint, **faults)
        await asyncio.sleep(seconds)
        await self.spoil(endpoint)

    async def issue_key(self, entry: int = 0, bearer: str = CALLER_KEY) -> str:
        """Gets a key; one made up where the fleet under test issues none."""
        response = await self.send(entry, "/v1/idempotency-keys", {"service": "tally"}, bearer)
        if response.code != 201:
            return str(uuid.uuid4())
        return json.loads(response.body)["idempotency_key"]

    async def charge(
        self,
        mark: str,
        entry: int = 0,
        key: str = "",
        milliseconds: int = PATIENT_MILLISECONDS,
        bearer: str = CALLER_KEY,
    ) -> tuple[str, dict]:
        """Makes a charge; returns its outcome and the body of its answer."""
        body = {"mark": mark, "amount": 5}
        response = await self.send(entry, "/services/tally/charge", body, bearer, key, milliseconds)
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
        milliseconds: int = PATIENT_MILLISECONDS,
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

    def runs(self, mark: str) -> int:
        """Returns how often a charge ran, from the journals of the services."""
        journals = pathlib.Path(self.folder).glob("*.journal")
        return sum(journal.read_text().split().count(mark) for journal in journals)

    def caller(self, entry: int = 0) -> Caller:
        """Returns a caller that checks answers to model requests."""
        return Caller([self.entries[entry].caller_port], seed=1)

    async def _all_answer(self) -> bool:
        for entry in range(len(self.entries)):
            if self.places[1] and (await self.charge(f"warm-{entry}"))[0] != "whole":
                return False
            if self.places[0] and await self.caller(entry).generate("warm", 2) != "whole":
                return False
        return True


__all__ = ["OTHER_KEY", "OutcomesFleet"]
