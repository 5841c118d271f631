"""Responses as bytes, for connections whose HTTP state does not allow one."""

from tornado import httputil


def make_response(status: int, reason: str, headers: httputil.HTTPHeaders, body: bytes) -> bytes:
    """Returns a whole response, after which the connection is closed."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body
