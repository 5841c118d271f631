"""A caller on a plain socket, which can send bytes that an HTTP library would not send."""

import asyncio
import dataclasses
import json

from bench.fleet_files import CALLER_KEY

RESPONSE_TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """The first response on a connection; status 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def code(self) -> str:
        """The error's code; empty if the body holds none."""
        return self._error().get("code", "")

    @property
    def outcome(self) -> str:
        """The error's outcome; empty if the body holds none."""
        return self._error().get("outcome", "")

    def _error(self) -> dict[str, str]:
        try:
            return json.loads(self.body)["error"]
        except (ValueError, KeyError, TypeError):
            return {}


def make_head(method: str, path: str, *lines: str, key: str = CALLER_KEY) -> bytes:
    """Returns the head of a request with a bearer key and further header lines."""
    all_lines = (f"{method} {path} HTTP/1.1", "Host: x", f"Authorization: Bearer {key}", *lines)
    return ("\r\n".join(all_lines) + "\r\n\r\n").encode("latin-1")


def make_request(path: str, body: bytes, *lines: str, method: str = "POST") -> bytes:
    """Returns a complete request."""
    return make_head(method, path, f"Content-Length: {len(body)}", *lines) + body


async def read_answer(reader: asyncio.StreamReader) -> RawAnswer:
    """Reads one response with a declared length."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.split(": ", 1) for line in head[1:] if line)
        headers = {name.lower(): value for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawAnswer(0, {}, b"")
    return RawAnswer(int(head[0].split()[1]), headers, body)


async def send(port: int, *parts: bytes, pause: float = 0.0) -> RawAnswer:
    """Sends parts on a new connection, pausing after each, while it reads the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)

    async def write() -> None:
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)
        except ConnectionError:
            return

    writing = asyncio.ensure_future(write())
    try:
        return await asyncio.wait_for(read_answer(reader), RESPONSE_TIMEOUT_SECONDS)
    finally:
        writing.cancel()
        writer.close()
