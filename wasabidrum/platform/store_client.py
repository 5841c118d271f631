"""The platform's store, which can only be read and watched."""

import base64
import binascii
import enum
import typing
import urllib.parse

import msgspec
from tornado import httpclient

from ..config.deployment import Address
from ..core.errors import CodedError
from ..core.store_change import StoreChange, StoreReading
from ..wire import http_client
from . import names

# A read takes some milliseconds, and hundreds where the store is slow. Where all instances start
# together, a configuration of a thousand routes takes two seconds over the links that they share;
# given up before that, reads would begin anew and none would ever end.
READ_TIMEOUT_SECONDS = 4.0
# What a watch may take beyond the wait that it asks for.
WATCH_EXTRA_SECONDS = 1.0
# The store answers with fewer where the answer would be large; no range has more pages.
MOST_PAGES = 100


class WireItem(msgspec.Struct, frozen=True):
    """An item, or that it is gone. The field deleted is only there where it is."""

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class WireRange(msgspec.Struct, frozen=True):
    """A page. The field truncated says that another follows."""

    items: tuple[WireItem, ...]
    asOf: int  # noqa: N815
    truncated: bool = False


class WireEvents(msgspec.Struct, frozen=True):
    """What a watch saw. The field asOf is where to go on, a revision and no time."""

    events: tuple[WireItem, ...]
    asOf: int  # noqa: N815


class Watched(enum.StrEnum):
    """What of the store may be read or watched by itself; keys begin so."""

    ALL = ""
    CONFIGURATION = names.CONFIGURATION_KEY
    VERSIONS = names.VERSION_PREFIX
    ENDPOINTS = names.ENDPOINT_PREFIX


class StoreClient:
    """Reads and watches items whose keys begin alike."""

    __slots__ = ("_client", "_url", "calls")

    def __init__(self, client: httpclient.AsyncHTTPClient, address: Address) -> None:
        self._client = client
        self._url = f"http://{address}"
        self.calls = 0

    async def read(self, prefix: Watched) -> StoreReading:
        """Returns every item whose key begins with a prefix.

        Raises:
          CodedError: The store did not answer, or refused: "store_refused" where it said that it
            is not available, "store_throttled" where it had too many calls.
        """
        changes: list[StoreChange] = []
        first: int | None = None
        after = ""
        for _ in range(MOST_PAGES):
            query = {"prefix": prefix.value} | ({"after": after} if after else {})
            body = await self._get(names.STORE_RANGE_PATH, query, READ_TIMEOUT_SECONDS)
            page = decode(body, WireRange)
            # Pages are no snapshot: a watch from the first page's revision sees again what
            # changed while the others were read.
            first = page.asOf if first is None else first
            changes += [to_change(item) for item in page.items]
            if not page.truncated or not page.items:
                break
            after = page.items[-1].key
        return StoreReading(tuple(changes), first or 0)

    async def watch(self, prefix: Watched, after: int, wait_seconds: float) -> StoreReading:
        """Waits for changes after a revision; returns with none once the wait is over.

        Raises:
          CodedError: With code "history_lost" where a new read is needed, otherwise as above.
        """
        query = {
            "prefix": prefix.value,
            "after": str(after),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        timeout = wait_seconds + WATCH_EXTRA_SECONDS
        body = await self._get(names.STORE_WATCH_PATH, query, timeout)
        page = decode(body, WireEvents)
        return StoreReading(tuple(to_change(item) for item in page.events), page.asOf)

    async def _get(self, path: str, query: dict[str, str], timeout: float) -> bytes:
        self.calls += 1
        url = f"{self._url}{path}?{urllib.parse.urlencode(query)}"
        request = httpclient.HTTPRequest(
            url, request_timeout=timeout, connect_timeout=min(timeout, 1.0)
        )
        response = await http_client.fetch(self._client, request, "store")
        if response.code == 410:
            raise CodedError("history_lost", "the store dropped its history", 503)
        if response.code == 429:
            raise CodedError("store_throttled", "more calls than the store allows", 503)
        if response.code != 200:
            raise CodedError("store_refused", f"status {response.code}", 503)
        return response.body


def decode(body: bytes, kind: type) -> typing.Any:
    """Returns a decoded answer.

    Raises:
      CodedError: It is no answer of the store.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise CodedError("store_unreadable", str(error), 503) from error


def to_change(item: WireItem) -> StoreChange:
    """Returns an item, or its removal, in the project's types.

    A value that cannot be decoded becomes an empty one, which names nothing.
    """
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        value = b""
    return StoreChange(item.key, item.revision, None if item.deleted else value)


def make_store_client(client: httpclient.AsyncHTTPClient, address: Address) -> StoreClient:
    """Returns a client of the store at an address."""
    return StoreClient(client, address)
