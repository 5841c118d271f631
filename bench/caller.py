"""A caller that checks every answer against its request."""

import asyncio
import collections
import hashlib
import json
import random
import secrets

from tornado import httpclient

from . import fleet_files

BECAME_BY_OUTCOME = {"not_run": "refused", "unknown": "unknown", "failed": "failed"}
KEYED_SENDS = 4
KEYED_PAUSE_SECONDS = 0.3
RESEND_ANSWERED_CHANCE = 0.3


def expected_text(version: str, prompt: str, tokens: int) -> str:
    """Returns the complete answer of the engine stand-in to a prompt."""
    mark = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return "".join(f"{version}:{mark}:{index} " for index in range(tokens))


class Caller:
    """Sends requests to entries and counts them by result.

    The counts are requests, whole, refused (not_run), unknown, failed (an error reported
    in place of an answer), wrong (not the expected text), mixed (tokens of more than one
    version in one answer), lost (neither a complete answer nor an error) and charges.
    """

    def __init__(self, entry_ports: list[int], seed: int) -> None:
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=1000, defaults={"request_timeout": 60.0}
        )
        self._random = random.Random(seed)
        self.entry_ports = entry_ports
        self.counts: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.charges: dict[str, str] = {}
        self.problems: list[str] = []

    async def generate(self, prompt: str, tokens: int, stream: bool = True) -> str:
        """Asks for a completion; returns its result."""
        body = {"model": "summaries", "prompt": prompt, "max_tokens": tokens, "stream": stream}
        response = await self._send("POST", "/v1/completions", json.dumps(body).encode())
        if response is None or response.code != 200:
            return self._count(self._judge_error(response))
        if stream:
            text, version, whole, error = read_stream(response.body)
        else:
            answer = json.loads(response.body)
            text, version = answer["choices"][0]["text"], answer["version"]
            whole, error = True, ""
        if error:
            self.codes[f"stream:{error}"] += 1
            return self._count("failed")
        if not whole:
            return self._count("lost", f"cut without an error: {text[-80:]!r}")
        if text == expected_text(version, prompt, tokens):
            return self._count("whole")
        versions = {token.split(":")[0] for token in text.split()}
        kind = "mixed" if len(versions) > 1 else "wrong"
        return self._count(kind, f"{version}: {text[:200]!r}")

    async def charge(self) -> str:
        """Sends a charge with a unique mark once, without a key; returns its result."""
        mark = secrets.token_hex(8)
        body = json.dumps({"mark": mark, "amount": 5}).encode()
        response = await self._send("POST", "/services/tally/charge", body)
        if response is None or response.code != 200:
            became = self._judge_error(response)
        else:
            became = "whole" if json.loads(response.body)["mark"] == mark else "wrong"
        self.charges[mark] = became
        self.counts["charges"] += 1
        return self._count(became)

    async def charge_with_key(self) -> str:
        """Sends a charge with an issued idempotency key, again while its result is unknown."""
        response = await self._send("POST", "/v1/idempotency-keys", b'{"service": "tally"}')
        if response is None or response.code != 201:
            return self._count(self._judge_error(response))
        key = json.loads(response.body)["idempotency_key"]
        mark = secrets.token_hex(8)
        body = json.dumps({"mark": mark, "amount": 5}).encode()
        became = "unknown"
        for _ in range(KEYED_SENDS):
            response = await self._send("POST", "/services/tally/charge", body, key)
            if response is None or response.code == 599:
                became = "unknown"
            elif response.code == 200:
                became = "whole" if json.loads(response.body)["mark"] == mark else "wrong"
            else:
                became = self._judge_error(response)
            answered = became in ("whole", "refused")
            if answered and self._random.random() > RESEND_ANSWERED_CHANCE:
                break
            await asyncio.sleep(KEYED_PAUSE_SECONDS)
        self.charges[mark] = became
        self.counts["charges"] += 1
        return self._count(became)

    async def read(self) -> str:
        """Reads a balance; returns the result of the call."""
        shop = secrets.token_hex(6)
        response = await self._send("GET", f"/services/tally/balance?shop={shop}", None)
        if response is None or response.code != 200:
            return self._count(self._judge_error(response))
        whole = json.loads(response.body)["query"] == f"shop={shop}"
        return self._count("whole" if whole else "wrong")

    async def run_open_loop(
        self,
        per_second: float,
        tokens: int,
        seconds: float = 0.0,
        ended: asyncio.Event | None = None,
    ) -> None:
        """Sends a mix of requests at random times, without waiting for earlier answers.

        Sends until the event is set or, without an event, for the given seconds; then waits
        for the remaining answers.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        running = set()
        while not ended.is_set() if ended else loop.time() < ends:
            await asyncio.sleep(self._random.expovariate(per_second))
            kind = self._random.random()
            if kind < 0.1:
                work = self.charge()
            elif kind < 0.2:
                work = self.charge_with_key()
            elif kind < 0.4:
                work = self.read()
            else:
                prompt = f"shop {self._random.randrange(1000)} day {self._random.randrange(365)}"
                work = self.generate(prompt, tokens, stream=kind < 0.8)
            task = asyncio.ensure_future(work)
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def _send(
        self, method: str, path: str, body: bytes | None, key: str = ""
    ) -> httpclient.HTTPResponse | None:
        self.counts["requests"] += 1
        port = self._random.choice(self.entry_ports)
        head = {
            "Authorization": f"Bearer {fleet_files.CALLER_KEY}",
            "Content-Type": "application/json",
        }
        if key:
            head["Idempotency-Key"] = key
        url = f"http://127.0.0.1:{port}{path}"
        request = httpclient.HTTPRequest(url, method=method, body=body, headers=head)
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return None

    def _judge_error(self, response: httpclient.HTTPResponse | None) -> str:
        if response is None or response.code == 599:
            self.problems.append("no answer at all")
            return "lost"
        error = json.loads(response.body)["error"]
        self.codes[error["code"]] += 1
        return BECAME_BY_OUTCOME[error["outcome"]]

    def _count(self, became: str, problem: str = "") -> str:
        self.counts[became] += 1
        if problem:
            self.problems.append(f"{became}: {problem}")
        return became


def read_stream(body: bytes) -> tuple[str, str, bool, str]:
    """Returns the text, the version, whether [DONE] was received, and the error code."""
    text = version = error = ""
    whole = False
    for block in body.decode().split("\n\n"):
        if not block.startswith("data: "):
            continue
        data = block[len("data: ") :]
        if data == "[DONE]":
            whole = True
            continue
        event = json.loads(data)
        if "error" in event:
            error = event["error"]["code"]
        else:
            version = event["version"]
            text += event["choices"][0]["text"]
    return text, version, whole, error
