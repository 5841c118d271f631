"""Asks the platform's list who is there, and then each daemon."""

import asyncio
import collections.abc
import time
import typing
import urllib.parse

import msgspec
from tornado import httpclient

from ..core.errors import CodedError
from ..core.instance import Instance, InstanceList
from ..core.status import Status
from ..observe.events_handler import FoundEvents
from ..platform.http_instance_directory import make_instance_directory
from ..wire import http_client, tls
from .fleet_answer import FleetAnswer

ASK_SECONDS = 3.0
ASKED_AT_ONCE = 64

Answer = typing.TypeVar("Answer")
Instances = collections.abc.Iterable[Instance]


class FleetClient:
    """Reads from a fleet; it changes nothing."""

    __slots__ = ("_client", "_directory", "_places")

    def __init__(self, instances_url: str) -> None:
        self._client = http_client.make_client()
        self._directory = make_instance_directory(self._client, instances_url)
        self._places = asyncio.Semaphore(ASKED_AT_ONCE)

    async def read_list(self) -> InstanceList:
        """Returns the platform's list.

        Raises:
          CodedError: It could not be read.
        """
        return await self._directory.read()

    async def ask_statuses(self, instances: Instances) -> list[FleetAnswer[Status]]:
        """Asks each daemon for its own account of itself."""
        return await self._ask_all(instances, "/internal/status", read_json(Status))

    async def ask_events(
        self, instances: Instances, request_id: str
    ) -> list[FleetAnswer[FoundEvents]]:
        """Asks each daemon what it remembers of a request."""
        path = "/internal/events?" + urllib.parse.urlencode({"request": request_id})
        return await self._ask_all(instances, path, read_json(FoundEvents))

    async def ask_origin_bytes(self, instances: Instances) -> float:
        """Returns the bytes of weights that the daemons drew from the origin since they started."""
        answers = await self._ask_all(instances, "/metrics", read_origin_bytes)
        return sum(answer.answer or 0.0 for answer in answers)

    async def _ask_all(
        self,
        instances: Instances,
        path: str,
        read: collections.abc.Callable[[bytes], Answer],
    ) -> list[FleetAnswer[Answer]]:
        async def ask(instance: Instance) -> FleetAnswer[Answer]:
            async with self._places:
                answer = await self._ask(instance, path, read)
                return FleetAnswer(instance, answer, time.time())

        return list(await asyncio.gather(*map(ask, instances)))

    async def _ask(
        self,
        instance: Instance,
        path: str,
        read: collections.abc.Callable[[bytes], Answer],
    ) -> Answer | None:
        url = tls.fleet_url(instance.host, instance.http_port) + path
        request = httpclient.HTTPRequest(url, request_timeout=ASK_SECONDS)
        try:
            response = await http_client.fetch(self._client, request, instance.name)
            return read(response.body) if response.code == 200 else None
        except (CodedError, msgspec.MsgspecError):
            return None


def read_json(kind: type[Answer]) -> collections.abc.Callable[[bytes], Answer]:
    """Returns a reader of JSON bodies of a type."""
    return lambda body: msgspec.json.decode(body, type=kind)


def read_origin_bytes(body: bytes) -> float:
    """Returns the bytes drawn from the origin, from the text of a daemon's metrics."""
    for line in body.decode().splitlines():
        if line.startswith('wasabidrum_weight_bytes_total{source="origin"}'):
            return float(line.rsplit(" ", 1)[1])
    return 0.0
