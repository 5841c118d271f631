"""POST /v1/idempotency-keys: issues an idempotency key that a caller sends with a later call."""

import typing

import msgspec

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..decisions.idempotency_key import MAX_LIFETIME_SECONDS
from ..observe.event import Event
from ..wire import headers
from .caller_handler import CallerHandler
from .key_issuer import CALLER_KEY_LIFETIME_SECONDS


class KeyBody(msgspec.Struct):
    """The body: the service that will be called, and how long the key is to be valid."""

    service: str
    lifetime_seconds: typing.Annotated[float, msgspec.Meta(ge=1.0, le=MAX_LIFETIME_SECONDS)] = (
        CALLER_KEY_LIFETIME_SECONDS
    )


class KeyHandler(CallerHandler):
    """Issues idempotency keys for the services that the caller's workspace may call."""

    async def post(self) -> None:
        """Handles one request."""
        await self.run(self.respond)

    async def respond(self) -> None:
        """Validates the body and responds with a new key."""
        caller = self.caller
        body = decode_json(self.body, KeyBody, "body_invalid", 400)
        if body.service not in caller.revision.fleet.workspaces[caller.workspace].services:
            raise CodedError("service_unknown", "unknown service", 404)
        key = await self.entry.services.keys.issue_or_wait(
            body.service, body.lifetime_seconds, caller.deadline
        )
        self.set_status(201)
        self.set_header(headers.REQUEST_ID, caller.request_id)
        self.write(
            {
                "idempotency_key": str(key),
                "service": body.service,
                "expires_in_seconds": key.lifetime_ms / 1000.0,
            }
        )
        self.entry.log.write(
            Event.KEY_ISSUED, request=caller.request_id, endpoint=key.endpoint, key=str(key)
        )
