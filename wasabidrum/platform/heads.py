"""Reads and writes the headers of requests and answers as the platform's protocol defines them."""

import re

from tornado import httputil

from ..core.listed_endpoint import ListedEndpoint
from ..core.request_head import ReplyHead, RequestHead
from ..wire.retry_after import read_decimal, read_rest
from . import names

# Headers that apply to one connection only (hop-by-hop) or that frame the body on it.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "expect",
    )
)
PROMPT_PART = re.compile(r"\s*([0-9a-fA-F]{1,64}):[0-9]{1,12}\s*")
# The interpreter refuses to read numbers of thousands of digits.
MAX_DIGITS = 15
# Parts beyond these are not read, which bounds what a request can make an entry remember.
MAX_SHARED_PARTS = 32
# Headers that are not copied from the caller. write_forwarded sets them where they apply, except
# Authorization: it holds the caller's key, which endpoints must not see.
NOT_COPIED_HEADERS = frozenset(
    name.lower()
    for name in (
        names.AUTHORIZATION,
        names.TENANT,
        names.DEADLINE,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        names.PRIORITY,
        names.LAST_EVENT_ID,
    )
)


def read_request(start: httputil.RequestStartLine, headers: httputil.HTTPHeaders) -> RequestHead:
    """Reads the head of a caller's request."""
    prompt, maximum = read_usage(headers.get(names.TOKEN_USAGE, ""))
    kind, _, key = headers.get(names.AUTHORIZATION, "").partition(" ")
    return RequestHead(
        method=start.method,
        target=start.path,
        host=headers.get("Host", "").partition(":")[0].lower(),
        request_id=headers.get(names.REQUEST_ID, ""),
        deadline=read_milliseconds(headers.get(names.DEADLINE, "")),
        key=key.strip() if kind.lower() == "bearer" else "",
        prompt_tokens=prompt,
        max_tokens=maximum,
        last_event=headers.get(names.LAST_EVENT_ID, ""),
        headers=headers,
        shared_parts=read_shared_parts(headers.get(names.PROMPT_PREFIX, "")),
    )


def read_milliseconds(text: str) -> float | None:
    """Converts milliseconds to seconds; returns None where the text is not a number."""
    return int(text) / 1000.0 if is_number(text) else None


def read_usage(text: str) -> tuple[int, int]:
    """Returns the prompt's tokens and the maximum of the answer's; zeros where not stated."""
    prompt, _, maximum = text.partition(",")
    if not (is_number(prompt) and is_number(maximum)):
        return 0, 0
    return int(prompt), int(maximum)


def is_number(text: str) -> bool:
    """Returns whether a text is a whole number of a length that int() reads."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS


def read_shared_parts(text: str) -> tuple[str, ...]:
    """Returns the ids of a prompt's parts that other requests may share, in their order.

    The last part is left out: it belongs to the request itself or to its session.
    """
    matches = [PROMPT_PART.fullmatch(entry) for entry in text.split(",")]
    if None in matches:
        return ()
    shared = (match[1].lower() for match in matches[:-1])
    return tuple(dict.fromkeys(shared))[:MAX_SHARED_PARTS]


def write_forwarded(
    head: RequestHead,
    endpoint: ListedEndpoint,
    workspace: str,
    seconds_left: float,
    body_bytes: int,
    last_event: str,
    weights: int,
    priority: int | None,
    body_held: bool = False,
) -> httputil.HTTPHeaders:
    """Returns the headers of a request to forward to an endpoint.

    Args:
      workspace: The workspace of the caller's key; empty where the route needs no key.
      weights: The version that must answer; zero where any may.
      priority: The priority for the engine's queue, lower first; None for the default.
      body_held: Whether the body is sent only once the endpoint asks for it.
    """
    dropped = CONNECTION_HEADERS | NOT_COPIED_HEADERS | hop_by_hop_names(head.headers)
    forwarded = httputil.HTTPHeaders()
    for name, value in head.headers.get_all():
        if name.lower() not in dropped:
            forwarded.add(name, value)
    if body_bytes or head.method in ("POST", "PUT", "PATCH"):
        forwarded["Content-Length"] = str(body_bytes)
    forwarded[names.DEADLINE] = str(max(1, int(seconds_left * 1000)))
    forwarded[names.EXPECT_INSTANCE] = endpoint.id
    forwarded["Connection"] = "close"
    if body_held:
        forwarded["Expect"] = "100-continue"
    if workspace:
        forwarded[names.TENANT] = workspace
    if weights:
        forwarded[names.EXPECT_VERSION] = str(weights)
    if priority is not None:
        forwarded[names.PRIORITY] = str(priority)
    if last_event:
        forwarded[names.LAST_EVENT_ID] = last_event
    return forwarded


def hop_by_hop_names(headers: httputil.HTTPHeaders) -> frozenset[str]:
    """Returns the lower-case names that a Connection header lists as hop-by-hop."""
    named = headers.get("Connection", "").lower()
    return frozenset(name.strip() for name in named.split(",") if name.strip())


def read_reply(start: httputil.ResponseStartLine, headers: httputil.HTTPHeaders) -> ReplyHead:
    """Reads the head of an endpoint's answer."""
    dropped = CONNECTION_HEADERS | hop_by_hop_names(headers)
    passed = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            passed.add(name, value)
    return ReplyHead(
        status=start.code,
        reason=start.reason,
        not_executed=names.NOT_EXECUTED in headers or start.code == 421,
        signed=names.SIGNATURE in headers,
        request_id=headers.get(names.REQUEST_ID, ""),
        instance=headers.get(names.INSTANCE, ""),
        encoded="Content-Encoding" in headers,
        headers=passed,
        states_limit=names.STATED_LIMIT in headers,
        stated_limit=read_decimal(headers.get(names.STATED_LIMIT, "")),
        rest_seconds=read_rest(start.code, headers.get(names.RETRY_AFTER, "")),
        leaving=headers.get(names.LEAVING, "").strip() == "1",
        cold_seconds=read_cold_time(headers.get(names.COLD_TIME, "")),
    )


def body_length(headers: httputil.HTTPHeaders) -> int:
    """Returns the length in bytes that a head states for its body; zero where it states none."""
    text = headers.get("Content-Length", "").partition(",")[0]
    return int(text) if is_number(text) else 0


def read_cold_time(text: str) -> float | None:
    """Converts milliseconds, which may have decimals, to seconds; None if the text is no number."""
    milliseconds = read_decimal(text.strip())
    return None if milliseconds is None else milliseconds / 1000.0


def write_refusal(request_id: str, retry_after: float | None) -> httputil.HTTPHeaders:
    """Returns the headers of an error that this system answers itself."""
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    if request_id:
        headers[names.REQUEST_ID] = request_id
    if retry_after is not None:
        headers[names.RETRY_AFTER] = f"{retry_after:.3f}"
    return headers
