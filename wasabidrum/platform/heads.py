"""Reads and writes the heads of requests and answers, in the platform's names."""

from tornado import httputil

from ..core.listed_endpoint import ListedEndpoint
from ..core.request_head import ReplyHead, RequestHead
from . import names

# Headers that concern one connection only, and those that this system writes itself.
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
OWN_HEADERS = frozenset(
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
    prompt, most = read_usage(headers.get(names.TOKEN_USAGE, ""))
    kind, _, key = headers.get(names.AUTHORIZATION, "").partition(" ")
    return RequestHead(
        method=start.method,
        target=start.path,
        host=headers.get("Host", "").partition(":")[0].lower(),
        request_id=headers.get(names.REQUEST_ID, ""),
        deadline=read_milliseconds(headers.get(names.DEADLINE, "")),
        key=key.strip() if kind.lower() == "bearer" else "",
        prompt_tokens=prompt,
        most_tokens=most,
        last_event=headers.get(names.LAST_EVENT_ID, ""),
        headers=headers,
    )


def read_milliseconds(text: str) -> float | None:
    """Returns seconds, or None where the text is no number of milliseconds."""
    return int(text) / 1000.0 if text.isascii() and text.isdecimal() else None


def read_usage(text: str) -> tuple[int, int]:
    """Returns tokens of the prompt and the most of the answer; zeros where not told."""
    prompt, _, most = text.partition(",")
    if not (prompt.isascii() and prompt.isdecimal() and most.isascii() and most.isdecimal()):
        return 0, 0
    return int(prompt), int(most)


def write_forwarded(
    head: RequestHead,
    endpoint: ListedEndpoint,
    workspace: str,
    seconds_left: float,
    body_bytes: int,
    last_event: str,
    weights: int,
    priority: int | None,
) -> httputil.HTTPHeaders:
    """Returns the headers of a request as an endpoint gets it.

    Args:
      workspace: Whose key the caller showed; empty where the route needs none.
      weights: The version that must answer; zero where any may.
      priority: The engine's own order, lower first; None for the usual one.
    """
    dropped = CONNECTION_HEADERS | OWN_HEADERS | named_by_connection(head.headers)
    forwarded = httputil.HTTPHeaders()
    for name, value in head.headers.get_all():
        if name.lower() not in dropped:
            forwarded.add(name, value)
    if body_bytes or head.method in ("POST", "PUT", "PATCH"):
        forwarded["Content-Length"] = str(body_bytes)
    forwarded[names.DEADLINE] = str(max(1, int(seconds_left * 1000)))
    forwarded[names.EXPECT_INSTANCE] = endpoint.id
    forwarded["Connection"] = "close"
    if workspace:
        forwarded[names.TENANT] = workspace
    if weights:
        forwarded[names.EXPECT_VERSION] = str(weights)
    if priority is not None:
        forwarded[names.PRIORITY] = str(priority)
    if last_event:
        forwarded[names.LAST_EVENT_ID] = last_event
    return forwarded


def named_by_connection(headers: httputil.HTTPHeaders) -> frozenset[str]:
    """Returns the headers that a Connection header says concern this connection only."""
    named = headers.get("Connection", "").lower()
    return frozenset(name.strip() for name in named.split(",") if name.strip())


def read_reply(start: httputil.ResponseStartLine, headers: httputil.HTTPHeaders) -> ReplyHead:
    """Reads the head of an endpoint's answer."""
    dropped = CONNECTION_HEADERS | named_by_connection(headers)
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
    )


def write_refusal(request_id: str, retry_after: float | None) -> httputil.HTTPHeaders:
    """Returns the headers of an answer of this system's own."""
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    if request_id:
        headers[names.REQUEST_ID] = request_id
    if retry_after is not None:
        headers[names.RETRY_AFTER] = f"{retry_after:.3f}"
    return headers
