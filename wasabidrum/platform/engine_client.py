"""HTTP client of the model engine beside a sidecar: its report, staging area and orders."""

import msgspec
from tornado import httpclient

from ..config.deployment import Address
from ..core.decoding import decode_json
from ..core.engine_report import EngineReport
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..wire import http_client
from ..wire.kept_connection import KeptConnection
from . import names
from .published_records import holds_all_layers
from .wire_records import WireHeldModel, WireLayers

# An engine on the same instance answers within a millisecond unless it is down.
REQUEST_TIMEOUT_SECONDS = 1.0
# Answers other than pieces have some kilobytes.
MAX_ANSWER_BYTES = 1_048_576
# An engine takes some milliseconds to write a piece, and longer while it loads weights.
STAGING_REUSED_SECONDS = 0.5
# The pieces of a version follow each other within this time.
STAGING_IDLE_SECONDS = 1.0
# The strategy by which the engine first finishes its running requests, accepting no new ones, and
# then loads.
AFTER_RUNNING = "wait"
ACCEPTED = (200, 202)


class WireReport(msgspec.Struct, frozen=True):
    """The report of an engine; sequence counts the orders that it has accepted."""

    models: tuple[WireHeldModel, ...] = ()
    layers: tuple[WireLayers, ...] | WireLayers | None = None
    busy: bool = False
    sequence: int = 0
    running: int = 0
    queued: int = 0
    pace: float = 1.0
    born: int = 0


class WireStaged(msgspec.Struct, frozen=True):
    """The content of the staging area; held lists the numbers of the pieces there."""

    held: tuple[int, ...] = ()


def pieces_of_layer(layer: int, layers: int, pieces: int) -> range:
    """Returns the numbers of the pieces that contain some part of a layer."""
    return range(layer * pieces // layers, -(-(layer + 1) * pieces // layers))


class EngineClient:
    """Client of one engine. Every method raises CodedError where the engine does not answer."""

    __slots__ = ("_client", "_url", "_reports", "_staging", "_keeps_staging")

    def __init__(self, client: httpclient.AsyncHTTPClient, address: Address) -> None:
        self._client = client
        self._url = f"http://{address}"
        # Reports are asked for several times a second. Each new connection takes a handshake and a
        # place among those that the engine accepts from all its callers.
        self._reports = KeptConnection(address.host, address.port)
        # The same for pieces, of which a version has hundreds. Each is written, and read back. All
        # requests of the staging area may be repeated.
        self._staging = KeptConnection(
            address.host,
            address.port,
            http_client.MAX_BODY_BYTES,
            STAGING_REUSED_SECONDS,
            STAGING_IDLE_SECONDS,
        )
        # False once an answer came that has no length, which only a new connection can end.
        self._keeps_staging = True

    async def report(self, layers: int) -> EngineReport:
        """Returns the engine's report of its own state.

        Args:
          layers: The number of layers of its model.
        """
        status, body = await self._reports.get(names.REPORT_PATH, REQUEST_TIMEOUT_SECONDS)
        if status != 200:
            raise CodedError("engine_error", f"{names.REPORT_PATH}: status {status}", 502)
        wire = decode_json(body, WireReport, "engine_unreadable", 502)
        held = wire.models[0] if wire.models else None
        whole = held is not None and holds_all_layers(wire.layers, held.version, layers)
        return EngineReport(
            model=held.name if held else "",
            weights=held.version if whole else 0,
            busy=wire.busy,
            orders=wire.sequence,
            running=wire.running,
            queued=wire.queued,
            pace=wire.pace,
            started_at=wire.born,
        )

    async def staged(self, model: str) -> tuple[int, ...]:
        """Returns the numbers of the pieces in the staging area."""
        body = await self._get(names.STAGE_GET_PATH + model)
        return decode_json(body, WireStaged, "engine_unreadable", 502).held

    async def read_piece(self, model: str, number: int) -> bytes | None:
        """Returns a piece from the staging area, or None where the engine does not give it."""
        path = f"{names.STAGE_GET_PATH}{model}?num={number}"
        status, body = await self._ask_staging(path, http_client.MAX_BODY_BYTES)
        return body if status == 200 else None

    async def put_piece(self, model: str, number: int, content: bytes) -> None:
        """Writes a piece to the staging area, replacing any previous content."""
        path = f"{names.STAGE_PUT_PATH}{model}?num={number}"
        status, _ = await self._ask_staging(path, MAX_ANSWER_BYTES, "PUT", content)
        if status not in (200, 201, 202, 204):
            raise CodedError(
                "stage_refused", f"the engine answered status {status}", 502, Outcome.FAILED
            )

    async def start(
        self,
        model: str,
        version: int,
        fence: int,
        layers: range | None = None,
        orders: int | None = None,
    ) -> bool:
        """Orders the engine to hold a version; returns whether it will do so, or already does.

        The engine loads what it lacks from the staging area, and drops all other layers.

        Args:
          fence: The fencing token of the order.
          layers: A contiguous range of layers to hold; all layers where None.
          orders: How many orders the engine must have accepted before this one; any number
            where None.
        """
        order = {
            "operation": "start",
            "model": model,
            "version": version,
            "strategy": AFTER_RUNNING,
            "fencingToken": fence,
        }
        if layers is not None:
            order |= {"from": layers.start, "to": layers.stop}
        if orders is not None:
            order["precondition"] = orders
        response = await http_client.post_json(
            self._client,
            self._url + names.ORDER_PATH,
            order,
            REQUEST_TIMEOUT_SECONDS,
            MAX_ANSWER_BYTES,
        )
        return response.code in ACCEPTED

    async def _get(self, path: str) -> bytes:
        status, body = await self._ask_staging(path, MAX_ANSWER_BYTES)
        if status != 200:
            raise CodedError("engine_error", f"{path}: status {status}", 502)
        return body

    async def _ask_staging(
        self, path: str, max_bytes: int, method: str = "GET", body: bytes | None = None
    ) -> tuple[int, bytes]:
        """Returns the status and the body of an answer of the staging area."""
        if self._keeps_staging:
            try:
                return await self._staging.request(method, path, body, REQUEST_TIMEOUT_SECONDS)
            except CodedError as error:
                if error.code != "peer_unreadable":
                    raise
                self._keeps_staging = False
        response = await self._fetch(path, max_bytes, method, body)
        return response.code, response.body

    async def _fetch(
        self, path: str, max_bytes: int, method: str = "GET", body: bytes | None = None
    ) -> httpclient.HTTPResponse:
        request = httpclient.HTTPRequest(
            self._url + path, method=method, body=body, request_timeout=REQUEST_TIMEOUT_SECONDS
        )
        return await http_client.fetch(self._client, request, "engine", max_bytes)


def make_engine_client(client: httpclient.AsyncHTTPClient, address: Address) -> EngineClient:
    """Returns a client of the engine at an address."""
    return EngineClient(client, address)
