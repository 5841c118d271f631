"""Reads the current statuses of other sidecars, for decisions that need them up to date."""

import asyncio
import collections.abc

from tornado import httpclient

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.status import Status
from ..peers.membership import Membership
from ..wire import http_client

TIMEOUT_SECONDS = 1.5
MIN_PAUSE_SECONDS = 3.0
MAX_PAUSE_SECONDS = 24.0
MAX_STATUS_BYTES = 1_048_576


class StatusClient:
    """Requests the statuses of sidecars over HTTP.

    Attributes:
      asked: The number of requests sent.
    """

    __slots__ = ("_client", "_membership", "_backoffs", "asked")

    def __init__(self, client: httpclient.AsyncHTTPClient, membership: Membership) -> None:
        self._client = client
        self._membership = membership
        # Backoff by URL: the time of the next allowed request, and the current pause.
        self._backoffs: dict[str, tuple[float, float]] = {}
        self.asked = 0

    async def read(self, names: collections.abc.Iterable[str]) -> dict[str, Status | None]:
        """Returns the statuses by name; None for a sidecar that is unlisted, in backoff or
        unreachable."""
        names = list(names)
        urls = {view.name: view.url for view in self._membership.members}
        answers = await asyncio.gather(*(self._read_one(urls.get(name, "")) for name in names))
        return dict(zip(names, answers, strict=True))

    async def read_first(self, names: collections.abc.Iterable[str]) -> dict[str, Status | None]:
        """Requests the statuses one at a time until a sidecar answers."""
        statuses: dict[str, Status | None] = {}
        for name in names:
            statuses |= await self.read((name,))
            if statuses[name] is not None:
                break
        return statuses

    async def _read_one(self, url: str) -> Status | None:
        now = asyncio.get_running_loop().time()
        until, pause = self._backoffs.get(url, (0.0, MIN_PAUSE_SECONDS / 2))
        # A stalled link costs a full timeout per request, and a rollout sends many requests.
        if not url or now < until:
            return None
        self.asked += 1
        request = httpclient.HTTPRequest(url + "/internal/status", request_timeout=TIMEOUT_SECONDS)
        try:
            response = await http_client.fetch(self._client, request, url, MAX_STATUS_BYTES)
            status = decode_json(response.body, Status, "status_unreadable")
        except CodedError:
            pause = min(MAX_PAUSE_SECONDS, 2 * pause)
            self._backoffs[url] = (asyncio.get_running_loop().time() + pause, pause)
            return None
        self._backoffs.pop(url, None)
        return status
