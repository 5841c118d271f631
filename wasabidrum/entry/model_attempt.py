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
from .placement import Placement
from .token_stream_reader import TokenBatch, TokenStreamReader

CANCEL_TIMEOUT_SECONDS = 2.0
# An engine decodes a token in tens of milliseconds, and the target for callers is 69 ms. A pause
# a hundred times as long means a stalled link or a dead engine, not a slow one.
STALL_TIMEOUT_SECONDS = 7.0
LIVENESS_CHECK_SECONDS = 0.5
MAX_SILENCE_SECONDS = 5.0


class ModelAttempt:
    """Opens and reads the token stream of one attempt, and cancels it if necessary."""

    __slots__ = ("placement", "_client", "_table", "_request", "_reader", "_stream", "_chunks")

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
        self._request = GenerateRequest(
            attempt_id,
            item.prompt,
            item.max_tokens,
            resume_from=next_token,
            priority=item.engine_priority,
            version=version,
        )
        self._reader = TokenStreamReader(attempt_id, version, next_token)
        self._stream: http_client.ResponseStream | None = None
        self._chunks = None

    @property
    def leaving(self) -> bool:
        """Whether the endpoint is leaving, by its own status or by the platform's list."""
        view = self.placement.view
        reports_leaving = view.status is not None and view.status.leaving
        return reports_leaving or view.instance.state is InstanceState.LEAVING

    async def open(self) -> None:
        """Sends the request and waits for the head of the response.

        Raises:
          CodedError: The endpoint refused the request, could not be reached or fell silent.
        """
        view = self.placement.view
        remaining = self.placement.item.deadline - asyncio.get_running_loop().time()
        request = httpclient.HTTPRequest(
            view.url + "/internal/generate",
            method="POST",
            body=msgspec.json.encode(self._request),
            request_timeout=max(0.001, remaining),
        )
        opening = asyncio.ensure_future(
            http_client.open_stream(self._client, request, view.instance.name)
        )
        try:
            while not (await asyncio.wait({opening}, timeout=LIVENESS_CHECK_SECONDS))[0]:
                self._check_endpoint_alive()
        finally:
            if not opening.done():
                opening.cancel()
        stream = opening.result()
        # Recorded for refusals as well: an endpoint that refuses because it is leaving says so
        # in the status that its response carries.
        self.placement.record_head(stream.headers)
        if stream.status != 200:
            body = b"".join([chunk async for chunk in stream.chunks()])
            raise parse_refusal(stream.status, stream.headers, body)
        self._stream = stream
        self._chunks = stream.chunks()

    async def read(self) -> TokenBatch:
        """Returns the tokens that arrived since the last call.

        Raises:
          CodedError: The stream ended early, stalled, or belongs to another attempt or version.
        """
        try:
            async with asyncio.timeout(STALL_TIMEOUT_SECONDS):
                chunk = await anext(self._chunks)
        except StopAsyncIteration:
            raise CodedError(
                "answer_cut", "the stream ended before the answer was complete", 502, Outcome.FAILED
            ) from None
        except TimeoutError as error:
            raise CodedError("answer_stalled", "the stream stalled", 504, Outcome.FAILED) from error
        except CodedError as error:
            if asyncio.get_running_loop().time() < self.placement.item.deadline:
                raise
            message = "the answer was not complete by the deadline"
            raise CodedError("deadline_passed", message, 504, Outcome.FAILED) from error
        batch = self._reader.feed(chunk)
        self.placement.record_tokens(len(batch.tokens))
        return batch

    def end(self, code: str) -> None:
        """Ends the attempt; one that did not complete is cancelled to free its engine slot."""
        self.placement.end(code)
        if self._stream is not None:
            self._stream.discard()
        if code:
            asyncio.ensure_future(self._cancel())

    def _check_endpoint_alive(self) -> None:
        # A request may legitimately wait for a long time in the engine's queue. Whether the
        # endpoint is still alive is judged by the statuses that arrive in the meantime.
        view = self.placement.view
        silent = asyncio.get_running_loop().time() - view.last_status_at > MAX_SILENCE_SECONDS
        known = any(other is view for other in self._table.views)
        if known and (view.lost or silent):
            raise CodedError(
                "endpoint_silent", "the endpoint is lost or silent", 504, Outcome.UNKNOWN
            )

    async def _cancel(self) -> None:
        request = httpclient.HTTPRequest(
            f"{self.placement.view.url}/internal/cancel/{self._request.request_id}",
            method="POST",
            body=b"",
            request_timeout=CANCEL_TIMEOUT_SECONDS,
        )
        try:
            await http_client.fetch(self._client, request, "cancel")
        except CodedError:
            return


def parse_refusal(status: int, head: httputil.HTTPHeaders, body: bytes) -> CodedError:
    """Converts a sidecar's refusal into an error; without a valid outcome it is UNKNOWN."""
    try:
        outcome = Outcome(head.get(headers.OUTCOME, ""))
    except ValueError:
        outcome = Outcome.UNKNOWN
    code = head.get(headers.ERROR_CODE, "endpoint_refused")
    return CodedError(code, body.decode(errors="replace"), status, outcome, retry_after=1.0)
