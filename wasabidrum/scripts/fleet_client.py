"""Reads the platform's list of instances, and queries each daemon."""

import asyncio
import collections.abc
import time
import typing
import urllib.parse

from tornado import httpclient

from ..core.decoding import decode_json, decoding
from ..core.errors import CodedError
from ..core.instance import Instance, InstanceList
from ..core.status import Status
from ..observe.events_handler import FoundEvents
from ..platform.http_instance_directory import make_instance_directory
from ..wire import http_client, tls
from .fleet_answer import FleetAnswer

REQUEST_TIMEOUT_SECONDS = 3.0
MAX_CONCURRENT_REQUESTS = 64

Answer = typing.TypeVar("Answer")
Instances = collections.abc.Iterable[Instance]


class FleetClient:
    """Read-only client of a fleet."""

    __slots__ = ("_client", "_directory", "_concurrency")

    def __init__(self, instances_url: str) -> None:
        self._client = http_client.make_client()
        self._directory = make_instance_directory(self._client, instances_url)
        self._concurrency = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def read_list(self) -> InstanceList:
        """Returns the platform's list of instances.

        Raises:
          CodedError: The list could not be read.
        """
        return await self._directory.read()

    async def fetch_statuses(self, instances: Instances) -> list[FleetAnswer[Status]]:
        """Requests the status of each daemon."""
        return await self._request_all(instances, "/internal/status", read_json(Status))

    async def fetch_events(
        self, instances: Instances, request_id: str
    ) -> list[FleetAnswer[FoundEvents]]:
        """Requests the events of a request that each daemon still holds in memory."""
        path = "/internal/events?" + urllib.parse.urlencode({"request": request_id})
        return await self._request_all(instances, path, read_json(FoundEvents))

    async def fetch_origin_bytes(self, instances: Instances) -> float:
        """Returns the bytes of weights that the daemons fetched from the origin since start."""
        answers = await self._request_all(instances, "/metrics", read_origin_bytes)
        return sum(answer.answer or 0.0 for answer in answers)

    async def _request_all(
        self,
        instances: Instances,
        path: str,
        read: collections.abc.Callable[[bytes], Answer],
    ) -> list[FleetAnswer[Answer]]:
        async def request_one(instance: Instance) -> FleetAnswer[Answer]:
            async with self._concurrency:
                answer = await self._request(instance, path, read)
                return FleetAnswer(instance, answer, time.time())

        return list(await asyncio.gather(*map(request_one, instances)))

    async def _request(
        self,
        instance: Instance,
        path: str,
        read: collections.abc.Callable[[bytes], Answer],
    ) -> Answer | None:
        url = tls.fleet_url(instance.host, instance.http_port) + path
        request = httpclient.HTTPRequest(url, request_timeout=REQUEST_TIMEOUT_SECONDS)
        try:
            response = await http_client.fetch(self._client, request, instance.name)
            return read(response.body) if response.code == 200 else None
        except CodedError:
            return None


def read_json(kind: type[Answer]) -> collections.abc.Callable[[bytes], Answer]:
    """Returns a function that decodes a JSON body to a type."""
    return lambda body: decode_json(body, kind, "answer_unreadable")


def read_origin_bytes(body: bytes) -> float:
    """Returns the bytes fetched from the origin, from the metrics text of a daemon."""
    with decoding("answer_unreadable"):
        for line in body.decode().splitlines():
            if line.startswith('wasabidrum_weight_bytes_total{source="origin"}'):
                return float(line.rsplit(" ", 1)[1])
    return 0.0
