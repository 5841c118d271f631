"""Forwards callers' requests to plain services, which are addressed by path."""

import re

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..wire import headers
from .caller_handler import CallerHandler
from .key_refusal import weaken_refusal
from .service_request import ServiceRequest

PATH_PATTERN = re.compile(r"/[!-~]*")
DOT_SEGMENT = re.compile(r"/(\.|%2e){1,2}(/|%2f|$)", re.IGNORECASE)
CONTENT_TYPE_PATTERN = re.compile(r"[ -~]{1,200}")
FALLBACK_CONTENT_TYPE = "application/octet-stream"


def plain_content_type(given: str) -> str:
    """Returns a content type that is safe to copy into a response header."""
    return given if CONTENT_TYPE_PATTERN.fullmatch(given) else FALLBACK_CONTENT_TYPE


class ServiceHandler(CallerHandler):
    """Serves GET, POST, PUT, PATCH and DELETE on /services/SERVICE/PATH."""

    def refuse(self, error: CodedError) -> None:
        """Responds with an error whose outcome is certain for every copy of a call with a key."""
        if key := self.request.headers.get(headers.IDEMPOTENCY_KEY):
            error = weaken_refusal(error, key)
        super().refuse(error)

    async def get(self, service: str) -> None:
        """Forwards a GET request."""
        await self.run(lambda: self.respond(service))

    async def post(self, service: str) -> None:
        """Forwards a request of any other supported method."""
        await self.run(lambda: self.respond(service))

    put = patch = delete = post

    def service_path(self, service: str) -> str:
        """Returns path and query as the caller wrote them, without the /services prefix.

        The path is not decoded: a decoded %3F would become the start of a query, and the call
        could be mistaken for one that is configured as idempotent.

        Raises:
          CodedError: The path is ambiguous or has invalid characters.
        """
        path = self.request.path.removeprefix(f"/services/{service}")
        if PATH_PATTERN.fullmatch(path) is None or DOT_SEGMENT.search(path) is not None:
            raise CodedError("path_invalid", "the path is invalid", 400)
        return path + ("?" + self.request.query if self.request.query else "")

    async def respond(self, service: str) -> None:
        """Validates the request, makes the call and responds."""
        caller = self.caller
        if service not in caller.revision.fleet.workspaces[caller.workspace].services:
            raise CodedError("service_unknown", "unknown service", 404)
        path = self.service_path(service)
        head = self.request.headers
        request = ServiceRequest(
            service,
            self.request.method,
            path,
            plain_content_type(head.get("Content-Type", "application/json")),
            self.body,
            head.get(headers.IDEMPOTENCY_KEY, ""),
        )
        reply = await self.entry.services.call(caller, request)
        self.set_status(reply.status)
        self.set_header("Content-Type", plain_content_type(reply.content_type))
        self.set_header(headers.REQUEST_ID, caller.request_id)
        self.set_header(headers.OUTCOME, Outcome.DONE.value)
        if reply.replayed:
            self.set_header(headers.IDEMPOTENT_REPLAYED, "true")
        if reply.retry_after:
            self.set_header(headers.RETRY_AFTER, reply.retry_after)
        self.write(reply.body)
        self.log_completion(service=service)
