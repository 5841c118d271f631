"""Passes calls to plain services through by path."""

import re

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..wire import headers
from .caller_handler import CallerHandler
from .key_never_runs import weaken_refusal
from .service_order import ServiceOrder

PATH_FORM = re.compile(r"/[!-~]*")
DOT_SEGMENT = re.compile(r"/(\.|%2e){1,2}(/|%2f|$)", re.IGNORECASE)
CONTENT_TYPE_FORM = re.compile(r"[ -~]{1,200}")
FALLBACK_CONTENT_TYPE = "application/octet-stream"


def plain_content_type(given: str) -> str:
    """Returns a content type that is safe to repeat in a header."""
    return given if CONTENT_TYPE_FORM.fullmatch(given) else FALLBACK_CONTENT_TYPE


class ServiceHandler(CallerHandler):
    """Any method on /services/SERVICE/PATH."""

    def refuse(self, error: CodedError) -> None:
        """Answers with an error that does not claim more of a keyed call than is proved."""
        if key := self.request.headers.get(headers.IDEMPOTENCY_KEY):
            error = weaken_refusal(error, key)
        super().refuse(error)

    async def get(self, service: str) -> None:
        """Passes a read."""
        await self.run(lambda: self.answer(service))

    async def post(self, service: str) -> None:
        """Passes a call with a body."""
        await self.run(lambda: self.answer(service))

    put = patch = delete = post

    def service_path(self, service: str) -> str:
        """Returns path and query as the caller wrote them, without our own prefix.

        The path is not decoded: decoded, %3F would turn into the mark before a query, and
        a call would be taken for another one that is listed as idempotent.

        Raises:
          CodedError: The path could be read in two ways.
        """
        path = self.request.path.removeprefix(f"/services/{service}")
        if PATH_FORM.fullmatch(path) is None or DOT_SEGMENT.search(path) is not None:
            raise CodedError("path_invalid", "the path is not valid", 400)
        return path + ("?" + self.request.query if self.request.query else "")

    async def answer(self, service: str) -> None:
        """Checks the request, makes the call, and answers."""
        caller = self.caller
        if service not in caller.revision.fleet.workspaces[caller.workspace].services:
            raise CodedError("service_unknown", "no such service", 404)
        path = self.service_path(service)
        given = self.request.headers
        order = ServiceOrder(
            service,
            self.request.method,
            path,
            plain_content_type(given.get("Content-Type", "application/json")),
            self.body,
            given.get(headers.IDEMPOTENCY_KEY, ""),
        )
        reply = await self.entry.services.call(caller, order)
        self.set_status(reply.status)
        self.set_header("Content-Type", plain_content_type(reply.content_type))
        self.set_header(headers.REQUEST_ID, caller.request_id)
        self.set_header(headers.OUTCOME, Outcome.DONE.value)
        if reply.replayed:
            self.set_header(headers.IDEMPOTENT_REPLAYED, "true")
        self.write(reply.body)
        self.note_done(service=service)
