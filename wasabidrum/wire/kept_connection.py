"""A connection that is kept open for one request after the other to the same server.

Only for requests that may be repeated, and of which any answer of that server will do, such as the
state that it reports. A late or repeated answer cannot be told from the expected one; bytes that
arrive while no answer is expected close the connection.
"""

import asyncio

from tornado import httputil

from ..core.errors import CodedError
from ..core.outcome import Outcome

# How long a server may take on a connection that was used before. Such a connection may have gone
# silent without being closed, while a new one would be answered.
REUSED_TIMEOUT_SECONDS = 0.25
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 1_048_576
HEAD_END = b"\r\n\r\n"
# Statuses whose answers have no body, and need not state a length.
EMPTY_STATUSES = (204, 304)


class KeptConnection(asyncio.Protocol):
    """Sends requests to one server, and opens the connection anew where it was closed."""

    def __init__(
        self,
        host: str,
        port: int,
        max_body_bytes: int = MAX_BODY_BYTES,
        reused_timeout: float = REUSED_TIMEOUT_SECONDS,
        idle_seconds: float | None = None,
    ) -> None:
        """Creates a connection that is not open yet.

        Args:
          max_body_bytes: The largest body of an answer.
          reused_timeout: Seconds that an answer may take on a connection that was used before.
          idle_seconds: Seconds after the last answer until it is closed; None to keep it. An open
            connection takes one of the places that the server has.
        """
        self._host = host
        self._port = port
        self._max_body_bytes = max_body_bytes
        self._reused_timeout = reused_timeout
        self._idle_seconds = idle_seconds
        self._idle_timer: asyncio.TimerHandle | None = None
        # One request at a time.
        self._turn = asyncio.Lock()
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None

    @property
    def is_open(self) -> bool:
        """Whether there is an open connection."""
        return self._transport is not None and not self._transport.is_closing()

    async def get(self, path: str, timeout: float) -> tuple[int, bytes]:
        """Returns the status and the body of the answer to a GET request; see request."""
        return await self.request("GET", path, None, timeout)

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> tuple[int, bytes]:
        """Returns the status and the body of an answer.

        Args:
          timeout: Seconds from when it is this request's turn.

        Raises:
          CodedError: There was no complete answer in time. The code is "peer_unreadable" if what
            came cannot be read as an answer, otherwise "peer_unreachable".
        """
        async with self._turn:
            if self._idle_timer is not None:
                self._idle_timer.cancel()
            try:
                return await self._request_in_turn(method, path, body, timeout)
            finally:
                if self._idle_seconds is not None:
                    loop = asyncio.get_running_loop()
                    self._idle_timer = loop.call_later(self._idle_seconds, self.close)

    async def _request_in_turn(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> tuple[int, bytes]:
        content = b"" if body is None else body
        length = "" if body is None else f"Content-Length: {len(body)}\r\n"
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n{length}\r\n"
        try:
            async with asyncio.timeout(timeout):
                return await self._send_or_reopen(head.encode() + content)
        except (ValueError, httputil.HTTPInputError) as error:
            raise CodedError("peer_unreadable", repr(error), 502, Outcome.UNKNOWN) from error
        except (OSError, TimeoutError) as error:
            raise CodedError("peer_unreachable", repr(error), 502, Outcome.UNKNOWN) from error
        finally:
            if self._answer is not None:
                self._answer = None
                self.close()

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    async def _send_or_reopen(self, request: bytes) -> tuple[int, bytes]:
        if self.is_open:
            try:
                async with asyncio.timeout(self._reused_timeout):
                    return await self._send(request)
            except (ConnectionError, TimeoutError):
                # The server may have closed the connection at the moment of the request.
                pass
        await self._open()
        return await self._send(request)

    async def _open(self) -> None:
        self.close()
        self._received.clear()
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self, self._host, self._port)

    async def _send(self, request: bytes) -> tuple[int, bytes]:
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        answer = await self._answer
        self._answer = None
        return answer

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See asyncio.Protocol."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(exc or ConnectionResetError("closed before the answer"))

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        if self._answer is None or self._answer.done():
            # Nothing was asked, so that it is not known what this answers.
            self._transport.abort()
            return
        self._received += data
        try:
            self._read_answer()
        except (ValueError, httputil.HTTPInputError) as error:
            self._answer.set_exception(error)

    def _read_answer(self) -> None:
        """Resolves the answer once it is complete.

        Raises:
          ValueError, HTTPInputError: It is invalid, or has no stated length.
        """
        end = self._received.find(HEAD_END)
        if end < 0:
            if len(self._received) > MAX_HEAD_BYTES:
                raise ValueError("the head is too long")
            return
        start, _, lines = self._received[:end].decode("latin-1").partition("\r\n")
        headers = httputil.HTTPHeaders.parse(lines)
        status = httputil.parse_response_start_line(start).code
        length = int(headers["Content-Length"]) if "Content-Length" in headers else -1
        if status in EMPTY_STATUSES:
            length = 0
        if not 0 <= length <= self._max_body_bytes:
            raise ValueError("the answer states no length, or too much")
        body_start = end + len(HEAD_END)
        if len(self._received) < body_start + length:
            return
        # Bytes after the answer belong to no request, and would be taken for the next answer.
        clean = len(self._received) == body_start + length
        if not clean or headers.get("Connection", "").lower() == "close":
            self._transport.abort()
        body = bytes(self._received[body_start : body_start + length])
        self._received.clear()
        self._answer.set_result((status, body))
