"""HTTP client of the platform's key-value store, which can only be read and watched."""

import base64
import enum
import typing
import urllib.parse

import msgspec
from tornado import httpclient

from ..config.deployment import Address
from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.store_change import NO_EPOCH, StoreChange, StoreReading
from ..wire import http_client
from . import names

# A read takes a few milliseconds, and hundreds where the store is slow. When all instances start at
# once, a configuration of a thousand routes takes two seconds over the links that they share. A
# shorter timeout would make every read start again, and none would ever complete.
READ_TIMEOUT_SECONDS = 4.0
# How much longer a watch may take than the wait that it asks for.
WATCH_EXTRA_SECONDS = 1.0
# A configuration of a thousand routes has 400 kilobytes.
MAX_ANSWER_BYTES = 16 * 1_048_576
# What all pages of a range may bring.
MAX_RANGE_BYTES = 4 * MAX_ANSWER_BYTES
# The store splits a large answer into pages; no range has more pages than this.
MAX_PAGES = 100


class WireItem(msgspec.Struct, frozen=True):
    """An item, or its removal. The field deleted is present only in a removal."""

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class WireRange(msgspec.Struct, frozen=True):
    """A page of a range. The field truncated says that another page follows."""

    items: tuple[WireItem, ...]
    asOf: int  # noqa: N815
    truncated: bool = False


class WireEvents(msgspec.Struct, frozen=True):
    """The changes that a watch returns. The next watch starts at asOf, a revision, not a time."""

    events: tuple[WireItem, ...]
    asOf: int  # noqa: N815


class KeyPrefix(enum.StrEnum):
    """The key prefixes by which the store is read or watched."""

    ALL = ""
    CONFIGURATION = names.CONFIGURATION_KEY
    VERSIONS = names.VERSION_PREFIX
    ENDPOINTS = names.ENDPOINT_PREFIX


class StoreClient:
    """Reads and watches the items whose keys have a prefix.

    Attributes:
      calls: How many requests were sent to the store.
    """

    __slots__ = ("_client", "_url", "calls")

    def __init__(self, client: httpclient.AsyncHTTPClient, address: Address) -> None:
        self._client = client
        self._url = f"http://{address}"
        self.calls = 0

    async def read(self, prefix: KeyPrefix) -> StoreReading:
        """Returns every item whose key begins with a prefix.

        Raises:
          CodedError: The store did not answer, or it refused: with code "store_throttled" where
            it received too many calls, "history_lost" where it no longer has the changes or was
            restored between two pages, "store_refused" for any other status.
        """
        changes: list[StoreChange] = []
        first: int | None = None
        first_epoch = NO_EPOCH
        after, size = "", 0
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix.value} | ({"after": after} if after else {})
            body, epoch = await self._get(names.STORE_RANGE_PATH, query, READ_TIMEOUT_SECONDS)
            size += len(body)
            if size > MAX_RANGE_BYTES:
                raise CodedError("store_unreadable", "the range is too large", 503)
            page = decode(body, WireRange)
            # The pages are not a snapshot. A watch from the first page's revision also returns
            # the changes made while the other pages were read.
            if first is not None and epoch != first_epoch:
                raise CodedError("history_lost", "the store was restored between two pages", 503)
            first = page.asOf if first is None else first
            first_epoch = epoch
            changes += [to_change(item) for item in page.items]
            if not page.truncated or not page.items:
                break
            after = page.items[-1].key
        return StoreReading(tuple(changes), first or 0, epoch)

    async def watch(self, prefix: KeyPrefix, after: int, wait_seconds: float) -> StoreReading:
        """Waits for changes after a revision; returns none if the wait ends without any.

        Raises:
          CodedError: With code "history_lost" where a new read is needed, otherwise as in read.
        """
        query = {
            "prefix": prefix.value,
            "after": str(after),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        timeout = wait_seconds + WATCH_EXTRA_SECONDS
        body, epoch = await self._get(names.STORE_WATCH_PATH, query, timeout)
        page = decode(body, WireEvents)
        return StoreReading(tuple(to_change(item) for item in page.events), page.asOf, epoch)

    async def _get(self, path: str, query: dict[str, str], timeout: float) -> tuple[bytes, int]:
        """Returns the body of an answer and the epoch that it states."""
        self.calls += 1
        url = f"{self._url}{path}?{urllib.parse.urlencode(query)}"
        request = httpclient.HTTPRequest(
            url, request_timeout=timeout, connect_timeout=min(timeout, 1.0)
        )
        response = await http_client.fetch(self._client, request, "store", MAX_ANSWER_BYTES)
        if response.code == 410:
            raise CodedError(
                "history_lost", "the store has dropped the changes after this revision", 503
            )
        if response.code == 429:
            raise CodedError("store_throttled", "the store received more calls than it allows", 503)
        if response.code != 200:
            raise CodedError("store_refused", f"the store answered status {response.code}", 503)
        return response.body, read_epoch(response.headers.get(names.STORE_ERA, ""))


def read_epoch(text: str) -> int:
    """Returns the epoch that the store states; NO_EPOCH where it states none or no number."""
    return int(text) if text.isascii() and text.isdecimal() else NO_EPOCH


def decode(body: bytes, kind: type) -> typing.Any:
    """Decodes an answer of the store.

    Raises:
      CodedError: It is invalid.
    """
    return decode_json(body, kind, "store_unreadable", 503)


def to_change(item: WireItem) -> StoreChange:
    """Converts an item, or its removal.

    A value that is not base64 becomes empty, which later decoding rejects.
    """
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    return StoreChange(item.key, item.revision, None if item.deleted else value)


def make_store_client(client: httpclient.AsyncHTTPClient, address: Address) -> StoreClient:
    """Returns a client of the store at an address."""
    return StoreClient(client, address)
