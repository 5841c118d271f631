"""One attempt of a model request at one endpoint."""

import asyncio
import secrets

import msgspec
from tornado import httpclient, httputil

from ..core.errors import CodedError
from ..core.instance import InstanceState
from ..core.outcome import Outcome
from ..endpoints.generate_request import GenerateRequest
from ..wire import headers, http_client
from .endpoint_table import EndpointTable
from .generation_reader import Generation, GenerationReader
from .placement import Placement

CANCEL_TIMEOUT_SECONDS = 2.0
# An engine decodes a token in tens of milliseconds, and the users' aim is 69; a hundred
# times that in silence is a stalled link or a dead engine, not a slow one.
STALL_SECONDS = 7.0
HEAD_CHECK_SECONDS = 0.5
SILENT_SECONDS = 5.0


class ModelAttempt:
    """Opens, reads and, where it must, gives up one stream."""

    __slots__ = ("placement", "_client", "_table", "_order", "_reader", "_stream", "_chunks")

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        table: EndpointTable,
        placement: Placement,
        version: str,
        next_token: int,
    ) -> None:
        item = placement.item
        attempt_id = f"{item.request_id}.{secrets.token_hex(6)}"
        self.placement = placement
        self._client = client
        self._table = table
        self._order = GenerateRequest(
            attempt_id,
            item.prompt,
            item.max_tokens,
            resume_from=next_token,
            priority=item.engine_priority,
            version=version,
        )
        self._reader = GenerationReader(attempt_id, version, next_token)
        self._stream: http_client.ResponseStream | None = None
        self._chunks = None

    @property
    def leaving(self) -> bool:
        """Whether the endpoint is leaving, by its own word or the list's."""
        view = self.placement.view
        says_so = view.status is not None and view.status.leaving
        return says_so or view.instance.state is InstanceState.LEAVING

    async def open(self) -> None:
        """Sends the request and waits for the head of the answer.

        Raises:
          CodedError: The endpoint refused, or was lost or silent.
        """
        view = self.placement.view
        remaining = self.placement.item.deadline - asyncio.get_running_loop().time()
        request = httpclient.HTTPRequest(
            view.url + "/internal/generate",
            method="POST",
            body=msgspec.json.encode(self._order),
            request_timeout=max(0.001, remaining),
        )
        opening = asyncio.ensure_future(
            http_client.open_stream(self._client, request, view.instance.name)
        )
        try:
            while not (await asyncio.wait({opening}, timeout=HEAD_CHECK_SECONDS))[0]:
                self._check_heard()
        finally:
            if not opening.done():
                opening.cancel()
        stream = opening.result()
        # Also from a refusal: an endpoint that refuses as it leaves says so in its status.
        self.placement.head_arrived(stream.headers)
        if stream.status != 200:
            body = b"".join([chunk async for chunk in stream.chunks()])
            raise refusal_from(stream.status, stream.headers, body)
        self._stream = stream
        self._chunks = stream.chunks()

    async def read(self) -> Generation:
        """Returns what arrived next.

        Raises:
          CodedError: The answer ended early, stalled, or is not the caller's.
        """
        try:
            async with asyncio.timeout(STALL_SECONDS):
                chunk = await anext(self._chunks)
        except StopAsyncIteration:
            raise CodedError("answer_cut", "it ended early", 502, Outcome.FAILED) from None
        except TimeoutError as error:
            raise CodedError("answer_stalled", "no token", 504, Outcome.FAILED) from error
        except CodedError as error:
            if asyncio.get_running_loop().time() < self.placement.item.deadline:
                raise
            message = "no whole answer in time"
            raise CodedError("deadline_passed", message, 504, Outcome.FAILED) from error
        generation = self._reader.take(chunk)
        self.placement.progressed(len(generation.tokens))
        return generation

    def end(self, code: str) -> None:
        """Ends the attempt; where it was given up, frees its slot at the engine at once."""
        self.placement.ended(code)
        if self._stream is not None:
            self._stream.drop()
        if code:
            asyncio.ensure_future(self._cancel())

    def _check_heard(self) -> None:
        # A request may rightly wait long in the engine's queue. Whether its endpoint still
        # lives is told by the statuses that come meanwhile.
        view = self.placement.view
        silent = asyncio.get_running_loop().time() - view.seen_at > SILENT_SECONDS
        known = any(other is view for other in self._table.views)
        if known and (view.lost or silent):
            raise CodedError("endpoint_silent", "not heard any more", 504, Outcome.UNKNOWN)

    async def _cancel(self) -> None:
        request = httpclient.HTTPRequest(
            f"{self.placement.view.url}/internal/cancel/{self._order.request_id}",
            method="POST",
            body=b"",
            request_timeout=CANCEL_TIMEOUT_SECONDS,
        )
        try:
            await http_client.fetch(self._client, request, "cancel")
        except CodedError:
            return


def refusal_from(status: int, answered: httputil.HTTPHeaders, body: bytes) -> CodedError:
    """Turns a sidecar's refusal into an error; one that cannot be read proves nothing."""
    try:
        outcome = Outcome(answered.get(headers.OUTCOME, ""))
    except ValueError:
        outcome = Outcome.UNKNOWN
    code = answered.get(headers.ERROR_CODE, "endpoint_refused")
    return CodedError(code, body.decode(errors="replace"), status, outcome, retry_after=1.0)
