"""Callers of the load bench: open-loop arrivals from a fixed seed, each answer classified."""

import asyncio
import dataclasses
import json
import random

from hdrh.histogram import HdrHistogram
from tornado import httpclient

HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
DEADLINE_MILLISECONDS = 5000


@dataclasses.dataclass(slots=True)
class LoadRequest:
    """One request to send."""

    workspace: str = "w0"
    prompt: str = ""
    tokens: int = 20
    charge: bool = False


@dataclasses.dataclass(slots=True)
class LoadResult:
    """The answer to a request.

    Attributes:
      began: Seconds from the start of the run until the request was sent.
      first: Seconds from sending to the first chunk; zero if none came.
      total: Seconds from sending to the end of the answer.
      became: One of whole, refused, failed and lost.
    """

    wanted: LoadRequest
    began: float
    first: float = 0.0
    total: float = 0.0
    became: str = "lost"
    code: str = ""
    retry_after: float = 0.0


class LoadCallers:
    """Sends requests to entries without waiting for the answers to earlier ones."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=20_000, defaults={"request_timeout": 30.0}
        )
        self._random = random.Random(seed)
        self._ports = ports

    async def arrive(self, per_second: float, seconds: float, make) -> list[LoadResult]:
        """Sends requests at random times; returns once the last is answered.

        Args:
          make: Returns a LoadRequest, given a random.Random.
        """
        rng = random.Random(self._random.random())
        loop = asyncio.get_running_loop()
        start = loop.time()
        at = 0.0
        tasks = []
        while True:
            # Arrival times are independent of how late this request was sent, so that a busy
            # machine does not reduce the offered load.
            at += rng.expovariate(per_second)
            if at >= seconds:
                break
            await asyncio.sleep(max(0.0, start + at - loop.time()))
            port = rng.choice(self._ports)
            tasks.append(asyncio.ensure_future(self.send(make(rng), port, start)))
        return list(await asyncio.gather(*tasks))

    async def send(self, wanted: LoadRequest, port: int, start: float) -> LoadResult:
        """Sends one request and classifies its answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        received = LoadResult(wanted, began - start)

        def take_chunk(chunk: bytes) -> None:
            received.first = received.first or loop.time() - began
            chunks.append(chunk)

        chunks: list[bytes] = []
        request = make_request(wanted, port)
        request.streaming_callback = take_chunk
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            received.total = loop.time() - began
            return received
        received.total = loop.time() - began
        classify(received, response, b"".join(chunks))
        return received

    def close(self) -> None:
        """Closes the client."""
        self._client.close()


def make_request(wanted: LoadRequest, port: int) -> httpclient.HTTPRequest:
    """Returns the HTTP request for a LoadRequest."""
    path, body = "/services/tally/charge", {"mark": wanted.prompt, "amount": 5}
    if not wanted.charge:
        path = "/v1/completions"
        body = {"model": "summaries", "prompt": wanted.prompt, "max_tokens": wanted.tokens}
        body["stream"] = True
    return httpclient.HTTPRequest(
        f"http://127.0.0.1:{port}{path}",
        method="POST",
        body=json.dumps(body),
        headers={
            "Authorization": f"Bearer {wanted.workspace}-key",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(DEADLINE_MILLISECONDS),
        },
    )


def classify(received: LoadResult, response: httpclient.HTTPResponse, body: bytes) -> None:
    """Sets whether the answer is whole, refused or failed; without an answer it stays lost."""
    if response.code == 200:
        is_whole = received.wanted.charge or body.rstrip().endswith(b"data: [DONE]")
        received.became = "whole" if is_whole else "failed"
        return
    if response.code == 599:
        return
    try:
        error = json.loads(body)["error"]
    except (ValueError, KeyError):
        received.became = "failed"
        return
    received.code = error["code"]
    received.became = "refused" if error["outcome"] == "not_run" else "failed"
    received.retry_after = float(response.headers.get("Retry-After", 0.0))


def count(answers: list[LoadResult], became: str) -> int:
    """Returns the number of answers of one class."""
    return sum(answer.became == became for answer in answers)


def histogram(seconds: list[float]) -> HdrHistogram:
    """Returns a histogram of latencies in microseconds."""
    made = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        made.record_value(max(1, int(value * 1e6)))
    return made


def percentile(seconds: list[float], percent: float) -> float:
    """Returns a percentile of latencies, in seconds."""
    return histogram(seconds).get_value_at_percentile(percent) / 1e6 if seconds else 0.0


def whole_latencies(answers: list[LoadResult]) -> list[float]:
    """Returns the latencies of the whole answers."""
    return [answer.total for answer in answers if answer.became == "whole"]
